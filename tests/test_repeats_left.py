"""A stream that its router has stopped leaves repeats to other streams."""

from expression import Ok
from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.stream_move import move_away
from sequoiawind.verdict import Reason, may_have_run, not_run
from tests.forward_rig import FakeCaller, ForwardRig, state, target
from tests.test_accepted_requests import event

BUSY = not_run(Reason.TARGET_BUSY, "busy")
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
# Streams beside the one that is stopped.
OTHERS = 5


class RepeatsLeftTest(TestCase):
    """All targets of a pool refuse for some seconds, as when they load."""

    def break_off(self, stopped: int) -> tuple[list[FakeCaller], int]:
        """Let targets break streams off after three seconds of refusals.

        Args:
          stopped: Number of further streams that the router has stopped.

        Returns:
          The callers of the streams that are broken off, and how many of these
          are sent to another target.
        """
        router = ForwardRig()
        router.add(*(target(f"e{number}", "llm") for number in range(6)))
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        router.configure(state(revision=1, pools=pools))
        callers = [router.submit("draft") for _ in range(stopped + OTHERS)]
        begun = list(router.port.sent)
        for sent in begun:
            sent.begin(200, event(1))
        for forwarding in list(router.forwarder.open)[:stopped]:
            move_away(forwarding)
        for answer in router.port.move_answers:
            answer.callback(Ok("ip:1/h"))
        for sent in begun[:stopped]:
            sent.sink.failed(LOST)
        refused = len(begun)
        for number in range(2, 62):
            for sent in router.port.sent[refused:]:
                sent.answer(503, refusal=BUSY)
                refused += 1
            for sent in begun[stopped:]:
                sent.sink.data(event(number))
            router.advance(0.05)
        before = len(router.port.sent)
        for sent in begun[stopped:]:
            sent.sink.failed(LOST)
        others = {sent.order.request.request_id for sent in begun[stopped:]}
        after = router.port.sent[before:]
        resumed = others & {sent.order.request.request_id for sent in after}
        return callers[stopped:], len(resumed)

    def test_broken_streams_are_resumed_beside_a_stopped_one(self) -> None:
        for stopped in (0, 1):
            callers, resumed = self.break_off(stopped)
            broken = sum(caller.is_broken for caller in callers)
            self.assertEqual((0, OTHERS), (broken, resumed), stopped)

    def test_refusals_beside_a_silent_moved_run(self) -> None:
        router = ForwardRig()
        router.add(*(target(f"e{number}", "llm") for number in range(6)))
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        router.configure(state(revision=1, pools=pools))
        router.submit("draft")
        sent = router.port.sent
        sent[0].begin(200, event(1))
        (forwarding,) = router.forwarder.open
        move_away(forwarding)
        router.port.move_answers[0].callback(Ok("ip:1/h"))
        sent[0].sink.failed(LOST)
        refused = 2
        while router.clock.seconds() < 4.0:
            for item in sent[refused:]:
                item.answer(503, refusal=BUSY)
                refused += 1
            router.advance(0.05)
        # Two at once, after the silence of 2 s; pauses of 0.25, 0.5 and 1 s.
        self.assertTrue(refused - 2 <= 5, refused)
