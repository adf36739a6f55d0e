"""Moving a running stream to another target.

A target has to end its runs before it loads weights, and a few long answers
can delay that for seconds.  The memory of such a run is copied to a target with
the same weights, which continues the stream after the last event.

If the move fails, the stream continues where it is, or is resumed like a broken
one, which may take a while.  A router that stops has no time for that: it has
the memory copied once while the run goes on, which keeps room for it at the
destination, and only then is the run stopped, and the rest copied.
"""

from typing import TYPE_CHECKING, Final

import attrs
from expression import Result
from twisted.internet.defer import Deferred

from sequoiawind import messages
from sequoiawind.forward_ports import MoveOrder
from sequoiawind.ports import Timer
from sequoiawind.target_choice import Chosen
from sequoiawind.verdict import Failure, Reason, Verdict, may_have_run

if TYPE_CHECKING:
    from sequoiawind.forward_attempt import ForwardAttempt
    from sequoiawind.forwarding import Forwarding

# Timeout of the copy, in seconds: the memory of one run takes milliseconds,
# but copies of other runs share the links.
MOVE_TIMEOUT_S: Final = 0.4
# Time to wait for the last events of a stopped run, in seconds: two round
# trips inside a region.
LAST_EVENTS_S: Final = 0.05


@attrs.define(kw_only=True, eq=False)
class StreamMove:
    """The move of one run to another target."""

    forwarding: "Forwarding"
    # The attempt at the target that the run is moved from.
    attempt: "ForwardAttempt"
    destination: Chosen
    # Whether the move request has been answered.
    is_answered: bool = False
    # Location of the run's copied memory; empty if the run was not moved.
    moved_from: str = ""
    # Why the copy failed, and why the stream failed during the move.
    failure: Failure | None = None
    source_failure: Failure | None = None
    # Whether the stream has ended in a way that the stop of its run explains
    # as well as the end of its answer.
    has_ended: bool = False
    timer: Timer | None = None

    def start(self) -> None:
        """Request the move; a router that stops asks for room first."""
        self.attempt.reserving = self
        Deferred.fromCoroutine(self.request_move())

    async def request_move(self) -> None:
        """Request the target to copy the run's memory, then to stop it."""
        order = MoveOrder(
            request_id=self.forwarding.plan.request.request_id,
            source=self.attempt.view.target,
            destination=self.destination.view.target,
        )
        port = self.forwarding.forwarder.port
        if self.forwarding.forwarder.is_stopping:
            reserved = await port.reserve_move(order, MOVE_TIMEOUT_S)
            self.attempt.reserving = None
            if not self.may_stop_run(reserved):
                return
        self.attempt.reserving = None
        self.attempt.stop_timer()
        self.attempt.move = self
        answered = await port.move(order, MOVE_TIMEOUT_S)
        self.is_answered = True
        if answered.is_ok():
            self.moved_from = answered.ok
        else:
            self.failure = answered.error
        self.proceed()

    def may_stop_run(self, reserved: Result[str, Failure]) -> bool:
        """Whether there is room for the run, and it should still be moved."""
        forwarding = self.forwarding
        if reserved.is_error():
            self.failure = reserved.error
            forwarding.attempts.release(forwarding.now_s)
            forwarding.forwarder.on_move(self)
            return False
        if may_move(forwarding) is self.attempt and (
            self.attempt.view.count_request(forwarding.now_s)
        ):
            return True
        forwarding.attempts.release(forwarding.now_s)
        self.release(reserved.ok)
        return False

    def release(self, location: str) -> None:
        """Free copied memory that will not be used."""
        if self.attempt.view.notice.limit is None:
            # A target with a limit frees the memory by itself, later.
            self.forwarding.forwarder.port.release_moved_run(location)

    def stream_failed(self, failure: Failure) -> None:
        """Record that the stream from the source broke during the move."""
        self.source_failure = failure
        self.proceed()

    def stream_ended(self) -> None:
        """Record that the stream from the source has ended."""
        self.has_ended = True
        self.proceed()

    def proceed(self) -> None:
        """Complete or abandon the move, if the target has answered.

        If the request has ended meanwhile, the copied memory is released.
        """
        if not self.is_answered:
            return
        if self.forwarding.is_finished:
            if self.moved_from:
                self.release(self.moved_from)
            return
        if self.moved_from:
            self.complete_move()
            return
        self.attempt.move = None
        self.attempt.may_be_stopped = not self.is_run_untouched
        self.forwarding.forwarder.on_move(self)
        failure = self.source_failure
        if failure is not None:
            self.forwarding.attempt_failed(self.attempt, failure)
        elif not self.has_ended:
            self.forwarding.silence.expect_event(self.attempt)
        elif self.is_run_untouched:
            self.forwarding.answered(self.attempt)
        else:
            text = messages.STREAM_TRUNCATED
            lost = may_have_run(Reason.CONNECTION_LOST, text)
            self.forwarding.attempt_failed(self.attempt, lost)

    @property
    def is_run_untouched(self) -> bool:
        """Whether it is known that no move has stopped the run.

        That a target has no such run proves nothing after an earlier move.
        """
        failure = self.failure
        return (
            failure is not None
            and failure.verdict is Verdict.NOT_RUN
            and not self.attempt.may_be_stopped
        )

    def complete_move(self) -> None:
        """Continue the run at the destination after the source's last event.

        Waits up to `LAST_EVENTS_S` for the stream from the source to end.
        """
        if not self.attempt.is_over:
            clock = self.forwarding.clock
            self.timer = clock.callLater(LAST_EVENTS_S, self.stop_waiting)
            return
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.attempt.move = None
        self.forwarding.forwarder.on_move(self)
        forwarding = self.forwarding
        forwarding.continue_at(
            forwarding.forwarder.salted(forwarding.plan, self.destination), self
        )

    def stop_waiting(self) -> None:
        """Stop waiting; the destination generates the last events again."""
        self.attempt.cancel()
        self.proceed()


def may_move(forwarding: "Forwarding") -> "ForwardAttempt | None":
    """Return the attempt whose run may be moved to another target now.

    Requires that the pool supports moves, that the stream has begun, and that
    the request may be sent to yet another target, should the destination refuse
    it.
    """
    attempt = forwarding.current
    if attempt is None or attempt.is_over or attempt.move is not None:
        return None
    if attempt.reserving is not None:
        return None
    if forwarding.silence.kept or not forwarding.may_send_elsewhere():
        return None
    if not forwarding.plan.pool.has_moves:
        return None
    if not attempt.is_streaming or forwarding.last_event is None:
        return None
    if attempt.view.notice.paused_until_s > forwarding.now_s:
        return None
    return None if forwarding.update_plan() is not None else attempt


def move_away(forwarding: "Forwarding") -> None:
    """Start to move a request's run to another target, if possible."""
    attempt = may_move(forwarding)
    if attempt is None:
        return
    destination = forwarding.forwarder.move_destination(
        forwarding, attempt.chosen
    )
    if destination is None or not forwarding.hold_repeat():
        return
    if not attempt.view.count_request(forwarding.now_s):
        forwarding.attempts.release(forwarding.now_s)
        return
    StreamMove(
        forwarding=forwarding, attempt=attempt, destination=destination
    ).start()
