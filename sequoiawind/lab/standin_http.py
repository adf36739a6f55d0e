"""HTTP servers of the stand-ins, and a client of the weight store.

The stand-ins are engine, plain service, log, VM list and weight store.
"""

import random
from functools import partial
from typing import Any

import attrs
import klein
from expression import Result
from twisted.internet.defer import Deferred
from twisted.web import http, server

from sequoiawind import (
    defaults,
    event_loop,
    http_server,
    openai_format,
    prefix,
    sse,
    timing,
    wire,
)
from sequoiawind.http_client import JsonClient
from sequoiawind.http_ports import ACCOUNT_HEADER, ATTEMPT_HEADER, Appended
from sequoiawind.lab.engine_model import EngineModel, ExportedBlock
from sequoiawind.lab.log_model import LogModel
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.lab.weight_store import WeightStore
from sequoiawind.peers import VmEntry
from sequoiawind.ports import Call
from sequoiawind.router_http import json_object, wanted_tokens
from sequoiawind.verdict import Failure
from sequoiawind.wire import Attempt, Ended, LoadReport


@attrs.define(kw_only=True, eq=False)
class EngineSink:
    """Writes the chunks of a sequence to the agent's connection."""

    request: server.Request
    is_over: bool = False
    has_begun: bool = False

    def started(self, load: LoadReport) -> None:
        """Write the head of the response."""
        self.has_begun = True
        self.request.setHeader("Content-Type", sse.CONTENT_TYPE)
        # Sends the head without waiting for the first chunk.
        self.request.write(b": started\n\n")

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Write a chunk."""
        if not self.is_over:
            self.request.write(sse.chunk_event(attempt_id, index, data))

    def ended(self, ended: Ended) -> None:
        """End the response; a failure after its start drops the connection."""
        if self.is_over:
            return
        self.is_over = True
        if ended.failure is None:
            self.request.finish()
        elif not self.has_begun:
            self.request.setResponseCode(ended.failure.http_status)
            self.request.write(wire.encode(ended.failure))
            self.request.finish()
        else:
            self.request.loseConnection()

    def connection_ended(self, call: Call) -> None:
        """Cancel the sequence if the connection ended before the response."""
        if not self.is_over:
            self.is_over = True
            call.cancel()


@attrs.define(kw_only=True)
class EngineHttp:
    """Serves an engine model over HTTP."""

    engine: EngineModel

    def app(self) -> klein.Klein:
        """Return the HTTP application."""
        app = klein.Klein()
        for path in (openai_format.CHAT_PATH, openai_format.TEXT_PATH):
            app.route(path, methods=["POST"])(self.completion)
        app.route("/cache/events", methods=["GET"])(self.events)
        app.route("/cache/blocks", methods=["GET"])(self.blocks)
        app.route("/load", methods=["GET"])(self.load)
        app.route("/weights", methods=["POST"])(self.weights)
        app.route("/kv/export", methods=["POST"])(self.export)
        app.route("/kv/import", methods=["POST"])(self.import_blocks)
        app.route("/totals", methods=["GET"])(self.totals)
        app.route("/crash", methods=["POST"])(self.crash)
        return app

    def completion(self, request: server.Request) -> Deferred[None]:
        """Compute a sequence and stream its chunks."""
        body = json_object(http_server.body_of(request)) or {}
        attempt = attempt_of(request, body)
        sink = EngineSink(request=request)
        done = http_server.when_finished(request)
        call = self.engine.open("", attempt, sink)
        done.addCallback(lambda _: sink.connection_ended(call))
        return done

    def events(self, request: server.Request) -> bytes:
        """Return the cache events from the sequence number `after` on."""
        after = int(request.args.get(b"after", [b"0"])[0])
        events = self.engine.events_from(after)
        return http_server.json_reply(request, wire.encode(events))

    def blocks(self, request: server.Request) -> bytes:
        """Return all cached blocks."""
        listed = wire.encode(self.engine.cache_list())
        return http_server.json_reply(request, listed)

    def load(self, request: server.Request) -> bytes:
        """Return the load report."""
        report = wire.encode(self.engine.load())
        return http_server.json_reply(request, report)

    def weights(self, request: server.Request) -> bytes:
        """Pass on an order to load weights; reply whether it was accepted."""
        body = json_object(http_server.body_of(request)) or {}
        accepted = self.engine.order_version(
            str(body.get("version", "")), int(body.get("fencing", -1))
        )
        return http_server.json_reply(request, wire.encode(accepted))

    def export(self, request: server.Request) -> bytes:
        """Export the cached blocks of a chain."""
        chain = wire.decode(http_server.body_of(request), list[int])
        exported = wire.encode(self.engine.export_blocks(chain))
        return http_server.json_reply(request, exported)

    def import_blocks(self, request: server.Request) -> bytes:
        """Import exported blocks; reply with the number imported."""
        exported = wire.decode(
            http_server.body_of(request), list[ExportedBlock]
        )
        imported = wire.encode(self.engine.import_blocks(exported))
        return http_server.json_reply(request, imported)

    def totals(self, request: server.Request) -> bytes:
        """Return the engine's token counts, for measurements."""
        totals = {
            "prompt_tokens": self.engine.prompt_tokens,
            "computed_tokens": self.engine.computed_tokens,
            "generated_tokens": self.engine.generated_tokens,
        }
        return http_server.json_reply(request, wire.encode(totals))

    def crash(self, request: server.Request) -> bytes:
        """Crash the engine; it restarts empty."""
        self.engine.crash()
        return http_server.json_reply(request, b"{}")


