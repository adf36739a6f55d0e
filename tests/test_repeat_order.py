"""Streams that wait for a repeat neither hold others up nor cost much."""

from unittest import mock

from expression import Ok
from testtools import TestCase

from sequoiawind.forward_placement import ForwardPlacement
from sequoiawind.forward_state import ForwardPool
from sequoiawind.stream_move import move_away
from sequoiawind.verdict import Reason, may_have_run, not_run
from tests.forward_rig import FakeCaller, ForwardRig, Sent, state, target
from tests.test_accepted_requests import event

BUSY = not_run(Reason.TARGET_BUSY, "busy")
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
UNREACHABLE = not_run(Reason.CONNECT_FAILED, "refused")


class RepeatOrderTest(TestCase):
    """Two streams whose runs a router has stopped, in a full window."""

    def setUp(self) -> None:
        super().setUp()
        self.router = ForwardRig()
        pools = {
            "app": ForwardPool(name="app", service="plain"),
            "llm": ForwardPool(name="llm", models=("m",), has_moves=True),
        }
        self.router.configure(state(revision=1, pools=pools))
        self.router.add(*(target(f"e{number}", "llm") for number in range(3)))
        self.sent = self.router.port.sent

    def last(self, request_id: str) -> Sent:
        """Return the last attempt of a request."""
        found = [
            item
            for item in self.sent
            if item.order.request.request_id == request_id
        ]
        return found[-1]

    def stop_streams(self, count: int) -> list[FakeCaller]:
        """Let a failed move stop begun streams that get no repeat."""
        callers = [self.router.submit("draft") for _ in range(count)]
        begun = list(self.sent)
        for sent in begun:
            sent.begin(200, event(1))
        for forwarding in list(self.router.forwarder.open):
            assert forwarding.current is not None
            forwarding.current.may_be_stopped = True
        window = self.router.forwarder.window
        window.allowance = window.ratio = 0.0
        for sent in begun:
            sent.sink.failed(LOST)
        return callers

    def test_no_targets_are_ranked_for_streams_without_a_repeat(self) -> None:
        window = self.router.forwarder.window
        allowance = window.allowance
        callers = self.stop_streams(20)
        with mock.patch.object(
            ForwardPlacement,
            "options",
            autospec=True,
            side_effect=ForwardPlacement.options,
        ) as options:
            for number in range(30):
                self.router.forwarder.status_changed(f"e{number % 3}")
            self.router.advance(1.0)
            self.assertEqual(0, options.call_count)
            window.allowance = allowance
            self.router.advance(0.2)
        self.assertTrue(len(self.sent) > len(callers))
        self.assertFalse(any(caller.is_broken for caller in callers))

    def test_stream_that_its_target_broke_off_does_not_wait(self) -> None:
        caller = self.router.submit("draft")
        self.sent[0].begin(200, event(1))
        window = self.router.forwarder.window
        window.allowance = window.ratio = 0.0
        for number in range(3):
            now_s = self.router.clock.seconds()
            self.router.fleet.shed(f"e{number}", now_s)
        self.sent[0].sink.failed(LOST)
        self.assertFalse(caller.is_broken)
        self.router.advance(0.5)
        self.assertTrue(caller.is_broken)
        self.assertEqual(1, len(self.sent))

    def test_stream_whose_caller_has_left_waits_no_longer(self) -> None:
        self.stop_streams(1)
        (forwarding,) = self.router.forwarder.open
        forwarding.caller_disconnected()
        self.router.advance(0.2)
        self.assertEqual([], self.router.forwarder.waiting.items)

    def test_request_without_an_answer_does_not_wait_for_a_repeat(self) -> None:
        self.router.add(target("t1"), target("t2", is_draining=True))
        self.stop_streams(1)
        caller = self.router.submit("read")
        self.sent[-1].answer(503, refusal=BUSY)
        self.router.advance(0.1)
        self.assertIsNone(caller.failure)
        self.router.add(target("t2"))
        self.router.advance(0.1)
        self.assertIsNotNone(caller.failure)
        self.assertEqual(2, len(self.sent))

    def test_stream_that_has_a_repeat_is_sent(self) -> None:
        callers = [self.router.submit("draft") for _ in range(2)]
        for sent in list(self.sent):
            sent.begin(200, event(1))
        for forwarding in list(self.router.forwarder.open):
            move_away(forwarding)
        window = self.router.forwarder.window
        window.allowance = window.ratio = 0.0
        for answer in self.router.port.move_answers:
            answer.callback(Ok("ip:1/h"))
        for sent in list(self.sent):
            sent.sink.failed(LOST)
        # The first stream uses its repeat; the second one reaches no target.
        for name, failure in (("q1", BUSY), ("q1", BUSY), ("q2", BUSY)):
            self.last(name).answer(503, refusal=failure)
        self.last("q2").sink.failed(UNREACHABLE)
        attempts = len(self.sent)
        self.router.advance(1.0)
        self.assertEqual(attempts + 1, len(self.sent))
        self.last("q2").answer(200, event(2))
        self.assertEqual([False, True], [item.is_ended for item in callers])
        self.assertFalse(any(item.is_broken for item in callers))
