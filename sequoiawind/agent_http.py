"""The agent's HTTP interface: routers and metrics."""

import attrs
import klein
from twisted.internet.defer import Deferred
from twisted.web import http, server

from sequoiawind import http_server, messages, metrics, sse, wire
from sequoiawind.agent import Agent, AgentCall
from sequoiawind.blackboard import Blackboard
from sequoiawind.http_ports import EVENT_ENDED, EVENT_STARTED
from sequoiawind.metrics import AgentMetrics
from sequoiawind.reports import DaemonReport, agent_report
from sequoiawind.unsent_answers import UnsentAnswers
from sequoiawind.verdict import Reason, not_run
from sequoiawind.wire import Attempt, Ended, LoadReport, Probe


@attrs.define(kw_only=True, eq=False)
class ResponseSink:
    """Streams an attempt to a router as server-sent events."""

    request: server.Request
    is_ended: bool = False

    def started(self, load: LoadReport) -> None:
        """Write the event that the attempt has been admitted."""
        self.write(sse.named_event(EVENT_STARTED, wire.encode(load)))

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Write a chunk."""
        self.write(sse.chunk_event(attempt_id, index, data))

    def ended(self, ended: Ended) -> None:
        """Write the end event and finish the response."""
        self.write(sse.named_event(EVENT_ENDED, wire.encode(ended)))
        if not self.is_ended:
            self.is_ended = True
            self.request.finish()

    def write(self, data: bytes) -> None:
        """Write data unless the response has ended."""
        if not self.is_ended:
            self.request.write(data)

    def connection_lost(self, call: AgentCall) -> None:
        """Detach the call if the response has not ended."""
        if not self.is_ended:
            self.is_ended = True
            call.detach()


@attrs.define(kw_only=True)
class AgentHttp:
    """Serves an agent."""

    agent: Agent
    board: Blackboard
    metrics: AgentMetrics
    secret: str
    name: str
    domain: str
    unsent: UnsentAnswers

    def app(self) -> klein.Klein:
        """Return the application."""
        app = klein.Klein()
        app.route("/attempts", methods=["POST"])(self.attempt)
        app.route("/probe", methods=["POST"])(self.probe)
        app.route("/attempts/<attempt_id>/cancel", methods=["POST"])(
            self.cancel
        )
        app.route("/peer/report", methods=["GET"])(self.report)
        app.route("/peer/config", methods=["GET"])(self.config)
        app.route("/metrics", methods=["GET"])(self.show_metrics)
        app.route("/healthz", methods=["GET"])(self.health)
        app.route("/readyz", methods=["GET"])(self.ready)
        return app

    def refuse_without_secret(self, request: server.Request) -> bool:
        """Set status 401 and return True if a call lacks the secret."""
        if http_server.has_secret(request, self.secret):
            return False
        request.setResponseCode(http.UNAUTHORIZED)
        return True

    def attempt(self, request: server.Request) -> Deferred[None] | bytes:
        """Run an attempt and stream its events."""
        if self.refuse_without_secret(request):
            failure = not_run(Reason.UNAUTHENTICATED, messages.UNAUTHENTICATED)
            return wire.encode(failure)
        try:
            attempt = wire.decode(http_server.body_of(request), Attempt)
        except wire.WireError as problem:
            failure = not_run(Reason.BAD_REQUEST, str(problem))
            return http_server.json_reply(
                request, wire.encode(failure), http.BAD_REQUEST
            )
        request.setHeader("Content-Type", sse.CONTENT_TYPE)
        self.unsent.track(request)
        sink = ResponseSink(request=request)
        done = http_server.when_finished(request)
        call = self.agent.open("", attempt, sink)
        done.addCallback(lambda _: sink.connection_lost(call))
        return done

    def probe(self, request: server.Request) -> bytes:
        """Answer how soon a request could start."""
        if self.refuse_without_secret(request):
            return b"{}"
        try:
            probe = wire.decode(http_server.body_of(request), Probe)
        except wire.WireError:
            return http_server.json_reply(request, b"{}", http.BAD_REQUEST)
        answer = wire.encode(self.agent.probe(probe))
        return http_server.json_reply(request, answer)

    def cancel(self, request: server.Request, attempt_id: str) -> bytes:
        """Cancel an attempt."""
        if self.refuse_without_secret(request):
            return b"{}"
        relay = self.agent.relays.get(attempt_id)
        if relay is not None:
            self.agent.cancel(relay)
        return http_server.json_reply(request, b"{}")

    def report(self, request: server.Request) -> bytes:
        """Return this daemon's report to a router that answers an operator."""
        if self.refuse_without_secret(request):
            return b"{}"
        report: DaemonReport = agent_report(
            self.name, self.domain, self.agent, self.board
        )
        return http_server.json_reply(request, wire.encode(report))

    def config(self, request: server.Request) -> bytes:
        """Return the configuration snapshot to a starting process."""
        if self.refuse_without_secret(request):
            return b"{}"
        snapshot = self.board.snapshot().encode()
        return http_server.json_reply(request, snapshot)

    def show_metrics(self, request: server.Request) -> bytes:
        """Return the metrics in the Prometheus text format."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        self.metrics.queued.set(self.agent.queue.queued)
        self.metrics.running.set(len(self.agent.queue.running))
        self.metrics.blocks.set(len(self.agent.index.blocks))
        return metrics.render(self.metrics.registry)

    def health(self, request: server.Request) -> bytes:
        """Answer a liveness check."""
        return b"ok\n"

    def ready(self, request: server.Request) -> bytes:
        """Answer a readiness check: status 503 unless new work is accepted."""
        if self.agent.drain_reason or not self.board.phase.is_ready:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b"not ready\n"
        return b"ready\n"


def count_event(agent_metrics: AgentMetrics, name: str) -> None:
    """Increment the counter of an agent's event."""
    agent_metrics.events.labels(name).inc()
