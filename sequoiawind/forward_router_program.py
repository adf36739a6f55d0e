"""The components of a forwarding router, and how they are connected."""

from collections.abc import Callable, Mapping
from typing import Final

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import event_loop
from sequoiawind.allowed_weights import AllowedWeights
from sequoiawind.cache_watcher import CacheWatcher
from sequoiawind.caller_limits import LimitsInForce
from sequoiawind.caller_site import CallerSite
from sequoiawind.crash_registry import CrashRegistry
from sequoiawind.descriptor_limit import DescriptorLimit, no_descriptors
from sequoiawind.feed_client import FeedClient
from sequoiawind.feed_cover import FeedCover
from sequoiawind.feed_reader import FeedReader
from sequoiawind.feed_table import Level
from sequoiawind.forward_plan import Planner
from sequoiawind.forward_program import ForwardProgram
from sequoiawind.forward_readers import OperatorReader, TargetReader
from sequoiawind.forward_shutdown import ForwardShutdown
from sequoiawind.forward_state import ForwardState
from sequoiawind.forwarder import Forwarder
from sequoiawind.freshness import Freshness, suspended_clock_s
from sequoiawind.http1_client import Http1Client
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.load.controller import make_controller
from sequoiawind.load_metrics import LoadCollector
from sequoiawind.memory_budget import MemoryBudget
from sequoiawind.metrics import ForwardMetrics
from sequoiawind.options import Address, BoundsOptions, ForwardRouterSettings
from sequoiawind.pages import METRICS_PATH, Pages, metrics_page
from sequoiawind.platform import callers, codec, names
from sequoiawind.platform.crashes import CrashLog
from sequoiawind.platform.engine import EngineClient
from sequoiawind.platform.leases import LeaseClient
from sequoiawind.platform.origins import make_origin_registry
from sequoiawind.platform.targets import decode_target
from sequoiawind.readiness import Readiness
from sequoiawind.record_cover import RecordCover
from sequoiawind.repeat_window import RepeatWindow
from sequoiawind.router_notes import RouterNotes
from sequoiawind.scope_changes import ScopeChanges
from sequoiawind.status_watcher import STATUS_WAIT_S, StatusWatcher
from sequoiawind.target_probes import TargetProbes
from sequoiawind.weights_changes import WeightsChanges
from sequoiawind.weights_holder import WeightsHolder

# Share of the revocation bound for which the store may wait for a change before
# it answers: two waits in a row must end well within the bound.
CONFIG_WAIT_SHARE: Final = 0.22
# The same share of the bound on leaving targets.
TARGETS_WAIT_SHARE: Final = 0.7
# For how long the store may wait for a record of a crash, in seconds.
CRASHES_WAIT_S: Final = 2.5
# Time after its start, in seconds, in which a router trusts the store's records
# only once a relay has answered too: the store may just have returned from an
# old copy.
START_CHECK_S: Final = 1.0
# Time after its start, in seconds, from which a router to which no agent has
# answered takes part in ordering weights.
AGENTLESS_S: Final = 5.0
# Pause after targets have changed, in seconds, so that one read returns several
# changes; a small part of the bound on leaving targets.
TARGETS_READ_PAUSE_S: Final = 0.15
# The same until a relay has answered: when all VMs start, the targets register
# one after the other.
START_READ_PAUSE_S: Final = 1.5
# Time allowed for an agent's answer, in seconds: half a second beyond the time
# for which the agent may wait for a change.
STATUS_TIMEOUT_S: Final = STATUS_WAIT_S + 0.5


