"""The feed: tables, relays and their readers, on a virtual clock."""

import random
from collections.abc import Callable
from typing import Any

import attrs
import structlog
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind import feed_messages
from sequoiawind.feed_client import (
    AVOID_S,
    HOLD_S,
    LIVE_S,
    FeedClient,
    FeedQuery,
)
from sequoiawind.feed_messages import FeedReply
from sequoiawind.feed_relay import (
    DEMAND_LIFETIME_S,
    GATHER_S,
    FeedRelay,
    RouterCount,
)
from sequoiawind.feed_table import (
    MAX_REMOVED,
    STAMP_LIFETIME_S,
    FeedEntry,
    FeedTable,
    Level,
    Topic,
)
from sequoiawind.fleet import Fleet
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.relay_choice import AGENTS_PER_RELAY, relays_for
from sequoiawind.wire import TargetStatus, WireError

PORT = 7340


def entry(
    name: str,
    number: int,
    value: object = 1,
    topic: Topic = Topic.TARGET,
    level: Level = Level.DOMAIN,
) -> FeedEntry:
    """Return an entry of a topic."""
    return FeedEntry(
        key=(topic, name), stamp=(1, number), value=value, level=level
    )


def names(table: FeedTable, after: int, level: Level = Level.ALL) -> list[str]:
    """Return the names of the entries that a reader would get."""
    changes = table.since(table.run, after, level)
    return [item.key[1] for item in changes.entries]


