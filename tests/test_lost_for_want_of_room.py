"""A run is not stopped for a move to a target that has no room for it."""

from expression import Error, Ok
from testtools import TestCase

from sequoiawind.verdict import Reason, may_have_run
from tests.test_accepted_requests import event
from tests.test_lost_by_move import BUSY, LostByMoveTest

NO_ROOM = may_have_run(Reason.TARGET_ERROR, "status 503")
# Time for which all targets refuse, in seconds: longer than a stop has left.
REFUSED_S = 4.0


class LostForWantOfRoomTest(TestCase):
    """The stream goes on where it is, also while its router stops."""

    def test_stream_of_a_router_that_stops(self) -> None:
        rig = LostByMoveTest()
        moved = rig.moving(engines=3, reserved=Error(NO_ROOM), is_stopping=True)
        if rig.router.port.moves:
            # The target has stopped the run before it finds no room.
            rig.stop_run(is_moved=False)
            for attempt in rig.sent[1:]:
                attempt.answer(503, refusal=BUSY)
        rig.router.advance(REFUSED_S)
        rig.sent[0].answer(200, event(2))
        rig.router.forwarder.end_all()
        self.assertFalse(moved.is_broken)
        self.assertEqual(event(1) + event(2), moved.body)

    def test_room_is_given_back_if_the_stream_ends_first(self) -> None:
        rig = LostByMoveTest()
        caller = rig.moving(engines=3, reserved=None, is_stopping=True)
        rig.sent[0].answer(200, event(2))
        self.assertTrue(caller.is_ended)
        rig.router.port.reservations[0].callback(Ok("ip:1/h"))
        self.assertEqual([], rig.router.port.moves)
        self.assertEqual(["ip:1/h"], rig.router.port.released_runs)
