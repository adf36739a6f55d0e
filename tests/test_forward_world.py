"""The modelled platform of the forwarding soak: silence, crashes, changes."""

import random

import attrs
from testtools import TestCase

from sequoiawind import invariants
from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.forward_ports import AnswerHead, SendOrder
from sequoiawind.forward_state import ForwardState, ForwardTarget
from sequoiawind.lab.forward_checks import (
    CONTACT_S,
    FREE_REPEATS,
    CrashingRequests,
)
from sequoiawind.lab.forward_config import SoakConfig
from sequoiawind.lab.forward_crashers import CrashingCaller
from sequoiawind.lab.forward_runs import RunEnd, SimulatedRun
from sequoiawind.lab.forward_soak import ForwardSoak
from sequoiawind.lab.forward_target_ports import TargetPorts
from sequoiawind.lab.forward_targets import SimulatedTarget
from sequoiawind.lab.forward_world import World
from sequoiawind.lab.memory_network import Node
from sequoiawind.lab.stream_content import event_count, is_whole_stream
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.verdict import Failure

PROMPT = Prompt(
    model="m",
    tokens=10,
    max_tokens=10,
    expected_tokens=10,
    parts=(PromptPart(id="own", tokens=10),),
)


@attrs.define(kw_only=True, eq=False)
class RecordingSink:
    """A sink that records an answer and when its parts arrived."""

    clock: VirtualClock
    body: bytes = b""
    arrived_s: list[float] = attrs.field(factory=list)
    is_done: bool = False
    failure: Failure | None = None

    def head(self, head: AnswerHead) -> None:
        self.arrived_s.append(self.clock.seconds())

    def data(self, data: bytes) -> None:
        self.body += data
        self.arrived_s.append(self.clock.seconds())

    def done(self) -> None:
        self.is_done = True

    def failed(self, failure: Failure) -> None:
        self.failure = failure


def make_world() -> World:
    """Return a world on a clock of its own."""
    return World(
        clock=VirtualClock(),
        random=random.Random(1),
        revoke_s=5.0,
    )


class TargetTest(TestCase):
    """One target, and a router that sends to it."""

    def setUp(self) -> None:
        super().setUp()
        self.world = make_world()
        entry = ForwardTarget(
            name="e0", pool="llm", address="e0:1", software="v1"
        )
        self.target = SimulatedTarget(world=self.world, entry=entry)
        self.world.targets["e0"] = self.target
        self.port = TargetPorts(world=self.world, node=Node(name="r0"))
        self.sink = RecordingSink(clock=self.world.clock)

    def send(
        self, prompt: Prompt | None = None, body: bytes = b""
    ) -> SimulatedRun:
        request = ForwardRequest(
            request_id="q0",
            host="h",
            path="/draft/x",
            method=b"POST",
            request_target=b"/draft/x",
            headers=[],
            body=body,
            key="k",
            arrived_s=0.0,
            read_s=0.0,
            prompt=prompt,
        )
        order = SendOrder(
            request=request,
            target=self.target.entry,
            deadline_s=6.0,
            account="a",
            urgency=0,
        )
        return self.port.send(order, self.sink)

    def test_a_stream_stands_still_and_goes_on(self) -> None:
        run = self.send(PROMPT)
        self.world.clock.advance_to(0.2)
        self.target.silent_until_s = 1.7
        self.world.clock.advance_to(4.0)
        self.assertTrue(self.sink.is_done)
        self.assertTrue(is_whole_stream("q0", self.sink.body))
        self.assertEqual(event_count("q0") + 1, len(self.sink.arrived_s))
        self.assertEqual(
            [], [at_s for at_s in self.sink.arrived_s if 0.21 < at_s < 1.7]
        )
        self.assertEqual(RunEnd.DONE, run.end)

    def test_silences_that_overlap(self) -> None:
        self.send(PROMPT)
        self.target.silent_until_s = 0.5
        self.world.clock.advance_to(0.4)
        self.target.silent_until_s = 0.9
        self.world.clock.advance_to(3.0)
        self.assertTrue(self.sink.is_done)
        self.assertTrue(min(self.sink.arrived_s) >= 0.9)

    def test_a_call_stands_still_and_goes_on(self) -> None:
        self.send()
        self.target.silent_until_s = 1.0
        self.world.clock.advance_to(0.99)
        self.assertEqual([], self.sink.arrived_s)
        self.world.clock.advance_to(1.1)
        self.assertTrue(self.sink.is_done)

    def test_a_run_that_is_given_up_does_not_go_on(self) -> None:
        run = self.send(PROMPT)
        self.target.silent_until_s = 1.0
        self.world.clock.advance_to(0.5)
        run.cancel()
        self.world.clock.advance_to(3.0)
        self.assertEqual([], self.sink.arrived_s)
        self.assertEqual((RunEnd.CANCELLED, 0.5), (run.end, run.ended_s))

    def crash_under(self, prompt: Prompt | None) -> None:
        """Send a request that crashes targets, and one that does not."""
        crashing = CrashingRequests(
            name="crashing-request", free_crashes=FREE_REPEATS
        )
        self.world.crashing_bodies[b"bad"] = crashing
        self.world.on_fatal = lambda target, request: target.crash()
        run = self.send(prompt, b"good")
        self.world.clock.advance_to(3.0)
        self.assertEqual(RunEnd.DONE, run.end)
        run = self.send(prompt, b"bad")
        self.world.clock.advance_to(6.0)
        self.assertEqual(RunEnd.BROKEN, run.end)
        self.assertFalse(self.target.is_up)
        counts = (len(crashing.arrivals_s), len(crashing.crashes_s))
        self.assertEqual((1, 1), counts)

    def test_a_call_crashes_its_target(self) -> None:
        self.crash_under(None)

    def test_a_stream_crashes_its_target(self) -> None:
        self.crash_under(PROMPT)


