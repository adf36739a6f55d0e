"""The topic of software versions, one of our own in the platform's store."""

from collections.abc import Collection
from typing import Final

import attrs
import msgspec
from expression import Error, Ok, Result
from xxhash import xxh3_128_hexdigest

from sequoiawind import wire
from sequoiawind.platform import names
from sequoiawind.platform.store import StoreClient
from sequoiawind.platform.store_pages import encode_record
from sequoiawind.platform.targets import decode_target
from sequoiawind.record_ports import Appended, KeyedRecord, RecordsLost
from sequoiawind.software_records import Origins, RecordedSoftware
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure, Reason, may_have_run

# Key of the mark that the records were kept from the beginning.
WHOLE_KEY: Final = "whole"


class SoftwareBody(msgspec.Struct):
    """A version that serves a pool, or did lately."""

    pool: str
    software: str


@attrs.define(kw_only=True)
class SoftwareLog:
    """Reads and writes records; implements `software_records.SoftwarePort`."""

    store: StoreClient

    async def read(self, timeout_s: float) -> Result[RecordedSoftware, Failure]:
        """Return the records."""
        origins: set[StreamOrigin] = set()
        is_whole, after = False, ""
        while True:
            answered = await self.store.newest(
                names.SOFTWARE_TOPIC, after, timeout_s
            )
            if answered.is_error():
                return Error(failure_of(answered.error))
            page = answered.ok
            for record in page.records:
                is_whole |= record.key == WHOLE_KEY
                origins |= decode_origin(record)
            if not page.has_more or not page.records:
                return Ok(
                    RecordedSoftware(
                        origins=frozenset(origins),
                        is_whole=is_whole,
                        era=page.era,
                    )
                )
            after = page.records[-1].key

    async def write(
        self,
        added: Collection[StreamOrigin],
        removed: Collection[StreamOrigin],
        is_whole: bool,
        timeout_s: float,
    ) -> Result[Appended, Failure]:
        """Add and delete records; set the mark with `is_whole`."""
        records = [
            KeyedRecord(
                key=key_of(origin),
                value=msgspec.json.encode(
                    SoftwareBody(
                        pool=origin.pool, software=origin.software or ""
                    )
                ),
            )
            for origin in added
        ]
        records += [
            KeyedRecord(key=key_of(origin), value=None) for origin in removed
        ]
        if is_whole:
            records.append(KeyedRecord(key=WHOLE_KEY, value=b"{}"))
        return await self.store.append(
            names.SOFTWARE_TOPIC,
            [encode_record(record) for record in records],
            timeout_s,
        )

    async def history(
        self, timeout_s: float
    ) -> Result[Origins | None, Failure]:
        """Return the versions of all targets that there ever were.

        None if the store has deleted some of their entries, or has more of them
        than one call returns.
        """
        answered = await self.store.read(names.TARGETS_TOPIC, 0, 0.0, timeout_s)
        if answered.is_error():
            if isinstance(answered.error, RecordsLost):
                return Ok(None)
            return Error(answered.error)
        page = answered.ok
        if page.has_more:
            return Ok(None)
        decoded = [
            decode_target(record.key, record.value)
            for record in page.records
            if record.value is not None
        ]
        return Ok(
            frozenset(
                StreamOrigin.of(item.ok) for item in decoded if item.is_ok()
            )
        )


def key_of(origin: StreamOrigin) -> str:
    """Return the key of a version's record."""
    text = msgspec.json.encode([origin.pool, origin.software])
    return xxh3_128_hexdigest(text)


def decode_origin(record: KeyedRecord) -> set[StreamOrigin]:
    """Return the version that a record names; none if it names no version."""
    if record.value is None or record.key == WHOLE_KEY:
        return set()
    try:
        body = wire.decode(record.value, SoftwareBody)
    except wire.WireError:
        return set()
    return {StreamOrigin(pool=body.pool, software=body.software)}


def failure_of(error: Failure | RecordsLost) -> Failure:
    """Return the failure of a read of the newest records."""
    if isinstance(error, RecordsLost):
        return may_have_run(Reason.TARGET_ERROR, "records lost")
    return error
