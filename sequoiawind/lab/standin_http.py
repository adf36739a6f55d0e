"""The stand-ins over HTTP: engine, plain service, log and VM list."""

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
from sequoiawind.lab.engine_model import EngineModel, KeptBlock
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
    """Writes a sequence to the agent's connection."""

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
        """End the response; a broken sequence breaks the connection."""
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

    def gone(self, call: Call) -> None:
        """Stop computing: the connection is lost."""
        if not self.is_over:
            self.is_over = True
            call.cancel()


@attrs.define(kw_only=True)
class EngineHttp:
    """Serves an engine model."""

    engine: EngineModel

    def app(self) -> klein.Klein:
        """Return the application."""
        app = klein.Klein()
        for path in (openai_format.CHAT_PATH, openai_format.TEXT_PATH):
            app.route(path, methods=["POST"])(self.completion)
        app.route("/cache/events", methods=["GET"])(self.events)
        app.route("/cache/blocks", methods=["GET"])(self.blocks)
        app.route("/load", methods=["GET"])(self.load)
        app.route("/weights", methods=["POST"])(self.weights)
        app.route("/kv/export", methods=["POST"])(self.export)
        app.route("/kv/import", methods=["POST"])(self.import_kept)
        app.route("/totals", methods=["GET"])(self.totals)
        app.route("/crash", methods=["POST"])(self.crash)
        return app

    def completion(self, request: server.Request) -> Deferred[None]:
        """Compute a sequence."""
        body = json_object(http_server.body_of(request)) or {}
        attempt = attempt_of(request, body)
        sink = EngineSink(request=request)
        done = http_server.when_finished(request)
        call = self.engine.open("", attempt, sink)
        done.addCallback(lambda _: sink.gone(call))
        return done

    def events(self, request: server.Request) -> bytes:
        """Return cache events."""
        after = int(request.args.get(b"after", [b"0"])[0])
        events = self.engine.events_after(after)
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
        """Take an order to load weights."""
        body = json_object(http_server.body_of(request)) or {}
        taken = self.engine.order_version(
            str(body.get("version", "")), int(body.get("fencing", -1))
        )
        return http_server.json_reply(request, wire.encode(taken))

    def export(self, request: server.Request) -> bytes:
        """Export the cached blocks of a chain."""
        chain = wire.decode(http_server.body_of(request), list[int])
        kept = wire.encode(self.engine.export_blocks(chain))
        return http_server.json_reply(request, kept)

    def import_kept(self, request: server.Request) -> bytes:
        """Import blocks that were kept."""
        kept = wire.decode(http_server.body_of(request), list[KeptBlock])
        taken = wire.encode(self.engine.import_blocks(kept))
        return http_server.json_reply(request, taken)

    def totals(self, request: server.Request) -> bytes:
        """Return the totals that measurements need."""
        totals = {
            "prompt_tokens": self.engine.prompt_tokens,
            "computed_tokens": self.engine.computed_tokens,
            "generated_tokens": self.engine.generated_tokens,
        }
        return http_server.json_reply(request, wire.encode(totals))

    def crash(self, request: server.Request) -> bytes:
        """Lose everything and come back empty."""
        self.engine.crash()
        return http_server.json_reply(request, b"{}")


def attempt_of(request: server.Request, body: dict[str, Any]) -> Attempt:
    """Return the attempt in a request to an engine."""
    path = request.path.decode()
    going_on = body.get("continue_from") or {}
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
        start_index=int(going_on.get("index", 0)),
        partial=str(going_on.get("text", "")),
    )


