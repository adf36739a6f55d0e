"""A stream whose run a router has stopped to move it is not cut for that."""

from expression import Error, Ok, Result
from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.forwarding import Forwarding
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run
from sequoiawind.wire import TargetStatus
from tests.forward_rig import FakeCaller, ForwardRig, state, target
from tests.test_accepted_requests import CHANGES, event

BUSY = not_run(Reason.TARGET_BUSY, "busy")
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
NOT_MOVED = may_have_run(Reason.TARGET_ERROR, "status 503")
TIMED_OUT = may_have_run(Reason.CHUNK_TIMEOUT, "no answer")
NO_SUCH_RUN = not_run(Reason.TARGET_ERROR, "status 404")
RESERVED: Result[str, Failure] = Ok("ip:1/room")
UNREACHABLE = not_run(Reason.CONNECT_FAILED, "refused")


class LostByMoveTest(TestCase):
    """The stream goes on at some target, or waits for one."""

    def moving(
        self,
        engines: int,
        reserved: Result[str, Failure] | None = RESERVED,
        is_stopping: bool = False,
    ) -> FakeCaller:
        """Begin a stream, and request the move of its run."""
        self.router = ForwardRig()
        self.router.forwarder.is_stopping = is_stopping
        self.router.port.reserved = reserved
        self.router.add(
            *(target(f"e{number}", "llm") for number in range(engines))
        )
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        self.router.configure(state(revision=1, pools=pools))
        caller = self.router.submit("draft")
        self.sent = self.router.port.sent
        self.sent[0].begin(200, event(1))
        self.report(is_loading=True)
        return caller

    def report(self, is_loading: bool) -> None:
        """Let the agent beside the first target report its status."""
        name = self.sent[0].order.target.name
        status = TargetStatus(is_loading=is_loading, versions={"m": 1})
        now_s = self.router.clock.seconds()
        self.router.fleet.record_status(name, status, now_s)
        self.router.forwarder.status_changed(name)

    @property
    def forwarding(self) -> Forwarding:
        """The only open request."""
        (found,) = self.router.forwarder.open
        return found

    def stop_run(self, is_moved: bool = True) -> None:
        """End the run, and answer the move request."""
        answer = Ok("ip:1/h") if is_moved else Error(NOT_MOVED)
        self.router.port.move_answers[-1].callback(answer)
        self.sent[0].sink.failed(LOST)

    def allow_no_repeats(self) -> None:
        """Let the window of repeats be full from now on."""
        self.router.forwarder.window.allowance = 0.0
        self.router.forwarder.window.ratio = 0.0

    def check_whole(self, caller: FakeCaller) -> None:
        """Answer the last attempt; check that the caller gets all events."""
        self.sent[-1].answer(200, event(2))
        self.assertEqual(event(1) + event(2), caller.body)
        self.assertTrue(caller.is_ended)

    def test_refusals_use_up_no_targets(self) -> None:
        for is_moved in (True, False):
            caller = self.moving(engines=6)
            self.stop_run(is_moved)
            for attempt, pause_s in enumerate((0.0, 0.3, 0.6, 1.1), 1):
                self.sent[attempt].answer(503, refusal=BUSY)
                self.router.advance(pause_s)
                self.assertFalse(caller.is_broken, (is_moved, attempt))
                self.assertEqual(attempt + 2, len(self.sent))
            self.check_whole(caller)

    def test_run_that_an_earlier_move_has_stopped(self) -> None:
        caller = self.moving(engines=4)
        answers = self.router.port.move_answers
        answers[0].callback(Error(TIMED_OUT))
        self.report(is_loading=True)
        answers[1].callback(Error(NO_SUCH_RUN))
        self.sent[0].sink.failed(LOST)
        self.sent[1].answer(503, refusal=BUSY)
        self.assertFalse(caller.is_broken)
        self.check_whole(caller)

    def test_stream_waits_while_all_targets_refuse(self) -> None:
        caller = self.moving(engines=3)
        self.stop_run()
        self.sent[1].answer(503, refusal=BUSY)
        self.sent[2].answer(503, refusal=BUSY)
        self.assertFalse(caller.is_broken)
        self.assertEqual(3, len(self.sent))
        self.router.advance(1.0)
        self.assertEqual(4, len(self.sent))
        self.check_whole(caller)

    def test_stream_waits_for_a_repeat(self) -> None:
        caller = self.moving(engines=4)
        window = self.router.forwarder.window
        allowance = window.allowance
        self.allow_no_repeats()
        self.stop_run()
        self.sent[1].answer(503, refusal=BUSY)
        self.sent[2].answer(503, refusal=BUSY)
        self.assertFalse(caller.is_broken)
        self.assertEqual(3, len(self.sent))
        window.allowance = allowance
        self.router.advance(0.3)
        self.check_whole(caller)

    def test_source_may_go_on_once_it_has_loaded(self) -> None:
        caller = self.moving(engines=2)
        self.stop_run()
        self.sent[1].answer(503, refusal=BUSY)
        leaving = self.sent[1].order.target.name
        self.router.add(target(leaving, "llm", is_draining=True))
        self.router.advance(0.1)
        self.assertFalse(caller.is_broken)
        self.assertEqual(2, len(self.sent))
        self.report(is_loading=False)
        self.assertEqual(3, len(self.sent))
        self.assertEqual(self.sent[0].order.target, self.sent[2].order.target)
        self.check_whole(caller)

    def test_stream_waits_while_no_target_is_usable(self) -> None:
        caller = self.moving(engines=2)
        self.stop_run()
        self.sent[1].answer(503, refusal=BUSY)
        names = [sent.order.target.name for sent in self.sent]
        for name in names:
            self.router.add(target(name, "llm", is_draining=True))
        self.router.advance(0.5)
        self.assertFalse(caller.is_broken)
        for name in names:
            self.router.add(target(name, "llm"))
        self.report(is_loading=False)
        self.router.advance(0.1)
        self.assertEqual(3, len(self.sent))
        self.check_whole(caller)

    def test_unreachable_destination_beside_a_configuration(self) -> None:
        for change in CHANGES:
            name = change.__name__
            caller = self.moving(engines=3)
            self.router.advance(0.1)
            change(self.router)
            self.stop_run()
            self.sent[1].sink.failed(UNREACHABLE)
            self.assertFalse(caller.is_broken, name)
            self.assertEqual(3, len(self.sent), name)
            self.assertEqual("llm", self.sent[2].order.target.pool, name)
            self.check_whole(caller)

    def test_runs_of_a_stream_stay_bounded(self) -> None:
        # The source has run it, and so has the target that breaks off.
        caller = self.moving(engines=5)
        self.stop_run()
        self.sent[1].answer(503, refusal=BUSY)
        self.sent[2].begin(200, event(2))
        self.sent[2].sink.failed(LOST)
        self.assertTrue(caller.is_broken)
        self.assertEqual(3, len(self.sent))

    def test_stream_that_went_on_is_sent_to_no_third_target(self) -> None:
        caller = self.moving(engines=5)
        self.stop_run(is_moved=False)
        self.sent[1].begin(200, event(2))
        self.report(is_loading=False)
        # The second target falls silent.
        self.router.advance(2.0)
        self.assertEqual(2, len(self.sent))
        self.assertFalse(caller.is_broken)

    def test_refusals_beside_a_silent_moved_run_use_up_no_targets(self) -> None:
        caller = self.moving(engines=5)
        self.stop_run()
        self.report(is_loading=False)
        while self.router.clock.seconds() < 3.0:
            for sent in self.sent[2:]:
                if not sent.sink.is_over:
                    sent.answer(503, refusal=BUSY)
            self.router.advance(0.05)
        refused = len(self.sent) - 2
        self.assertTrue(refused >= 2)
        # The run goes on, and its target breaks it off.
        self.sent[1].begin(200, event(2))
        self.sent[1].sink.failed(LOST)
        self.assertFalse(caller.is_broken)
        self.assertEqual(refused + 3, len(self.sent))

    def test_targets_that_break_off_are_not_repeated_without_end(self) -> None:
        caller = self.moving(engines=5)
        self.sent[0].sink.failed(LOST)
        self.router.port.move_answers[-1].callback(Error(not_run(BUSY.reason)))
        self.sent[1].answer(503, refusal=BUSY)
        self.assertTrue(caller.is_broken)
        self.assertEqual(2, len(self.sent))
