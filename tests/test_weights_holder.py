"""Weights ordered by routers under leases, where there are no agents."""

from typing import Any

import attrs
import structlog
from expression import Error, Ok, Result
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind.fleet import Fleet
from sequoiawind.rollout import (
    FENCING,
    LoadOrder,
    NamedVersion,
    OrderOutcome,
    TargetReport,
)
from sequoiawind.verdict import Failure, Reason, may_have_run
from sequoiawind.weights_holder import Lease, WeightsHolder, partition_of
from tests.forward_rig import REPORT, target

PARTITIONS = 4
LEASE_S = 3.0
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")


@attrs.define(kw_only=True, eq=False)
class Group:
    """A group of the store, as its page describes it; a `LeasePort`."""

    clock: Clock
    era: int = 0
    generation: int = 0
    # When each member last joined, in seconds of the clock.
    joined_s: dict[str, float] = attrs.field(factory=dict)
    # Members that the store does not answer.
    cut: set[str] = attrs.field(factory=set)

    def expire(self) -> None:
        """Remove the members whose lease has ended."""
        for member, joined_s in list(self.joined_s.items()):
            if self.clock.seconds() - joined_s > LEASE_S:
                del self.joined_s[member]
                self.generation += 1

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        lease_s: float,
        generation: int,
        timeout_s: float,
    ) -> Result[Lease, Failure]:
        """Join, or renew the lease."""
        if member in self.cut:
            return Error(LOST)
        self.expire()
        if member not in self.joined_s:
            self.generation += 1
        self.joined_s[member] = self.clock.seconds()
        members = sorted(self.joined_s)
        held = range(members.index(member), PARTITIONS, len(members))
        return Ok(
            Lease(
                era=self.era,
                generation=self.generation,
                partitions=frozenset(held),
            )
        )

    async def leave(self, group: str, member: str, timeout_s: float) -> None:
        """Leave."""
        if self.joined_s.pop(member, None) is not None:
            self.generation += 1


@attrs.define(kw_only=True, eq=False)
class Targets:
    """Targets that load ordered weights; a `TargetPort`."""

    clock: Clock
    reports: dict[str, TargetReport] = attrs.field(factory=dict)
    # Time, target and order of each order.
    orders: list[tuple[float, str, LoadOrder]] = attrs.field(factory=list)
    # Reports that wait for the test, if any.
    held_reports: list[Deferred[None]] | None = None

    async def report(
        self, address: str, timeout_s: float
    ) -> Result[TargetReport, Failure]:
        """Return the report of the target at an address."""
        if self.held_reports is not None:
            self.held_reports.append(Deferred())
            await self.held_reports[-1]
        return Ok(self.reports[address])

    async def order(
        self, address: str, target: str, order: LoadOrder, timeout_s: float
    ) -> Result[OrderOutcome, Failure]:
        """Load the weights at once, if the order's precondition holds."""
        self.orders.append((self.clock.seconds(), target, order))
        report = self.reports[address]
        if order.after_orders != report.orders:
            return Ok(OrderOutcome.REFUSED)
        self.reports[address] = attrs.evolve(
            report, versions={"m": order.version}, orders=report.orders + 1
        )
        return Ok(OrderOutcome.ACCEPTED)


@attrs.define(kw_only=True, eq=False)
class HolderRig:
    """Routers without agents before some targets."""

    clock: Clock = attrs.field(factory=Clock)
    group: Group = attrs.field(init=False)
    targets: Targets = attrs.field(init=False)
    holders: dict[str, WeightsHolder] = attrs.field(factory=dict)
    named: dict[str, list[NamedVersion]] = attrs.field(factory=dict)
    # For how long each router was suspended, in seconds.
    suspended_s: dict[str, float] = attrs.field(factory=dict)
    has_agents: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the group and the targets."""
        self.group = Group(clock=self.clock)
        self.targets = Targets(clock=self.clock)

    def start(self, *routers: str, targets: int = 8) -> None:
        """Start routers, each with its own view of the targets."""
        for router in routers:
            fleet = Fleet()
            for number in range(targets):
                fleet.put(target(f"e{number}", "llm"))
                self.targets.reports.setdefault(f"e{number}:80", REPORT)
            self.suspended_s[router] = 0.0
            holder = WeightsHolder(
                member=router,
                port=self.group,
                targets=self.targets,
                fleet=fleet,
                clock=self.clock,
                age_clock=self.age_clock(router),
                lease_s=LEASE_S,
                partitions=PARTITIONS,
                weights_s=8.0,
                named=self.named,
                has_agents=lambda: self.has_agents,
                log=structlog.get_logger(),
            )
            self.holders[router] = holder
            Deferred.fromCoroutine(holder.run())

    def age_clock(self, router: str) -> Any:
        """Return a clock that counts a router's suspensions."""
        return lambda: self.clock.seconds() + self.suspended_s[router]

    def name(self, version: int) -> None:
        """Name a weights version."""
        self.named.setdefault("m", []).append(
            NamedVersion(version=version, named_s=self.clock.seconds())
        )

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def versions(self) -> set[int]:
        """Return the versions that the targets have."""
        return {item.versions["m"] for item in self.targets.reports.values()}

    def holders_of(self, name: str) -> list[str]:
        """Return the holders that ordered a target, in order."""
        return [
            order.holder
            for _, ordered, order in self.targets.orders
            if ordered == name
        ]


