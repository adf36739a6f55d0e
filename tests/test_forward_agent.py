"""An agent's load orders: when they are sent, and what it publishes."""

from typing import Any

import attrs
from expression import Error, Ok, Result
from structlog.testing import CapturingLogger
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind import rollout
from sequoiawind.fleet import Fleet
from sequoiawind.forward_agent import ForwardAgent
from sequoiawind.rollout import LoadOrder, OrderOutcome, TargetReport
from sequoiawind.verdict import Failure, Reason, may_have_run
from sequoiawind.wire import TargetStatus
from tests.forward_rig import REPORT, target


@attrs.define(kw_only=True, eq=False)
class FakeTarget:
    """A target that accepts every order."""

    report_now: TargetReport
    orders: list[LoadOrder] = attrs.field(factory=list)
    # Whether each report shows one waiting request less.
    drains_queue: bool = False
    # Whether it answers orders.
    is_answering: bool = True
    # Whether it does not answer report requests.
    is_silent: bool = False

    async def report(
        self, address: str, timeout_s: float
    ) -> Result[TargetReport, Failure]:
        if self.is_silent:
            return Error(may_have_run(Reason.START_TIMEOUT, "silent"))
        now = self.report_now
        if now.waiting and self.drains_queue:
            self.report_now = attrs.evolve(now, waiting=now.waiting - 1)
        return Ok(now)

    async def order(
        self, address: str, target: str, order: LoadOrder, timeout_s: float
    ) -> Result[OrderOutcome, Failure]:
        self.orders.append(order)
        if not self.is_answering:
            return Error(may_have_run(Reason.CONNECTION_LOST, "lost"))
        self.report_now = attrs.evolve(
            self.report_now,
            versions={order.model: order.version},
            orders=self.report_now.orders + 1,
        )
        return Ok(OrderOutcome.ACCEPTED)


@attrs.define(kw_only=True, eq=False)
class FakePeers:
    """The agents of other targets; all give the same answer."""

    answer: TargetStatus | None = None

    async def status(self, address: str) -> TargetStatus | None:
        return self.answer


