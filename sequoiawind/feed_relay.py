"""Gathers the knowledge of the fleet at an agent, and serves it to readers.

An agent publishes the status of its target and the parts that its cache holds.
Asked for more, it becomes a relay: it also reads from the agents of its failure
domain and from the store, and for routers from one relay of each other failure
domain.  It stops when nobody has asked for a while.
"""

from collections.abc import Callable
from typing import Any, Final

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import feed_messages
from sequoiawind.feed_client import HOLD_S, FeedClient, FeedQuery
from sequoiawind.feed_messages import FeedReply
from sequoiawind.feed_table import (
    FeedChanges,
    FeedEntry,
    FeedTable,
    Key,
    Level,
    Stamp,
    Topic,
)
from sequoiawind.feed_totals import SETTLED_GAP_S, RelayTotals
from sequoiawind.fleet import Fleet
from sequoiawind.ports import Clock
from sequoiawind.relay_choice import (
    agent_address,
    has_agent,
    ranked,
    relay_count,
)
from sequoiawind.store_era import StoreEra
from sequoiawind.wire import TargetStatus

# How long changes that are not urgent are gathered for one reply, in seconds.
GATHER_S: Final = 0.25
# Time without a request at a level after which an agent stops to relay at it,
# in seconds: readers that have left it for a moment find it still relaying.
DEMAND_LIFETIME_S: Final = 5.0
# Interval at which the feeds to read are compared with the fleet, in seconds.
ADJUST_S: Final = 0.5
# Time for which a router counts after its last request, in seconds.
ROUTER_ACTIVE_S: Final = 5.0
RECORD_TOPICS: Final = frozenset({Topic.OPERATOR, Topic.TARGET, Topic.CRASH})


@attrs.define(kw_only=True)
class Waiting:
    """A request that waits for changes."""

    changed: Deferred[None]
    after: int
    level: Level
    # Whether changes that are not urgent end the wait too.
    is_patient: bool = True


@attrs.define(kw_only=True)
class RouterCount:
    """The routers that another relay has stated, and their demand."""

    routers: int
    # In requests a second.
    demand_per_s: float
    stated_s: float


