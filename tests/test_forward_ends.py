"""Which aborted answers of the forwarding soak count as lost."""

import random

import attrs
from testtools import TestCase

from sequoiawind import invariants
from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.forward_ports import SendOrder
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.lab.forward_callers import KINDS, ForwardSoakCaller
from sequoiawind.lab.forward_ends import Ends
from sequoiawind.lab.forward_runs import RunEnd, SimulatedRun
from sequoiawind.lab.forward_target_ports import TargetPorts
from sequoiawind.lab.forward_targets import SimulatedTarget
from sequoiawind.lab.forward_world import World
from sequoiawind.lab.memory_network import Node
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.verdict import Failure, Reason, may_have_run

REQUEST = ForwardRequest(
    request_id="q0",
    host="h",
    path="/draft/x",
    method=b"POST",
    request_target=b"/draft/x",
    headers=[],
    body=b"",
    key="k",
    arrived_s=0.0,
    read_s=0.0,
)


@attrs.define(kw_only=True, eq=False)
class NullSink:
    """A sink that discards an answer."""

    def head(self, head: object) -> None:
        pass

    def data(self, data: bytes) -> None:
        pass

    def done(self) -> None:
        pass

    def failed(self, failure: Failure) -> None:
        pass


class EndsTest(TestCase):
    """The caller of a stream, and the runs of its request at two targets."""

    def setUp(self) -> None:
        super().setUp()
        invariants.violations.clear()
        self.addCleanup(invariants.violations.clear)
        self.clock = VirtualClock()
        self.world = World(
            clock=self.clock,
            random=random.Random(1),
            revoke_s=5.0,
        )
        self.pauses: list[tuple[str, float, float]] = []
        self.ends = Ends(world=self.world, was_paused=self.was_paused)
        self.node = Node(name="r0")
        self.caller = ForwardSoakCaller(
            request=REQUEST,
            kind=KINDS["draft"],
            node=self.node,
            epoch=0,
            clock=self.clock,
            due_s=6.0,
            on_abort=self.ends.aborted,
            on_failure=self.ends.failed,
        )
        for name in ("e0", "e1"):
            entry = ForwardTarget(name=name, pool="llm", address=name)
            target = SimulatedTarget(world=self.world, entry=entry)
            self.world.targets[name] = target

    def was_paused(self, name: str, begin_s: float, end_s: float) -> bool:
        return any(name == paused for paused, _, _ in self.pauses)

    def send(self, name: str) -> SimulatedRun:
        """Send the request to a target; its prompt is of no matter here."""
        order = SendOrder(
            request=REQUEST,
            target=self.world.targets[name].entry,
            deadline_s=6.0,
            account="a",
            urgency=0,
        )
        port = TargetPorts(world=self.world, node=self.node)
        return port.send(order, NullSink())

    def begin(self, name: str, at_s: float) -> SimulatedRun:
        """Send the request, and let a target bring an event of a stream."""
        run = self.send(name)
        self.clock.advance_to(at_s)
        run.pass_event(b"")
        return run

    def abort(self, at_s: float) -> None:
        self.clock.advance_to(at_s)
        self.caller.abort_answer()

    def assert_lost(self, is_lost: bool) -> None:
        self.assertEqual(is_lost, bool(self.ends.lost), self.ends.lost)
        if is_lost:
            self.assertRaises(invariants.InvariantError, self.ends.check_lost)
        else:
            self.ends.check_lost()

    def test_a_run_that_was_given_up_is_lost(self) -> None:
        self.begin("e0", 0.02).cancel()
        self.abort(1.0)
        self.assert_lost(True)
        self.assertIn("q0 /draft/x at r0", self.ends.lost[0])

    def test_a_run_that_was_left_running_is_lost(self) -> None:
        self.begin("e0", 0.02)
        self.abort(0.025)
        self.assert_lost(True)

    def test_a_refusal_by_another_target_excuses_nothing(self) -> None:
        self.begin("e0", 0.02).cancel()
        self.send("e1").note_end(RunEnd.REFUSED)
        self.abort(1.0)
        self.assert_lost(True)

    def test_a_silent_target_goes_on(self) -> None:
        self.world.targets["e0"].silent_until_s = 3.0
        self.begin("e0", 0.02).cancel()
        self.abort(1.0)
        self.assert_lost(True)

    def test_what_a_target_broke_off_is_not_lost(self) -> None:
        self.begin("e0", 0.02).break_off()
        self.abort(1.0)
        self.assert_lost(False)

    def test_a_run_given_up_before_its_target_crashed_is_not_lost(self) -> None:
        self.begin("e0", 0.02).cancel()
        self.world.targets["e0"].crash()
        self.abort(1.0)
        self.assert_lost(False)

    def test_a_target_that_never_goes_on_is_not_lost(self) -> None:
        run = self.begin("e0", 0.02)
        run.is_hung = True
        run.cancel()
        self.abort(1.0)
        self.assert_lost(False)

    def test_a_run_that_was_replaced_does_not_count(self) -> None:
        first = self.begin("e0", 0.02)
        second = self.send("e1")
        self.clock.advance_to(0.025)
        second.pass_event(b"")
        first.cancel()
        self.clock.advance_to(0.027)
        second.break_off()
        self.abort(1.0)
        self.assert_lost(False)

    def test_a_run_given_up_since_the_last_event_counts(self) -> None:
        self.begin("e0", 0.02).break_off()
        second = self.send("e1")
        self.clock.advance_to(0.025)
        second.cancel()
        self.abort(1.0)
        self.assert_lost(True)

    def test_an_attempt_dropped_as_the_first_target_went_on(self) -> None:
        first = self.begin("e0", 0.02)
        self.send("e1").cancel()
        first.pass_event(b"")
        first.break_off()
        self.abort(1.0)
        self.assert_lost(False)

    def test_the_deadline_excuses(self) -> None:
        self.begin("e0", 0.02).cancel()
        self.abort(5.99)
        self.assert_lost(False)

    def test_a_pause_of_the_router_excuses(self) -> None:
        self.begin("e0", 0.02).cancel()
        self.pauses.append(("r0", 0.5, 0.9))
        self.abort(1.0)
        self.assert_lost(False)

    def test_a_failure_is_no_loss_but_counts(self) -> None:
        self.begin("e0", 0.02).cancel()
        self.caller.refuse(may_have_run(Reason.CHUNK_TIMEOUT))
        self.assert_lost(False)
        self.assertEqual(
            1, self.world.counts["failures while a target went on"]
        )

    def test_a_move_to_a_target_that_refuses(self) -> None:
        self.begin("e0", 0.02).note_end(RunEnd.MOVED)
        self.clock.advance_to(0.03)
        self.send("e1").note_end(RunEnd.REFUSED)
        self.abort(1.0)
        self.assert_lost(False)
        self.assertRaises(invariants.InvariantError, self.ends.check_moves)

    def test_a_move_to_a_target_that_breaks_off(self) -> None:
        self.begin("e0", 0.02).note_end(RunEnd.MOVED)
        self.clock.advance_to(0.03)
        self.send("e1").break_off()
        self.abort(1.0)
        self.assert_lost(False)
        self.ends.check_moves()

    def check_ended(self, ended_s: float) -> None:
        self.caller.ended_s = ended_s
        self.clock.advance_to(30.0)
        self.ends.check_ended(self.caller, self.pauses)

    def test_a_request_ends_in_time(self) -> None:
        self.check_ended(6.04)
        self.assertRaises(invariants.InvariantError, self.check_ended, 6.1)

    def test_a_request_ends_at_all(self) -> None:
        self.assertRaises(invariants.InvariantError, self.check_ended, -1.0)

    def test_a_pause_of_the_router_extends_the_time(self) -> None:
        self.pauses += [("r0", 5.0, 8.0), ("r0", 8.02, 9.0), ("r1", 1.0, 20.0)]
        self.check_ended(9.04)
        self.assertRaises(invariants.InvariantError, self.check_ended, 9.1)

    def test_a_request_at_a_killed_router_is_exempt(self) -> None:
        self.node.kill()
        self.check_ended(-1.0)
