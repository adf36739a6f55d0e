"""In-memory topic of crash records, shared by the routers of a run."""

from collections.abc import Sequence
from typing import Final

import attrs
from expression import Error, Ok, Result

from sequoiawind.record_ports import (
    Appended,
    KeyedPage,
    KeyedRecord,
    ReadFailure,
)
from sequoiawind.verdict import Failure, Reason, not_run

UNAVAILABLE: Final = not_run(Reason.LOG_UNAVAILABLE, "refused by the log")


@attrs.define(kw_only=True, eq=False)
class MemoryCrashLog:
    """Answers at once; implements `crash_registry.CrashPort`."""

    records: list[KeyedRecord] = attrs.field(factory=list)
    # The era; rises when the log returns from a copy.
    era: int = 0
    is_available: bool = True

    async def newest(
        self, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the newest record of each key."""
        if not self.is_available:
            return Error(UNAVAILABLE)
        newest = {record.key: record for record in self.records}
        kept = [
            attrs.evolve(item, stamp=(self.era, item.stamp[1]))
            for item in newest.values()
            if item.value is not None
        ]
        return Ok(KeyedPage(records=kept, end=len(self.records), era=self.era))

    async def write(
        self,
        records: Sequence[KeyedRecord],
        timeout_s: float,
        at: int | None = None,
    ) -> Result[Appended, Failure]:
        """Append records, unless they are to be at another offset."""
        if not self.is_available or at not in (None, len(self.records)):
            return Error(UNAVAILABLE)
        offset = len(self.records)
        for record in records:
            stamp = (self.era, len(self.records))
            self.records.append(attrs.evolve(record, stamp=stamp))
        return Ok(Appended(era=self.era, offset=offset))
