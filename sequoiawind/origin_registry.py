"""Which software version began a stream, as all routers know it together.

A caller may take a broken stream up again at any router, and names the request
that began it.  While one version serves a pool there is nothing to ask.  While
there are several, each router records the streams that it has begun in a log,
and a router that is asked to continue a stream that it does not know looks it
up there.  A stream whose origin cannot be found out is refused as not run.
What a router has recorded it records again when the log has returned from a
copy, which may lack it.

A router that has just started does not know whether there is, and was, only one
version; `software_records` tells it.
"""

from collections import OrderedDict
from collections.abc import Collection, Sequence
from typing import Final, Protocol

import attrs
import structlog
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from sequoiawind import messages, timing
from sequoiawind.fleet import Fleet
from sequoiawind.freshness import Freshness
from sequoiawind.ports import Clock, Timer
from sequoiawind.record_ports import Appended, RecordsLost
from sequoiawind.software_memory import SOFTWARE_MEMORY_S
from sequoiawind.software_records import SoftwareRecords
from sequoiawind.store_era import StoreEra
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure, Reason, not_run

Logger = structlog.typing.FilteringBoundLogger

# Least delay after which the streams begun meanwhile are recorded in one call,
# in seconds. Streams that end within it need no record.
RECORD_DELAY_S: Final = 0.15
# Calls by which all routers together record streams, per second: a tenth of the
# writing calls that a store of a large fleet takes.
RECORD_CALLS_PER_S: Final = 120.0
# Pause before a failed call is repeated, in seconds.
RETRY_PAUSE_S: Final = 0.5
# Streams that one call records at most.
MAX_RECORDS: Final = 1_000
# Origins that are kept at most, of streams begun here and of those read.
MAX_ORIGINS: Final = 20_000
# How long a caller waits for the record of its stream, in seconds: the delay of
# recording and some round trips to the log.
LOOKUP_S: Final = 0.4
# Pause between two reads of a lookup, in seconds.
READ_PAUSE_S: Final = 0.05
# Time allowed for an answer of the log, beyond the time for which it may wait
# for records, in seconds.
APPEND_TIMEOUT_S: Final = 1.0
READ_TIMEOUT_S: Final = 0.4
# Reads after which a lookup gives up, should the log's answers contradict each
# other.
MAX_RESTARTS: Final = 5
# Era of a stream that the log does not have.
NOT_RECORDED: Final = -1
# Retry-after of a stream whose origin is not known, in seconds.
UNKNOWN_RETRY_AFTER_S: Final = 0.4


@attrs.frozen(kw_only=True)
class OriginRecord:
    """The origin of the stream that a request began."""

    request_id: str
    origin: StreamOrigin


@attrs.frozen(kw_only=True)
class ForgottenOrigin:
    """No caller resumes a stream any more that an earlier record names."""

    origin: StreamOrigin


@attrs.frozen(kw_only=True)
class OriginPage:
    """Consecutive records of the log."""

    records: Sequence[OriginRecord | ForgottenOrigin]
    # Offset of the next read.
    end: int
    has_more: bool
    # Rises when the log returns from a copy, which gives offsets out again.
    era: int = 0


class OriginPort(Protocol):
    """The log in which routers record origins."""

    async def append(
        self,
        records: Sequence[OriginRecord | ForgottenOrigin],
        timeout_s: float,
    ) -> Result[Appended, Failure]:
        """Append records."""

    async def read(
        self, start: int, wait_s: float, timeout_s: float
    ) -> Result[OriginPage, Failure | RecordsLost]:
        """Return the records from an offset on.

        If there are none yet, the log waits up to `wait_s` seconds for one.
        """


@attrs.define(kw_only=True)
class BegunStream:
    """A stream that this router has begun and not completed."""

    origin: StreamOrigin
    # When this router ended its answer, in seconds of the clock.
    ended_s: float = float("inf")
    # Era of the log in which it was recorded.
    recorded_era: int = NOT_RECORDED