class CrashingRequestsTest(TestCase):
    """How many requests may arrive after the crashes that are free."""

    def setUp(self) -> None:
        super().setUp()
        invariants.violations.clear()
        self.addCleanup(invariants.violations.clear)
        self.crashing = CrashingRequests(name="crashing", free_crashes=3)

    def check(self, arrivals: int, calm_since_s: float = 0.0) -> None:
        since_s = 3.0 + CONTACT_S
        self.crashing.crashes_s = [1.0, 2.0, 3.0]
        self.crashing.arrivals_s = [1.0, 2.0, 3.0, since_s]
        self.crashing.arrivals_s += [since_s + 1.0] * arrivals
        self.crashing.check(calm_since_s)

    def test_three_may_arrive(self) -> None:
        self.check(3)
        self.assertRaises(invariants.InvariantError, self.check, 4)

    def test_what_arrives_during_a_disturbance_does_not_count(self) -> None:
        self.check(4, calm_since_s=4.5)

    def test_two_crashes_are_free(self) -> None:
        self.crashing.crashes_s = [1.0, 2.0]
        self.crashing.arrivals_s = [9.0] * 9
        self.crashing.check(0.0)


class SoakConfigTest(TestCase):
    """The changes of the operator's configuration."""

    def setUp(self) -> None:
        super().setUp()
        self.config = SoakConfig(world=make_world(), rng=random.Random(1))

    @property
    def newest(self) -> ForwardState:
        return self.config.states[-1]

    def test_a_route_moves_to_another_pool_and_back(self) -> None:
        self.config.pools = {"draft": "llm"}
        pools = []
        for _ in range(2):
            self.config.move_route()
            pools.append(self.newest.routes["draft"].pool)
        self.assertEqual(["llm2", "llm"], pools)

    def test_routes_are_added_and_removed(self) -> None:
        seen = set()
        for _ in range(40):
            self.config.change_route()
            seen.add(frozenset(self.newest.routes) & {"look", "sketch"})
            usual = {"read", "book", "brief", "draft"}
            self.assertTrue(usual <= self.newest.routes.keys())
            self.assertEqual(
                self.newest.routes.keys(), set(self.config.open_routes)
            )
        self.assertEqual(4, len(seen))

    def test_limits_of_kinds_change(self) -> None:
        seen = set()
        for _ in range(60):
            self.config.change_kind()
            kind = self.newest.kinds["draft"]
            seen.add((kind.max_targets, kind.timeout_s, kind.pause_s))
        for column in zip(*seen, strict=True):
            self.assertEqual(3, len(set(column)))

    def test_keys_are_added_and_revoked_but_one(self) -> None:
        for _ in range(3):
            self.config.add_key()
        self.assertEqual(8, len(self.newest.accounts))
        for _ in range(20):
            self.config.revoke_key()
        self.assertEqual([self.config.kept_key], list(self.newest.accounts))

    def test_revisions_grow(self) -> None:
        for _ in range(30):
            self.config.change()
        revisions = [state.revision for state in self.config.states]
        self.assertEqual(sorted(set(revisions)), revisions)


class CrashingCallerTest(TestCase):
    """A caller who repeats a request that crashes targets."""

    def repeats(self, route: str) -> list[ForwardRequest]:
        """Return what a caller sends in five seconds."""
        soak = ForwardSoak(seed=1)
        soak.clock.advance_to(2.0)
        crasher = CrashingCaller(soak=soak, name="c", route=route)
        crasher.start(2.0)
        soak.clock.advance_to(7.0)
        self.assertTrue(len(crasher.sound) > 0)
        for caller in crasher.sound:
            assert crasher.request is not None
            self.assertEqual(crasher.request.path, caller.request.path)
            self.assertEqual(crasher.request.key, caller.request.key)
        bodies = {caller.request.body for caller in crasher.sound}
        self.assertEqual(len(crasher.sound), len(bodies - {crasher.body}))
        return [
            caller.request
            for caller in soak.callers
            if caller.request.body == crasher.body
        ]

    def test_repeats_a_request_under_other_ids(self) -> None:
        for route in ("read", "brief"):
            sent = self.repeats(route)
            self.assertTrue(6 <= len(sent) <= 9, len(sent))
            same = {
                (item.path, item.key, item.body, item.prompt) for item in sent
            }
            self.assertEqual(1, len(same))
            self.assertEqual(len(sent), len({item.request_id for item in sent}))

    def test_its_prompt_shares_no_part(self) -> None:
        (prompt,) = {item.prompt for item in self.repeats("draft")}
        assert prompt is not None
        self.assertEqual((), prompt.shared_parts)
