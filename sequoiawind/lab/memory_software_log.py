"""In-memory topic of software versions, shared by the routers of a run."""

from collections.abc import Collection

import attrs
from expression import Error, Ok, Result

from sequoiawind.record_ports import Appended
from sequoiawind.software_records import Origins, RecordedSoftware
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure, Reason, not_run

UNAVAILABLE = not_run(Reason.LOG_UNAVAILABLE, "refused by the store")


@attrs.define(kw_only=True, eq=False)
class MemorySoftwareLog:
    """Answers at once; implements `software_records.SoftwarePort`."""

    origins: set[StreamOrigin] = attrs.field(factory=set)
    is_whole: bool = False
    era: int = 0
    # All targets' versions that there ever were; None if that is not known.
    past: Origins | None = frozenset()
    is_available: bool = True
    reads: int = 0
    writes: int = 0

    async def read(self, timeout_s: float) -> Result[RecordedSoftware, Failure]:
        """Return the records."""
        self.reads += 1
        if not self.is_available:
            return Error(UNAVAILABLE)
        return Ok(
            RecordedSoftware(
                origins=frozenset(self.origins),
                is_whole=self.is_whole,
                era=self.era,
            )
        )

    async def write(
        self,
        added: Collection[StreamOrigin],
        removed: Collection[StreamOrigin],
        is_whole: bool,
        timeout_s: float,
    ) -> Result[Appended, Failure]:
        """Add and delete records; set the mark with `is_whole`."""
        self.writes += 1
        if not self.is_available:
            return Error(UNAVAILABLE)
        self.origins |= set(added)
        self.origins -= set(removed)
        self.is_whole |= is_whole
        return Ok(Appended(era=self.era))

    async def history(
        self, timeout_s: float
    ) -> Result[Origins | None, Failure]:
        """Return the versions of all targets that there ever were."""
        self.reads += 1
        return Ok(self.past) if self.is_available else Error(UNAVAILABLE)
