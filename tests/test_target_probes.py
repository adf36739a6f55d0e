"""Targets that are asked for their present load before a prompt is sent."""

import random

import attrs
from testtools import TestCase
from twisted.internet.defer import Deferred

from sequoiawind.load.probing import to_probe
from sequoiawind.target_probes import AVOID_S, PROBE_TIMEOUT_S, TargetProbes
from sequoiawind.wire import TargetStatus
from tests.forward_rig import ForwardRig, target

NAMES = ("e0", "e1", "e2", "e3")


@attrs.define(kw_only=True)
class FakeAgents:
    """Answers questions with the statuses that a test sets, or not at all."""

    # By address of the target.
    statuses: dict[str, TargetStatus] = attrs.field(factory=dict)
    asked: list[str] = attrs.field(factory=list)

    async def current_status(
        self, address: str, timeout_s: float
    ) -> TargetStatus | None:
        """Return the status of a target; wait for ever if there is none."""
        self.asked.append(address)
        if address not in self.statuses:
            await Deferred()
        return self.statuses[address]


def rig_with_agents() -> tuple[ForwardRig, FakeAgents]:
    """Return a router whose targets' agents have reported no load."""
    rig = ForwardRig()
    rig.add(*(target(name, "llm") for name in NAMES))
    agents = FakeAgents()
    rig.forwarder.probes = TargetProbes(
        port=agents, fleet=rig.fleet, clock=rig.clock
    )
    # Accounts compete for the pool.
    rig.forwarder.load.has_limited_accounts = True
    for name in NAMES:
        status = TargetStatus(target=name, versions={"m": 1})
        rig.fleet.record_status(name, status, rig.clock.seconds())
    return rig, agents


def set_waiting(rig: ForwardRig, agents: FakeAgents, *idle: str) -> None:
    """Let requests wait at all targets but some, unknown to the router."""
    for name in NAMES:
        waiting = 0 if name in idle else 40
        status = TargetStatus(
            target=name, waiting=waiting, running=64, versions={"m": 1}
        )
        address = rig.fleet.views[name].target.address
        agents.statuses[address] = status


class TargetProbesTest(TestCase):
    """Each test guards against one failure of the questions."""

    def test_work_sent_by_other_routers_is_avoided(self) -> None:
        # All routers hold the first home for idle, and it is not.
        rig, agents = rig_with_agents()
        rig.forwarder.probes, probes = None, rig.forwarder.probes
        rig.submit("draft")
        first = rig.port.sent[0].order.target.name
        rig, agents = rig_with_agents()
        assert probes is not None
        set_waiting(rig, agents, *(name for name in NAMES if name != first))
        rig.submit("draft")
        self.assertEqual(2, len(agents.asked))
        self.assertNotEqual(first, rig.port.sent[0].order.target.name)

    def test_silent_agents_delay_a_request_once(self) -> None:
        rig, _ = rig_with_agents()
        rig.submit("draft")
        self.assertEqual([], rig.port.sent)
        rig.advance(PROBE_TIMEOUT_S + 0.001)
        self.assertEqual(1, len(rig.port.sent))

    def test_agent_that_did_not_answer_is_not_asked_again_soon(self) -> None:
        rig, agents = rig_with_agents()
        rig.submit("draft")
        probes = rig.forwarder.probes
        assert probes is not None
        probes.avoided_until_s = {
            name: rig.clock.seconds() + AVOID_S for name in NAMES
        }
        agents.asked.clear()
        rig.submit("draft")
        self.assertEqual([], agents.asked)

    def test_caller_that_leaves_during_the_questions(self) -> None:
        rig, _ = rig_with_agents()
        rig.submit("draft")
        (forwarding,) = rig.forwarder.open
        forwarding.caller_disconnected()
        rig.advance(1.0)
        self.assertEqual([], rig.port.sent)

    def test_plain_calls_and_targets_without_agents_are_not_delayed(
        self,
    ) -> None:
        rig, agents = rig_with_agents()
        rig.add(target("t0"), target("t1"))
        rig.submit("read")
        self.assertEqual(1, len(rig.port.sent))
        rig.advance(5.0)
        sends = len(rig.port.sent)
        rig.submit("draft")
        self.assertEqual([], agents.asked)
        self.assertEqual(sends + 1, len(rig.port.sent))

    def test_answer_for_another_target_is_not_taken_for_it(self) -> None:
        # The address may have been given to another target meanwhile.
        rig, agents = rig_with_agents()
        set_waiting(rig, agents, *NAMES)
        for address, status in agents.statuses.items():
            agents.statuses[address] = attrs.evolve(
                status, target="other", is_loading=True
            )
        rig.submit("draft")
        self.assertEqual(1, len(rig.port.sent))

    def test_routers_do_not_all_ask_the_same_targets(self) -> None:
        seen = {to_probe(NAMES, 1.0, random.Random(seed)) for seed in range(50)}
        self.assertEqual({("e0", "e1"), ("e0", "e2"), ("e0", "e3")}, seen)

    def test_request_without_time_is_not_delayed(self) -> None:
        self.assertEqual((), to_probe(NAMES, 0.05, random.Random(1)))
