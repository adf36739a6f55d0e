"""The components of a router, and how they are connected.

``router_daemon`` runs it as a process; tests run several in one process.
"""

import random
import time
from typing import Any

import attrs
import structlog
from treq.client import HTTPClient
from twisted.internet.defer import Deferred

from sequoiawind import (
    channel_ends,
    event_loop,
    http_client,
    http_ports,
    http_server,
    keys,
    logs,
    metrics,
    sockets,
)
from sequoiawind.admin import Admin
from sequoiawind.blackboard import Blackboard, RequestNote
from sequoiawind.claimant import Claimant
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.end_notes import EndNotes
from sequoiawind.exchange import ExchangeContext
from sequoiawind.http_client import JsonClient
from sequoiawind.http_ports import AgentPort, LogHttpPort
from sequoiawind.limits import AccountLimits
from sequoiawind.metrics import RouterMetrics
from sequoiawind.options import RouterSettings
from sequoiawind.peers import (
    ConfigFetcher,
    DemandSender,
    PeerClient,
    VmListWatcher,
)
from sequoiawind.placer import ProbingPlacer
from sequoiawind.router import Router
from sequoiawind.router_http import RouterHttp
from sequoiawind.staged_close import StagedCloser
from sequoiawind.stop_notes import OpenRequest, OpenWork
from sequoiawind.unsent_answers import UnsentAnswers
from sequoiawind.verdict import Failure, Reason
from sequoiawind.wire import Ended

Logger = structlog.typing.FilteringBoundLogger