class OrderTest(TestCase):
    """When an agent orders its target to load weights."""

    def setUp(self) -> None:
        super().setUp()
        self.peers = FakePeers()

    def make(
        self, drains_queue: bool = False, **fields: Any
    ) -> tuple[Clock, ForwardAgent, FakeTarget]:
        clock, fleet = Clock(), Fleet()
        fleet.put(target("e1", "llm", address="ip:1"))
        fake = FakeTarget(
            report_now=attrs.evolve(REPORT, **fields), drains_queue=drains_queue
        )
        agent = ForwardAgent(
            address="ip:1",
            holder="agent",
            port=fake,
            clock=clock,
            fleet=fleet,
            peers=self.peers,
            log=CapturingLogger(),  # type: ignore[arg-type]
            weights_s=6.0,
        )
        Deferred.fromCoroutine(agent.run())
        return clock, agent, fake

    def test_states_the_start_that_its_target_reports(self) -> None:
        # The store may not have the entry of the new start yet.
        clock, agent, fake = self.make(born_ms=7)
        self.assertEqual(("e1", 7), (agent.status.target, agent.status.born_ms))
        fake.report_now = attrs.evolve(fake.report_now, born_ms=8)
        clock.advance(1.0)
        self.assertEqual(8, agent.status.born_ms)

    def make_with_predecessors(self) -> tuple[Clock, ForwardAgent, FakeTarget]:
        clock, agent, fake = self.make()
        others = [f"f{number}" for number in range(30)]
        agent.weights_s = 100.0
        for name in others:
            agent.fleet.put(target(name, "llm"))
        pool = ["e1", *others]
        if not rollout.turn("e1", pool, 100.0).predecessors:
            raise AssertionError("e1 has no predecessors in the load order")
        agent.weights_named("m", 2, False)
        return clock, agent, fake

    def test_loads_when_its_predecessor_has_loaded(self) -> None:
        clock, _, fake = self.make_with_predecessors()
        for status, orders in (
            (TargetStatus(versions={"m": 1}), 0),
            (TargetStatus(versions={"m": 2}, is_loading=True), 0),
            (TargetStatus(versions={"m": 2}), 1),
        ):
            self.peers.answer = status
            self.advance(clock, 1.0)
            self.assertEqual(orders, len(fake.orders), status)

    def test_no_second_order_while_a_late_one_is_carried_out(self) -> None:
        for late in ({"is_busy": True}, {"versions": {"m": 2}}):
            clock, agent, fake = self.make(waiting=1)
            agent.weights_named("m", 2, False)
            while not agent.status.is_loading:
                clock.advance(0.01)
            # An earlier order arrives while the queue drains.
            fake.report_now = attrs.evolve(
                fake.report_now, waiting=0, orders=1, **late
            )
            self.advance(clock, 0.5)
            self.assertEqual([], fake.orders, late)

    def test_does_not_wait_for_an_unavailable_predecessor(self) -> None:
        for status in (
            None,
            TargetStatus(versions={"m": 1}, is_reachable=False),
            TargetStatus(versions={"m": 1}, is_draining=True),
        ):
            self.peers.answer = status
            clock, _, fake = self.make_with_predecessors()
            self.advance(clock, 1.0)
            self.assertEqual(1, len(fake.orders), status)

    def test_version_named_before_a_restart_needs_no_turn(self) -> None:
        self.peers.answer = TargetStatus(versions={"m": 1})
        clock, agent, fake = self.make_with_predecessors()
        agent.named.clear()
        agent.weights_named("m", 2, True)
        self.advance(clock, 1.0)
        self.assertEqual(1, len(fake.orders))

    def test_overdue_load_does_not_wait_for_its_turn(self) -> None:
        self.peers.answer = TargetStatus(versions={"m": 1})
        clock, _, fake = self.make_with_predecessors()
        overdue_s = 100.0 * rollout.OVERDUE_SHARE
        self.advance(clock, overdue_s - 2.0)
        self.assertEqual(0, len(fake.orders))
        self.advance(clock, 4.0)
        self.assertEqual(1, len(fake.orders))

    def advance(self, clock: Clock, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            clock.advance(0.01)

    def test_load_is_announced_before_it_is_ordered(self) -> None:
        clock, agent, fake = self.make()
        agent.weights_named("m", 2, False)
        for _ in range(100):
            if agent.status.is_loading:
                break
            clock.advance(0.01)
        self.assertTrue(agent.status.is_loading)
        self.assertEqual([], fake.orders)
        self.advance(clock, 0.2)
        self.assertEqual([2], [order.version for order in fake.orders])

    def test_ordered_once_the_queue_is_empty(self) -> None:
        clock, agent, fake = self.make(waiting=5, drains_queue=True)
        agent.weights_named("m", 2, False)
        self.advance(clock, 0.15)
        self.assertEqual([], fake.orders)
        self.advance(clock, 0.3)
        self.assertEqual(1, len(fake.orders))

    def test_ordered_after_a_limit_if_the_queue_does_not_empty(self) -> None:
        clock, agent, fake = self.make(waiting=5)
        agent.weights_named("m", 2, False)
        self.advance(clock, 0.9)
        self.assertEqual([], fake.orders)
        self.advance(clock, 0.4)
        self.assertEqual(1, len(fake.orders))

    def test_waits_for_long_runs_up_to_the_limit(self) -> None:
        clock, agent, fake = self.make(running=1, runs=(90,))
        agent.weights_named("m", 2, False)
        self.advance(clock, 0.2)
        self.assertTrue(agent.status.is_winding_down)
        self.assertFalse(agent.status.is_loading)
        self.advance(clock, rollout.WIND_DOWN_CAP_S - 0.2)
        self.assertEqual([], fake.orders)
        self.advance(clock, 0.4)
        self.assertEqual(1, len(fake.orders))
        self.assertFalse(agent.status.is_winding_down)

    def test_winds_down_while_its_predecessor_loads(self) -> None:
        clock, agent, fake = self.make_with_predecessors()
        fake.report_now = attrs.evolve(fake.report_now, running=1, runs=(3,))
        self.peers.answer = TargetStatus(versions={"m": 1}, is_loading=True)
        self.advance(clock, 2.0)
        self.assertTrue(agent.status.is_winding_down)
        self.assertEqual([], fake.orders)
        self.peers.answer = TargetStatus(versions={"m": 2})
        self.advance(clock, 0.2)
        self.assertEqual(1, len(fake.orders))

    def test_overdue_load_does_not_wait_for_runs(self) -> None:
        clock, agent, fake = self.make(running=1, runs=(90,))
        agent.weights_named("m", 2, True)
        self.advance(clock, 0.3)
        self.assertEqual(1, len(fake.orders))

    def test_end_of_a_load_is_published_immediately(self) -> None:
        clock, agent, fake = self.make()
        agent.weights_named("m", 2, False)
        while not fake.orders:
            clock.advance(0.01)
        fake.report_now = attrs.evolve(fake.report_now, is_busy=True)
        self.advance(clock, 1.0)
        self.assertTrue(agent.status.is_loading)
        fake.report_now = attrs.evolve(fake.report_now, is_busy=False)
        self.advance(clock, 0.05)
        self.assertFalse(agent.status.is_loading)

    def test_only_the_newest_version_is_ordered(self) -> None:
        clock, agent, fake = self.make()
        for version in (2, 4, 3):
            agent.weights_named("m", version, False)
        self.advance(clock, 3.0)
        self.assertEqual([4], [order.version for order in fake.orders])

    def test_unanswered_order_is_repeated_under_the_same_condition(
        self,
    ) -> None:
        clock, agent, fake = self.make()
        fake.is_answering = False
        agent.weights_named("m", 2, False)
        self.advance(clock, 2.0)
        self.assertTrue(len(fake.orders) > 1)
        # The first order that the target accepts makes it refuse the others.
        self.assertEqual({0}, {order.after_orders for order in fake.orders})
        self.assertEqual(
            {rollout.FENCING}, {order.fencing for order in fake.orders}
        )

    def test_silent_target_is_reported_as_unreachable(self) -> None:
        clock, agent, fake = self.make()
        self.advance(clock, 0.3)
        self.assertTrue(agent.status.is_reachable)
        fake.is_silent = True
        self.advance(clock, 0.3)
        self.assertFalse(agent.status.is_reachable)
        fake.is_silent = False
        self.advance(clock, 0.2)
        self.assertTrue(agent.status.is_reachable)

    def test_exception_does_not_end_the_agent(self) -> None:
        clock, agent, fake = self.make()
        good = fake.report_now
        fake.report_now = None  # type: ignore[assignment]
        self.advance(clock, 0.5)
        fake.report_now = good
        agent.weights_named("m", 2, False)
        self.advance(clock, 1.0)
        self.assertEqual(1, len(fake.orders))
