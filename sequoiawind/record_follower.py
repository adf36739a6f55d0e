"""Follows the records of one topic of the store.

The follower reads the newest record of each key and then waits for later
records.  After a failure, or if the records to read next have been deleted, it
reads the newest ones again.  This never reverts a reader to an older state,
because readers keep the greatest version.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import attrs
import structlog
from expression import Result

from sequoiawind import supervise, timing
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
    # Pause after new records, in seconds, so that one response carries more.
    read_pause_s: float = 0.0
    # Offset of the next read; None if the newest records must be read first.
    offset: int | None = None
    is_store_lost: bool = False

    async def run(self) -> None:
        """Follow the records until the process ends."""
        await supervise.repeat(self.follow, self.topic, self.clock, self.log)

    async def follow(self) -> bool:
        """Do one step; always returns True, so that the steps never end."""
        await self.step()
        return True

    async def step(self) -> None:
        """Read from the store once; pause after a failure or new records."""
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
        self.deliver(result.ok)
        if not result.ok.has_more:
            self.reader.confirmed(request_time_s)
        if result.ok.records and self.read_pause_s:
            await timing.sleep(self.clock, self.read_pause_s)

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
        return Result.Ok(KeyedPage(records=records, end=end))

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
            return
        if not self.is_store_lost:
            self.is_store_lost = True
            self.reader.store_lost(failure.detail)
        pause_s = timing.jittered(RETRY_PAUSE_S, RETRY_JITTER, self.random)
        await timing.sleep(self.clock, pause_s)
