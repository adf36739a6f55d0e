"""Following the records of one topic of the store.

Reads the newest record of each key, then waits for what follows.  Whenever
that fails or the history is gone, it reads the newest again; what it hands on
never goes back to an older state, since the readers of the records keep the
greatest version.
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

# Pause before the store is asked again after a failure, in seconds, and how
# far it is spread so that the processes do not ask at once.
RETRY_PAUSE_S: Final = 0.25
RETRY_JITTER: Final = 0.4
# Time allowed for an answer beyond the time that the store was asked to wait.
ANSWER_S: Final = 0.8


class RecordReader(Protocol):
    """Takes in the records of a topic."""

    def replaced(self, records: Sequence[KeyedRecord]) -> None:
        """These are the newest records; keys that they lack are dropped."""

    def changed(self, record: KeyedRecord) -> None:
        """A record has been written."""

    def confirmed(self, asked_s: float) -> None:
        """All records up to a time are in; seconds of `age_clock`."""

    def store_lost(self, detail: str) -> None:
        """The store does not answer."""

    def store_back(self) -> None:
        """The store answers again."""


@attrs.define(kw_only=True)
class RecordFollower:
    """The controller that keeps one reader up to date."""

    topic: str
    port: RecordPort
    reader: RecordReader
    clock: Clock
    random: random.Random
    # For how long the store is asked to wait for a change, in seconds.
    wait_s: float
    # The clock of `RecordReader.confirmed`.
    age_clock: Callable[[], float]
    log: Logger
    # Pause after a change, in seconds, so that one answer carries several.
    pace_s: float = 0.0
    # Offset from which to read; None while the newest have to be read first.
    offset: int | None = None
    is_away: bool = False

    async def run(self) -> None:
        """Follow the records until the process ends."""
        await supervise.repeat(self.follow, self.topic, self.clock, self.log)

    async def follow(self) -> bool:
        """Take a step; a follower goes on for ever."""
        await self.step()
        return True

    async def step(self) -> None:
        """Ask the store once, and pause if it did not answer."""
        asked_s = self.age_clock()
        if self.offset is None:
            answered = await self.read_newest()
        else:
            answered = await self.port.read(
                self.topic, self.offset, self.wait_s, self.wait_s + ANSWER_S
            )
        if answered.is_error():
            await self.failed(answered.error)
            return
        if self.is_away:
            self.is_away = False
            self.reader.store_back()
        self.take(answered.ok)
        if not answered.ok.has_more:
            self.reader.confirmed(asked_s)
        if answered.ok.records and self.pace_s:
            await timing.sleep(self.clock, self.pace_s)

    async def read_newest(self) -> Result[KeyedPage, ReadFailure]:
        """Return the newest records of all keys as one page."""
        records: list[KeyedRecord] = []
        end: int | None = None
        after = ""
        while True:
            answered = await self.port.newest(self.topic, after, ANSWER_S)
            if answered.is_error():
                return answered
            page = answered.ok
            records += page.records
            # What changes while the pages are read comes after the first.
            end = page.end if end is None else end
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        return Result.Ok(KeyedPage(records=records, end=end))

    def take(self, page: KeyedPage) -> None:
        """Hand a page's records on."""
        if self.offset is None:
            self.reader.replaced(page.records)
        else:
            for record in page.records:
                self.reader.changed(record)
        self.offset = page.end

    async def failed(self, failure: ReadFailure) -> None:
        """Begin anew after a failure."""
        self.offset = None
        if isinstance(failure, RecordsLost):
            return
        if not self.is_away:
            self.is_away = True
            self.reader.store_lost(failure.detail)
        pause_s = timing.jittered(RETRY_PAUSE_S, RETRY_JITTER, self.random)
        await timing.sleep(self.clock, pause_s)
