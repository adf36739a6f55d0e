"""The router's HTTP interface: callers, operators, peers and metrics."""

import random
from collections.abc import Mapping
from typing import Any, Final

import attrs
import klein
from twisted.internet.defer import Deferred
from twisted.web import http, server

from sequoiawind import (
    defaults,
    http_server,
    messages,
    metrics,
    openai_format,
    sse,
    wire,
)
from sequoiawind.admin import Admin
from sequoiawind.blackboard import Blackboard
from sequoiawind.metrics import RouterMetrics
from sequoiawind.plan import CallerRequest
from sequoiawind.ports import Clock
from sequoiawind.router import ActiveRequest, Router
from sequoiawind.unsent_answers import UnsentAnswers
from sequoiawind.verdict import Failure, Reason, Verdict, may_have_run, not_run
from sequoiawind.wire import Ended

# Largest number of completion tokens that a caller may request.
MAX_TOKENS: Final = 8192


@attrs.define(kw_only=True, eq=False)
class Caller:
    """Writes an answer to a caller's connection."""

    request: server.Request
    request_id: str
    path: str
    is_streamed: bool
    active_request: ActiveRequest | None = None
    chunks: list[bytes] = attrs.field(factory=list)
    has_begun: bool = False
    is_over: bool = False

    def chunk(self, data: bytes) -> None:
        """Write a chunk, or buffer it if the answer is not streamed."""
        if self.is_over:
            return
        if not self.is_streamed:
            self.chunks.append(data)
            return
        if not self.has_begun:
            self.begin(http.OK, sse.CONTENT_TYPE)
        self.request.write(sse.data_event(data))

    def ended(self, ended: Ended) -> None:
        """End the answer."""
        if self.is_over:
            return
        self.is_over = True
        if ended.failure is not None:
            self.fail(ended.failure)
        elif ended.reply is not None:
            reply = ended.reply
            self.begin(reply.status, reply.content_type, Verdict.DONE)
            self.request.write(wire.decode_body(reply.body))
        elif not self.is_streamed:
            self.write_whole()
        self.request.finish()

    def write_whole(self) -> None:
        """Write the buffered chunks as one JSON reply, if they are one."""
        try:
            body = openai_format.whole_answer(self.path, self.chunks)
            usage = openai_format.usage_of(self.chunks[-2])
        except openai_format.FormatError as error:
            self.fail(may_have_run(Reason.TARGET_ERROR, str(error)))
            return
        if usage is not None:
            cached = str(usage.cached_tokens)
            self.request.setHeader(http_server.CACHED_TOKENS_HEADER, cached)
        self.begin(http.OK, http_server.JSON_TYPE, Verdict.DONE)
        self.request.write(body)

    def fail(self, failure: Failure) -> None:
        """Write an error: as the reply, or as the last event of a stream."""
        body = openai_format.error_body(failure)
        if self.has_begun:
            self.request.write(sse.data_event(body))
            return
        if failure.retry_after_s is not None:
            seconds = str(max(1, round(failure.retry_after_s)))
            self.request.setHeader("Retry-After", seconds)
        self.begin(failure.http_status, http_server.JSON_TYPE, failure.verdict)
        self.request.write(body)

    def begin(
        self, status: int, content_type: str, verdict: Verdict | None = None
    ) -> None:
        """Set the reply's status and headers."""
        self.has_begun = True
        self.request.setResponseCode(status)
        self.request.setHeader("Content-Type", content_type)
        self.request.setHeader(http_server.REQUEST_ID_HEADER, self.request_id)
        exchange = self.active_request.exchange if self.active_request else None
        if exchange is not None:
            attempts = str(exchange.attempts)
            self.request.setHeader(http_server.ATTEMPTS_HEADER, attempts)
        if verdict is not None:
            self.request.setHeader(http_server.VERDICT_HEADER, verdict.value)

    def connection_lost(self) -> None:
        """Cancel the request if its answer is not finished."""
        if self.is_over:
            return
        self.is_over = True
        if self.active_request is not None:
            self.active_request.cancel()


