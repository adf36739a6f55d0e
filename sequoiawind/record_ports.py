"""Interface to a store of keyed records that keeps the newest of each key."""

from typing import Protocol

import attrs
from expression import Result

from sequoiawind.verdict import Failure


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record; one without a value deletes its key."""

    key: str
    value: bytes | None
    # The store's era and the record's offset in it; later records of a key have
    # greater stamps.
    stamp: tuple[int, int] = (0, 0)


@attrs.frozen(kw_only=True)
class KeyedPage:
    """Consecutive records, or the newest records of some keys."""

    records: list[KeyedRecord]
    # Offset of the next read.
    end: int
    has_more: bool = False
    # Rises when the store returns from a copy: records written shortly before
    # are lost, and offsets are given out again.
    era: int = 0


@attrs.frozen(kw_only=True)
class RecordsLost:
    """The requested records have been deleted; only the newest are left."""

    era: int = 0
    # Offset of the first record that is left; 0 if the store does not state it.
    first: int = 0


@attrs.frozen(kw_only=True)
class Appended:
    """Where records were appended."""

    era: int = 0
    # Offset of the first of them.
    offset: int = 0


ReadFailure = Failure | RecordsLost


class RecordPort(Protocol):
    """Reads keyed records."""

    async def newest(
        self, topic: str, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the newest record of each key that follows a given key.

        Args:
          topic: The topic.
          after: The key; empty to begin with the first one.
          timeout_s: Time allowed for the response, in seconds.
        """

    async def read(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the records from an offset on.

        Args:
          topic: The topic.
          start: The offset.
          wait_s: How long the store may wait for a record if there is none
            yet, in seconds.
          timeout_s: Time allowed for the response, in seconds.
        """
