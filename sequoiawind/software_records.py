"""Which software versions may have begun streams, as the store keeps it.

A router that has just started has not seen which versions served before.  So
each router makes sure that the versions it sees are recorded in the store from
their first target on, before streams that they begin can break.  The record of
a version is deleted once its targets have been gone for longer than callers try
to resume their streams.

That a version has no record proves something only if the records were kept from
the beginning, which a mark among them says.  A router sets it that has itself
followed the targets for long enough, or that finds all entries which targets
ever wrote.
"""

import random
from collections.abc import Callable, Collection
from typing import Final, Protocol

import attrs
import structlog
from expression import Result
from twisted.internet.defer import Deferred

from sequoiawind.blackboard import Blackboard
from sequoiawind.fleet import Fleet
from sequoiawind.forward_state import ForwardState
from sequoiawind.freshness import Freshness
from sequoiawind.ports import Clock, Timer
from sequoiawind.record_ports import Appended
from sequoiawind.software_memory import SOFTWARE_MEMORY_S
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure

Logger = structlog.typing.FilteringBoundLogger

# Longest delay of a check while few routers share the store, in seconds.
CHECK_DELAY_S: Final = 0.1
# Checks of all routers together per second, each one or two calls: a small part
# of the reading calls that a store of a large fleet takes.
CHECKS_PER_S: Final = 120.0
# Pause after a failed check, in seconds.
RETRY_PAUSE_S: Final = 0.5
# Time without targets of a version after which its record is deleted, in
# seconds.  Other routers may have lost its last target later.
FORGET_S: Final = 2.0 * SOFTWARE_MEMORY_S
# Time after which the record of a version that has returned is read again, in
# seconds: another router may have deleted it before it knew.
RECHECK_S: Final = 3.0
# Time allowed for one call to the store, in seconds.
CALL_TIMEOUT_S: Final = 1.0

Origins = frozenset[StreamOrigin]


@attrs.frozen(kw_only=True)
class RecordedSoftware:
    """The records at one time."""

    origins: Origins
    # Whether they have been kept from the beginning.
    is_whole: bool
    # The store's era; it rises when the store returns from a copy.
    era: int = 0


class SoftwarePort(Protocol):
    """The topic in which routers record software versions."""

    async def read(self, timeout_s: float) -> Result[RecordedSoftware, Failure]:
        """Return the records."""

    async def write(
        self,
        added: Collection[StreamOrigin],
        removed: Collection[StreamOrigin],
        is_whole: bool,
        timeout_s: float,
    ) -> Result[Appended, Failure]:
        """Add and delete records.

        Args:
          added: The versions to record.
          removed: Those whose records to delete.
          is_whole: Set the mark that the records were kept from the beginning.
          timeout_s: Time allowed for the call, in seconds.
        """

    async def history(
        self, timeout_s: float
    ) -> Result[Origins | None, Failure]:
        """Return the versions of all targets that there ever were.

        None if the store has deleted some of their entries.
        """


