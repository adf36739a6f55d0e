"""The course of one request: one attempt after another, and exactly one end.

What the exchanges through agents and the forwarding to targets have in common:
the deadline, the timer of the attempt under way, what a caller's leaving and
the end of its time do to it, and the verdict that covers all attempts.
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
    """One try at one target."""

    clock: Clock
    call: Call | None = None
    timer: Timer | None = None
    is_over: bool = False

    def watch(self, timeout_s: float, on_silence: Callable[[], None]) -> None:
        """Wait for a sign of the target from now on, and no longer."""
        self.stop_timer()
        self.timer = self.clock.callLater(timeout_s, on_silence)

    def stop_timer(self) -> None:
        """Wait for no sign of the target."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def close(self) -> bool:
        """Take nothing more; whether the attempt was open."""
        if self.is_over:
            return False
        self.is_over = True
        self.stop_timer()
        self.release()
        return True

    def release(self) -> None:
        """Give back what the attempt held of its target's places."""

    def cancel(self) -> None:
        """Stop an attempt that is open."""
        if self.close() and self.call is not None:
            self.call.cancel()


@attrs.define(kw_only=True, eq=False)
class Course:
    """A request on its way."""

    clock: Clock
    current: OpenAttempt | None = None
    deadline: Timer | None = None
    # Whether some attempt may have run.
    is_tainted: bool = False
    is_finished: bool = False

    def start_deadline(self, left_s: float) -> None:
        """Give the request a final answer after so many seconds."""
        self.deadline = self.clock.callLater(left_s, self.time_is_up)

    def time_is_up(self) -> None:
        """Give up at the end of the request's time."""
        if self.is_finished:
            return
        was_open = self.current is not None and not self.current.is_over
        self.cancel_current()
        verdict = may_have_run if was_open else not_run
        self.give_up(verdict(Reason.DEADLINE, messages.DEADLINE))

    def give_up(self, failure: Failure) -> None:
        """End the request with a failure."""
        raise NotImplementedError

    def note_verdict(self, failure: Failure) -> None:
        """Remember that an attempt may have run."""
        if failure.verdict is not Verdict.NOT_RUN:
            self.is_tainted = True

    def covering(self, failure: Failure) -> Failure:
        """Return a failure with the verdict on all attempts together."""
        if self.is_tainted and failure.verdict is Verdict.NOT_RUN:
            return attrs.evolve(failure, verdict=Verdict.MAY_HAVE_RUN)
        return failure

    def cancel_current(self) -> None:
        """Stop the attempt under way, if there is one."""
        if self.current is not None:
            self.current.cancel()

    def close(self) -> None:
        """Decide nothing more."""
        self.is_finished = True
        if self.deadline is not None and self.deadline.active():
            self.deadline.cancel()
