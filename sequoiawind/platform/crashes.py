"""The topic of crash records, one of our own in the platform's store."""

from collections.abc import Sequence

import attrs
from expression import Result

from sequoiawind.platform import names
from sequoiawind.platform.store import StoreClient
from sequoiawind.platform.store_pages import encode_record
from sequoiawind.record_ports import (
    Appended,
    KeyedPage,
    KeyedRecord,
    ReadFailure,
)
from sequoiawind.verdict import Failure


@attrs.define(kw_only=True)
class CrashLog:
    """Reads and writes records; implements `crash_registry.CrashPort`."""

    store: StoreClient

    async def newest(
        self, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the newest record of each key that follows a given key."""
        return await self.store.newest(names.CRASHES_TOPIC, after, timeout_s)

    async def write(
        self,
        records: Sequence[KeyedRecord],
        timeout_s: float,
        at: int | None = None,
    ) -> Result[Appended, Failure]:
        """Append records; those without a value delete their keys."""
        return await self.store.append(
            names.CRASHES_TOPIC,
            [encode_record(record) for record in records],
            timeout_s,
            at,
        )