class FeedTableTest(TestCase):
    """Entries replace older ones, and readers resume where they were."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.table = FeedTable(run=7, clock=self.clock)

    def test_older_entries_change_nothing(self) -> None:
        self.assertTrue(self.table.put(entry("a", 2)))
        self.assertFalse(self.table.put(entry("a", 2)))
        self.assertFalse(self.table.put(entry("a", 1)))
        self.assertTrue(self.table.put(entry("a", 3)))

    def test_reader_gets_what_has_changed_since(self) -> None:
        for number, name in enumerate("abc"):
            self.table.put(entry(name, number))
        self.assertEqual(["b", "c"], names(self.table, 1))
        self.table.put(entry("a", 9))
        self.assertEqual(["a"], names(self.table, 3))
        self.assertEqual([], names(self.table, 4))

    def test_reader_of_another_run_gets_everything(self) -> None:
        self.table.put(entry("a", 1))
        self.table.put(entry("b", 1, value=None))
        for run, after in ((6, 2), (7, -1), (7, 99)):
            changes = self.table.since(run, after, Level.ALL)
            self.assertTrue(changes.is_whole)
            self.assertEqual(["a"], [item.key[1] for item in changes.entries])

    def test_reader_that_missed_a_forgotten_removal_gets_everything(
        self,
    ) -> None:
        for number in range(MAX_REMOVED + 2):
            self.table.put(entry(f"e{number}", 1, value=None))
        self.assertTrue(self.table.since(7, 1, Level.ALL).is_whole)
        self.assertFalse(self.table.since(7, 2, Level.ALL).is_whole)
        self.assertEqual(MAX_REMOVED, len(self.table.entries))

    def test_levels_above_the_readers_are_left_out(self) -> None:
        for level in Level:
            self.table.put(entry(level.name, 1, level=level))
        self.assertEqual(["OWN", "DOMAIN"], names(self.table, 0, Level.DOMAIN))
        self.assertFalse(self.table.has_news(1, Level.OWN))
        self.assertTrue(self.table.has_news(1, Level.DOMAIN))

    def test_origin_whose_clock_was_set_back_is_heard_again(self) -> None:
        def status(run: int) -> FeedEntry:
            return FeedEntry(
                key=(Topic.STATUS, "e1"),
                stamp=(run, 1),
                value=TargetStatus(),
                level=Level.OWN,
            )

        self.table.put(status(50))
        self.assertFalse(self.table.put(status(40)))
        self.clock.advance(STAMP_LIFETIME_S + 0.1)
        self.assertTrue(self.table.put(status(40)))


class MessageTest(TestCase):
    """A reply carries the entries of a table to another one."""

    def test_entries_survive_the_way(self) -> None:
        clock = Clock()
        table = FeedTable(run=1, clock=clock)
        sent = [
            entry("t", 3, value=b"\x00\xff"),
            entry("gone", 4, value=None),
            entry("config", 5, value=b"{}", topic=Topic.OPERATOR),
            entry("e1", 6, value=TargetStatus(target="e1"), topic=Topic.STATUS),
            entry("e1", 7, value=(9, True), topic=Topic.CACHE),
            FeedEntry(
                key=(Topic.PART, "e1", "salt", "p"),
                stamp=(9, 8),
                value=70,
                level=Level.DOMAIN,
            ),
        ]
        for item in sent:
            table.put(item)
        reply = FeedReply(1, 6, False, "r", 0.5, -1.0, 3)
        feed_messages.add_entries(reply, table.since(1, 0, Level.ALL))
        received = feed_messages.decode(feed_messages.encode(reply))
        found = list(feed_messages.entries_of(received, Level.DOMAIN))
        self.assertEqual(
            sorted(map(repr, sent)), sorted(map(repr, found)), reply
        )

    def test_invalid_replies_are_refused(self) -> None:
        valid = feed_messages.encode(FeedReply(1, 6, False, "r", 0.5, 0.5, 3))
        for data in (b"", b"\xc1", b"[]", valid[:-1], valid + b"x"):
            self.assertRaises(WireError, feed_messages.decode, data)


@attrs.define(kw_only=True, eq=False)
class Network:
    """Relays that reach each other by address; implements `FeedPort`."""

    clock: Clock
    relays: dict[str, FeedRelay] = attrs.field(factory=dict)
    # Addresses that do not answer.
    silent: set[str] = attrs.field(factory=set)
    requests: list[tuple[str, FeedQuery]] = attrs.field(factory=list)

    async def read(
        self, address: str, query: FeedQuery, timeout_s: float
    ) -> FeedReply | None:
        """Return the reply of a relay; None after the time-out."""
        self.requests.append((address, query))
        if address in self.silent or address not in self.relays:
            pause: Deferred[None] = Deferred()
            self.clock.callLater(timeout_s, pause.callback, None)
            await pause
            return None
        pause = Deferred()
        self.clock.callLater(0.001, pause.callback, None)
        await pause
        return feed_messages.decode(await self.relays[address].serve(query))


@attrs.define(kw_only=True, eq=False)
class FeedRig:
    """Agents in some failure domains, and readers."""

    clock: Clock = attrs.field(factory=Clock)
    fleet: Fleet = attrs.field(factory=Fleet)
    network: Network = attrs.field(init=False)
    replies: list[FeedReply] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the network."""
        self.network = Network(clock=self.clock)

    def add(self, name: str, domain: str) -> FeedRelay:
        """Add a target with its agent."""
        self.fleet.put(
            ForwardTarget(
                name=name,
                pool="llm",
                domain=domain,
                address=f"{name}:80",
                versions={"m": 1},
            )
        )
        address = f"{name}:{PORT}"
        relay = FeedRelay(
            name=name,
            address=address,
            agent_port=PORT,
            domain=domain,
            fleet=self.fleet,
            clock=self.clock,
            age_clock=self.clock.seconds,
            table=FeedTable(run=1, clock=self.clock),
            make_client=self.make_client,
        )
        self.network.relays[address] = relay
        return relay

    def make_client(self, **fields: Any) -> FeedClient:
        """Return a client of the network."""
        return FeedClient(
            reader=fields.pop("reader", "agent"),
            port=self.network,
            clock=self.clock,
            age_clock=self.clock.seconds,
            random=random.Random(1),
            log=structlog.get_logger(),
            **fields,
        )

    def start_router(
        self, candidates: Callable[[], list[str]], name: str = "router"
    ) -> FeedClient:
        """Start a router that reads everything."""
        client = self.make_client(
            reader=name,
            is_router=True,
            level=Level.ALL,
            candidates=candidates,
            on_reply=lambda reply, sent_s: self.replies.append(reply),
        )
        Deferred.fromCoroutine(client.run())
        return client

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def statuses(self) -> dict[str, TargetStatus]:
        """Return the last status of each target that the router received."""
        return {
            item.target: item.status
            for reply in self.replies
            for item in reply.statuses
        }


def publish(relay: FeedRelay, number: int, **fields: Any) -> None:
    """Publish a status of an agent's target."""
    status = TargetStatus(target=relay.name, number=number, **fields)
    relay.put((Topic.STATUS, relay.name), (1, number), status)


