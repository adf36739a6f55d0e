"""The client of the targets: requests, reports and orders on the wire."""

from collections.abc import Mapping
from typing import Final

import attrs
import msgspec
from expression import Error, Ok, Result

from sequoiawind import messages, wire
from sequoiawind.forward_ports import (
    AnswerHead,
    AttemptSink,
    CacheNews,
    PartChange,
    SendOrder,
)
from sequoiawind.headers import Headers, passed_headers
from sequoiawind.http1_client import (
    Http1Client,
    HttpCall,
    OutgoingRequest,
    fetch,
)
from sequoiawind.platform import names
from sequoiawind.platform.targets import ModelVersion
from sequoiawind.rollout import LoadOrder, OrderOutcome, TargetReport
from sequoiawind.verdict import Failure, Reason, not_run

# Statuses by which a target refuses an order.
ACCEPTED: Final = 202
HOLDS_ALREADY: Final = 200
WRONG_INSTANCE: Final = 421
# A cache answers this when it serves as many watchers as it may.
TOO_MANY: Final = 429


class ReportRecord(msgspec.Struct):
    """A target's report on itself."""

    models: list[ModelVersion] = []
    # An order is being carried out.
    busy: bool = False
    # Orders accepted since the start.
    seq: int = 0
    waiting: int = 0
    running: int = 0
    # Tokens in memory that cannot yield.
    kv_used: int = 0
    state: str = names.READY
    born: int = 0


class EventsRecord(msgspec.Struct):
    """Changes of a cache."""

    # Changes at each start of the cache.
    boot_epoch: int
    # The `since` of the next question.
    next_token: int
    lost: bool = False
    # Number, + or -, salt, part, tokens held now, model.
    events: list[tuple[int, str, str, str, int, str]] = []


class OrderRecord(msgspec.Struct):
    """An order to load weights."""

    model: str
    version: int
    holder: str
    # Fencing number.
    fence: int
    # Orders that the target must have accepted before this one.
    precondition: int
    op: str = "version"
    # Let runs finish first.
    transfer_mode: str = "wait"