@attrs.define(kw_only=True)
class ForwardRouterProgram(ForwardProgram[ForwardRouterSettings]):
    """The components of one router."""

    metrics: ForwardMetrics = attrs.field(factory=ForwardMetrics)
    budget: MemoryBudget = attrs.field(init=False)
    freshness: Freshness = attrs.field(init=False)
    notes: RouterNotes = attrs.field(init=False)
    forwarder: Forwarder = attrs.field(init=False)
    watcher: StatusWatcher = attrs.field(init=False)
    scopes: ScopeChanges = attrs.field(init=False)
    weights: WeightsChanges = attrs.field(init=False)
    limits: LimitsInForce = attrs.field(init=False)
    site: CallerSite = attrs.field(init=False)
    feed: FeedClient = attrs.field(init=False)
    feed_reader: FeedReader = attrs.field(init=False)
    targets: TargetReader = attrs.field(init=False)
    holder: WeightsHolder = attrs.field(init=False)
    shutdown: ForwardShutdown = attrs.field(init=False)
    readiness: Readiness = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        super().__attrs_post_init__()
        self.closer = self.make_closer(self.metrics.closes_at_bound)
        bounds = self.options.bounds
        self.budget = MemoryBudget.of(self.options.limits.memory_mb)
        self.freshness = Freshness(
            revoke_s=bounds.revoke_ms / 1000,
            in_force_s=bounds.in_force_ms / 1000,
        )
        self.notes = RouterNotes(
            metrics=self.metrics,
            log=self.log,
            board=self.board,
            freshness=self.freshness,
            clock=event_loop.reactor,
            request_id=callers.request_id,
        )
        self.readiness = Readiness(
            board=self.board,
            fleet=self.fleet,
            freshness=self.freshness,
            clock=event_loop.reactor,
            log=self.log,
            knows_crashes=lambda: self.forwarder.crashes.has_read,
        )
        self.fleet.on_restart = self.notes.note_restart
        self.forwarder = self.make_forwarder()
        self.scopes = ScopeChanges(
            forwarder=self.forwarder,
            clock=event_loop.reactor,
            in_force_s=lambda: self.freshness.in_force_s,
        )
        self.weights = WeightsChanges(
            forwarder=self.forwarder, clock=event_loop.reactor
        )
        load = self.forwarder.load
        if load.limits is not None:
            load.limits.on_share_change = self.notes.note_share
        self.metrics.registry.register(
            LoadCollector(load=load, now=event_loop.reactor.seconds)
        )
        self.watcher = self.make_watcher()
        self.limits = LimitsInForce(
            clock=event_loop.reactor,
            in_force_s=lambda: self.freshness.in_force_s,
            on_end=lambda: self.site.limits_changed(),
        )
        self.site = CallerSite(
            clock=event_loop.reactor,
            on_request=self.take_request,
            limits=self.limits.current,
            on_refusal=self.notes.count_refusal,
            may_deny=lambda: self.freshness.may_deny,
            closer=self.closer,
            on_stalled=self.notes.note_stalled,
            budget=self.budget,
            descriptors=DescriptorLimit.of(self.options.limits.max_fds),
            on_end=self.notes.ends.note,
        )
        self.shutdown = ForwardShutdown(
            grace_s=lambda: self.options.bounds.grace_s,
            forwarder=self.forwarder,
            site=self.site,
            closer=self.closer,
            log=self.log,
        )
        self.metrics.set_gauge_functions(
            age_s=lambda: self.freshness.age_s,
            revision=lambda: self.board.state.revision,
            open_requests=lambda: self.forwarder.open_requests,
        )

    def make_client(self) -> Http1Client:
        """Return the HTTP client for targets and the store."""
        return Http1Client(
            reactor=event_loop.reactor,
            on_foreign_answer=self.metrics.foreign_answers.inc,
            on_connect=self.metrics.connects.inc,
        )

    def make_forwarder(self) -> Forwarder:
        """Return the component that decides about requests."""
        bounds, notes = self.options.bounds, self.notes
        engines = EngineClient(client=self.client)
        return Forwarder(
            board=self.board,
            fleet=self.fleet,
            planner=Planner(
                board=self.board,
                freshness=self.freshness,
                random=self.random,
            ),
            port=engines,
            caches=CacheWatcher(
                port=engines,
                clock=event_loop.reactor,
                random=self.random,
                log=self.log,
            ),
            origins=make_origin_registry(
                store=self.store,
                board=self.board,
                fleet=self.fleet,
                freshness=self.freshness,
                clock=event_loop.reactor,
                log=self.log,
            ),
            crashes=CrashRegistry(
                node=self.options.node.name,
                port=CrashLog(store=self.store),
                era=self.store.era,
                routers=lambda: self.fleet.routers(
                    event_loop.reactor.seconds()
                ),
                clock=event_loop.reactor,
                age_clock=suspended_clock_s,
                log=self.log,
            ),
            clock=event_loop.reactor,
            window=RepeatWindow(
                ratio=bounds.repeat_ratio,
                allowance=bounds.repeat_allowance,
                window_s=bounds.repeat_window_s,
                started_s=event_loop.reactor.seconds(),
            ),
            random=self.random,
            domain=self.options.node.failure_domain,
            weights=AllowedWeights(
                clock=event_loop.reactor,
                weights_s=bounds.weights_ms / 1000,
                settle_s=bounds.settle_ms / 1000,
            ),
            load=make_controller(
                self.options.load,
                self.random,
                suspended_clock_s,
                event_loop.reactor.seconds(),
            ),
            probes=TargetProbes(
                port=self.make_agent_client(
                    STATUS_TIMEOUT_S, self.options.node.name
                ),
                fleet=self.fleet,
                clock=event_loop.reactor,
            ),
            on_reconnect=notes.note_reconnect,
            on_end=notes.note_end,
            on_move=notes.note_move,
            on_retry=notes.count_retry,
            on_silence=notes.note_silence,
            on_fault=notes.note_fault,
            on_refusal=notes.note_refusal,
            on_notice=notes.note_notice,
            on_attempt_failed=notes.note_attempt_failed,
        )

    def make_watcher(self) -> StatusWatcher:
        """Return the controller that polls the agents for their status."""
        return StatusWatcher(
            fleet=self.fleet,
            agents=self.make_agent_client(
                STATUS_TIMEOUT_S, self.options.node.name
            ),
            clock=event_loop.reactor,
            random=self.random,
            log=self.log,
            on_change=self.forwarder.status_changed,
        )

    # Requests.

    def take_request(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        """Forward a caller's request."""
        caller = callers.Caller(connection=connection)
        decoded = callers.decode_request(request)
        if not self.site.has_room(self.client.open_connections):
            self.forwarder.refuse(decoded, caller, no_descriptors())
            return
        forwarding = self.forwarder.submit(decoded, caller)
        if forwarding is not None and not forwarding.is_finished:
            connection.on_disconnect = forwarding.caller_disconnected

    def answer_ready(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        """Answer a readiness check of the balancer: status 200 or 503."""
        is_readiness_check = request.request_target == names.READY_TARGET
        status = 200 if is_readiness_check and self.is_ready else 503
        connection.reply(status, [], b"")

    @property
    def is_ready(self) -> bool:
        """Whether this router can serve requests."""
        return self.board.phase.is_ready

    def config_changed(self) -> None:
        """Adapt to a configuration; become ready if it is the first."""
        state = self.board.state
        self.notes.ends.configured()
        if isinstance(state, ForwardState):
            self.limits.put(state.limits)
            self.scopes.configured(state)
            self.forwarder.load.configured(state)
        self.forwarder.origins.targets_changed()
        self.readiness.check()

    def totals_changed(
        self,
        totals: Mapping[str, float],
        stated: Mapping[str, float],
        as_of_s: float,
    ) -> None:
        """Pass totals over all routers on; see `FeedReader.on_totals`."""
        now_s = event_loop.reactor.seconds()
        self.forwarder.load.take_totals(
            totals, stated, as_of_s, now_s, self.fleet.routers(now_s)
        )

    # Ports and controllers.

    def listen(self) -> None:
        """Open the ports for callers, the balancer and metrics."""
        entry, node = self.options.entry, self.options.node
        ready = CallerSite(
            clock=event_loop.reactor,
            on_request=self.answer_ready,
            limits=self.limits.current,
            on_refusal=self.notes.count_refusal,
            closer=self.closer,
            budget=self.budget,
        )
        for address, site in ((entry.callers, self.site), (entry.ready, ready)):
            self.shutdown.ports.append(
                event_loop.reactor.listenTCP(
                    address.port, site, event_loop.LISTEN_BACKLOG, address.host
                )
            )
        pages = Pages(
            pages={METRICS_PATH: metrics_page(self.metrics.registry)},
            log=self.log,
            closer=self.closer,
        )
        pages.listen(Address(host=node.ip, port=node.metrics_port))
        self.log.info("listening", port=entry.callers.port)

    def start(self, on_prepared: Callable[[], None]) -> None:
        """Start the controllers; call back once a request can be served."""
        self.readiness.start(on_prepared)
        self.forwarder.crashes.on_read = self.readiness.check
        operator = OperatorReader(
            board=self.board,
            codec=codec.OPERATOR,
            log=self.log,
            freshness=self.freshness,
            may_confirm=self.may_trust_records,
            on_weights=self.weights.named,
            on_config=self.config_changed,
            on_confirmed=self.readiness.check,
        )
        self.targets = TargetReader(
            fleet=self.fleet,
            decode=decode_target,
            clock=event_loop.reactor,
            log=self.log,
            on_change=self.targets_changed,
            on_software=self.software_changed,
            on_incarnation=self.forwarder.incarnation_began,
        )
        self.feed_reader = FeedReader(
            fleet=self.fleet,
            operator=operator,
            targets=self.targets,
            crashes=self.forwarder.crashes,
            own_demand_per_s=lambda: self.feed.stated_demand_per_s,
            own_statement=lambda: self.feed.stated,
            on_totals=self.totals_changed,
            caches=self.forwarder.caches,
            clock=event_loop.reactor,
            era=self.store.era,
            capacity_of=self.forwarder.memory_of,
            on_status=self.forwarder.status_changed,
        )
        self.feed = self.make_feed_client(
            is_router=True,
            level=Level.ALL,
            candidates=self.relays,
            on_reply=self.feed_reader.take,
            demand_per_s=lambda: self.forwarder.demand.per_s(
                event_loop.reactor.seconds()
            ),
            statement=lambda: self.forwarder.load.statement(
                event_loop.reactor.seconds()
            ),
        )
        cover = FeedCover(
            clock=event_loop.reactor, left_s=lambda: self.feed.live_s
        )
        self.watcher.cover = cover
        self.forwarder.caches.cover = cover
        records = RecordCover(
            feed=self.feed,
            reader=self.feed_reader,
            bounds=lambda: self.options.bounds,
        )
        bounds = self.options.bounds
        self.follow_records(
            names.OPERATOR_TOPIC,
            operator,
            CONFIG_WAIT_SHARE * bounds.revoke_ms / 1000,
            lambda: 0.0,
            records.operator_left_s,
        )
        self.follow_records(
            names.TARGETS_TOPIC,
            self.targets,
            TARGETS_WAIT_SHARE * bounds.drain_ms / 1000,
            self.targets_read_pause_s,
            records.targets_left_s,
        )
        self.follow_records(
            names.CRASHES_TOPIC,
            self.forwarder.crashes,
            CRASHES_WAIT_S,
            lambda: 0.0,
            records.operator_left_s,
        )
        self.holder = self.make_holder()
        for controller in (self.feed, self.holder):
            Deferred.fromCoroutine(controller.run())

    def make_holder(self) -> WeightsHolder:
        """Return the controller that orders weights where no agent does."""
        lease = self.options.lease
        return WeightsHolder(
            member=self.options.node.name,
            port=LeaseClient(store=self.store),
            targets=EngineClient(client=self.client),
            fleet=self.fleet,
            clock=event_loop.reactor,
            age_clock=suspended_clock_s,
            lease_s=lease.lease_ms / 1000,
            partitions=lease.partitions,
            weights_s=self.options.bounds.weights_ms / 1000,
            named=self.forwarder.weights.named,
            has_agents=self.may_have_agents,
            has_agent_at=self.make_agent_client(STATUS_TIMEOUT_S).is_present,
            log=self.log,
        )

    def may_have_agents(self) -> bool:
        """Whether an agent has answered since the start, or still may soon."""
        return self.readiness.age_s < AGENTLESS_S or self.feed.has_replied

    def targets_read_pause_s(self) -> float:
        """Return the pause between two reads of changed targets, in seconds."""
        is_new = self.may_have_agents() and not self.feed.has_replied
        return START_READ_PAUSE_S if is_new else TARGETS_READ_PAUSE_S

    def may_trust_records(self) -> bool:
        """Whether the store's records may be taken as current."""
        if self.readiness.age_s >= START_CHECK_S or self.feed.is_live:
            return True
        # Relays are known from the targets' entries.
        return self.targets.has_read and not self.relays()

    def software_changed(self) -> None:
        """Adapt to targets that are new, have gone, or have other software."""
        self.forget_relays()
        # All entries of a read are known by then.
        event_loop.reactor.callLater(0, self.feed.wake)
        self.forwarder.origins.targets_changed()

    def targets_changed(self) -> None:
        """Follow the agents of new targets, and serve waiting requests."""
        self.readiness.check()
        self.watcher.follow()
        self.forwarder.forget_targets()
        self.forwarder.waiting.serve()

    def apply_bounds(self, bounds: BoundsOptions) -> None:
        """Apply changed bounds to the components."""
        self.freshness.revoke_s = bounds.revoke_ms / 1000
        self.freshness.in_force_s = bounds.in_force_ms / 1000
        self.forwarder.weights.weights_s = bounds.weights_ms / 1000
        self.holder.weights_s = bounds.weights_ms / 1000
        self.forwarder.weights.settle_s = bounds.settle_ms / 1000
        window = self.forwarder.window
        window.ratio = bounds.repeat_ratio
        window.allowance = bounds.repeat_allowance
        window.window_s = bounds.repeat_window_s
        self.weights.bounds_changed()
