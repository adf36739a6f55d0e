"""Follows the records of one topic of the store.

The follower reads the newest record of each key and then waits for later
records.  After a failure, or if the records to read next have been deleted, it
reads the newest ones again.  This never reverts a reader to an older state,
because readers keep the greatest version.

The store may return from a copy that is some seconds old, which it shows by a
greater era.  Offsets mean nothing then, so the newest records are read again;
what the copy lacks is written again soon, and until then the records prove
nothing about what is current.

While another process provides the records, the follower does not read.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import attrs
import structlog
from expression import Result

from sequoiawind import supervise, timing
from sequoiawind.feed_cover import FeedCover
from sequoiawind.ports import Clock
from sequoiawind.record_ports import (
    KeyedPage,
    KeyedRecord,
    ReadFailure,
    RecordPort,
    RecordsLost,
)

Logger = structlog.typing.FilteringBoundLogger

# Pause after a failed read, in seconds, and its jitter as a share of the pause;
# the jitter keeps the processes from all retrying at the same time.
RETRY_PAUSE_S: Final = 0.25
RETRY_JITTER: Final = 0.4
# Time allowed for a response, in seconds, in addition to the wait.
RESPONSE_MARGIN_S: Final = 0.8
# Time after which everything that a copy of the store lacked is written again,
# in seconds.
ERA_SETTLE_S: Final = 2.0


class RecordReader(Protocol):
    """Receives the records of a topic."""

    def replaced(self, records: Sequence[KeyedRecord]) -> None:
        """Called with the newest record of each key; other keys are deleted."""

    def changed(self, record: KeyedRecord) -> None:
        """Called with a newly written record."""

    def confirmed(self, request_time_s: float) -> None:
        """Called when all records written up to a time have been received.

        Args:
          request_time_s: The time, in seconds of `RecordFollower.age_clock`.
        """

    def store_lost(self, detail: str) -> None:
        """Called when the store stops answering."""

    def store_back(self) -> None:
        """Called when the store answers again."""

    def store_rewound(self, era: int) -> None:
        """Called when the store has returned from an older copy."""


@attrs.define(kw_only=True)
class RecordFollower:
    """Controller that passes the records of a topic to one reader."""

    topic: str
    port: RecordPort
    reader: RecordReader
    clock: Clock
    random: random.Random
    # How long the store may wait for a new record, in seconds (long poll).
    wait_s: float
    # The clock of `RecordReader.confirmed`.
    age_clock: Callable[[], float]
    log: Logger
    # Returns the pause after new records, in seconds, so that one response
    # carries more.
    read_pause_s: Callable[[], float] = attrs.field(default=lambda: 0.0)
    # Offset of the next read; None if the newest records must be read first.
    offset: int | None = None
    is_store_lost: bool = False
    # The store's era, and when it was last seen to rise, in seconds of the
    # clock; None before the first answer.
    era: int | None = None
    era_began_s: float = float("-inf")
    # While it is given, another process provides the records.
    cover: FeedCover | None = None

    async def run(self) -> None:
        """Follow the records until the process ends."""
        await supervise.repeat(self.follow, self.topic, self.clock, self.log)

    async def follow(self) -> bool:
        """Do one step; always returns True, so that the steps never end."""
        await self.step()
        return True

    async def step(self) -> None:
        """Read from the store once; pause after a failure or new records."""
        if self.cover is not None and self.cover.is_given():
            await self.rest(self.cover)
            return
        request_time_s = self.age_clock()
        if self.offset is None:
            result = await self.read_newest()
        else:
            result = await self.port.read(
                self.topic,
                self.offset,
                self.wait_s,
                self.wait_s + RESPONSE_MARGIN_S,
            )
        if result.is_error():
            await self.failed(result.error)
            return
        if self.is_store_lost:
            self.is_store_lost = False
            self.reader.store_back()
        if self.has_new_era(result.ok.era) and self.offset is not None:
            self.offset = None
            return
        self.deliver(result.ok)
        if not result.ok.has_more and self.is_era_settled:
            self.reader.confirmed(request_time_s)
        pause_s = self.read_pause_s() if result.ok.records else 0.0
        if pause_s:
            await timing.sleep(self.clock, pause_s)

    async def rest(self, cover: FeedCover) -> None:
        """Pause while another process provides the records.

        The jitter after it keeps the processes from all reading at once.
        """
        self.offset = None
        if self.is_store_lost:
            self.is_store_lost = False
            self.reader.store_back()
        self.log.info("store reads paused", topic=self.topic)
        await cover.wait_until_lost()
        self.log.info("store reads resumed", topic=self.topic)
        await timing.sleep(self.clock, self.random.uniform(0.0, RETRY_PAUSE_S))

    def has_new_era(self, era: int) -> bool:
        """Record the store's era; return whether it has risen."""
        known, self.era = self.era, max(era, self.era or 0)
        if known is None or era <= known:
            return False
        self.era_began_s = self.clock.seconds()
        self.reader.store_rewound(era)
        return True

    @property
    def is_era_settled(self) -> bool:
        """Whether the records lost with the last era are there again."""
        return self.clock.seconds() - self.era_began_s >= ERA_SETTLE_S

    async def read_newest(self) -> Result[KeyedPage, ReadFailure]:
        """Return the newest records of all keys as one page."""
        records: list[KeyedRecord] = []
        end: int | None = None
        after = ""
        while True:
            result = await self.port.newest(
                self.topic, after, RESPONSE_MARGIN_S
            )
            if result.is_error():
                return result
            page = result.ok
            records += page.records
            # Reading on from the end of the first page also yields changes made
            # while the others were read.
            end = page.end if end is None else end
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        return Result.Ok(KeyedPage(records=records, end=end, era=page.era))

    def deliver(self, page: KeyedPage) -> None:
        """Pass the records of a page to the reader."""
        if self.offset is None:
            self.reader.replaced(page.records)
        else:
            for record in page.records:
                self.reader.changed(record)
        self.offset = page.end

    async def failed(self, failure: ReadFailure) -> None:
        """Read the newest records next; pause first if the store failed."""
        self.offset = None
        if isinstance(failure, RecordsLost):
            self.has_new_era(failure.era)
            return
        if not self.is_store_lost:
            self.is_store_lost = True
            self.reader.store_lost(failure.detail)
        pause_s = timing.jittered(RETRY_PAUSE_S, RETRY_JITTER, self.random)
        await timing.sleep(self.clock, pause_s)
