"""Base classes for one request: successive attempts and exactly one outcome.

Shared by the exchanges through agents and the forwarding to targets: the
request's deadline, the timer of the current attempt, cancellation, and the
verdict over all attempts.
"""

from collections.abc import Callable

import attrs

from sequoiawind import messages
from sequoiawind.ports import Call, Clock, Timer
from sequoiawind.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)


@attrs.define(kw_only=True, eq=False)
class OpenAttempt:
    """One attempt to run a request at one target."""

    clock: Clock
    call: Call | None = None
    timer: Timer | None = None
    # When the timer is due, and when the timeout is; in seconds of the clock.
    timer_due_s: float = 0.0
    timeout_at_s: float = 0.0
    on_timeout: Callable[[], None] | None = None
    is_over: bool = False
    # When it ended, in seconds of the clock; negative before.
    ended_s: float = -1.0

    def set_timeout(
        self, timeout_s: float, on_timeout: Callable[[], None]
    ) -> None:
        """Start or restart the attempt's timeout.

        Args:
          timeout_s: Time until the timeout, in seconds.
          on_timeout: Called at the timeout, unless the timer was stopped or
            restarted before.
        """
        self.on_timeout = on_timeout
        self.timeout_at_s = self.clock.seconds() + timeout_s
        if self.timer is not None and self.timer.active():
            if self.timer_due_s <= self.timeout_at_s:
                # A stream restarts its timeout at each event: the timer is set
                # again only when it is due.
                return
            self.timer.cancel()
        self.start_timer(timeout_s)

    def start_timer(self, delay_s: float) -> None:
        """Start the timer, due in `delay_s` seconds."""
        self.timer_due_s = self.clock.seconds() + delay_s
        self.timer = self.clock.callLater(delay_s, self.timer_ended)

    def timer_ended(self) -> None:
        """Call the timeout's function, or set the timer for the rest."""
        left_s = self.timeout_at_s - self.clock.seconds()
        if left_s > 0.0:
            self.start_timer(left_s)
        elif self.on_timeout is not None:
            self.on_timeout()

    def stop_timer(self) -> None:
        """Cancel the attempt's timeout, if one is pending."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def close(self) -> bool:
        """Close the attempt; return whether it was open."""
        if self.is_over:
            return False
        self.is_over = True
        self.ended_s = self.clock.seconds()
        self.stop_timer()
        self.release()
        return True

    def release(self) -> None:
        """Release the capacity that the attempt holds at its target."""

    def cancel(self) -> None:
        """Close the attempt and cancel its call, if it is open."""
        if self.close() and self.call is not None:
            self.call.cancel()


@attrs.define(kw_only=True, eq=False)
class RequestExecution:
    """A request that has not ended: its attempts, deadline and outcome."""

    clock: Clock
    current: OpenAttempt | None = None
    deadline: Timer | None = None
    # Whether some attempt may have run the request.
    any_may_have_run: bool = False
    is_finished: bool = False

    def start_deadline(self, left_s: float) -> None:
        """Start or restart the deadline, `left_s` seconds from now."""
        if self.deadline is not None and self.deadline.active():
            self.deadline.cancel()
        self.deadline = self.clock.callLater(left_s, self.deadline_passed)

    def deadline_passed(self) -> None:
        """End the request with `Reason.DEADLINE`."""
        self.end(Reason.DEADLINE, messages.DEADLINE)

    def end(self, reason: Reason, detail: str) -> None:
        """End the request for a reason that does not lie with its target.

        If an attempt is open, the request may have run at its target.
        """
        if self.is_finished:
            return
        was_open = self.current is not None and not self.current.is_over
        self.cancel_current()
        verdict = may_have_run if was_open else not_run
        self.give_up(verdict(reason, detail))

    def give_up(self, failure: Failure) -> None:
        """End the request with a failure."""
        raise NotImplementedError

    def record_verdict(self, failure: Failure) -> None:
        """Record whether a failed attempt may have run the request."""
        if failure.verdict is not Verdict.NOT_RUN:
            self.any_may_have_run = True

    def with_overall_verdict(self, failure: Failure) -> Failure:
        """Return the failure with the verdict over all attempts."""
        if self.any_may_have_run and failure.verdict is Verdict.NOT_RUN:
            return attrs.evolve(failure, verdict=Verdict.MAY_HAVE_RUN)
        return failure

    def cancel_current(self) -> None:
        """Cancel the current attempt, if there is one."""
        if self.current is not None:
            self.current.cancel()

    def close(self) -> None:
        """Mark the request as finished and cancel its deadline."""
        self.is_finished = True
        if self.deadline is not None and self.deadline.active():
            self.deadline.cancel()