@attrs.define(kw_only=True, eq=False)
class PlainSink:
    """Writes the reply of a plain service."""

    request: server.Request
    is_over: bool = False

    def started(self, load: LoadReport) -> None:
        """The call has been taken."""

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Plain services send no chunks."""

    def ended(self, ended: Ended) -> None:
        """Write the reply; a broken call breaks the connection."""
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

    def gone(self) -> None:
        """The connection is lost."""
        self.is_over = True


@attrs.define(kw_only=True)
class PlainHttp:
    """Serves a plain service model."""

    model: PlainModel

    def app(self) -> klein.Klein:
        """Return the application."""
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
        done.addCallback(lambda _: sink.gone())
        return done

    def executions(self, request: server.Request) -> bytes:
        """Return how often each key and request was executed."""
        counts = {
            "by_key": dict(self.model.by_key),
            "by_request": dict(self.model.by_request),
        }
        return http_server.json_reply(request, wire.encode(counts))


@attrs.frozen(kw_only=True)
class AppendBody:
    """A request to append."""

    records: list[str]


@attrs.define(kw_only=True)
class LogHttp:
    """Serves a log model."""

    model: LogModel

    def app(self) -> klein.Klein:
        """Return the application."""
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
        """Append records."""
        try:
            body = wire.decode(http_server.body_of(request), AppendBody)
        except wire.WireError:
            return http_server.json_reply(request, b"{}", http.BAD_REQUEST)
        appended = self.model.append(stream, body.records)
        return appended.addCallback(partial(self.answer_append, request))

    def answer_append(
        self, request: server.Request, result: Result[int, Failure]
    ) -> bytes:
        """Answer an append."""
        if result.is_ok():
            data = wire.encode(Appended(offset=result.ok))
            return http_server.json_reply(request, data)
        return self.fail(request, result.error)

    def read(self, request: server.Request, stream: str) -> Deferred[bytes]:
        """Read records."""
        start = int(request.args.get(b"start", [b"0"])[0])
        limit = int(request.args.get(b"limit", [b"1000"])[0])
        page = self.model.read(stream, start, min(limit, defaults.READ_LIMIT))

        def answer(result: Result[Any, Failure]) -> bytes:
            if result.is_error():
                return self.fail(request, result.error)
            return http_server.json_reply(request, wire.encode(result.ok))

        return page.addCallback(answer)

    def fail(self, request: server.Request, failure: Failure) -> bytes:
        """Answer with a failure."""
        return http_server.json_reply(
            request, wire.encode(failure), http.SERVICE_UNAVAILABLE
        )

    def faults(self, request: server.Request) -> bytes:
        """Switch faults: is_down, latency_s and lost_answers."""
        body = json_object(http_server.body_of(request)) or {}
        for name in ("is_down", "latency_s", "lost_answers"):
            if name in body:
                setattr(self.model, name, body[name])
        return http_server.json_reply(request, b"{}")

    def totals(self, request: server.Request) -> bytes:
        """Return how many appends and reads there were."""
        totals = {"appends": self.model.appends, "reads": self.model.reads}
        return http_server.json_reply(request, wire.encode(totals))


@attrs.define(kw_only=True)
class VmListHttp:
    """Serves a list of VMs that lags behind what it is told."""

    lag_s: float = 1.0
    vms: dict[str, str] = attrs.field(factory=dict)

    def app(self) -> klein.Klein:
        """Return the application."""
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
        """Change the list, after its lag."""
        body = json_object(http_server.body_of(request)) or {}
        event_loop.reactor.callLater(self.lag_s, self.vms.update, body)
        return http_server.json_reply(request, b"{}")


@attrs.define(kw_only=True)
class WeightsHttp:
    """Serves a weight store: a request is answered when its load is done."""

    store: WeightStore

    def app(self) -> klein.Klein:
        """Return the application."""
        app = klein.Klein()
        app.route("/loads", methods=["POST"])(self.load)
        return app

    def load(self, request: server.Request) -> Deferred[bytes]:
        """Load weights."""
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
        """Load weights; a store that fails is asked again."""
        return Deferred.fromCoroutine(self.ask(load_time_s))

    async def ask(self, load_time_s: float) -> None:
        """Ask the store until a load succeeds."""
        url = f"http://{self.address}/loads"
        while (
            await self.json.call("POST", url, dict[str, Any], load_time_s)
        ).is_error():
            await timing.sleep(event_loop.reactor, 1.0)


def make_source(seed: int) -> random.Random:
    """Return the random numbers of a stand-in."""
    return random.Random(seed)