@attrs.define(kw_only=True, eq=False)
class OriginRegistry:
    """The origins that one router knows, and its access to those of others."""

    port: OriginPort
    software: SoftwareRecords
    # Era of the log as it is known by any way; that of what was read is `era`.
    log_era: StoreEra = attrs.field(factory=StoreEra)
    fleet: Fleet
    freshness: Freshness
    clock: Clock
    log: Logger
    # Open streams by request id, the oldest first, and those that ended before
    # their end, in that order.
    begun: OrderedDict[str, BegunStream] = attrs.field(factory=OrderedDict)
    ended: OrderedDict[str, BegunStream] = attrs.field(factory=OrderedDict)
    # What was read from the log, by request id, the oldest first.
    found: OrderedDict[str, StreamOrigin] = attrs.field(factory=OrderedDict)
    # When records of an origin were read last, in seconds of the clock.
    read_s: dict[StreamOrigin, float] = attrs.field(factory=dict)
    next_offset: int = 0
    era: int = 0
    timer: Timer | None = None
    # Pools of which several versions were known last.
    mixed_pools: frozenset[str] = frozenset()
    # Whether the process stops, so that it will end the streams that are open.
    is_stopping: bool = False
    # Streams that the stopping process has ended and not recorded yet.
    unrecorded: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Follow the era of the log, and the versions that are forgotten."""
        self.log_era.listeners.append(self.log_rewound)
        self.software.on_forgotten = lambda origins: Deferred.fromCoroutine(
            self.forget(origins)
        )

    # Streams of this router.

    def targets_changed(self) -> None:
        """Adapt to targets of other versions, or to other pools.

        The open streams of a pool that gets a second version are recorded:
        their callers may resume them at routers that do not know them.
        """
        self.software.changed()
        mixed = frozenset(filter(self.is_mixed, self.software.pools))
        if mixed - self.mixed_pools and self.begun:
            self.record_in(self.record_delay_s)
        self.mixed_pools = mixed

    def began(self, request_id: str, origin: StreamOrigin) -> None:
        """Note the origin of a stream that begins here."""
        self.ended.pop(request_id, None)
        self.begun[request_id] = BegunStream(origin=origin)
        while len(self.begun) > MAX_ORIGINS:
            self.begun.popitem(last=False)
        if self.is_to_record(origin.pool):
            self.record_in(self.record_delay_s)

    def is_to_record(self, pool: str) -> bool:
        """Whether the streams of a pool may need records."""
        return self.is_stopping or self.is_mixed(pool)

    @property
    def record_delay_s(self) -> float:
        """Delay after which streams are recorded, in seconds.

        It grows with the number of routers, so that they share the store.
        """
        routers = self.fleet.routers(self.clock.seconds())
        return max(RECORD_DELAY_S, routers / RECORD_CALLS_PER_S)

    def finished(self, request_id: str, is_whole: bool) -> None:
        """Note that an answer has ended.

        Args:
          request_id: The request that began the stream.
          is_whole: Whether the caller has got it to its end; otherwise it may
            resume it.
        """
        stream = self.begun.pop(request_id, None)
        if stream is None or is_whole:
            return
        now_s = self.clock.seconds()
        stream.ended_s = now_s
        self.ended[request_id] = stream
        while self.ended and (
            len(self.ended) > MAX_ORIGINS
            or next(iter(self.ended.values())).ended_s
            < now_s - SOFTWARE_MEMORY_S
        ):
            self.ended.popitem(last=False)

    def broken(self, request_id: str) -> None:
        """Record a stream that this router breaks off, as it may be resumed.

        That it was recorded before does not tell that the log still has it.
        """
        stream = self.begun.get(request_id)
        if stream is None or not self.is_to_record(stream.origin.pool):
            return
        is_urgent = self.is_stopping or not self.is_recorded(stream)
        stream.recorded_era = NOT_RECORDED
        if self.is_stopping:
            self.unrecorded.add(request_id)
        self.record_in(0.0 if is_urgent else self.record_delay_s)

    def is_recorded(self, stream: BegunStream) -> bool:
        """Whether the log has a stream, as far as its era is known."""
        return stream.recorded_era >= self.log_era.number

    def log_rewound(self, era: int) -> None:
        """Record streams again, as the log may have lost them."""
        streams = [
            stream
            for stream in (*self.begun.values(), *self.ended.values())
            if stream.recorded_era != NOT_RECORDED
        ]
        if not streams:
            return
        self.log.warning("stream origins lost", era=era, streams=len(streams))
        self.record_in(self.software.random.uniform(0.0, self.record_delay_s))

    def stop(self) -> None:
        """Record the open streams, which the process may soon break off."""
        self.is_stopping = True
        if self.begun:
            self.record_in(0.0)

    @property
    def is_idle(self) -> bool:
        """Whether a stopping process has recorded the streams that it ended."""
        return not self.unrecorded

    def is_mixed(self, pool: str) -> bool:
        """Whether targets of several versions serve a pool, or did lately."""
        now_s = self.clock.seconds()
        return len(self.fleet.software_versions(pool, now_s)) > 1

    def record_in(self, delay_s: float) -> None:
        """Record the open streams after a delay, or before, if that is due."""
        if self.timer is not None and self.timer.active():
            if delay_s > 0.0:
                return
            self.timer.cancel()
        self.timer = self.clock.callLater(delay_s, self.record)

    def record(self) -> None:
        """Record the streams that may need it and are not recorded."""
        is_wanted: dict[str, bool] = {}
        batch: list[OriginRecord] = []
        for request_id, stream in (*self.begun.items(), *self.ended.items()):
            pool = stream.origin.pool
            if pool not in is_wanted:
                is_wanted[pool] = self.is_to_record(pool)
            if is_wanted[pool] and not self.is_recorded(stream):
                stream.recorded_era = self.log_era.number
                batch.append(
                    OriginRecord(request_id=request_id, origin=stream.origin)
                )
            if len(batch) >= MAX_RECORDS:
                self.record_in(self.record_delay_s)
                break
        if batch:
            Deferred.fromCoroutine(self.append(batch))

    async def append(self, batch: Sequence[OriginRecord]) -> None:
        """Append records; if that fails, they are appended again later."""
        answered = await self.port.append(batch, APPEND_TIMEOUT_S)
        era = answered.ok.era if answered.is_ok() else NOT_RECORDED
        for record in batch:
            name = record.request_id
            stream = self.begun.get(name) or self.ended.get(name)
            if stream is not None:
                stream.recorded_era = era
            if answered.is_ok():
                self.unrecorded.discard(name)
        if answered.is_ok():
            if era < self.log_era.number:
                self.record_in(self.record_delay_s)
            return
        self.log.warning(
            "cannot record stream origins",
            streams=len(batch),
            detail=answered.error.detail,
        )
        self.record_in(RETRY_PAUSE_S)

    async def forget(self, origins: Collection[StreamOrigin]) -> None:
        """Record that no stream of some versions is resumed any more.

        Without that, earlier records of them count for routers that start.
        """
        forgotten = [ForgottenOrigin(origin=item) for item in origins]
        answered = await self.port.append(forgotten, APPEND_TIMEOUT_S)
        if answered.is_error():
            self.log.warning(
                "cannot record forgotten versions",
                detail=answered.error.detail,
            )

    # Streams that callers resume.

    def known(self, request_id: str, pool: str) -> StreamOrigin | None:
        """Return a stream's origin if that needs no lookup.

        Args:
          request_id: The request that began the stream; empty if not named.
          pool: The pool to which its caller would be sent now.
        """
        stream = self.begun.get(request_id) or self.ended.get(request_id)
        if stream is not None:
            return stream.origin
        if request_id in self.found:
            return self.found[request_id]
        if not self.software.has_followed:
            return None
        return self.only_origin(pool, frozenset())

    async def proven(self, pool: str) -> StreamOrigin | None:
        """Return the only origin that a recent stream of a pool can have.

        A router that has just started asks the store which versions served
        before.  None if there were several, or if that is not known.
        """
        if self.software.has_followed:
            return self.only_origin(pool, self.recorded(pool))
        if self.software.versions(pool) is None:
            await self.software.check()
        earlier = self.software.versions(pool)
        if earlier is None:
            return None
        return self.only_origin(pool, self.recorded(pool) | earlier)

    def only_origin(
        self, pool: str, recorded: frozenset[str | None]
    ) -> StreamOrigin | None:
        """Return the only origin that a recent stream of a pool can have.

        Args:
          pool: The pool.
          recorded: Further versions that may have begun streams; None is an
            unknown one.

        Returns:
          The origin; None if there are several, or if targets may have come of
          which this router does not know.
        """
        now_s = self.clock.seconds()
        versions = self.fleet.software_versions(pool, now_s) | recorded
        if len(versions) != 1 or not self.freshness.may_deny:
            return None
        (software,) = versions
        return StreamOrigin(pool=pool, software=software)

    def recorded(self, pool: str) -> frozenset[str | None]:
        """Return the versions that began a pool's streams, as read lately."""
        since_s = self.clock.seconds() - SOFTWARE_MEMORY_S
        return frozenset(
            origin.software
            for origin, read_s in self.read_s.items()
            if origin.pool == pool and read_s >= since_s
        )

    async def find(
        self, request_id: str, pool: str
    ) -> Result[StreamOrigin, Failure]:
        """Look a stream's origin up in the log.

        Args:
          request_id: The request that began the stream; empty if not named.
          pool: The pool to which its caller would be sent now.

        Returns:
          The origin, or a refusal if it cannot be found out in time.
        """
        ends_s = self.clock.seconds() + LOOKUP_S
        wait_s = 0.0
        while True:
            has_read = await self.read(wait_s)
            if request_id in self.found:
                return Ok(self.found[request_id])
            if has_read:
                origin = await self.proven(pool)
                if origin is not None:
                    return Ok(origin)
            wait_s = ends_s - self.clock.seconds() - READ_PAUSE_S
            if wait_s <= 0.0 or not request_id:
                break
            await timing.sleep(self.clock, READ_PAUSE_S)
        return Error(
            not_run(
                Reason.ORIGIN_UNKNOWN,
                messages.ORIGIN_UNKNOWN,
                UNKNOWN_RETRY_AFTER_S,
            )
        )

    async def read(self, wait_s: float) -> bool:
        """Read what the log has; return whether all of it was read."""
        restarts = 0
        while restarts < MAX_RESTARTS:
            start = self.next_offset
            answered = await self.port.read(
                start, wait_s, wait_s + READ_TIMEOUT_S
            )
            if answered.is_error():
                lost = answered.error
                if not isinstance(lost, RecordsLost):
                    self.log.warning(
                        "cannot read stream origins",
                        offset=start,
                        detail=lost.detail,
                    )
                    return False
                restarts += 1
                if lost.era >= self.era:
                    self.restart(lost.era, lost.first)
                continue
            page = answered.ok
            if page.era != self.era:
                # An answer of an earlier era may have been under way.
                restarts += 1
                if page.era > self.era:
                    self.restart(page.era, 0)
                if page.era < self.era or start:
                    continue
            self.add(page)
            if not page.has_more:
                return True
            wait_s = 0.0
        self.log.warning(
            "cannot read stream origins",
            offset=self.next_offset,
            detail="the log has no records there",
        )
        return False

    def restart(self, era: int, offset: int) -> None:
        """Continue to read at an offset of an era of the log."""
        self.log.info(
            "stream origins read anew",
            era=era,
            known_era=self.era,
            offset=offset,
            known_offset=self.next_offset,
        )
        self.era = era
        self.next_offset = offset

    def add(self, page: OriginPage) -> None:
        """Add the records of a page."""
        now_s = self.clock.seconds()
        for record in page.records:
            if isinstance(record, ForgottenOrigin):
                self.read_s.pop(record.origin, None)
                continue
            self.found[record.request_id] = record.origin
            self.read_s[record.origin] = now_s
        while len(self.found) > MAX_ORIGINS:
            self.found.popitem(last=False)
        self.next_offset = max(self.next_offset, page.end)
