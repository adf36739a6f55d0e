"""The log of stream origins, a topic of the platform's store."""

from collections.abc import Sequence

import attrs
import msgspec
from expression import Error, Ok, Result

from sequoiawind import wire
from sequoiawind.origin_registry import OriginPage, OriginRecord
from sequoiawind.platform import names
from sequoiawind.platform.store import StoreClient
from sequoiawind.platform.store_pages import RawPage
from sequoiawind.record_ports import RecordsLost
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure


class OriginBody(msgspec.Struct):
    """Where the stream of a request began."""

    request: str
    pool: str
    # None if the router did not know it.
    software: str | None


@attrs.define(kw_only=True)
class OriginLog:
    """Reads and appends origins; implements `origin_registry.OriginPort`."""

    store: StoreClient

    async def append(
        self, records: Sequence[OriginRecord], timeout_s: float
    ) -> Result[None, Failure]:
        """Append records."""
        return await self.store.append(
            names.ORIGINS_TOPIC,
            [
                msgspec.json.encode(
                    OriginBody(
                        request=record.request_id,
                        pool=record.origin.pool,
                        software=record.origin.software,
                    )
                )
                for record in records
            ],
            timeout_s,
        )

    async def read(
        self, start: int, wait_s: float, timeout_s: float
    ) -> Result[OriginPage, Failure | RecordsLost]:
        """Return the records from an offset on."""
        answered = await self.store.read_raw(
            names.ORIGINS_TOPIC, start, wait_s, timeout_s
        )
        if answered.is_error():
            return Error(answered.error)
        return Ok(decode_origins(answered.ok))


def decode_origins(page: RawPage) -> OriginPage:
    """Return the origins in a page; records of another form are left out."""
    records: list[OriginRecord] = []
    for content in page.contents:
        try:
            body = wire.decode(content, OriginBody)
        except wire.WireError:
            continue
        origin = StreamOrigin(pool=body.pool, software=body.software)
        records.append(OriginRecord(request_id=body.request, origin=origin))
    return OriginPage(
        records=records, end=page.end, has_more=page.has_more, era=page.era
    )
