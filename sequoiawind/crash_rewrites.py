"""Writes records of crashes again that the store has lost.

The store may return from a copy that lacks what it acknowledged last.  A router
then writes its own records again, and later those of routers that are gone: the
first router that finds them missing writes them.
"""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Final, Protocol

import attrs
import structlog
from twisted.internet.defer import Deferred

from sequoiawind.crash_records import Body, KeptRecords, decode_body
from sequoiawind.ports import Clock
from sequoiawind.record_ports import Appended, KeyedRecord
from sequoiawind.store_era import StoreEra

Logger = structlog.typing.FilteringBoundLogger

# Time after which records of other routers that are still missing are written
# again, in seconds.
SETTLE_S: Final = 2.5
# Delay before a router writes its own records, in seconds: up to the first, or
# more if all routers together would write more often than so often a second.
DELAY_S: Final = 0.1
WRITES_PER_S: Final = 120.0
# Pause before a failed search is repeated, in seconds.
RETRY_PAUSE_S: Final = 0.5


class RecordWriter(Protocol):
    """The registry whose records are written again."""

    @property
    def unwritten(self) -> Collection[str]:
        """Keys of the records that wait to be written."""

    @property
    def routers(self) -> Callable[[], int]:
        """Returns the number of active routers; 0 if unknown."""

    def write(self, key: str, value: bytes | None) -> None:
        """Write a record, as soon as the store takes it."""

    async def read_all(self) -> int | None:
        """Apply all records; return None if that failed."""


@attrs.define(kw_only=True, eq=False)
class CrashRewrites:
    """Keeps the newest records, and writes them again when they are lost."""

    registry: RecordWriter
    era: StoreEra
    clock: Clock
    log: Logger
    random: "random.Random" = attrs.field(factory=random.Random)
    kept: KeptRecords = attrs.field(factory=KeptRecords)
    # Era for which records are written again, or were.
    handled_era: int = 0

    def __attrs_post_init__(self) -> None:
        """Follow the store's era, also while no records are read from it."""
        self.era.listeners.append(self.store_rewound)

    def note_read(self, record: KeyedRecord, body: Body) -> None:
        """Keep a record that was read."""
        self.kept.note(record, body, self.clock.seconds(), is_own=False)

    def note_written(
        self, records: Sequence[KeyedRecord], appended: Appended
    ) -> None:
        """Keep records that this router has written."""
        now_s = self.clock.seconds()
        for number, record in enumerate(records):
            if record.value is None:
                continue
            body = decode_body(record.key, record.value)
            stamp = (appended.era, appended.offset + number)
            written = attrs.evolve(record, stamp=stamp)
            self.kept.note(written, body, now_s, is_own=True)
        if appended.era < self.era.number:
            self.write_lost(own_only=True)

    def forget(self, key: str) -> None:
        """Forget a record that was deleted."""
        self.kept.records.pop(key, None)

    def store_rewound(self, era: int) -> None:
        """Write again what the store may have lost."""
        if era <= self.handled_era:
            return
        self.handled_era = era
        self.log.warning("store rewound", topic="crashes", era=era)
        longest_s = max(DELAY_S, self.registry.routers() / WRITES_PER_S)
        delay_s = self.random.uniform(0.0, longest_s)
        self.clock.callLater(delay_s, self.write_lost, True)
        self.clock.callLater(SETTLE_S + delay_s, self.start_search)

    def start_search(self) -> None:
        """Find out which records are missing, unless none can be."""
        if self.kept.lost(self.era.number, self.clock.seconds(), False):
            Deferred.fromCoroutine(self.search())

    async def search(self) -> None:
        """Read all records; write again those that are missing."""
        if await self.registry.read_all() is None:
            self.clock.callLater(RETRY_PAUSE_S, self.start_search)
        else:
            self.write_lost(own_only=False)

    def write_lost(self, own_only: bool) -> None:
        """Write records again that the store may have lost.

        Args:
          own_only: Only those that this router has written.
        """
        now_s = self.clock.seconds()
        lost = self.kept.lost(self.era.number, now_s, own_only)
        for key, item in lost.items():
            # A value that waits to be written is newer.
            if key not in self.registry.unwritten:
                self.registry.write(key, item.again())
        if lost:
            self.log.info(
                "crash records written again",
                records=len(lost),
                own_only=own_only,
                era=self.era.number,
            )