@attrs.define(kw_only=True)
class FeedRelay:
    """The table of one agent, its readers, and the feeds that it reads."""

    name: str
    # Address at which the other agents reach this one.
    address: str
    agent_port: int
    domain: str
    fleet: Fleet
    clock: Clock
    age_clock: Callable[[], float]
    table: FeedTable
    # Creates a client for a level and a function that returns its candidates.
    make_client: Callable[..., FeedClient]
    # When each level was last asked for, in seconds of the clock.
    asked_s: dict[Level, float] = attrs.field(factory=dict)
    # When each router last asked, in seconds of the clock, and its demand, in
    # requests a second.
    routers: dict[str, float] = attrs.field(factory=dict)
    demands_per_s: dict[str, float] = attrs.field(factory=dict)
    # Routers that a relay of each other failure domain has stated.
    other_routers: dict[str, RouterCount] = attrs.field(factory=dict)
    waiting: list[Waiting] = attrs.field(factory=list)
    # What the routers have stated, to this relay and others.
    totals: RelayTotals = attrs.field(
        default=attrs.Factory(
            lambda self: RelayTotals(began_s=self.clock.seconds()),
            takes_self=True,
        )
    )
    # The feeds that are read: by agent address, or by failure domain.
    clients: dict[str, FeedClient] = attrs.field(factory=dict)
    # When they were last compared with the fleet, in seconds of the clock.
    adjusted_s: float = float("-inf")
    # Times, in seconds of `age_clock`, as of which the operator's records and
    # the targets' entries are known; None if they are not.
    operator_as_of_s: float | None = None
    targets_as_of_s: float | None = None
    era: StoreEra = attrs.field(factory=StoreEra)
    # Called with the records that another process has sent.
    on_records: Callable[[FeedReply], None] = attrs.field(
        default=lambda reply: None
    )

    def __attrs_post_init__(self) -> None:
        """Tell the readers at once that the store has returned from a copy."""
        self.era.listeners.append(lambda era: self.end_all_waits())

    def end_all_waits(self) -> None:
        """End the waits of all readers."""
        for waiting in self.waiting[:]:
            self.end_wait(waiting)

    # Publishing.

    def put(
        self,
        key: Key,
        stamp: Stamp,
        value: Any,
        level: Level = Level.OWN,
        is_urgent: bool = False,
    ) -> None:
        """Publish a fact."""
        self.put_entry(
            FeedEntry(
                key=key,
                stamp=stamp,
                value=value,
                level=level,
                is_urgent=is_urgent,
            )
        )

    def put_entry(self, entry: FeedEntry) -> None:
        """Store an entry, and wake the readers that it concerns."""
        if entry.key[0] is Topic.STATUS and not entry.is_urgent:
            entry = self.with_urgency(entry)
        if self.table.put(entry):
            self.wake(entry)

    def with_urgency(self, entry: FeedEntry) -> FeedEntry:
        """Mark a status as urgent if it begins or ends to keep work away."""
        known = self.table.entries.get(entry.key)
        before = keeps_away(known.entry.value) if known else ()
        if keeps_away(entry.value) == before:
            return entry
        return attrs.evolve(entry, is_urgent=True)

    def wake(self, entry: FeedEntry) -> None:
        """End the waits of the readers that an entry concerns."""
        for waiting in self.waiting[:]:
            if waiting.level >= entry.level and (
                entry.is_urgent or not waiting.is_patient
            ):
                self.end_wait(waiting)

    def end_wait(self, waiting: Waiting) -> None:
        """End one wait, unless it has ended."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)
            waiting.changed.callback(None)

    def drop_cache(self, cache: str) -> None:
        """Drop the entries of a cache's parts, as it has been emptied."""
        self.table.discard(
            [
                key
                for key in self.table.entries
                if key[0] is Topic.PART and key[1] == cache
            ]
        )

    def drop_target(self, name: str) -> None:
        """Drop the status and the cache of a target that is gone."""
        self.drop_cache(name)
        self.table.discard([(Topic.STATUS, name), (Topic.CACHE, name)])

    # Serving.

    async def serve(self, query: FeedQuery) -> bytes:
        """Return the encoded reply to a request, once there is news."""
        now_s, arrived_s = self.clock.seconds(), self.age_clock()
        is_new = not self.is_asked_for(query.level)
        if not self.is_asked_for(query.level, SETTLED_GAP_S):
            self.totals.note_begin(query.level, now_s)
        self.asked_s[query.level] = now_s
        if query.is_router:
            self.routers[query.reader] = now_s
            self.demands_per_s[query.reader] = query.demand_per_s
            if query.statement is not None:
                self.totals.sums.take_statement(
                    query.reader, query.statement, now_s
                )
        if is_new or now_s - self.adjusted_s >= ADJUST_S:
            self.adjust_clients()
        has_read = query.run == self.table.run and query.after >= 0
        if has_read and not query.is_continuing:
            await self.wait_for_news(query)
        reply = self.reply(query)
        reply.held_s = self.age_clock() - arrived_s
        return feed_messages.encode(reply)

    async def wait_for_news(self, query: FeedQuery) -> None:
        """Wait for urgent changes, or gather others for a while."""
        level = Level.DOMAIN if query.is_records_only else query.level
        if self.table.has_urgent_news(query.after, level):
            return
        waiting = Waiting(changed=Deferred(), after=query.after, level=level)
        self.waiting.append(waiting)
        gathering = self.clock.callLater(
            HOLD_S if query.is_records_only else GATHER_S,
            self.end_gathering,
            waiting,
        )
        holding = self.clock.callLater(HOLD_S, self.end_wait, waiting)
        await waiting.changed
        for timer in (gathering, holding):
            if timer.active():
                timer.cancel()

    def end_gathering(self, waiting: Waiting) -> None:
        """End a wait if anything has changed, else at the next change."""
        waiting.is_patient = False
        if self.table.has_news(waiting.after, waiting.level):
            self.end_wait(waiting)

    def reply(self, query: FeedQuery) -> FeedReply:
        """Return the reply to a request."""
        topics = RECORD_TOPICS if query.is_records_only else frozenset(Topic)
        changes: FeedChanges = self.table.since(
            query.run, query.after, query.level, topics
        )
        total = self.total_routers(query.level)
        reply = FeedReply(
            run=self.table.run,
            number=changes.number,
            is_whole=changes.is_whole,
            relay=self.name,
            operator_age_s=self.age_s(self.operator_as_of_s),
            targets_age_s=self.age_s(self.targets_as_of_s),
            routers=total.routers,
            demand_per_s=total.demand_per_s,
            has_more=changes.has_more,
            store_era=self.era.number,
        )
        feed_messages.add_entries(reply, changes)
        self.totals.add_to(reply, query, self.clock.seconds())
        return reply

    def age_s(self, as_of_s: float | None) -> float:
        """Return the age of what was known at a time; negative if unknown."""
        return -1.0 if as_of_s is None else self.age_clock() - as_of_s

    def total_routers(self, level: Level) -> RouterCount:
        """Return the active routers of this relay, or of all relays.

        The other relays of a failure domain are taken to have as many.
        """
        now_s = self.clock.seconds()
        oldest_s = now_s - ROUTER_ACTIVE_S
        for name, asked_s in list(self.routers.items()):
            if asked_s < oldest_s:
                del self.routers[name]
                self.demands_per_s.pop(name, None)
        own = RouterCount(
            routers=len(self.routers),
            demand_per_s=sum(self.demands_per_s.values()),
            stated_s=now_s,
        )
        if level is not Level.ALL:
            return own
        counts = {self.domain: own}
        for domain, item in self.other_routers.items():
            if item.stated_s >= oldest_s:
                counts[domain] = item
        targets = [view.target for view in self.fleet.views.values()]
        relays = {domain: relay_count(targets, domain) for domain in counts}
        return RouterCount(
            routers=sum(
                item.routers * relays[domain] for domain, item in counts.items()
            ),
            demand_per_s=sum(
                item.demand_per_s * relays[domain]
                for domain, item in counts.items()
            ),
            stated_s=now_s,
        )

    # Reading.

    def is_asked_for(
        self, level: Level, within_s: float = DEMAND_LIFETIME_S
    ) -> bool:
        """Whether a level, or one above it, was asked for recently."""
        oldest_s = self.clock.seconds() - within_s
        return any(
            asked_s >= oldest_s
            for asked, asked_s in self.asked_s.items()
            if asked >= level
        )

    def adjust_clients(self) -> None:
        """Start to read the feeds that the readers need, and stop others."""
        self.adjusted_s = self.clock.seconds()
        wanted: dict[str, tuple[Level, str]] = {}
        relays: list[str] = []
        domains: set[str] = set()
        targets = [view.target for view in self.fleet.views.values()]
        if self.is_asked_for(Level.DOMAIN):
            agents = [
                agent_address(target, self.agent_port)
                for target in ranked(targets, self.domain)
            ]
            for address in agents:
                if address != self.address:
                    wanted[address] = (Level.OWN, self.domain)
            relays = agents[: relay_count(targets, self.domain)]
        if self.is_asked_for(Level.ALL):
            for target in targets:
                if target.domain != self.domain and has_agent(target):
                    wanted[target.domain] = (Level.DOMAIN, target.domain)
                    domains.add(target.domain)
        self.totals.set_feeds(set(wanted), domains, relays)
        for name in self.clients.keys() - wanted.keys():
            self.clients.pop(name).stop()
        for name in wanted.keys() - self.clients.keys():
            self.start_client(name, *wanted[name])

    def start_client(self, name: str, level: Level, domain: str) -> None:
        """Start to read from an agent, or from a relay of a domain."""

        def candidates() -> list[str]:
            if level is Level.OWN:
                return [name]
            targets = [view.target for view in self.fleet.views.values()]
            return [
                agent_address(target, self.agent_port)
                for target in ranked(targets, domain)
            ]

        client = self.make_client(
            level=level,
            candidates=candidates,
            on_reply=lambda reply, sent_s: self.take(
                reply, sent_s, name, level
            ),
        )
        self.clients[name] = client
        Deferred.fromCoroutine(client.run())

    def take(
        self, reply: FeedReply, sent_s: float, source: str, level: Level
    ) -> None:
        """Store what another process has replied."""
        self.era.seen(reply.store_era)
        at_level = Level.DOMAIN if level is Level.OWN else Level.ALL
        self.totals.take(reply, source, at_level, self.clock.seconds())
        if level is Level.DOMAIN:
            self.take_records(reply, sent_s)
            self.other_routers[source] = RouterCount(
                routers=reply.routers,
                demand_per_s=reply.demand_per_s,
                stated_s=self.clock.seconds(),
            )
        for entry in feed_messages.entries_of(reply, at_level):
            topic = entry.key[0]
            if topic in RECORD_TOPICS:
                continue
            if topic is Topic.CACHE:
                known = self.table.entries.get(entry.key)
                generation = known.entry.value[0] if known else None
                if generation != entry.value[0]:
                    self.drop_cache(entry.key[1])
            self.put_entry(entry)

    def take_records(self, reply: FeedReply, sent_s: float) -> None:
        """Use the store's records that another process has sent."""
        self.era.seen(reply.store_era)
        self.on_records(reply)
        if reply.operator_age_s >= 0.0:
            self.note_operator(reply.operator_as_of_s(sent_s))
        if reply.targets_age_s >= 0.0:
            self.note_targets(reply.targets_as_of_s(sent_s))

    def note_operator(self, as_of_s: float) -> None:
        """Record the time as of which the operator's records are known."""
        if self.operator_as_of_s is None or as_of_s > self.operator_as_of_s:
            self.operator_as_of_s = as_of_s

    def note_targets(self, as_of_s: float) -> None:
        """Record the time as of which the targets' entries are known."""
        if self.targets_as_of_s is None or as_of_s > self.targets_as_of_s:
            self.targets_as_of_s = as_of_s


def keeps_away(status: TargetStatus | None) -> tuple[object, ...]:
    """Return the parts of a status that keep work away from its target."""
    if status is None:
        return ()
    return (
        status.is_loading,
        status.is_winding_down,
        status.is_draining,
        not status.is_reachable,
        status.limit_per_s,
    )
