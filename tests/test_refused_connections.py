"""Refused connections do not make room for repeats."""

from testtools import TestCase

from sequoiawind.verdict import Reason, may_have_run, not_run
from tests.forward_rig import ForwardRig, Sent, target

REFUSED = not_run(Reason.CONNECT_FAILED, "refused")
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
# The bound of the rig's router: ratio of repeats, and their fixed allowance.
RATIO = 0.2
ALLOWANCE = 200.0


class RefusedConnectionsTest(TestCase):
    """Targets that crashed refuse connections until their entries expire."""

    def test_refused_connection_is_no_further_first_send(self) -> None:
        rig = ForwardRig()
        rig.add(*(target(f"t{number}") for number in range(8)))
        requests = 5
        for _ in range(requests):
            rig.submit("read")
        for sent in list(rig.port.sent):
            sent.sink.failed(REFUSED)
        sends = rig.forwarder.window.sends_of("app", rig.clock.seconds())
        self.assertEqual(requests, len(sends.first_s))

    def test_refused_connection_uses_no_repeat(self) -> None:
        rig = ForwardRig()
        rig.add(*(target(f"t{number}") for number in range(8)))
        rig.submit("read")
        rig.port.sent[0].sink.failed(LOST)
        rig.port.sent[1].sink.failed(REFUSED)
        self.assertEqual(3, len(rig.port.sent))
        sends = rig.forwarder.window.sends_of("app", rig.clock.seconds())
        self.assertEqual(1, len(sends.repeats_s))

    def test_target_that_refused_is_not_tried_again_at_once(self) -> None:
        rig = ForwardRig()
        rig.add(*(target(f"t{number}") for number in range(3)))
        caller = rig.submit("read")
        done: list[Sent] = []
        while len(done) < len(rig.port.sent) < 100:
            sent = rig.port.sent[len(done)]
            done.append(sent)
            sent.sink.failed(REFUSED)
        self.assertEqual(3, len(rig.port.sent))
        self.assertIsNone(caller.failure)
        # One of them serves again a little later.
        rig.advance(1.0)
        rig.port.sent[-1].answer(200, b"whole")
        self.assertEqual(b"whole", caller.body)

    def test_bound_holds_while_targets_crash(self) -> None:
        rig = ForwardRig()
        rig.add(*(target(f"t{number}") for number in range(6)))
        arrivals = 0
        answered = 0
        for _ in range(100):
            rig.submit("read")
            while answered < len(rig.port.sent):
                sent = rig.port.sent[answered]
                answered += 1
                # Two targets break answers off; the others refuse connections.
                if sent.order.target.name in ("t0", "t1"):
                    arrivals += 1
                    sent.sink.failed(LOST)
                else:
                    sent.sink.failed(REFUSED)
            rig.advance(0.05)
        self.assertTrue(arrivals - 100 <= RATIO * 100 + ALLOWANCE)
        sends = rig.forwarder.window.sends_of("app", rig.clock.seconds())
        self.assertTrue(len(sends.first_s) <= 100, len(sends.first_s))