def attempt_of(request: server.Request, body: dict[str, Any]) -> Attempt:
    """Return the attempt that a request to an engine describes."""
    path = request.path.decode()
    continuation = body.get("continue_from") or {}
    return Attempt(
        attempt_id=http_server.header(request, ATTEMPT_HEADER) or "direct",
        request_id=http_server.header(request, http_server.REQUEST_ID_HEADER),
        account="",
        kind="",
        target="",
        priority=int(body.get("priority", 0)),
        model=str(body.get("model", "")),
        version=str(body.get("weights_version", "")),
        cache_salt=str(
            body.get("cache_salt") or prefix.cache_salt("", "", "", "")
        ),
        prompt=openai_format.prompt_of(path, body) or "",
        path=path,
        max_tokens=int(wanted_tokens(body)),
        start_index=int(continuation.get("index", 0)),
        partial=str(continuation.get("text", "")),
    )


@attrs.define(kw_only=True, eq=False)
class PlainSink:
    """Writes the reply of a plain service to the agent's connection."""

    request: server.Request
    is_over: bool = False

    def started(self, load: LoadReport) -> None:
        """Do nothing: the response has no head before its reply."""

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Do nothing: plain services send no chunks."""

    def ended(self, ended: Ended) -> None:
        """Write the reply, or drop the connection if the call failed."""
        if self.is_over:
            return
        self.is_over = True
        if ended.reply is None:
            self.request.loseConnection()
            return
        self.request.setResponseCode(ended.reply.status)
        self.request.setHeader("Content-Type", ended.reply.content_type)
        self.request.write(wire.decode_body(ended.reply.body))
        self.request.finish()

    def connection_ended(self) -> None:
        """Note that the connection has ended, so that no reply is written."""
        self.is_over = True


@attrs.define(kw_only=True)
class PlainHttp:
    """Serves a plain service model over HTTP."""

    model: PlainModel

    def app(self) -> klein.Klein:
        """Return the HTTP application."""
        app = klein.Klein()
        app.route("/executions", methods=["GET"])(self.executions)
        app.route("/", branch=True)(self.call)
        return app

    def call(self, request: server.Request) -> Deferred[None]:
        """Execute a call."""
        sink = PlainSink(request=request)
        done = http_server.when_finished(request)
        attempt = Attempt(
            attempt_id="",
            request_id=http_server.header(
                request, http_server.REQUEST_ID_HEADER
            ),
            account=http_server.header(request, ACCOUNT_HEADER),
            kind="",
            target=self.model.name,
            path=request.path.decode("utf-8", "replace"),
            idempotency_key=http_server.header(
                request, http_server.IDEMPOTENCY_KEY_HEADER
            ),
        )
        self.model.open("", attempt, sink)
        done.addCallback(lambda _: sink.connection_ended())
        return done

    def executions(self, request: server.Request) -> bytes:
        """Return how often each idempotency key and request was executed."""
        counts = {
            "by_key": dict(self.model.by_key),
            "by_request": dict(self.model.by_request),
        }
        return http_server.json_reply(request, wire.encode(counts))


@attrs.frozen(kw_only=True)
class AppendBody:
    """The body of a request to append records."""

    records: list[str]


@attrs.define(kw_only=True)
class LogHttp:
    """Serves a log model over HTTP."""

    model: LogModel

    def app(self) -> klein.Klein:
        """Return the HTTP application."""
        app = klein.Klein()
        path = "/streams/<stream>/records"
        app.route(path, methods=["POST"])(self.append)
        app.route(path, methods=["GET"])(self.read)
        app.route("/faults", methods=["POST"])(self.faults)
        app.route("/totals", methods=["GET"])(self.totals)
        return app

    def append(
        self, request: server.Request, stream: str
    ) -> Deferred[bytes] | bytes:
        """Append records to a stream."""
        try:
            body = wire.decode(http_server.body_of(request), AppendBody)
        except wire.WireError:
            return http_server.json_reply(request, b"{}", http.BAD_REQUEST)
        appended = self.model.append(stream, body.records)
        return appended.addCallback(partial(self.answer_append, request))

    def answer_append(
        self, request: server.Request, result: Result[int, Failure]
    ) -> bytes:
        """Reply with the offset of an append or with its failure."""
        if result.is_ok():
            data = wire.encode(Appended(offset=result.ok))
            return http_server.json_reply(request, data)
        return self.fail(request, result.error)

    def read(self, request: server.Request, stream: str) -> Deferred[bytes]:
        """Read a page of records from the offset `start` on."""
        start = int(request.args.get(b"start", [b"0"])[0])
        limit = int(request.args.get(b"limit", [b"1000"])[0])
        page = self.model.read(stream, start, min(limit, defaults.READ_LIMIT))

        def answer(result: Result[Any, Failure]) -> bytes:
            if result.is_error():
                return self.fail(request, result.error)
            return http_server.json_reply(request, wire.encode(result.ok))

        return page.addCallback(answer)

    def fail(self, request: server.Request, failure: Failure) -> bytes:
        """Reply with a failure."""
        return http_server.json_reply(
            request, wire.encode(failure), http.SERVICE_UNAVAILABLE
        )

    def faults(self, request: server.Request) -> bytes:
        """Set the faults given: is_down, latency_s and lost_answers."""
        body = json_object(http_server.body_of(request)) or {}
        for name in ("is_down", "latency_s", "lost_answers"):
            if name in body:
                setattr(self.model, name, body[name])
        return http_server.json_reply(request, b"{}")

    def totals(self, request: server.Request) -> bytes:
        """Return the numbers of appends and reads."""
        totals = {"appends": self.model.appends, "reads": self.model.reads}
        return http_server.json_reply(request, wire.encode(totals))


@attrs.define(kw_only=True)
class VmListHttp:
    """Serves a list of VMs whose changes take effect after a lag."""

    lag_s: float = 1.0
    # State by VM name.
    vms: dict[str, str] = attrs.field(factory=dict)

    def app(self) -> klein.Klein:
        """Return the HTTP application."""
        app = klein.Klein()
        app.route("/vms", methods=["GET"])(self.show)
        app.route("/vms", methods=["POST"])(self.change)
        return app

    def show(self, request: server.Request) -> bytes:
        """Return the list."""
        entries = [
            VmEntry(vm=name, state=state) for name, state in self.vms.items()
        ]
        return http_server.json_reply(request, wire.encode(entries))

    def change(self, request: server.Request) -> bytes:
        """Set the states of VMs, by name; they change after the lag."""
        body = json_object(http_server.body_of(request)) or {}
        event_loop.reactor.callLater(self.lag_s, self.vms.update, body)
        return http_server.json_reply(request, b"{}")


@attrs.define(kw_only=True)
class WeightsHttp:
    """Serves a weight store over HTTP; replies once a load has finished."""

    store: WeightStore

    def app(self) -> klein.Klein:
        """Return the HTTP application."""
        app = klein.Klein()
        app.route("/loads", methods=["POST"])(self.load)
        return app

    def load(self, request: server.Request) -> Deferred[bytes]:
        """Load weights; the body is the load time in seconds."""
        seconds = wire.decode(http_server.body_of(request), float)
        loading = self.store.load(seconds)
        return loading.addCallback(
            lambda _: http_server.json_reply(request, b"{}")
        )


@attrs.define(kw_only=True)
class WeightsClient:
    """Loads weights from a store over HTTP."""

    json: JsonClient
    # Address of the store, as host:port.
    address: str

    def load(self, load_time_s: float) -> Deferred[None]:
        """Load weights, retrying until the store succeeds."""
        return Deferred.fromCoroutine(self.load_with_retries(load_time_s))

    async def load_with_retries(self, load_time_s: float) -> None:
        """Request a load until it succeeds, one second after each failure."""
        url = f"http://{self.address}/loads"
        while (
            await self.json.call("POST", url, dict[str, Any], load_time_s)
        ).is_error():
            await timing.sleep(event_loop.reactor, 1.0)


def make_random(seed: int) -> random.Random:
    """Return a seeded random number generator for a stand-in."""
    return random.Random(seed)
