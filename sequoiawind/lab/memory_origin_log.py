"""In-memory log of stream origins, shared by the routers of a run."""

from collections.abc import Sequence

import attrs
from expression import Error, Ok, Result

from sequoiawind.origin_registry import (
    ForgottenOrigin,
    OriginPage,
    OriginRecord,
)
from sequoiawind.record_ports import Appended, RecordsLost
from sequoiawind.verdict import Failure, Reason, not_run

UNAVAILABLE = not_run(Reason.LOG_UNAVAILABLE, "refused by the log")


@attrs.define(kw_only=True, eq=False)
class MemoryOriginLog:
    """Answers at once; implements `origin_registry.OriginPort`."""

    records: list[OriginRecord | ForgottenOrigin] = attrs.field(factory=list)
    # Offset of the first record that is left, and the era.
    first: int = 0
    era: int = 0
    is_available: bool = True
    reads: int = 0
    appends: int = 0

    async def append(
        self,
        records: Sequence[OriginRecord | ForgottenOrigin],
        timeout_s: float,
    ) -> Result[Appended, Failure]:
        """Append records."""
        self.appends += 1
        if not self.is_available:
            return Error(UNAVAILABLE)
        self.records += records
        return Ok(Appended(era=self.era))

    async def read(
        self, start: int, wait_s: float, timeout_s: float
    ) -> Result[OriginPage, Failure | RecordsLost]:
        """Return the records from an offset on, without waiting for any."""
        self.reads += 1
        if not self.is_available:
            return Error(UNAVAILABLE)
        if not self.first <= start <= self.first + len(self.records):
            return Error(RecordsLost(era=self.era, first=self.first))
        records = self.records[start - self.first :]
        return Ok(
            OriginPage(
                records=records,
                end=start + len(records),
                has_more=False,
                era=self.era,
            )
        )
