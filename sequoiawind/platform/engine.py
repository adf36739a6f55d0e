"""HTTP client of the targets: requests, reports and orders."""

from collections.abc import Mapping
from typing import Final

import attrs
import msgspec
from expression import Error, Ok, Result

from sequoiawind import wire
from sequoiawind.forward_ports import (
    AnswerHead,
    CacheChanges,
    ForwardSink,
    MoveOrder,
    SendOrder,
)
from sequoiawind.headers import Headers, framing, passed_headers
from sequoiawind.http1_client import Http1Client, HttpCall, OutgoingRequest
from sequoiawind.http1_fetch import fetch
from sequoiawind.platform import engine_wire, names
from sequoiawind.rollout import LoadOrder, OrderOutcome, TargetReport
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run

# Statuses by which a target accepts an order, or already has the weights.
ACCEPTED: Final = 202
HOLDS_ALREADY: Final = 200
# Status of a move of a run that has ended or never began.
NO_SUCH_RUN: Final = 404
# Status of a cache that already serves its maximum number of watchers.
TOO_MANY_WATCHERS: Final = 429
# Timeout for freeing the memory of a run, in seconds: a round trip and some
# waiting.
RELEASE_TIMEOUT_S: Final = 0.5


@attrs.define(kw_only=True, eq=False)
class DecodingSink:
    """Decodes an answer's head and passes the answer on to a sink."""

    model: str
    sink: ForwardSink

    def head(self, status: int, headers: Headers) -> None:
        """Decode the answer's head and pass it on."""
        found = dict(headers)
        self.sink.head(
            AnswerHead(
                status=status,
                headers=passed_headers(headers, names.HOP_BY_HOP),
                framing=framing(status, headers),
                refusal=engine_wire.refusal(status, found),
                versions=self.versions(found),
                is_leaving=engine_wire.is_leaving(found),
                pause_s=engine_wire.pause_s(status, found),
                limit_per_s=engine_wire.limit_per_s(found),
            )
        )

    def versions(self, found: Mapping[bytes, bytes]) -> dict[str, int]:
        """Return the weights version of the model; empty if not stated."""
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


@attrs.define(kw_only=True)
class EngineClient:
    """Calls targets; implements `ForwardPort` and `rollout.TargetPort`."""

    client: Http1Client

    def send(self, order: SendOrder, sink: ForwardSink) -> HttpCall:
        """Send a request to a target."""
        request = order.request
        outgoing = OutgoingRequest(
            method=request.method,
            request_target=request.request_target,
            headers=engine_wire.request_headers(order),
            body=request.body,
            echo=(names.ATTEMPT_ID, request.request_id.encode("latin-1")),
            needs_new_connection=order.needs_new_connection,
            flow=request.flow,
        )
        model = request.prompt.model if request.prompt else ""
        decoding = DecodingSink(model=model, sink=sink)
        return self.client.call(order.target.address, outgoing, decoding)

    async def reserve_move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Copy the memory of a run that goes on, and keep room for it."""
        return await self.copy_run(order, timeout_s, is_last=False)

    async def move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Stop a run and copy its memory to another target."""
        return await self.copy_run(order, timeout_s, is_last=True)

    async def copy_run(
        self, order: MoveOrder, timeout_s: float, *, is_last: bool
    ) -> Result[str, Failure]:
        """Copy the memory of a run; return its location.

        Args:
          order: The run, and the targets.
          timeout_s: Time allowed for the answer, in seconds.
          is_last: Whether the run is stopped first.
        """
        address = order.source.address
        record = engine_wire.MoveRecord(
            id=order.request_id, to=order.destination.address, last=is_last
        )
        request = OutgoingRequest(
            method=b"POST",
            request_target=names.MOVE_TARGET,
            headers=[
                (b"host", address.encode()),
                (b"content-type", b"application/json"),
                (names.EXPECT_INSTANCE, order.source.name.encode()),
            ],
            body=msgspec.json.encode(record),
        )
        answered = await fetch(self.client, address, request, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        if answered.ok.status != 200:
            text = f"status {answered.ok.status}"
            is_stopped = answered.ok.status != NO_SUCH_RUN
            verdict = may_have_run if is_stopped else not_run
            return Error(verdict(Reason.TARGET_ERROR, text))
        try:
            moved = wire.decode(answered.ok.body, engine_wire.MovedRecord)
        except wire.WireError as error:
            return Error(may_have_run(Reason.TARGET_ERROR, str(error)))
        return Ok(f"{address}/{moved.handle}")

    def release_moved_run(self, moved_from: str) -> None:
        """Free the memory of a moved run that is not continued."""
        address, _, handle = moved_from.partition("/")
        request = OutgoingRequest(
            method=b"DELETE",
            request_target=names.MOVED_TARGET + handle.encode(),
            headers=[(b"host", address.encode())],
        )
        # The target frees it by itself if this fails.
        fetch(self.client, address, request, RELEASE_TIMEOUT_S)

    async def report(
        self, address: str, timeout_s: float
    ) -> Result[TargetReport, Failure]:
        """Return a target's report of its state."""
        request = OutgoingRequest(
            method=b"GET",
            request_target=names.REPORT_TARGET,
            headers=[(b"host", address.encode())],
        )
        answered = await fetch(self.client, address, request, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        if answered.ok.status != 200:
            text = f"status {answered.ok.status}"
            return Error(not_run(Reason.TARGET_ERROR, text))
        try:
            record = wire.decode(answered.ok.body, engine_wire.ReportRecord)
        except wire.WireError as error:
            return Error(not_run(Reason.TARGET_ERROR, str(error)))
        return Ok(engine_wire.report(record, dict(answered.ok.headers)))

    async def cache_changes(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheChanges, Failure]:
        """Return the changes of a cache from number `since` on.

        If there are none yet, the cache waits up to `wait_s` seconds for one.
        """
        request = OutgoingRequest(
            method=b"GET",
            request_target=b"%s?since=%d" % (names.CACHE_EVENTS_TARGET, since),
            headers=[
                (b"host", address.encode()),
                (names.WAIT_MS, b"%d" % int(wait_s * 1000)),
            ],
        )
        answered = await fetch(self.client, address, request, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        if answered.ok.status == TOO_MANY_WATCHERS:
            return Error(
                not_run(Reason.TARGET_BUSY, "too many watchers of the cache")
            )
        if answered.ok.status != 200:
            text = f"status {answered.ok.status}"
            return Error(not_run(Reason.TARGET_ERROR, text))
        try:
            record = wire.decode(answered.ok.body, engine_wire.EventsRecord)
        except wire.WireError as error:
            return Error(not_run(Reason.TARGET_ERROR, str(error)))
        return Ok(engine_wire.cache_changes(record))

    async def order(
        self, address: str, target: str, order: LoadOrder, timeout_s: float
    ) -> Result[OrderOutcome, Failure]:
        """Order a target to load weights."""
        record = engine_wire.OrderRecord(
            model=order.model,
            version=order.version,
            holder=order.holder,
            fence=order.fencing,
            precondition=order.after_orders,
        )
        request = OutgoingRequest(
            method=b"POST",
            request_target=names.ORDER_TARGET,
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
