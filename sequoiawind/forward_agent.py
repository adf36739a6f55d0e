"""The agent beside a target that requests are forwarded to.

It polls its target, notifies the routers immediately when the target begins
and ends loading weights, and is the only process that orders it to load.
"""

from collections.abc import Callable
from typing import Final, Protocol

import attrs
import structlog
from twisted.internet.defer import Deferred

from sequoiawind import rollout, supervise, timing
from sequoiawind.fleet import Fleet
from sequoiawind.foreign_orders import ForeignOrders
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.ports import Clock
from sequoiawind.rollout import (
    Due,
    LoadOrder,
    NamedVersion,
    OrderOutcome,
    Progress,
    TargetPort,
    TargetReport,
)
from sequoiawind.verdict import Failure, Verdict
from sequoiawind.wire import TargetStatus

Logger = structlog.typing.FilteringBoundLogger

# Interval at which the target is polled for its report, in seconds, and while
# newer weights were named than it has.
IDLE_REPORT_S: Final = 0.2
REPORT_S: Final = 0.1
REPORT_TIMEOUT_S: Final = 0.2
# Time allowed for a report that a router waits for, in seconds.
PROBE_REPORT_S: Final = 0.015
# Consecutive unanswered report requests after which the target counts as lost.
LOST_AFTER_MISSES: Final = 2
ORDER_TIMEOUT_S: Final = 1.0
# Time between announcing a load to the routers and ordering it, in seconds: a
# round trip inside a region, so that few requests are still in transit.
ANNOUNCE_S: Final = 0.03
# Maximum time to wait before the order for the target's queue to empty, in
# seconds; the target refuses requests that still wait then.
QUEUE_DRAIN_S: Final = 1.0
# Interval between reports while the queue drains or a load runs, in seconds.
QUEUE_CHECK_S: Final = 0.03
# Maximum time for which a load is polled at that interval, in seconds; a target
# in trouble may take longer to end its runs.
LOAD_WATCH_S: Final = 4.0
# Time after the order until the target no longer counts as loading unless it
# reports that it is, in seconds.
UNANSWERED_S: Final = 0.5
# Least change in the number of running or waiting requests that is published.
REQUESTS_STEP: Final = 4
# The same for requests in prefill, which cost far more.
READING_STEP: Final = 2
# Interval at which an unchanged status is passed on again, in seconds.
STATUS_REPEAT_S: Final = 0.5
# Time for which a router counts as active after its last poll, in seconds.
ROUTER_ACTIVE_S: Final = 5.0


class PeerPort(Protocol):
    """Interface for querying the agents of other targets."""

    async def status(self, address: str) -> TargetStatus | None:
        """Return the status of the target at an address; None if unknown."""


