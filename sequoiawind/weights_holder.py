"""Orders weights for targets that no agent stands beside.

The routers share the work by leases on the partitions of a topic of the store:
the holder of a target's partition orders that target.  Each change of the
holders raises the group's generation, which is the fencing number of the
orders.  A holder orders only while its lease surely holds, on a clock that
counts suspensions, and not before a former holder's lease has ended.  As soon
as an agent has answered, a router leaves this work to the agents for good.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final, Protocol

import attrs
import structlog
from expression import Result
from xxhash import xxh3_64_intdigest

from sequoiawind import rollout, supervise, timing
from sequoiawind.fleet import Fleet, TargetView
from sequoiawind.ports import Clock
from sequoiawind.rollout import (
    LoadOrder,
    NamedVersion,
    OrderOutcome,
    Progress,
    TargetPort,
)
from sequoiawind.verdict import Failure

Logger = structlog.typing.FilteringBoundLogger

# Topic whose partitions are leased, and the group of its holders.
TOPIC: Final = "weights-holders"
# Interval at which the targets are checked, in seconds.
CHECK_S: Final = 0.25
# Share of the lease after which it is renewed, and in which it may be used; the
# rest is for the order's way to its target.
RENEW_SHARE: Final = 0.25
USE_SHARE: Final = 0.6
JOIN_TIMEOUT_S: Final = 0.8
REPORT_TIMEOUT_S: Final = 0.3
ORDER_TIMEOUT_S: Final = 1.0
# Time after an order until the target is ordered again, in seconds.
REPEAT_S: Final = 2.5
# Generations in one era of the store; a new era may count them from the start.
GENERATIONS: Final = 100_000


@attrs.frozen(kw_only=True)
class Lease:
    """The partitions that a member of the group holds."""

    era: int
    generation: int
    partitions: frozenset[int]

    @property
    def fencing(self) -> int:
        """Fencing number of orders under this lease."""
        return self.era * GENERATIONS + self.generation


async def no_agent(address: str) -> bool:
    """Return that no agent listens at an address."""
    return False


class LeasePort(Protocol):
    """Leases the partitions of a topic of the store."""

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        lease_s: float,
        generation: int,
        timeout_s: float,
    ) -> Result[Lease, Failure]:
        """Join a group, or renew the lease of a member."""

    async def leave(self, group: str, member: str, timeout_s: float) -> None:
        """Leave a group, so that others hold the partitions at once."""


@attrs.define(kw_only=True)
class WeightsHolder:
    """Controller that orders weights for the targets of its partitions."""

    member: str
    port: LeasePort
    targets: TargetPort
    fleet: Fleet
    clock: Clock
    # Clock of the leases; it counts suspensions.
    age_clock: Callable[[], float]
    # Duration of a lease, in seconds.
    lease_s: float
    # Number of partitions of a topic.
    partitions: int
    # Time within which all targets must have newly named weights, in seconds.
    weights_s: float
    # Versions by model, in the order in which operators named them.
    named: Mapping[str, Sequence[NamedVersion]]
    # Whether agents may exist, so that the work is theirs.
    has_agents: Callable[[], bool]
    log: Logger
    # Returns whether an agent listens beside the target at an address; asked
    # directly before an order.
    has_agent_at: Callable[[str], Awaitable[bool]] = attrs.field(
        default=no_agent
    )
    # Whether such an agent was met, so that the work is the agents'.
    has_met_agent: bool = False
    lease: Lease | None = None
    # When the last answered request for the lease was sent, and since when each
    # partition is held, in seconds of `age_clock`.
    renewed_s: float = float("-inf")
    held_since_s: dict[int, float] = attrs.field(factory=dict)
    # Version and time of the last order, by target; in seconds of `age_clock`.
    ordered: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Run `watch` until the process ends."""
        await supervise.repeat(self.watch, "weights", self.clock, self.log)

    async def watch(self) -> bool:
        """Take a step, then pause; always return True, to be repeated."""
        await self.step()
        await timing.sleep(self.clock, CHECK_S)
        return True

    async def step(self) -> None:
        """Renew the lease if needed, and order what is due."""
        if self.has_met_agent or self.has_agents():
            await self.give_up()
            return
        if self.age_clock() - self.renewed_s >= self.lease_s * RENEW_SHARE:
            await self.renew()
        for view in list(self.fleet.views.values()):
            for model in view.target.versions:
                if self.may_order(view):
                    await self.order_if_due(view, model)

    async def give_up(self) -> None:
        """Leave the group, if this process is in it."""
        if self.lease is None:
            return
        self.lease = None
        self.held_since_s.clear()
        self.log.info("weights left to agents")
        await self.port.leave(TOPIC, self.member, JOIN_TIMEOUT_S)

    async def renew(self) -> None:
        """Join the group, or renew the lease."""
        sent_s = self.age_clock()
        generation = self.lease.generation if self.lease is not None else 0
        answered = await self.port.join(
            TOPIC, self.member, TOPIC, self.lease_s, generation, JOIN_TIMEOUT_S
        )
        if answered.is_error():
            self.log.warning("lease not renewed", detail=answered.error.detail)
            return
        old, new = self.lease, answered.ok
        now_s = self.age_clock()
        if sent_s - self.renewed_s >= self.lease_s:
            # It lapsed meanwhile, so another process may have held it.
            self.held_since_s.clear()
        self.lease, self.renewed_s = new, sent_s
        self.held_since_s = {
            partition: self.held_since_s.get(partition, now_s)
            for partition in new.partitions
        }
        if old is None or old.partitions != new.partitions:
            self.log.info(
                "lease changed",
                generation=new.generation,
                era=new.era,
                partitions=sorted(new.partitions),
            )

    def may_order(self, view: TargetView) -> bool:
        """Whether this process surely holds the lease of a target now."""
        now_s = self.age_clock()
        since_s = self.held_since_s.get(
            partition_of(view.target.name, self.partitions), now_s
        )
        return (
            self.lease is not None
            and now_s - self.renewed_s < self.lease_s * USE_SHARE
            and now_s - since_s >= self.lease_s
        )

    def due_version(self, view: TargetView, model: str) -> int | None:
        """Return the version that a target has to load now, if any."""
        lacked = rollout.lacking(view.version(model), self.named.get(model, ()))
        if not lacked or view.target.is_draining:
            return None
        newest = lacked[-1].version
        version, ordered_s = self.ordered.get(view.target.name, (0, 0.0))
        if version == newest and self.age_clock() - ordered_s < REPEAT_S:
            return None
        now_s = self.clock.seconds()
        if rollout.is_overdue(lacked, self.weights_s, now_s):
            return newest
        pool = [
            other.target.name
            for other in self.fleet.views.values()
            if other.target.pool == view.target.pool
        ]
        turn = rollout.turn(view.target.name, pool, self.weights_s)
        ahead = [
            self.progress(name, model, newest) for name in turn.predecessors
        ]
        return newest if rollout.turn_state(ahead) else None

    def progress(self, name: str, model: str, version: int) -> Progress:
        """Return how far another target is with a version."""
        view = self.fleet.views.get(name)
        if view is None or view.target.is_draining:
            return Progress.ABSENT
        is_done = view.version(model) >= version
        return Progress.LOADED if is_done else Progress.WAITING

    async def order_if_due(self, view: TargetView, model: str) -> None:
        """Order a target to load weights, if that is due."""
        version = self.due_version(view, model)
        if version is None:
            return
        target = view.target
        self.ordered[target.name] = (version, self.age_clock())
        answered = await self.targets.report(target.address, REPORT_TIMEOUT_S)
        if answered.is_error():
            return
        report = answered.ok
        has = report.versions.get(model, 0)
        view.seen_versions[model] = max(view.seen_versions.get(model, 0), has)
        if report.is_busy or has >= version:
            return
        if await self.has_agent_at(target.address):
            self.has_met_agent = True
            self.log.info("agent found before an order", target=target.name)
            return
        # The answers may have taken long, or this process was suspended.
        if self.lease is None or not self.may_order(view):
            return
        order = LoadOrder(
            model=model,
            version=version,
            holder=self.member,
            fencing=self.lease.fencing,
            after_orders=report.orders,
        )
        outcome = await self.targets.order(
            target.address, target.name, order, ORDER_TIMEOUT_S
        )
        self.log.info(
            "weights ordered",
            target=target.name,
            model=model,
            version=version,
            replaced=has,
            after_orders=report.orders,
            fencing=order.fencing,
            outcome=describe(outcome),
        )


def describe(outcome: Result[OrderOutcome, Failure]) -> str:
    """Return the outcome of an order, for the log."""
    if outcome.is_ok():
        return outcome.ok.value
    return f"unanswered: {outcome.error.detail}"


def partition_of(target: str, partitions: int) -> int:
    """Return the partition whose holder orders a target."""
    return int(xxh3_64_intdigest(target.encode()) % max(1, partitions))
