"""The log of stream origins, a topic of the platform's store."""

from collections.abc import Sequence
from functools import singledispatch

import attrs
import msgspec
import structlog
from expression import Error, Ok, Result

from sequoiawind import wire
from sequoiawind.blackboard import Blackboard
from sequoiawind.fleet import Fleet
from sequoiawind.freshness import Freshness
from sequoiawind.origin_registry import (
    ForgottenOrigin,
    OriginPage,
    OriginRecord,
    OriginRegistry,
)
from sequoiawind.platform import names
from sequoiawind.platform.software import SoftwareLog
from sequoiawind.platform.store import StoreClient
from sequoiawind.platform.store_pages import RawPage
from sequoiawind.ports import Clock
from sequoiawind.record_ports import Appended, RecordsLost
from sequoiawind.software_records import SoftwareRecords
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure

Logger = structlog.typing.FilteringBoundLogger


class OriginBody(msgspec.Struct):
    """Where the stream of a request began."""

    request: str
    pool: str
    # None if the router did not know it.
    software: str | None


class ForgottenBody(msgspec.Struct):
    """A version whose streams nobody resumes any more.

    Routers of earlier releases leave it out, as it names no request.
    """

    # Name of the pool.
    forgotten: str
    software: str | None


class AnyBody(msgspec.Struct):
    """The fields of both."""

    request: str | None = None
    pool: str = ""
    forgotten: str | None = None
    software: str | None = None


@attrs.define(kw_only=True)
class OriginLog:
    """Reads and appends origins; implements `origin_registry.OriginPort`."""

    store: StoreClient

    async def append(
        self,
        records: Sequence[OriginRecord | ForgottenOrigin],
        timeout_s: float,
    ) -> Result[Appended, Failure]:
        """Append records."""
        return await self.store.append(
            names.ORIGINS_TOPIC,
            [msgspec.json.encode(body_of(record)) for record in records],
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


@singledispatch
def body_of(record: OriginRecord | ForgottenOrigin) -> msgspec.Struct:
    """Return the body of a record."""
    raise NotImplementedError(type(record))


@body_of.register
def body_of_origin(record: OriginRecord) -> OriginBody:
    """Return the body of the record of a stream."""
    return OriginBody(
        request=record.request_id,
        pool=record.origin.pool,
        software=record.origin.software,
    )


@body_of.register
def body_of_forgotten(record: ForgottenOrigin) -> ForgottenBody:
    """Return the body of the record of a forgotten version."""
    return ForgottenBody(
        forgotten=record.origin.pool, software=record.origin.software
    )


def decode_origins(page: RawPage) -> OriginPage:
    """Return the origins in a page; records of another form are left out."""
    found = [record_of(content) for content in page.contents]
    return OriginPage(
        records=[record for record in found if record is not None],
        end=page.end,
        has_more=page.has_more,
        era=page.era,
    )


def record_of(content: bytes) -> OriginRecord | ForgottenOrigin | None:
    """Return the record in a content; None if it has another form."""
    try:
        body = wire.decode(content, AnyBody)
    except wire.WireError:
        return None
    if body.forgotten is not None:
        origin = StreamOrigin(pool=body.forgotten, software=body.software)
        return ForgottenOrigin(origin=origin)
    if body.request is None:
        return None
    origin = StreamOrigin(pool=body.pool, software=body.software)
    return OriginRecord(request_id=body.request, origin=origin)


def make_origin_registry(
    *,
    store: StoreClient,
    board: Blackboard,
    fleet: Fleet,
    freshness: Freshness,
    clock: Clock,
    log: Logger,
) -> OriginRegistry:
    """Return a router's registry, with its records in the store."""
    software = SoftwareRecords(
        port=SoftwareLog(store=store),
        board=board,
        fleet=fleet,
        freshness=freshness,
        clock=clock,
        log=log,
    )
    store.era.listeners.append(software.store_rewound)
    return OriginRegistry(
        port=OriginLog(store=store),
        software=software,
        log_era=store.era,
        fleet=fleet,
        freshness=freshness,
        clock=clock,
        log=log,
    )
