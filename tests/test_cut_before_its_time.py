"""A request that arrives slowly is not cut before its caller stops waiting."""

from testtools import TestCase

from tests.forward_rig import ForwardRig, target
from tests.test_accepted_requests import event

# Time for which the caller waits, and between its first byte and its last one.
DEADLINE_S = 5.0
SENDING_S = 1.2


class CutBeforeItsTimeTest(TestCase):
    """The time that the caller states begins when all has arrived."""

    def test_stream_whose_request_was_sent_in_halves(self) -> None:
        rig = ForwardRig()
        rig.add(target("e1", "llm"))
        rig.advance(SENDING_S)
        caller = rig.submit("draft", arrived_s=0.0, deadline_s=DEADLINE_S)
        (sent,) = rig.port.sent
        self.assertEqual(DEADLINE_S, sent.order.deadline_s)
        sent.begin(200, event(1))
        rig.advance(DEADLINE_S - 0.1)
        self.assertFalse(caller.is_broken)
        sent.answer(200, event(2))
        self.assertEqual(event(1) + event(2), caller.body)
        rig.advance(0.2)
        self.assertTrue(caller.is_ended)

    def test_it_ends_at_that_time(self) -> None:
        rig = ForwardRig()
        rig.add(target("e1", "llm"))
        rig.advance(SENDING_S)
        caller = rig.submit("draft", arrived_s=0.0, deadline_s=DEADLINE_S)
        rig.port.sent[0].begin(200, event(1))
        rig.advance(DEADLINE_S + 0.1)
        self.assertTrue(caller.is_broken)
