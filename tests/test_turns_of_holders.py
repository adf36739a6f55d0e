"""Routers and agents do not take turns at a target within a lease.

Guards against two holders of one engine's weights: a router that no agent has
answered orders, until the agent beside the engine has just started.
"""

from typing import Any

import attrs
import structlog
from expression import Error, Ok
from structlog.testing import CapturingLogger
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sequoiawind.fleet import Fleet
from sequoiawind.foreign_orders import ForeignOrders
from sequoiawind.forward_agent import ForwardAgent
from sequoiawind.status_watcher import AgentClient
from sequoiawind.verdict import Reason, may_have_run, not_run
from tests.forward_rig import REPORT, target
from tests.test_forward_agent import FakePeers, FakeTarget
from tests.test_weights_holder import LEASE_S, HolderRig


class AgentTest(TestCase):
    """An agent waits after the orders of others."""

    def start(self, **report: Any) -> FakeTarget:
        """Start an agent beside a target."""
        self.clock, fleet = Clock(), Fleet()
        fleet.put(target("e1", "llm", address="ip:1"))
        fake = FakeTarget(report_now=attrs.evolve(REPORT, **report))
        self.agent = ForwardAgent(
            address="ip:1",
            holder="agent",
            port=fake,
            clock=self.clock,
            fleet=fleet,
            peers=FakePeers(),
            log=CapturingLogger(),  # type: ignore[arg-type]
            weights_s=6.0,
            lease_s=LEASE_S,
        )
        Deferred.fromCoroutine(self.agent.run())
        return fake

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def order_of_another(self, fake: FakeTarget) -> None:
        """Let the target accept an order of another holder."""
        fake.report_now = attrs.evolve(
            fake.report_now, orders=fake.report_now.orders + 1
        )

    def test_target_without_orders_is_ordered_at_once(self) -> None:
        fake = self.start()
        self.agent.weights_named("m", 2, False)
        self.advance(1.0)
        self.assertEqual(1, len(fake.orders))

    def test_orders_before_its_start_may_be_of_others(self) -> None:
        fake = self.start(orders=1)
        self.agent.weights_named("m", 2, False)
        self.advance(LEASE_S - 0.2)
        self.assertEqual([], fake.orders)
        self.advance(1.0)
        self.assertEqual(1, len(fake.orders))

    def test_order_of_another_holder_is_waited_for(self) -> None:
        fake = self.start()
        self.advance(1.0)
        self.order_of_another(fake)
        self.advance(0.3)
        self.agent.weights_named("m", 2, False)
        self.advance(LEASE_S - 0.5)
        self.assertEqual([], fake.orders)
        self.advance(1.0)
        self.assertEqual(1, len(fake.orders))

    def test_own_orders_are_not_waited_for(self) -> None:
        for is_answering in (True, False):
            fake = self.start()
            fake.is_answering = is_answering
            for version in (2, 3, 4):
                self.agent.weights_named("m", version, False)
                self.advance(1.0)
                if not is_answering:
                    # It is carried out late.
                    fake.report_now = attrs.evolve(
                        fake.report_now,
                        versions={"m": version},
                        orders=fake.report_now.orders + 1,
                    )
                    self.advance(0.5)
            ordered = [order.version for order in fake.orders]
            self.assertEqual([2, 3, 4], sorted(set(ordered)), is_answering)

    def test_restart_of_the_target_is_no_order(self) -> None:
        fake = self.start(orders=3)
        self.advance(LEASE_S + 1.0)
        fake.report_now = attrs.evolve(fake.report_now, born_ms=9, orders=0)
        self.advance(1.0)
        self.agent.weights_named("m", 2, False)
        self.advance(1.0)
        self.assertEqual(1, len(fake.orders))

    def test_late_report_counts_no_order_twice(self) -> None:
        orders = ForeignOrders(lease_s=LEASE_S)
        seen = [
            orders.note(attrs.evolve(REPORT, orders=count), 0.0)
            for count in (0, 1, 1, 2, 2)
        ]
        self.assertEqual([False, True, False, True, False], seen)


class RouterTest(TestCase):
    """A router asks for the agent directly before it orders."""

    def test_router_that_meets_an_agent_orders_nothing(self) -> None:
        for has_agent in (False, True):
            rig = HolderRig()
            rig.start("r1")
            asked: list[str] = []

            async def has_agent_at(
                address: str,
                asked: list[str] = asked,
                has_agent: bool = has_agent,
            ) -> bool:
                asked.append(address)
                return has_agent

            rig.holders["r1"].has_agent_at = has_agent_at
            rig.advance(5.0)
            rig.name(2)
            rig.advance(10.0)
            self.assertEqual(has_agent, not rig.targets.orders)
            self.assertEqual(has_agent, not rig.group.joined_s)
            self.assertTrue(asked)

    def test_only_a_refused_connection_shows_that_there_is_none(self) -> None:
        # An agent that is suspended accepts connections and answers nothing.
        for result, expected in (
            (Error(not_run(Reason.CONNECT_FAILED)), False),
            (Error(may_have_run(Reason.START_TIMEOUT)), True),
            (Ok(None), True),
        ):
            client = AgentClient(
                client=None,  # type: ignore[arg-type]
                agent_port=1,
                timeout_s=1.0,
                log=structlog.get_logger(),
            )
            answer: Deferred[Any] = Deferred()
            answer.callback(result)
            found: list[bool] = []
            client_send = StubSend(answer=answer)
            stubbed: Any = AgentClient.is_present
            Deferred.fromCoroutine(
                stubbed(client_send, "10.0.0.1:80")
            ).addCallback(found.append)
            self.assertEqual([expected], found)
            self.assertEqual("10.0.0.1:1", client.agent_of("10.0.0.1:80"))


@attrs.define(kw_only=True)
class StubSend:
    """Answers a request to an agent."""

    answer: Any

    def send(self, address: str, query: str, timeout_s: float) -> Any:
        """Return the answer."""
        return self.answer
