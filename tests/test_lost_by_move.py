"""A stream whose run a router has stopped to move it is not cut for that."""

from expression import Ok
from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.forwarding import Forwarding
from sequoiawind.stream_move import move_away
from sequoiawind.verdict import Reason, may_have_run, not_run
from tests.forward_rig import FakeCaller, ForwardRig, state, target
from tests.test_accepted_requests import CHANGES, event

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
UNREACHABLE = not_run(Reason.CONNECT_FAILED, "refused")


class LostByMoveTest(TestCase):
    """The stream goes on at some target, or waits for one."""

    def moving(self, engines: int) -> FakeCaller:
        """Begin a stream, and request the move of its run."""
        self.router = ForwardRig()
        self.router.add(
            *(target(f"e{number}", "llm") for number in range(engines))
        )
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        self.router.configure(state(revision=1, pools=pools))
        caller = self.router.submit("draft")
        self.sent = self.router.port.sent
        self.sent[0].begin(200, event(1))
        move_away(self.forwarding)
        return caller

    @property
    def forwarding(self) -> Forwarding:
        """The only open request."""
        (found,) = self.router.forwarder.open
        return found

    def stop_run(self) -> None:
        """End the run, and answer the move request."""
        self.router.port.move_answers[-1].callback(Ok("ip:1/h"))
        self.sent[0].sink.failed(LOST)

    def check_whole(self, caller: FakeCaller) -> None:
        """Answer the last attempt; check that the caller gets all events."""
        self.sent[-1].answer(200, event(2))
        self.assertEqual(event(1) + event(2), caller.body)
        self.assertTrue(caller.is_ended)

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