@attrs.define(kw_only=True, eq=False)
class DecodingSink:
    """Turns an answer on the wire into the product's terms."""

    model: str
    sink: AttemptSink

    def head(self, status: int, headers: Headers) -> None:
        """Decode the answer's head."""
        found = dict(headers)
        self.sink.head(
            AnswerHead(
                status=status,
                headers=passed_headers(headers, names.HOP_BY_HOP),
                refusal=refusal(status, found),
                versions=self.versions(found),
            )
        )

    def versions(self, found: Mapping[bytes, bytes]) -> dict[str, int]:
        """Return the weights version that an answer names."""
        text = found.get(names.WEIGHT_VERSIONS, b"").strip()
        return {self.model: int(text)} if text.isdigit() else {}

    def data(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self.sink.data(data)

    def done(self) -> None:
        """Pass the end on."""
        self.sink.done()

    def failed(self, failure: Failure) -> None:
        """Pass the failure on."""
        self.sink.failed(failure)


def refusal(status: int, found: Mapping[bytes, bytes]) -> Failure | None:
    """Return the target's word that it did not run a request, if it said so."""
    if status == WRONG_INSTANCE:
        return not_run(Reason.TARGET_REPLACED, messages.TARGET_REFUSED)
    if names.NOT_EXECUTED in found:
        return not_run(Reason.TARGET_BUSY, messages.TARGET_REFUSED)
    return None


@attrs.define(kw_only=True)
class EngineClient:
    """Calls targets; implements `ForwardPort` and `rollout.TargetPort`."""

    client: Http1Client

    def send(self, order: SendOrder, sink: AttemptSink) -> HttpCall:
        """Send a request to a target."""
        request = order.request
        outgoing = OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=[*caller_headers(order), *order_headers(order)],
            body=request.body,
            echo=(names.ATTEMPT_ID, request.request_id.encode("latin-1")),
        )
        model = request.prompt.model if request.prompt else ""
        decoding = DecodingSink(model=model, sink=sink)
        return self.client.call(order.target.address, outgoing, decoding)

    async def report(
        self, address: str, timeout_s: float
    ) -> Result[TargetReport, Failure]:
        """Return a target's report on itself."""
        request = OutgoingRequest(
            method=b"GET",
            target=names.REPORT_TARGET,
            headers=[(b"host", address.encode())],
        )
        answered = await fetch(self.client, address, request, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        if answered.ok.status != 200:
            text = f"status {answered.ok.status}"
            return Error(not_run(Reason.TARGET_ERROR, text))
        try:
            record = wire.decode(answered.ok.body, ReportRecord)
        except wire.WireError as error:
            return Error(not_run(Reason.TARGET_ERROR, str(error)))
        return Ok(
            TargetReport(
                versions={item.name: item.version for item in record.models},
                is_busy=record.busy,
                orders=record.seq,
                waiting=record.waiting,
                running=record.running,
                used_tokens=record.kv_used,
                is_draining=record.state == names.DRAINING,
                born_ms=record.born,
            )
        )

    async def cache_news(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheNews, Failure]:
        """Return the changes of a cache, waiting for a first one."""
        request = OutgoingRequest(
            method=b"GET",
            target=b"%s?since=%d" % (names.CACHE_EVENTS_TARGET, since),
            headers=[
                (b"host", address.encode()),
                (names.WAIT_MS, b"%d" % int(wait_s * 1000)),
            ],
        )
        answered = await fetch(self.client, address, request, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        if answered.ok.status == TOO_MANY:
            return Error(not_run(Reason.TARGET_BUSY, "too many watch it"))
        if answered.ok.status != 200:
            text = f"status {answered.ok.status}"
            return Error(not_run(Reason.TARGET_ERROR, text))
        try:
            record = wire.decode(answered.ok.body, EventsRecord)
        except wire.WireError as error:
            return Error(not_run(Reason.TARGET_ERROR, str(error)))
        return Ok(
            CacheNews(
                epoch=record.boot_epoch,
                next_number=record.next_token,
                has_gap=record.lost,
                changes=[
                    PartChange(salt=salt, part=part, tokens=tokens)
                    for _, _, salt, part, tokens, _ in record.events
                ],
            )
        )

    async def order(
        self, address: str, target: str, order: LoadOrder, timeout_s: float
    ) -> Result[OrderOutcome, Failure]:
        """Order a target to load weights."""
        record = OrderRecord(
            model=order.model,
            version=order.version,
            holder=order.holder,
            fence=order.fencing,
            precondition=order.after_orders,
        )
        request = OutgoingRequest(
            method=b"POST",
            target=names.ORDER_TARGET,
            headers=[
                (b"host", address.encode()),
                (b"content-type", b"application/json"),
                (names.EXPECT_INSTANCE, target.encode()),
            ],
            body=msgspec.json.encode(record),
        )
        answered = await fetch(self.client, address, request, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        outcomes = {
            ACCEPTED: OrderOutcome.ACCEPTED,
            HOLDS_ALREADY: OrderOutcome.HOLDS,
        }
        return Ok(outcomes.get(answered.ok.status, OrderOutcome.REFUSED))


def caller_headers(order: SendOrder) -> Headers:
    """Return the caller's headers; a resumed stream has its own position."""
    if order.after_event is None:
        return order.request.headers
    return [
        item for item in order.request.headers if item[0] != names.LAST_EVENT_ID
    ]


def order_headers(order: SendOrder) -> Headers:
    """Return the headers that the system sets."""
    headers: Headers = [
        (names.DEADLINE_MS, b"%d" % max(1, int(order.deadline_s * 1000))),
        (names.EXPECT_INSTANCE, order.target.name.encode()),
    ]
    if order.account:
        headers.append((names.TENANT, order.account.encode()))
    if order.version is not None:
        headers += [
            (names.EXPECT_VERSION, b"%d" % order.version),
            (names.CACHE_SALT, order.salt.encode()),
            (names.URGENCY, b"%d" % order.urgency),
        ]
    if order.source:
        headers.append((names.KV_SOURCE, order.source.encode()))
    if order.keeper:
        headers.append((names.KV_SINK, order.keeper.encode()))
    if order.after_event is not None:
        headers.append((names.LAST_EVENT_ID, b"%d" % order.after_event))
    return headers
