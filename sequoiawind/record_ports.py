"""Interface to a store of keyed records, of which the newest are kept."""

from typing import Protocol

import attrs
from expression import Result

from sequoiawind.verdict import Failure


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record; without a value its key is dropped."""

    key: str
    value: bytes | None


@attrs.frozen(kw_only=True)
class KeyedPage:
    """Consecutive records, or the newest of some keys."""

    records: list[KeyedRecord]
    # Offset from which to read on.
    end: int
    has_more: bool = False


@attrs.frozen(kw_only=True)
class RecordsLost:
    """The records asked for have been deleted; only the newest are left."""


ReadFailure = Failure | RecordsLost


class RecordPort(Protocol):
    """Reads keyed records."""

    async def newest(
        self, topic: str, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the newest record of each key behind a key."""

    async def read(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the records from an offset on, waiting for a first one."""