class WeightsHolderTest(TestCase):
    """One holder orders a target at a time, with rising fencing numbers."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = HolderRig()

    def test_each_target_is_ordered_once_by_one_router(self) -> None:
        self.rig.start("r1", "r2", "r3")
        self.rig.advance(5.0)
        self.rig.name(2)
        self.rig.advance(8.0)
        self.assertEqual({2}, self.rig.versions())
        self.assertEqual(8, len(self.rig.targets.orders))
        holders = {order.holder for _, _, order in self.rig.targets.orders}
        self.assertTrue(len(holders) > 1, holders)

    def test_nothing_is_ordered_before_a_former_lease_has_ended(self) -> None:
        self.rig.name(2)
        self.rig.start("r1")
        self.rig.advance(LEASE_S - 0.2)
        self.assertEqual([], self.rig.targets.orders)
        self.rig.advance(2.0)
        self.assertTrue(self.rig.targets.orders)

    def test_targets_of_a_lost_router_pass_on(self) -> None:
        self.rig.start("r1", "r2")
        self.rig.advance(5.0)
        self.rig.group.cut.add("r1")
        self.rig.advance(2 * LEASE_S + 1.0)
        self.rig.name(2)
        self.rig.advance(8.0)
        self.assertEqual({2}, self.rig.versions())
        holders = {order.holder for _, _, order in self.rig.targets.orders}
        self.assertEqual({"r2"}, holders)

    def test_new_holder_has_a_greater_fencing_number(self) -> None:
        self.rig.start("r1", "r2")
        self.rig.advance(5.0)
        self.rig.name(2)
        self.rig.advance(5.0)
        self.rig.group.cut.add("r1")
        self.rig.advance(2 * LEASE_S + 1.0)
        self.rig.name(3)
        self.rig.advance(8.0)
        self.assertEqual({3}, self.rig.versions())
        for name in (f"e{number}" for number in range(8)):
            fencing = [
                order.fencing
                for _, ordered, order in self.rig.targets.orders
                if ordered == name
            ]
            self.assertEqual(sorted(fencing), fencing, name)
            if len(set(self.rig.holders_of(name))) > 1:
                self.assertTrue(fencing[0] < fencing[-1], name)

    def test_rewound_store_gives_no_fencing_number_out_again(self) -> None:
        self.rig.start("r1")
        self.rig.advance(5.0)
        before = self.rig.holders["r1"].lease
        self.rig.group.era += 1
        self.rig.group.generation = 0
        self.rig.group.joined_s.clear()
        self.rig.advance(2.0)
        after = self.rig.holders["r1"].lease
        assert before is not None and after is not None
        self.assertTrue(before.fencing < after.fencing < FENCING)

    def test_suspended_router_does_not_use_a_lease_that_ran_out(self) -> None:
        # It is suspended while it waits for a report, and another router has
        # taken over when it goes on.
        self.rig.start("r1")
        self.rig.advance(5.0)
        self.rig.targets.held_reports = []
        self.rig.name(2)
        self.rig.advance(1.0)
        self.assertEqual(1, len(self.rig.targets.held_reports))
        self.rig.suspended_s["r1"] += LEASE_S
        held, self.rig.targets.held_reports = (
            self.rig.targets.held_reports,
            None,
        )
        held[0].callback(None)
        self.assertEqual([], self.rig.targets.orders)

    def test_router_whose_lease_lapsed_waits_again(self) -> None:
        self.rig.start("r1")
        self.rig.advance(5.0)
        self.rig.suspended_s["r1"] += LEASE_S
        self.rig.name(2)
        self.rig.advance(LEASE_S - 0.5)
        self.assertEqual([], self.rig.targets.orders)
        self.rig.advance(1.5)
        self.assertTrue(self.rig.targets.orders)

    def test_work_is_left_to_agents_once_there_are_some(self) -> None:
        self.rig.start("r1", "r2")
        self.rig.advance(5.0)
        self.rig.has_agents = True
        self.rig.advance(1.0)
        self.assertEqual({}, self.rig.group.joined_s)
        self.rig.name(2)
        self.rig.advance(10.0)
        self.assertEqual([], self.rig.targets.orders)

    def test_few_targets_load_at_the_same_time(self) -> None:
        self.rig.start("r1", "r2", targets=12)
        self.rig.advance(5.0)
        self.rig.name(2)
        self.rig.advance(0.3)
        self.assertTrue(1 <= len(self.rig.targets.orders) <= 4)

    def test_partitions_are_those_of_the_topic(self) -> None:
        found = {partition_of(f"e{number}", 5) for number in range(200)}
        self.assertEqual(set(range(5)), found)