class RelayTest(TestCase):
    """A router knows the whole fleet by reading from one relay."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = FeedRig()
        self.agents = [
            self.rig.add(f"e{number}", f"d{number % 3}") for number in range(9)
        ]
        for agent in self.agents:
            publish(agent, 1)
        self.first = f"e0:{PORT}"

    def test_router_reads_from_one_relay_only(self) -> None:
        self.rig.start_router(lambda: [self.first])
        self.rig.advance(2.0)
        self.assertEqual(9, len(self.rig.statuses()))
        asked = {
            address
            for address, query in self.rig.network.requests
            if query.is_router
        }
        self.assertEqual({self.first}, asked)

    def test_requests_of_a_router_do_not_grow_with_the_targets(self) -> None:
        def requests(targets: int) -> int:
            rig = FeedRig()
            agents = [
                rig.add(f"e{number}", f"d{number % 3}")
                for number in range(targets)
            ]
            rig.start_router(lambda: [self.first])
            for step in range(40):
                for agent in agents:
                    publish(agent, step + 2, running=step)
                rig.advance(0.1)
            return sum(query.is_router for _, query in rig.network.requests)

        self.assertTrue(requests(60) <= requests(6) + 1)

    def test_urgent_status_reaches_a_router_at_once(self) -> None:
        self.rig.start_router(lambda: [self.first])
        self.rig.advance(2.0)
        # An agent of another failure domain, two relays away.
        publish(self.agents[4], 2, is_loading=True)
        self.rig.advance(0.05)
        self.assertTrue(self.rig.statuses()["e4"].is_loading)
        publish(self.agents[4], 3)
        self.rig.advance(0.05)
        self.assertFalse(self.rig.statuses()["e4"].is_loading)

    def test_other_changes_are_gathered(self) -> None:
        self.rig.start_router(lambda: [self.first])
        self.rig.advance(2.0)
        before = len(self.rig.replies)
        for step in range(100):
            publish(self.agents[step % 9], step + 5, running=step)
            self.rig.advance(0.01)
        count = len(self.rig.replies) - before
        self.assertTrue(count <= 1.0 / GATHER_S + 1, count)

    def test_silent_relay_is_left_for_another(self) -> None:
        client = self.rig.start_router(
            lambda: [self.first, f"e3:{PORT}", f"e6:{PORT}"]
        )
        self.rig.advance(1.0)
        self.assertEqual(self.first, client.address)
        self.rig.network.silent.add(self.first)
        self.rig.advance(1.0)
        self.assertEqual(f"e3:{PORT}", client.address)
        self.assertTrue(client.is_live)
        publish(self.agents[8], 2, is_draining=True)
        self.rig.advance(0.3)
        self.assertTrue(self.rig.statuses()["e8"].is_draining)
        # The preferred relay is used again once it answers.
        self.rig.network.silent.clear()
        self.rig.advance(AVOID_S + HOLD_S)
        self.assertEqual(self.first, client.address)

    def test_feed_is_lost_when_no_relay_answers(self) -> None:
        client = self.rig.start_router(lambda: [self.first])
        self.rig.advance(1.0)
        self.rig.network.silent.update(self.rig.network.relays)
        self.rig.advance(LIVE_S + 0.1)
        self.assertFalse(client.is_live)

    def test_agent_stops_to_relay_when_nobody_asks(self) -> None:
        client = self.rig.start_router(lambda: [self.first])
        self.rig.advance(1.0)
        self.assertTrue(self.agents[0].clients)
        client.stop()
        self.rig.advance(DEMAND_LIFETIME_S + 1.0)
        self.agents[0].adjust_clients()
        self.assertEqual({}, self.agents[0].clients)

    def test_routers_are_counted_over_all_relays(self) -> None:
        for number, name in ((0, "r0"), (0, "r1"), (1, "r2"), (2, "r3")):
            address = f"e{number}:{PORT}"
            self.rig.start_router(lambda address=address: [address], name)
        self.rig.advance(3.0)
        # Each relay reads from the first one of each other domain, which
        # counts the routers only if they use it.
        query = FeedQuery(
            reader="x", is_router=False, run=0, after=-1, level=Level.ALL
        )
        counts = [self.agents[n].reply(query).routers for n in range(3)]
        self.assertTrue(max(counts) >= 2, counts)
        self.assertTrue(max(counts) <= 4, counts)

    def test_routers_of_several_relays_in_a_domain_are_counted(self) -> None:
        # A relay hears of the routers of one relay of each other domain only.
        rig = FeedRig()
        agents = [
            rig.add(f"e{number}", f"d{number % 2}")
            for number in range(4 * AGENTS_PER_RELAY)
        ]
        query = FeedQuery(
            reader="x", is_router=False, run=0, after=-1, level=Level.ALL
        )
        relay = agents[0]
        for number in range(10):
            relay.routers[f"r{number}"] = 0.0
            relay.demands_per_s[f"r{number}"] = 1.5
        relay.other_routers["d1"] = RouterCount(
            routers=7, demand_per_s=4.0, stated_s=0.0
        )
        reply = relay.reply(query)
        self.assertEqual(2 * 10 + 2 * 7, reply.routers)
        self.assertEqual(2 * 15.0 + 2 * 4.0, reply.demand_per_s)

    def test_demand_of_a_router_that_has_gone_is_forgotten(self) -> None:
        rig = FeedRig()
        relay = rig.add("e0", "d0")
        query = FeedQuery(
            reader="r1",
            is_router=True,
            run=0,
            after=-1,
            level=Level.ALL,
            demand_per_s=3.0,
        )
        Deferred.fromCoroutine(relay.serve(query))
        asking = attrs.evolve(query, reader="x", is_router=False)
        self.assertEqual(3.0, relay.reply(asking).demand_per_s)
        rig.advance(6.0)
        self.assertEqual(0.0, relay.reply(asking).demand_per_s)


class AgeTest(TestCase):
    """The age of the records grows with each hop, and is never too low."""

    def test_age_counts_from_the_first_request(self) -> None:
        rig = FeedRig()
        near, far = rig.add("e0", "d0"), rig.add("e1", "d1")
        ages: list[float] = []
        client = rig.make_client(
            is_router=True,
            level=Level.ALL,
            candidates=lambda: [near.address],
            on_reply=lambda reply, sent_s: ages.append(
                rig.clock.seconds() - sent_s + reply.operator_age_s
                if reply.operator_age_s >= 0.0
                else -1.0
            ),
        )
        Deferred.fromCoroutine(client.run())
        rig.advance(1.0)
        self.assertEqual([-1.0], sorted(set(ages)))
        # Only the relay of the other domain reaches the store, until 2.0.
        while rig.clock.seconds() < 2.0:
            far.note_operator(rig.clock.seconds())
            rig.advance(0.1)
        # A hop adds the time for which a request is held, and the time until
        # the next reply.
        self.assertTrue(0.0 <= ages[-1] <= 4 * HOLD_S + 0.1, ages[-1])
        rig.advance(3.0)
        # The far relay still answers, with records that it read at 1.9.
        self.assertTrue(ages[-1] >= 2.4, ages[-1])

    def test_relay_that_was_suspended_states_the_full_age(self) -> None:
        rig = FeedRig()
        relay = rig.add("e0", "d0")
        relay.note_operator(rig.clock.seconds())
        suspended_s = 0.0
        relay.age_clock = lambda: rig.clock.seconds() + suspended_s
        query = FeedQuery(
            reader="x", is_router=True, run=0, after=-1, level=Level.ALL
        )
        self.assertEqual(0.0, relay.reply(query).operator_age_s)
        suspended_s = 9.0
        self.assertEqual(9.0, relay.reply(query).operator_age_s)


class RelayChoiceTest(TestCase):
    """Each process ranks the relays by itself."""

    def targets(self, count: int, domain: str) -> list[ForwardTarget]:
        return [
            ForwardTarget(
                name=f"{domain}-{number}",
                pool="llm",
                domain=domain,
                address=f"{domain}-{number}:80",
                versions={"m": 1},
            )
            for number in range(count)
        ]

    def test_readers_of_a_domain_use_the_same_relay(self) -> None:
        targets = self.targets(AGENTS_PER_RELAY, "d1") + self.targets(9, "d2")
        firsts = {
            relays_for(f"r{number}", "d1", targets)[0].name
            for number in range(30)
        }
        self.assertEqual(1, len(firsts))
        self.assertTrue(firsts.pop().startswith("d1"))

    def test_large_domains_have_several_relays(self) -> None:
        targets = self.targets(3 * AGENTS_PER_RELAY, "d1")
        firsts = {
            relays_for(f"r{number}", "d1", targets)[0].name
            for number in range(200)
        }
        self.assertEqual(3, len(firsts))

    def test_other_domains_are_asked_if_the_own_has_no_agent(self) -> None:
        plain = attrs.evolve(self.targets(1, "d1")[0], versions={})
        found = relays_for("r", "d1", [plain, *self.targets(2, "d2")])
        self.assertEqual(["d2-0", "d2-1"], sorted(item.name for item in found))
