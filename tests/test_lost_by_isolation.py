"""A begun stream is not cut because a change of isolation withdraws it."""

from expression import Error
from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.scope_changes import ScopeChanges
from sequoiawind.stream_move import move_away
from sequoiawind.verdict import Reason, may_have_run
from tests.forward_rig import FakeCaller, ForwardRig, state, target
from tests.test_accepted_requests import event

IN_FORCE_S = 2.0
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
NOT_MOVED = may_have_run(Reason.TARGET_ERROR, "status 503")


class LostByIsolationTest(TestCase):
    """A stream that waits at its second target goes on at a further one."""

    def begin(self, is_moved: bool) -> FakeCaller:
        """Let a begun stream wait at a further target.

        Args:
          is_moved: Whether a failed move has ended its run, and not its target.
        """
        self.router = ForwardRig()
        self.router.add(*(target(f"e{number}", "llm") for number in range(5)))
        self.scopes = ScopeChanges(
            forwarder=self.router.forwarder,
            clock=self.router.clock,
            in_force_s=lambda: IN_FORCE_S,
        )
        self.configure(revision=2, isolated=frozenset())
        caller = self.router.submit("draft")
        self.sent = self.router.port.sent
        self.sent[0].begin(200, event(1))
        if is_moved:
            (forwarding,) = self.router.forwarder.open
            move_away(forwarding)
            self.router.port.move_answers[0].callback(Error(NOT_MOVED))
        self.sent[0].sink.failed(LOST)
        return caller

    def configure(self, revision: int, isolated: frozenset[str]) -> None:
        """Put a configuration in force."""
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        new = state(revision, pools=pools, isolated_accounts=isolated)
        self.router.configure(new)
        self.scopes.configured(new)

    def test_withdrawn_stream_goes_on(self) -> None:
        for is_moved in (True, False):
            caller = self.begin(is_moved)
            self.configure(revision=3, isolated=frozenset({"a"}))
            self.router.advance(IN_FORCE_S)
            self.assertTrue(self.sent[1].call.is_cancelled)
            self.assertFalse(caller.is_broken, is_moved)
            self.assertNotEqual(
                self.sent[1].order.salt, self.sent[2].order.salt
            )
            self.sent[2].answer(200, event(2))
            self.assertEqual(event(1) + event(2), caller.body)
            self.assertTrue(caller.is_ended)

    def test_withdrawn_stream_waits_for_a_repeat(self) -> None:
        caller = self.begin(is_moved=True)
        window = self.router.forwarder.window
        allowance = window.allowance
        window.allowance = window.ratio = 0.0
        self.configure(revision=3, isolated=frozenset({"a"}))
        self.router.advance(IN_FORCE_S)
        self.assertFalse(caller.is_broken)
        self.assertEqual(2, len(self.sent))
        window.allowance = allowance
        self.router.advance(0.2)
        self.assertEqual(3, len(self.sent))
        self.sent[2].answer(200, event(2))
        self.assertTrue(caller.is_ended)

    def test_target_that_breaks_off_ends_it(self) -> None:
        caller = self.begin(is_moved=False)
        self.configure(revision=3, isolated=frozenset({"a"}))
        self.router.advance(IN_FORCE_S)
        self.sent[-1].sink.failed(LOST)
        self.assertTrue(caller.is_broken)