@attrs.define(kw_only=True)
class RouterProgram:
    """The components of one router."""

    options: RouterSettings
    log: Logger = attrs.field(init=False)
    random: "random.Random" = attrs.field(factory=random.Random)
    client: HTTPClient = attrs.field(factory=http_client.make_client)
    metrics: RouterMetrics = attrs.field(factory=RouterMetrics)
    board: Blackboard = attrs.field(factory=Blackboard)
    log_port: LogHttpPort = attrs.field(init=False)
    peers: PeerClient = attrs.field(init=False)
    claimant: Claimant = attrs.field(init=False)
    router: Router = attrs.field(init=False)
    follower: ConfigFollower = attrs.field(init=False)
    # Closes the callers' connections.
    closer: StagedCloser = attrs.field(init=False)
    http: RouterHttp = attrs.field(init=False)
    ends: EndNotes = attrs.field(init=False)
    # The listening port; None before `listen`.
    port: Any = None

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        self.log = logs.get(self.options.router.name)
        self.board.limits = AccountLimits(
            routers=1 + len(self.options.peers.routers)
        )
        self.log_port = http_ports.log_port(
            self.client, self.options.platform.log
        )
        self.peers = PeerClient(
            json=JsonClient(
                client=self.client, secret=self.options.peers.secret
            )
        )
        self.ends = EndNotes(
            counter=self.metrics.connection_ends,
            log=self.log,
            board=self.board,
            clock=event_loop.reactor,
            request_id=channel_ends.request_id,
        )
        self.claimant = self.make_claimant()
        self.router = self.make_router()
        self.follower = self.make_follower()
        self.closer = StagedCloser(
            clock=event_loop.reactor,
            options=self.options.closing,
            on_bound=metrics.count_bound(self.metrics.closes_at_bound),
        )
        self.http = self.make_http()

    def make_claimant(self) -> Claimant:
        """Return the controller that claims idempotency keys."""
        incarnation = f"{self.random.getrandbits(32):08x}"
        return Claimant(
            log=self.log_port,
            clock=event_loop.reactor,
            random=self.random,
            owner=f"{self.options.router.name}.{incarnation}",
            on_step=self.count_claim_step,
        )

    def make_router(self) -> Router:
        """Return the component that decides about requests."""
        port = AgentPort(client=self.client, secret=self.options.peers.secret)
        exchange_context = ExchangeContext(
            clock=event_loop.reactor,
            random=self.random,
            port=port,
            members=self.board.members,
            budgets=self.board.budgets,
            on_retry=self.count_retry,
        )
        return Router(
            board=self.board,
            exchange_context=exchange_context,
            placer=ProbingPlacer(
                board=self.board, clock=event_loop.reactor, port=port
            ),
            claimant=self.claimant,
            random=self.random,
            wall=time.time,
            key_limits=keys.limits_for(self.options.platform.log_retention_s),
            on_end=self.note_end,
            on_refusal=self.count_refusal,
        )

    def make_follower(self) -> ConfigFollower:
        """Return the controller that follows the configuration."""
        return ConfigFollower(
            board=self.board,
            log=self.log_port,
            clock=event_loop.reactor,
            random=self.random,
            wall=time.time,
            retention_s=self.options.platform.log_retention_s,
            on_change=self.ends.configured,
        )

    def make_http(self) -> RouterHttp:
        """Return the HTTP interface."""
        admin = Admin(
            name=self.options.router.name,
            domain=self.options.router.failure_domain,
            board=self.board,
            follower=self.follower,
            claimant=self.claimant,
            clock=event_loop.reactor,
            request_report=self.peers.report,
            routers=[str(peer) for peer in self.options.peers.routers],
        )
        return RouterHttp(
            router=self.router,
            admin=admin,
            board=self.board,
            metrics=self.metrics,
            clock=event_loop.reactor,
            random=self.random,
            secret=self.options.peers.secret,
            unsent=UnsentAnswers(clock=event_loop.reactor),
        )

    def listen(self) -> None:
        """Open the listening port."""
        self.port = http_server.listen(
            self.http.app(),
            self.options.router.listen,
            on_refusal=self.count_refused_body,
            closer=self.closer,
            on_end=self.ends.note,
        )
        self.log.info("listening", port=self.port.getHost().port)

    def start(self, on_ready: Any) -> None:
        """Start the controllers.

        Args:
          on_ready: Called once the router has a configuration.
        """
        fetcher = ConfigFetcher(
            peers=self.peers,
            board=self.board,
            clock=event_loop.reactor,
            addresses=[
                *self.options.peers.routers,
                *self.options.peers.agents,
            ],
            on_found=on_ready,
        )
        sender = DemandSender(
            name=self.options.router.name,
            peers=self.peers,
            board=self.board,
            clock=event_loop.reactor,
            addresses=self.options.peers.routers,
        )
        controllers = [self.follower.run(), fetcher.run(), sender.run()]
        watcher = self.make_watcher()
        if watcher is not None:
            controllers.append(watcher.run())
        for controller in controllers:
            Deferred.fromCoroutine(controller)

    def make_watcher(self) -> VmListWatcher | None:
        """Return the controller that polls the VM list, if there is one."""
        if self.options.platform.vm_list is None:
            return None
        return VmListWatcher(
            json=self.peers.json,
            address=self.options.platform.vm_list,
            board=self.board,
            clock=event_loop.reactor,
            random=self.random,
        )

    def is_idle(self) -> bool:
        """Whether nothing is in progress and all answers have left."""
        return (
            self.router.open_requests == 0
            and self.claimant.pending == 0
            and self.closer.is_idle
            and self.http.open_statements == 0
            and self.http.unsent.is_empty
        )

    def open_work(self) -> OpenWork:
        """Return what is open, for the log of a shutdown."""
        closing = [item.transport for item in self.closer.connections]
        unsent = [item.transport for item in self.http.unsent.entries]
        return OpenWork(
            requests=[
                OpenRequest(
                    request_id=note.request_id,
                    target=note.targets_tried[-1] if note.targets_tried else "",
                    phase="answering"
                    if note.first_chunk_s >= 0.0
                    else "waiting",
                )
                for note in (item.note for item in self.router.open)
            ],
            closing=len(closing),
            untaken_bytes=sum(map(sockets.untaken_bytes, closing + unsent)),
        )

    def stop_listening(self) -> None:
        """Accept no more connections."""
        self.port.stopListening()

    def end_requests(self) -> None:
        """Give all requests that have not ended their final answers."""
        self.log.warning(
            "requests ended by the shutdown",
            open_requests=self.router.open_requests,
        )
        self.router.end_all()

    def count_claim_step(self, step: str) -> None:
        """Count a step of a claim."""
        self.metrics.claims.labels(step).inc()

    def count_retry(self, reason: Reason) -> None:
        """Count a retry by its reason."""
        self.metrics.retries.labels(reason.value).inc()

    def count_refusal(self, failure: Failure) -> None:
        """Count a refusal by its reason."""
        self.metrics.refusals.labels(failure.reason.value).inc()

    def count_refused_body(self, reason: Reason) -> None:
        """Count a request refused before its body was complete."""
        self.metrics.refusals.labels(reason.value).inc()

    def note_end(self, note: RequestNote, ended: Ended) -> None:
        """Count and log the end of a request."""
        self.metrics.requests.labels(note.kind, note.verdict).inc()
        self.metrics.prompt_tokens.inc(note.prompt_tokens)
        self.metrics.cached_tokens.inc(note.cached_tokens)
        dropped = self.metrics.dropped_chunks
        dropped.labels("foreign").inc(note.foreign_chunks)
        dropped.labels("repeated").inc(note.repeated_chunks)
        if note.first_chunk_s >= 0.0:
            waited_s = note.first_chunk_s - note.began_s
            self.metrics.first_chunk.labels(note.kind).observe(waited_s)
        self.log.info(
            "request",
            request_id=note.request_id,
            attempt_id=note.attempt_id,
            account=note.account,
            kind=note.kind,
            target=note.targets_tried[-1] if note.targets_tried else "",
            attempts=len(note.targets_tried),
            verdict=note.verdict,
            reason=note.reason,
            seconds=round(note.ended_s - note.began_s, 4),
            phase=self.board.phase.stage,
            since_signal_s=self.ends.since_signal_s,
            in_force_for_s=self.ends.in_force_for_s,
        )
