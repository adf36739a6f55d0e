"""Attempts of one request whose targets have fallen silent.

A sound target may pause for a second or so and go on, so silence alone ends no
attempt.  Another target is asked as well, if one can take the request, and the
silent attempt is kept until some target is heard from: that one goes on, and
the other attempts are cancelled.

It may also be the connection that has died, without a reset, and kept ones to
other targets with it.  So further attempts open new connections.
"""

from functools import partial
from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind import messages
from sequoiawind.target_choice import Chosen
from sequoiawind.verdict import Reason, may_have_run

if TYPE_CHECKING:
    from sequoiawind.forward_attempt import ForwardAttempt
    from sequoiawind.forwarding import Forwarding

# Silence after which another target is asked to resume a stream: a multiple of
# the route's longest pause, and a minimum in seconds.
PAUSE_FACTOR: Final = 3.0
MIN_PAUSE_S: Final = 1.2
# Silence before the first event or answer after which another target is asked:
# the larger of a multiple of the route's latency aim and a share of the time
# left, so that the other target has time to answer.
FIRST_AIM_FACTOR: Final = 3.0
FIRST_LEFT_SHARE: Final = 0.4
# Time from the first bytes of an event, in seconds, after which its target
# alone goes on, though the event is not complete.  Targets may work on one
# request beside each other for 0.4 s, and the bytes took some of that.
BEGUN_EVENT_S: Final = 0.3
# Time after which a request that no other target could take looks for one
# again, in seconds.
RECHECK_S: Final = 0.2