@attrs.define(kw_only=True)
class RouterHttp:
    """Serves a router."""

    router: Router
    admin: Admin
    board: Blackboard
    metrics: RouterMetrics
    clock: Clock
    random: random.Random
    secret: str
    unsent: UnsentAnswers
    # Operators' statements that have no answer yet.
    open_statements: int = 0

    def app(self) -> klein.Klein:
        """Return the application."""
        app = klein.Klein()
        app.route(openai_format.MODELS_PATH, methods=["GET"])(self.models)
        for path in (openai_format.CHAT_PATH, openai_format.TEXT_PATH):
            app.route(path, methods=["POST"])(self.completion)
        app.route("/admin/statements", methods=["POST"])(self.statement)
        app.route("/peer/report", methods=["GET"])(self.report)
        app.route("/peer/config", methods=["GET"])(self.config)
        app.route("/peer/demand", methods=["POST"])(self.demand)
        app.route("/metrics", methods=["GET"])(self.show_metrics)
        app.route("/healthz", methods=["GET"])(self.health)
        app.route("/readyz", methods=["GET"])(self.ready)
        app.route("/", branch=True)(self.plain)
        return app

    def new_request_id(self, request: server.Request) -> str:
        """Return the request id that a caller sent, or a random one.

        An id is random if the caller sent none, or one that is too long or not
        printable ASCII.
        """
        sent = http_server.header(request, http_server.REQUEST_ID_HEADER)
        if sent and len(sent) <= 64 and sent.isascii() and sent.isprintable():
            return sent
        return f"{self.random.getrandbits(64):016x}"

    def models(self, request: server.Request) -> bytes:
        """List the models that have a route."""
        if self.router.authenticate(http_server.bearer_token(request)) is None:
            failure = not_run(Reason.UNAUTHENTICATED, messages.UNAUTHENTICATED)
            return self.refuse(request, failure)
        names = {
            route.model
            for route in self.board.state.routes.values()
            if route.model
        }
        body = openai_format.models_body(sorted(names))
        return http_server.json_reply(request, body)

    def refuse(self, request: server.Request, failure: Failure) -> bytes:
        """Refuse a request with an error reply."""
        self.router.on_refusal(failure)
        caller = Caller(
            request=request,
            request_id=self.new_request_id(request),
            path="",
            is_streamed=False,
        )
        caller.fail(failure)
        return b""

    def completion(self, request: server.Request) -> Deferred[None] | bytes:
        """Answer a completion request."""
        body = json_object(http_server.body_of(request))
        path = request.path.decode()
        if body is None:
            failure = not_run(Reason.BAD_REQUEST, messages.BODY_NOT_JSON)
            return self.refuse(request, failure)
        fault = completion_fault(path, body)
        if fault:
            failure = not_run(Reason.BAD_REQUEST, fault)
            return self.refuse(request, failure)
        fields = {
            name: value for name, value in body.items() if name != "prompt"
        }
        caller_request = CallerRequest(
            request_id=self.new_request_id(request),
            token=http_server.bearer_token(request),
            path=path,
            model=body["model"],
            prompt=openai_format.prompt_of(path, body) or "",
            max_tokens=wanted_tokens(body),
            body=openai_format.encode(fields).decode(),
            idempotency_key=request.getHeader(
                http_server.IDEMPOTENCY_KEY_HEADER
            ),
        )
        return self.submit(request, caller_request, bool(body.get("stream")))

    def plain(self, request: server.Request) -> Deferred[None] | bytes:
        """Forward a call to a plain service."""
        try:
            body = http_server.body_of(request).decode()
        except UnicodeDecodeError:
            failure = not_run(Reason.BAD_REQUEST, messages.BODY_NOT_UTF8)
            return self.refuse(request, failure)
        caller_request = CallerRequest(
            request_id=self.new_request_id(request),
            token=http_server.bearer_token(request),
            path=request.path.decode("utf-8", "replace"),
            method=request.method.decode("ascii", "replace"),
            content_type=http_server.header(request, "Content-Type"),
            body=body,
            idempotency_key=request.getHeader(
                http_server.IDEMPOTENCY_KEY_HEADER
            ),
        )
        return self.submit(request, caller_request, is_streamed=False)

    def submit(
        self,
        request: server.Request,
        caller_request: CallerRequest,
        is_streamed: bool,
    ) -> Deferred[None] | bytes:
        """Submit a request to the router and write its answer."""
        self.unsent.track(request)
        channel: Any = request.channel
        channel.last_request_id = caller_request.request_id
        caller = Caller(
            request=request,
            request_id=caller_request.request_id,
            path=caller_request.path,
            is_streamed=is_streamed,
        )
        done = http_server.when_finished(request)
        done.addCallback(lambda _: caller.connection_lost())
        result = self.router.submit(caller_request, caller)
        if result.is_error():
            caller.ended(Ended(failure=result.error))
            return done
        caller.active_request = result.ok
        return done

    def statement(self, request: server.Request) -> Deferred[bytes] | bytes:
        """Run an operator's statement."""
        operator = self.router.authenticate_operator(
            http_server.bearer_token(request)
        )
        if operator is None:
            failure = not_run(Reason.UNAUTHENTICATED, messages.UNAUTHENTICATED)
            return self.refuse(request, failure)
        body = json_object(http_server.body_of(request))
        text = body.get("statement") if body else None
        if not isinstance(text, str):
            failure = not_run(Reason.BAD_REQUEST, messages.NO_STATEMENT)
            return self.refuse(request, failure)

        async def run() -> bytes:
            self.open_statements += 1
            try:
                result = await self.admin.run(text, operator)
            finally:
                self.open_statements -= 1
            if result.is_ok():
                return http_server.json_reply(request, wire.encode(result.ok))
            return http_server.json_reply(
                request, wire.encode(result.error), result.error.status
            )

        self.unsent.track(request)
        return Deferred.fromCoroutine(run())

    def refuse_without_secret(self, request: server.Request) -> bool:
        """Set status 401 and return True if a call lacks the secret."""
        if http_server.has_secret(request, self.secret):
            return False
        request.setResponseCode(http.UNAUTHORIZED)
        return True

    def report(self, request: server.Request) -> bytes:
        """Return this daemon's report to another router."""
        if self.refuse_without_secret(request):
            return b"{}"
        report = wire.encode(self.admin.own_report())
        return http_server.json_reply(request, report)

    def config(self, request: server.Request) -> bytes:
        """Return the configuration snapshot to a starting process."""
        if self.refuse_without_secret(request):
            return b"{}"
        snapshot = self.board.snapshot().encode()
        return http_server.json_reply(request, snapshot)

    def demand(self, request: server.Request) -> bytes:
        """Record the demand reported by another router."""
        if self.refuse_without_secret(request):
            return b"{}"
        try:
            message = wire.decode(
                http_server.body_of(request), wire.DemandMessage
            )
        except wire.WireError:
            return http_server.json_reply(request, b"{}", http.BAD_REQUEST)
        self.board.limits.record_peer_demand(
            message.router, message.demand, self.clock.seconds()
        )
        return http_server.json_reply(request, b"{}")

    def show_metrics(self, request: server.Request) -> bytes:
        """Return the metrics in the Prometheus text format."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        self.metrics.open_requests.set(self.router.open_requests)
        self.metrics.revision.set(self.board.state.revision)
        return metrics.render(self.metrics.registry)

    def health(self, request: server.Request) -> bytes:
        """Answer a liveness check."""
        return b"ok\n"

    def ready(self, request: server.Request) -> bytes:
        """Answer a readiness check: status 503 unless new work is accepted."""
        if not self.board.phase.is_ready:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b"not ready\n"
        return b"ready\n"


def json_object(data: bytes) -> dict[str, Any] | None:
    """Return the JSON object in a body; None if it holds none."""
    try:
        body = wire.decode(data, dict[str, Any])
    except wire.WireError:
        return None
    return body


def completion_fault(path: str, body: Mapping[str, Any]) -> str:
    """Return why a completion's body is invalid; empty if it is valid."""
    if not isinstance(body.get("model"), str):
        return messages.NO_MODEL
    if not openai_format.prompt_of(path, body):
        return messages.NO_PROMPT
    tokens = wanted_tokens(body)
    if type(tokens) is not int or not 0 < tokens <= MAX_TOKENS:
        return messages.BAD_MAX_TOKENS.format(limit=MAX_TOKENS)
    if body.get("n", 1) != 1:
        return messages.ONE_CHOICE
    return ""


def wanted_tokens(body: Mapping[str, Any]) -> Any:
    """Return the requested number of completion tokens, unchecked.

    It is the default number if the body has neither field.
    """
    for name in ("max_completion_tokens", "max_tokens"):
        if body.get(name) is not None:
            return body[name]
    return defaults.DEFAULT_MAX_TOKENS
