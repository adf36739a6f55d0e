"""A stream is not cut because its router has taken it away more than once."""

from typing import Final

from expression import Error
from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.scope_changes import ScopeChanges
from sequoiawind.stream_move import move_away
from sequoiawind.verdict import Reason, may_have_run
from tests.forward_rig import FakeCaller, ForwardRig, state, target
from tests.test_accepted_requests import event

IN_FORCE_S: Final = 2.0
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
NOT_MOVED = may_have_run(Reason.TARGET_ERROR, "status 503")


class LostByTwoStepsTest(TestCase):
    """What the router has taken away is given back, however often it does."""

    def setUp(self) -> None:
        super().setUp()
        self.router = ForwardRig()
        self.router.add(*(target(f"e{number}", "llm") for number in range(6)))
        self.scopes = ScopeChanges(
            forwarder=self.router.forwarder,
            clock=self.router.clock,
            in_force_s=lambda: IN_FORCE_S,
        )
        self.configure(revision=2, isolated=frozenset())
        self.sent = self.router.port.sent

    def begin(self) -> FakeCaller:
        """Begin a stream."""
        caller = self.router.submit("draft", deadline_s=20.0)
        self.sent[0].begin(200, event(1))
        return caller

    def configure(self, revision: int, isolated: frozenset[str]) -> None:
        """Put a configuration in force."""
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        new = state(revision, pools=pools, isolated_accounts=isolated)
        self.router.configure(new)
        self.scopes.configured(new)

    def drain(self, number: int) -> None:
        """Let the target of an attempt leave in planned work."""
        name = self.sent[number].order.target.name
        self.router.add(target(name, "llm", is_draining=True))

    def check_whole(self, caller: FakeCaller) -> None:
        """Answer the last attempt; check that the caller gets all events."""
        self.assertFalse(caller.is_broken)
        self.sent[-1].answer(200, event(2))
        self.assertEqual(event(1) + event(2), caller.body)
        self.assertTrue(caller.is_ended)

    def test_stream_that_is_moved_and_withdrawn_twice(self) -> None:
        caller = self.begin()
        (forwarding,) = self.router.forwarder.open
        move_away(forwarding)
        self.router.port.move_answers[0].callback(Error(NOT_MOVED))
        self.drain(0)
        self.sent[0].sink.failed(LOST)
        self.configure(revision=3, isolated=frozenset({"a"}))
        self.router.advance(0.1)
        self.drain(1)
        self.router.advance(IN_FORCE_S)
        self.assertTrue(self.sent[1].call.is_cancelled)
        self.assertEqual(3, len(self.sent))
        self.configure(revision=4, isolated=frozenset())
        self.router.advance(0.1)
        self.drain(2)
        self.router.advance(IN_FORCE_S)
        self.assertTrue(self.sent[2].call.is_cancelled)
        self.check_whole(caller)

    def test_silent_target_breaks_off_after_a_withdrawal(self) -> None:
        caller = self.begin()
        self.router.advance(1.5)
        self.assertEqual(2, len(self.sent))
        self.configure(revision=3, isolated=frozenset({"a"}))
        self.router.advance(1.85)
        self.assertTrue(self.sent[1].call.is_cancelled)
        self.assertFalse(caller.is_broken)
        self.sent[0].sink.failed(LOST)
        self.check_whole(caller)