@attrs.define(kw_only=True)
class ForwardAgent:
    """Polls one target and orders it to load weights."""

    # Address of the target.
    address: str
    # Name of this process, sent as the holder in its orders.
    holder: str
    port: TargetPort
    clock: Clock
    fleet: Fleet
    log: Logger
    # Time within which all targets must have newly named weights.
    weights_s: float
    peers: PeerPort
    # Versions by model, in the order in which operators named them.
    named: dict[str, list[NamedVersion]] = attrs.field(factory=dict)
    # The published status.
    status: TargetStatus = attrs.field(factory=TargetStatus)
    # Time of each router's last poll, by router name; in seconds of the clock.
    routers: dict[str, float] = attrs.field(factory=dict)
    # Polls that wait for a newer status.
    watchers: list[Deferred[None]] = attrs.field(factory=list)
    # Time until which the target counts as loading even if its report does not
    # say so, because an order is announced or sent; in seconds of the clock.
    loading_until_s: float = -1.0
    # Since when the target takes short runs only, in seconds of the clock; None
    # if it takes all.
    winding_down_since_s: float | None = None
    is_reachable: bool = False
    # Consecutive report requests without an answer.
    misses: int = 0
    # Duration of a lease of the holders of weights, in seconds.
    lease_s: float = 0.0
    foreign: ForeignOrders = attrs.field(
        default=attrs.Factory(
            lambda self: ForeignOrders(lease_s=self.lease_s), takes_self=True
        )
    )
    on_order: Callable[[str], None] = attrs.field(default=lambda outcome: None)
    # Called with each published status, and with the current one at intervals.
    on_status: Callable[[TargetStatus], None] = attrs.field(
        default=lambda status: None
    )
    # When that was last called, in seconds of the clock.
    status_passed_s: float = float("-inf")
    # Fires at the end of the pause between two steps; None during a step.
    pause: Deferred[None] | None = None

    @property
    def target(self) -> ForwardTarget | None:
        """The target's entry; None before it registers."""
        found = [
            view.target
            for view in self.fleet.views.values()
            if view.target.address == self.address
        ]
        return max(found, key=lambda item: item.born_ms, default=None)

    @property
    def lacks_weights(self) -> bool:
        """Whether newer weights were named than the target has."""
        return any(
            rollout.lacking(self.status.versions.get(model), named)
            for model, named in self.named.items()
        )

    async def run(self) -> None:
        """Run `watch` repeatedly until the process ends."""
        await supervise.repeat(self.watch, "target", self.clock, self.log)

    async def watch(self) -> bool:
        """Take a step, then pause; always return True, to be repeated."""
        await self.step()
        interval_s = REPORT_S if self.lacks_weights else IDLE_REPORT_S
        pause = self.pause = Deferred()
        timer = self.clock.callLater(interval_s, self.end_pause)
        await pause
        if timer.active():
            timer.cancel()
        return True

    def end_pause(self) -> None:
        """End the pause between two steps."""
        pause, self.pause = self.pause, None
        if pause is not None:
            pause.callback(None)

    async def step(self) -> None:
        """Get and publish the target's report; order weights that are due."""
        answered = await self.port.report(self.address, REPORT_TIMEOUT_S)
        if answered.is_error():
            self.report_missed(answered.error)
            return
        self.misses = 0
        if not self.is_reachable:
            self.is_reachable = True
            self.log.info("target reachable", orders=answered.ok.orders)
        self.publish_report(answered.ok)
        self.note_orders(answered.ok)
        for model in self.named:
            due = await self.due(answered.ok, model)
            if due is None:
                continue
            if self.has_wound_down(answered.ok, due):
                await self.load(answered.ok, model, due.version)
                self.winding_down_since_s = None
            return
        self.winding_down_since_s = None

    def note_orders(self, report: TargetReport) -> None:
        """Note the orders that the target has accepted from others."""
        if self.foreign.note(report, self.clock.seconds()):
            self.log.info(
                "orders of another holder",
                orders=report.orders,
                waits_s=self.lease_s,
            )

    def report_missed(self, failure: Failure) -> None:
        """Count an unanswered report request.

        After `LOST_AFTER_MISSES` the target is published as unreachable.
        """
        self.misses += 1
        if self.misses < LOST_AFTER_MISSES or not self.is_reachable:
            return
        self.is_reachable = False
        self.publish(attrs.evolve(self.status, is_reachable=False))
        self.log.warning(
            "target lost", misses=self.misses, detail=failure.detail
        )

    def publish_report(self, report: TargetReport) -> None:
        """Publish the status that follows from the target's report."""
        self.publish(self.status_of(report))

    def status_of(self, report: TargetReport) -> TargetStatus:
        """Return the status that follows from the target's report."""
        now_s = self.clock.seconds()
        target = self.target
        return TargetStatus(
            target=target.name if target else "",
            born_ms=report.born_ms,
            waiting=report.waiting,
            running=report.running,
            reading=report.reading,
            used_tokens=report.used_tokens,
            is_loading=report.is_busy or now_s < self.loading_until_s,
            is_winding_down=self.winding_down_since_s is not None,
            is_draining=report.is_draining,
            versions=dict(report.versions),
            routers=self.count_routers(now_s),
            limit_per_s=report.limit_per_s,
        )

    async def current_status(self) -> TargetStatus:
        """Return the target's present status; the last one if it is silent."""
        answered = await self.port.report(self.address, PROBE_REPORT_S)
        if answered.is_error():
            return self.status
        number = self.status.number
        return attrs.evolve(self.status_of(answered.ok), number=number)

    def publish(self, status: TargetStatus) -> None:
        """Store a status and notify waiting routers, if it differs enough."""
        old = self.status
        if not needs_publishing(old, status):
            now_s = self.clock.seconds()
            if now_s - self.status_passed_s >= STATUS_REPEAT_S:
                self.pass_status(attrs.evolve(status, number=old.number))
            return
        self.status = attrs.evolve(status, number=old.number + 1)
        self.pass_status(self.status)
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            watcher.callback(None)

    def pass_status(self, status: TargetStatus) -> None:
        """Pass a status on, so that readers know that the agent is alive."""
        self.status_passed_s = self.clock.seconds()
        self.on_status(status)

    # Weights.

    def weights_named(self, model: str, version: int, is_late: bool) -> None:
        """Record that an operator has named newer weights.

        Args:
          model: The model.
          version: Its new weights version.
          is_late: Whether it may have been named long ago, as it was found by
            reading all records after a start or a failure of the store; the
            target then loads it without waiting for its turn.
        """
        named_s = float("-inf") if is_late else self.clock.seconds()
        rollout.add_version(
            self.named.setdefault(model, []),
            NamedVersion(version=version, named_s=named_s),
        )
        self.clock.callLater(REPORT_S, self.end_pause)

    async def due(self, report: TargetReport, model: str) -> Due | None:
        """Return a model's version to load; None if nothing is due yet."""
        target = self.target
        lacked = rollout.lacking(report.versions.get(model), self.named[model])
        if report.is_busy or target is None or not lacked:
            return None
        if not self.foreign.may_order(self.clock.seconds()):
            return None
        newest = lacked[-1].version
        now_s = self.clock.seconds()
        if rollout.is_overdue(lacked, self.weights_s, now_s):
            return Due(version=newest, is_overdue=True)
        pool = [
            view.target.name
            for view in self.fleet.views.values()
            if view.target.pool == target.pool
        ]
        turn = rollout.turn(target.name, pool, self.weights_s)
        ahead: list[Progress] = []
        for name in turn.predecessors:
            ahead.append(await self.progress(name, model, newest))
            # `turn_state` needs just two available predecessors.
            if ahead.count(Progress.ABSENT) < len(ahead) - 1:
                break
        is_turn = rollout.turn_state(ahead)
        return None if is_turn is None else Due(version=newest, is_turn=is_turn)

    async def progress(self, name: str, model: str, version: int) -> Progress:
        """Return how far another target is with a version."""
        view = self.fleet.views.get(name)
        if view is None:
            return Progress.ABSENT
        status = await self.peers.status(view.target.address)
        if status is None or not status.is_reachable or status.is_draining:
            return Progress.ABSENT
        if status.is_loading:
            return Progress.LOADING
        is_done = status.versions.get(model, 0) >= version
        return Progress.LOADED if is_done else Progress.WAITING

    def has_wound_down(self, report: TargetReport, due: Due) -> bool:
        """Start winding down if needed; return whether the load may begin."""
        now_s = self.clock.seconds()
        if self.winding_down_since_s is None:
            self.winding_down_since_s = now_s
            self.publish_report(report)
        if due.is_overdue:
            return True
        waited_s = now_s - self.winding_down_since_s
        return due.is_turn and rollout.has_wound_down(report, waited_s)

    async def load(
        self, report: TargetReport, model: str, version: int
    ) -> None:
        """Order the target to load weights, and wait for the load to end."""
        target = self.target
        if target is None:
            return
        began_s = self.clock.seconds()
        report = await self.drain_queue(report)
        self.note_orders(report)
        if not self.foreign.may_order(self.clock.seconds()):
            self.loading_until_s = -1.0
            return
        if report.is_busy or report.versions.get(model, 0) >= version:
            # An order that had no answer is being carried out after all.
            await self.watch_load(model, version)
            return
        order = LoadOrder(
            model=model,
            version=version,
            holder=self.holder,
            fencing=rollout.FENCING,
            after_orders=report.orders,
        )
        answered = await self.port.order(
            self.address, target.name, order, ORDER_TIMEOUT_S
        )
        outcome = "unanswered"
        if answered.is_error() or answered.ok is OrderOutcome.ACCEPTED:
            self.foreign.sent()
        if answered.is_ok():
            outcome = answered.ok.value
        elif answered.error.verdict is Verdict.NOT_RUN:
            outcome = "not sent"
        if answered.is_error() or answered.ok is not OrderOutcome.ACCEPTED:
            self.loading_until_s = -1.0
        self.on_order(outcome)
        self.log.info(
            "weights ordered",
            target=target.name,
            model=model,
            version=version,
            replaced=report.versions.get(model, 0),
            after_orders=report.orders,
            waiting=report.waiting,
            running=report.running,
            reading=report.reading,
            outcome=outcome,
        )
        await self.watch_load(model, version)
        self.log.info(
            "weights load ended",
            target=target.name,
            versions=dict(self.status.versions),
            is_loading=self.status.is_loading,
            seconds=round(self.clock.seconds() - began_s, 3),
        )

    async def watch_load(self, model: str, version: int) -> None:
        """Poll the target closely until its load ends, and publish that."""
        ends_s = self.clock.seconds() + LOAD_WATCH_S
        while self.clock.seconds() < ends_s:
            await timing.sleep(self.clock, QUEUE_CHECK_S)
            answered = await self.port.report(self.address, REPORT_TIMEOUT_S)
            if answered.is_error():
                return
            report = answered.ok
            is_loaded = report.versions.get(model, 0) >= version
            if is_loaded and not report.is_busy:
                self.loading_until_s = -1.0
            self.publish_report(report)
            if not self.status.is_loading:
                return

    async def drain_queue(self, report: TargetReport) -> TargetReport:
        """Announce a load and wait for the target's queue to empty.

        Returns:
          The target's last report.
        """
        now_s = self.clock.seconds()
        ends_s = now_s + QUEUE_DRAIN_S
        self.loading_until_s = ends_s + UNANSWERED_S
        self.publish(attrs.evolve(self.status, is_loading=True))
        await timing.sleep(self.clock, ANNOUNCE_S)
        while self.clock.seconds() < ends_s:
            answered = await self.port.report(self.address, REPORT_TIMEOUT_S)
            if answered.is_error():
                break
            report = answered.ok
            self.publish_report(report)
            if report.waiting == 0:
                break
            await timing.sleep(self.clock, QUEUE_CHECK_S)
        self.loading_until_s = self.clock.seconds() + UNANSWERED_S
        return report

    # Routers.

    def record_router_poll(self, router: str) -> None:
        """Record that a router has polled this agent."""
        self.routers[router] = self.clock.seconds()

    def count_routers(self, now_s: float) -> int:
        """Return the number of active routers; remove the others."""
        for name, polled_s in list(self.routers.items()):
            if now_s - polled_s > ROUTER_ACTIVE_S:
                del self.routers[name]
        return len(self.routers)

    async def wait_for_status(self, number: int, wait_s: float) -> TargetStatus:
        """Return the status, waiting a limited time for one that is newer.

        Args:
          number: Number of the status that the router has.
          wait_s: Maximum time to wait, in seconds.
        """
        if self.status.number <= number:
            changed: Deferred[None] = Deferred()
            self.watchers.append(changed)
            timer = self.clock.callLater(wait_s, self.wake, changed)
            await changed
            if timer.active():
                timer.cancel()
        return self.status

    def wake(self, watcher: Deferred[None]) -> None:
        """End one watcher's wait after its timeout."""
        if watcher in self.watchers:
            self.watchers.remove(watcher)
            watcher.callback(None)


def needs_publishing(old: TargetStatus, new: TargetStatus) -> bool:
    """Whether a new status differs enough to be published."""
    if abs(old.running - new.running) >= REQUESTS_STEP:
        return True
    if abs(old.reading - new.reading) >= READING_STEP:
        return True
    if (old.waiting == 0) != (new.waiting == 0):
        return True
    if abs(old.waiting - new.waiting) >= REQUESTS_STEP:
        return True
    return (
        old.target != new.target
        or old.born_ms != new.born_ms
        or old.is_loading != new.is_loading
        or old.is_winding_down != new.is_winding_down
        or old.is_draining != new.is_draining
        or old.is_reachable != new.is_reachable
        or old.versions != new.versions
        or old.routers != new.routers
        or old.limit_per_s != new.limit_per_s
    )