@attrs.define(kw_only=True, eq=False)
class SilentAttempts:
    """The silent attempts of one request, beside its current one."""

    forwarding: "Forwarding"
    # Attempts that are open beside the current one, the oldest first.
    kept: "list[ForwardAttempt]" = attrs.field(factory=list)
    # The attempt whose silence has been reported, until it is heard from.
    reported: "ForwardAttempt | None" = None
    # The attempt that has sent a part of an event beside silent ones.
    begun: "ForwardAttempt | None" = None
    # The attempt whose silence counts against its target.
    counted: "ForwardAttempt | None" = None
    # Whether a connection of the request has fallen silent or was lost, so that
    # kept connections to other targets may be dead as well.
    are_kept_doubtful: bool = False

    def expect_first(self, attempt: "ForwardAttempt") -> None:
        """Start the timeout for the first event or answer, if repeatable."""
        forwarding = self.forwarding
        if forwarding.may_send_elsewhere():
            self.start_timeout(
                attempt,
                max(
                    FIRST_AIM_FACTOR * forwarding.plan.kind.aim_s,
                    FIRST_LEFT_SHARE * forwarding.left_s,
                ),
            )

    def expect_event(self, attempt: "ForwardAttempt") -> None:
        """Start the timeout for the stream's next event, if repeatable."""
        forwarding = self.forwarding
        if forwarding.may_send_elsewhere():
            pause_s = PAUSE_FACTOR * forwarding.plan.kind.pause_s
            self.start_timeout(attempt, max(MIN_PAUSE_S, pause_s))

    def start_timeout(
        self, attempt: "ForwardAttempt", silence_s: float
    ) -> None:
        """Start an attempt's timeout."""
        attempt.set_timeout(silence_s, partial(self.handle_silence, attempt))

    def handle_silence(self, attempt: "ForwardAttempt") -> None:
        """Ask another target for the answer, if one can take the request."""
        forwarding = self.forwarding
        if attempt.is_over or attempt is not forwarding.current:
            return
        if not forwarding.may_send_elsewhere():
            return
        if forwarding.caller.is_choked:
            # Its target is paused until the caller has read more.
            self.start_timeout(attempt, RECHECK_S)
            return
        self.are_kept_doubtful = True
        failure = may_have_run(Reason.CHUNK_TIMEOUT, messages.CHUNK_TIMEOUT)
        chosen, outcome = self.find_other(attempt)
        self.report(attempt, outcome)
        if chosen is None:
            self.start_timeout(attempt, RECHECK_S)
            return
        forwarding.last_failure = failure
        forwarding.record_verdict(failure)
        if attempt is not self.counted:
            self.counted = attempt
            forwarding.forwarder.attempt_failed(forwarding, attempt, failure)
        self.kept.append(attempt)
        forwarding.send(chosen)

    def find_other(
        self, attempt: "ForwardAttempt"
    ) -> tuple[Chosen | None, str]:
        """Choose another target, and count the repeat.

        Args:
          attempt: The silent attempt.

        Returns:
          The target, or None; and, for the log, what becomes of the request.
        """
        forwarding = self.forwarding
        refused = forwarding.update_plan()
        if refused is not None:
            return None, refused.reason.value
        if not forwarding.may_send_elsewhere():
            return None, Reason.MAX_TARGETS.value
        if not forwarding.forwarder.crashes.may_repeat(forwarding.signature):
            return None, Reason.BLOCKED_REQUEST.value
        if forwarding.now_s < forwarding.tried.ask_again_s:
            return None, Reason.TARGET_BUSY.value
        chosen = forwarding.forwarder.choose(forwarding)
        if chosen is None:
            return None, Reason.NO_TARGET.value
        if attempt is not self.counted:
            # Its own send; a repeat that reached no target is still there.
            forwarding.attempts.use()
        if not forwarding.reserve_attempt():
            return None, Reason.RETRY_BUDGET.value
        return chosen, "asked_elsewhere"

    def report(self, attempt: "ForwardAttempt", outcome: str) -> None:
        """Report what becomes of a silent attempt, once for each silence."""
        is_asked = outcome == "asked_elsewhere"
        if self.reported is not attempt or is_asked:
            self.reported = attempt
            forwarder = self.forwarding.forwarder
            forwarder.on_silence(self.forwarding, attempt, outcome)

    def heard(self, attempt: "ForwardAttempt") -> None:
        """Go on with an attempt that brings an answer; cancel the others."""
        forwarding = self.forwarding
        if attempt is self.reported:
            self.reported = None
            forwarding.forwarder.on_silence(forwarding, attempt, "went_on")
            forwarding.forwarder.fleet.record_success(attempt.view.target.name)
        if not self.kept:
            return
        if attempt is forwarding.current:
            forwarding.forwarder.on_silence(forwarding, attempt, "taken_over")
        others = [*self.kept, forwarding.current]
        forwarding.current = attempt
        self.kept.clear()
        for other in others:
            if other is not None and other is not attempt:
                other.cancel()

    def event_begun(self, attempt: "ForwardAttempt") -> None:
        """Go on with an attempt that has sent a part of an event, soon."""
        if not self.kept or self.begun is attempt:
            return
        self.begun = attempt
        clock = self.forwarding.clock
        clock.callLater(BEGUN_EVENT_S, self.end_competition, attempt)

    def end_competition(self, attempt: "ForwardAttempt") -> None:
        """Cancel the other attempts if the given one is still open."""
        if not attempt.is_over and not self.forwarding.is_finished:
            self.heard(attempt)

    def lost(self, attempt: "ForwardAttempt") -> bool:
        """Go on without an attempt that has failed.

        Returns:
          Whether another attempt is open.
        """
        failure = self.forwarding.last_failure
        if failure is not None and failure.reason is Reason.CONNECTION_LOST:
            self.are_kept_doubtful = True
        if not self.kept:
            return False
        if attempt in self.kept:
            self.kept.remove(attempt)
            return True
        silent = self.forwarding.current = self.kept.pop()
        self.start_timeout(silent, RECHECK_S)
        return True

    def end(self) -> None:
        """Cancel the attempts that are open beside the current one."""
        kept, self.kept = self.kept, []
        for attempt in kept:
            attempt.cancel()
