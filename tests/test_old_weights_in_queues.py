"""No request begins on weights that were replaced longer ago than allowed.

Guards against requests that were sent while older weights were allowed, and
wait at their target until they are not.
"""

from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.stream_move import move_away
from sequoiawind.verdict import Reason, Verdict, may_have_run
from sequoiawind.weights_changes import WeightsChanges
from tests.forward_rig import FakeCaller, ForwardRig, Sent, state, target
from tests.test_accepted_requests import event

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
MOVING = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
# Time in which all targets must have newly named weights, in seconds; the rig's
# routes end requests after 5 s.
WEIGHTS_S = 3.0
# Time after which a target with newer weights is there, in seconds.
LOADED_S = 2.5


class OldWeightsInQueuesTest(TestCase):
    """A router before two targets, one of which never gets new weights."""

    def setUp(self) -> None:
        super().setUp()
        self.router = ForwardRig()
        self.router.forwarder.weights.weights_s = WEIGHTS_S
        self.router.add(target("e1", "llm"))
        self.weights = WeightsChanges(
            forwarder=self.router.forwarder, clock=self.router.clock
        )
        self.sent = self.router.port.sent

    def wait_at_old_weights(self, route: str) -> FakeCaller:
        """Let a request wait at a target as newer weights are named."""
        caller = self.router.submit(route)
        self.weights.named("m", 2, is_late=False)
        return caller

    def load_elsewhere(self) -> None:
        """Let a target with newer weights come, and the time pass."""
        self.router.advance(LOADED_S)
        self.router.add(target("e2", "llm", versions={"m": 2}))
        self.router.advance(WEIGHTS_S - LOADED_S)

    def is_over(self, sent: Sent) -> bool:
        """Whether the router has ended an attempt."""
        return sent.call.is_cancelled

    def test_waiting_stream_is_sent_to_a_target_with_newer_weights(
        self,
    ) -> None:
        caller = self.wait_at_old_weights("draft")
        self.load_elsewhere()
        self.assertTrue(self.is_over(self.sent[0]))
        self.assertEqual("e2", self.sent[1].order.target.name)
        self.assertEqual(2, self.sent[1].order.version)
        self.sent[1].answer(200, event(1))
        self.assertTrue(caller.is_ended)

    def test_waiting_request_that_may_not_repeat_is_ended(self) -> None:
        caller = self.wait_at_old_weights("brief")
        self.load_elsewhere()
        self.assertTrue(self.is_over(self.sent[0]))
        self.assertEqual(1, len(self.sent))
        assert caller.failure is not None
        self.assertEqual(Reason.WEIGHTS_REPLACED, caller.failure.reason)
        self.assertEqual(Verdict.MAY_HAVE_RUN, caller.failure.verdict)

    def test_requests_that_have_begun_go_on(self) -> None:
        caller = self.wait_at_old_weights("brief")
        self.sent[0].begin(200, event(1))
        self.load_elsewhere()
        self.assertFalse(self.is_over(self.sent[0]))
        self.assertFalse(caller.is_broken)

    def test_requests_on_the_newest_weights_wait_on(self) -> None:
        self.weights.named("m", 1, is_late=False)
        self.router.submit("brief")
        self.router.advance(1.2 * WEIGHTS_S)
        self.assertFalse(self.is_over(self.sent[0]))

    def test_each_version_has_its_own_time(self) -> None:
        """A further version gives those before it no more time."""
        self.wait_at_old_weights("brief")
        self.router.advance(WEIGHTS_S / 2)
        self.router.add(target("e2", "llm", versions={"m": 2}))
        self.router.submit("brief")
        self.assertEqual(2, self.sent[1].order.version)
        self.weights.named("m", 3, is_late=False)
        self.router.advance(WEIGHTS_S / 2)
        self.assertTrue(self.is_over(self.sent[0]))
        self.assertFalse(self.is_over(self.sent[1]))
        self.router.advance(WEIGHTS_S / 2)
        self.assertTrue(self.is_over(self.sent[1]))

    def test_weights_that_were_named_before_the_start(self) -> None:
        """What a router finds at its start may have been named long ago."""
        self.router.submit("brief")
        self.weights.named("m", 2, is_late=True)
        self.router.advance(0.75 * WEIGHTS_S)
        self.assertTrue(self.is_over(self.sent[0]))

    def test_silent_attempt_beside_another_is_ended_too(self) -> None:
        self.router.add(target("e3", "llm"))
        caller = self.wait_at_old_weights("draft")
        self.router.advance(LOADED_S)
        open_sent = [sent for sent in self.sent if not self.is_over(sent)]
        self.assertEqual(2, len(open_sent))
        self.router.advance(WEIGHTS_S - LOADED_S)
        self.assertTrue(all(map(self.is_over, self.sent)))
        # It was sent to as many targets as its kind allows.
        assert caller.failure is not None
        self.assertEqual(Reason.WEIGHTS_REPLACED, caller.failure.reason)

    def test_shorter_time_from_the_settings(self) -> None:
        self.wait_at_old_weights("brief")
        self.router.forwarder.weights.weights_s = WEIGHTS_S / 2
        self.weights.bounds_changed()
        self.router.advance(WEIGHTS_S / 2)
        self.assertTrue(self.is_over(self.sent[0]))

    def test_begun_stream_that_waits_elsewhere_goes_on(self) -> None:
        """It is not cut; a target with newer weights reads it again."""
        self.router.add(target("e3", "llm"))
        caller = self.router.submit("draft")
        self.sent[0].begin(200, event(1))
        self.weights.named("m", 2, is_late=False)
        self.sent[0].sink.failed(LOST)
        self.router.advance(LOADED_S)
        self.assertEqual(2, len(self.sent))
        self.router.advance(WEIGHTS_S - LOADED_S)
        self.router.add(target("e2", "llm", versions={"m": 2}))
        self.router.forwarder.waiting.serve()
        self.assertTrue(self.is_over(self.sent[1]))
        self.assertFalse(caller.is_broken)
        self.assertEqual(2, self.sent[-1].order.version)

    def test_run_is_not_moved_to_weights_that_are_too_old(self) -> None:
        """At the destination it begins anew, by what the platform counts."""
        self.router.configure(state(2, pools=MOVING))
        self.router.add(target("e3", "llm"))
        self.router.submit("draft")
        self.sent[0].begin(200, event(1))
        (forwarding,) = self.router.forwarder.open
        self.weights.named("m", 2, is_late=False)
        self.router.advance(WEIGHTS_S)
        move_away(forwarding)
        self.assertEqual([], self.router.port.moves)
        self.assertFalse(self.is_over(self.sent[0]))