@attrs.define(kw_only=True, eq=False)
class SoftwareRecords:
    """Controller that keeps the records true, and knows what they say."""

    port: SoftwarePort
    board: Blackboard
    fleet: Fleet
    freshness: Freshness
    clock: Clock
    log: Logger
    # Called with versions whose records this router has deleted.
    on_forgotten: Callable[[Origins], object] = attrs.field(
        default=lambda origins: None
    )
    random: "random.Random" = attrs.field(factory=random.Random)
    # When this router began to follow the fleet, in seconds of the clock.
    started_s: float = attrs.field(init=False)
    # The records as they were read last, with what was written since.
    recorded: RecordedSoftware | None = None
    # Since when recorded versions have had no targets, in seconds of the clock.
    unserved_s: dict[StreamOrigin, float] = attrs.field(factory=dict)
    # The next check, and when it is due, in seconds of the clock.
    timer: Timer | None = None
    due_s: float = 0.0
    # Those who wait for the check in progress; None if there is none.
    waiting: list[Deferred[None]] | None = None

    def __attrs_post_init__(self) -> None:
        """Note the start."""
        self.started_s = self.clock.seconds()

    @property
    def has_followed(self) -> bool:
        """Whether this router knows by itself what has served lately."""
        return self.clock.seconds() - self.started_s >= SOFTWARE_MEMORY_S

    def versions(self, pool: str) -> frozenset[str | None] | None:
        """Return the versions that may have begun a pool's recent streams.

        None if the records do not prove that there were no others.
        """
        if self.recorded is None or not self.recorded.is_whole:
            return None
        return frozenset(
            origin.software
            for origin in self.recorded.origins
            if origin.pool == pool
        )

    @property
    def pools(self) -> frozenset[str]:
        """Names of the pools whose broken streams callers may resume."""
        state = self.board.state
        if not isinstance(state, ForwardState):
            return frozenset()
        return state.resumable_pools

    def serving(self, with_missing: bool = True) -> Origins:
        """Return the known versions that serve the pools now.

        Args:
          with_missing: Count targets whose entries have vanished and that may
            serve all the same.
        """
        pools = self.pools
        found = {
            StreamOrigin.of(view.target)
            for name, view in self.fleet.views.items()
            if view.target.pool in pools
            and (with_missing or name not in self.fleet.missing)
        }
        return frozenset(item for item in found if item.software is not None)

    def changed(self) -> None:
        """Adapt to other targets or pools."""
        serving = self.serving()
        if self.recorded is None:
            if serving:
                self.check_in(self.delay_s)
            return
        if not serving <= self.recorded.origins:
            self.check_in(self.delay_s)
            return
        if not self.unserved_s.keys().isdisjoint(serving):
            self.check_in(RECHECK_S)
        self.note_unserved(self.recorded.origins)
        self.plan_next()

    def store_rewound(self, era: int) -> None:
        """Read the records again, as the store may have lost some."""
        if self.recorded is not None:
            self.check_in(self.delay_s)

    @property
    def delay_s(self) -> float:
        """Delay of a check, in seconds.

        It grows with the number of routers, so that they share the store and
        most of them find that another one has recorded what was missing.
        """
        routers = self.fleet.routers(self.clock.seconds())
        longest_s = max(CHECK_DELAY_S, routers / CHECKS_PER_S)
        return self.random.uniform(0.0, longest_s)

    def check_in(self, delay_s: float) -> None:
        """Check the records after a delay, or before, if that is due."""
        at_s = self.clock.seconds() + delay_s
        if self.timer is not None and self.timer.active():
            if self.due_s <= at_s:
                return
            self.timer.cancel()
        self.due_s = at_s
        self.timer = self.clock.callLater(delay_s, self.start_check)

    def start_check(self) -> None:
        """Check the records without waiting for the outcome."""
        Deferred.fromCoroutine(self.check())

    async def check(self) -> None:
        """Read the records, and correct them."""
        if self.waiting is not None:
            self.waiting.append(Deferred())
            await self.waiting[-1]
            return
        self.waiting = []
        is_done = False
        try:
            is_done = await self.correct()
        finally:
            waiting, self.waiting = self.waiting, None
            if is_done:
                self.plan_next()
            else:
                self.check_in(RETRY_PAUSE_S)
            for item in waiting:
                item.callback(None)

    async def correct(self) -> bool:
        """Read the records, write what they lack; return whether it worked."""
        read = await self.port.read(CALL_TIMEOUT_S)
        if read.is_error():
            self.log.warning(
                "cannot read software versions", detail=read.error.detail
            )
            return False
        found = read.ok
        self.recorded = found
        serving = self.serving()
        added, is_whole = serving - found.origins, found.is_whole
        if not is_whole:
            history = await self.history()
            added |= (history or frozenset()) - found.origins
            is_whole = history is not None
        removed = self.obsolete(found.origins)
        if not added and not removed and is_whole == found.is_whole:
            return True
        written = await self.port.write(
            added, removed, is_whole and not found.is_whole, CALL_TIMEOUT_S
        )
        if written.is_error():
            self.log.warning(
                "cannot record software versions",
                added=len(added),
                detail=written.error.detail,
            )
            return False
        self.recorded = attrs.evolve(
            found,
            origins=(found.origins | added) - removed,
            is_whole=is_whole,
        )
        if removed:
            self.on_forgotten(removed)
        self.log.info(
            "software versions recorded",
            added=names_of(added),
            removed=names_of(removed),
            is_whole=is_whole,
            era=found.era,
        )
        return True

    async def history(self) -> Origins | None:
        """Return the versions that served lately; None if they are not known.

        Versions of long ago may be among them.
        """
        if self.has_followed:
            if not self.freshness.may_deny or self.fleet.is_store_lost:
                return None
            now_s = self.clock.seconds()
            return frozenset(
                StreamOrigin(pool=pool, software=software)
                for pool in self.pools
                for software in self.fleet.software_versions(pool, now_s)
                if software is not None
            )
        answered = await self.port.history(CALL_TIMEOUT_S)
        if answered.is_error():
            self.log.warning(
                "cannot read earlier targets", detail=answered.error.detail
            )
            return None
        if answered.ok is None:
            return None
        pools = self.pools
        return frozenset(item for item in answered.ok if item.pool in pools)

    def note_unserved(self, recorded: Origins) -> None:
        """Note since when recorded versions have had no targets."""
        now_s = self.clock.seconds()
        unserved = recorded - self.serving(with_missing=False)
        for origin in self.unserved_s.keys() - unserved:
            del self.unserved_s[origin]
        for origin in unserved:
            self.unserved_s.setdefault(origin, now_s)

    def obsolete(self, recorded: Origins) -> Origins:
        """Return the recorded versions that may be forgotten."""
        self.note_unserved(recorded)
        if not self.freshness.may_deny or self.fleet.is_store_lost:
            return frozenset()
        now_s = self.clock.seconds()
        return frozenset(
            origin
            for origin, since_s in self.unserved_s.items()
            if now_s - since_s >= FORGET_S
        )

    def plan_next(self) -> None:
        """Check again when records become obsolete, or can be marked."""
        now_s = self.clock.seconds()
        due_s = [since_s + FORGET_S for since_s in self.unserved_s.values()]
        if self.recorded is not None and not self.recorded.is_whole:
            due_s.append(self.started_s + SOFTWARE_MEMORY_S)
        if due_s:
            left_s = max(RETRY_PAUSE_S, min(due_s) - now_s)
            self.check_in(left_s + self.delay_s)


def names_of(origins: Collection[StreamOrigin]) -> list[str]:
    """Return versions for a log line."""
    return sorted(f"{item.pool} {item.software}" for item in origins)
