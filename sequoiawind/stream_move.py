"""Moving a stream to another target in the midst of its answer.

Answers the pattern of a target that has to end its runs before it loads
weights: a few long answers hold it up for seconds.  Their memory is copied to a
target with the same weights, where they go on behind the last event.  If that
fails, the stream goes on where it is, or is resumed like one that broke.
"""

from typing import TYPE_CHECKING, Final

import attrs
from twisted.internet.defer import Deferred

from sequoiawind.forward_ports import MoveOrder
from sequoiawind.ports import Timer
from sequoiawind.target_choice import Chosen
from sequoiawind.verdict import Failure

if TYPE_CHECKING:
    from sequoiawind.forwarding import ForwardAttempt, Forwarding

# Time for the copy, in seconds: the memory of one run takes milliseconds, and
# links are shared with the copies of other runs.
MOVE_TIMEOUT_S: Final = 0.4
# Time for the last events of a run that was stopped, in seconds: two round
# trips inside a region.
LAST_EVENTS_S: Final = 0.05


@attrs.define(kw_only=True, eq=False)
class StreamMove:
    """One run on its way to another target."""

    forwarding: "Forwarding"
    # The attempt at the target that the run leaves.
    attempt: "ForwardAttempt"
    goal: Chosen
    # Whether it is known if the run was stopped, and where its memory is then.
    is_answered: bool = False
    moved_from: str = ""
    # Why the copy failed; why the stream ended meanwhile.
    failure: Failure | None = None
    source_failure: Failure | None = None
    timer: Timer | None = None

    def start(self) -> None:
        """Ask the target to stop the run and to copy its memory."""
        self.attempt.stop_timer()
        self.attempt.move = self
        Deferred.fromCoroutine(self.ask())

    async def ask(self) -> None:
        """Ask the target, and go on with its answer."""
        order = MoveOrder(
            request_id=self.forwarding.plan.request.request_id,
            source=self.attempt.view.target,
            goal=self.goal.view.target,
        )
        port = self.forwarding.forwarder.port
        answered = await port.move(order, MOVE_TIMEOUT_S)
        self.is_answered = True
        if answered.is_ok():
            self.moved_from = answered.ok
        else:
            self.failure = answered.error
        self.settle()

    def source_ended(self, failure: Failure) -> None:
        """Note that the stream has ended before its end."""
        self.source_failure = failure
        self.settle()

    def settle(self) -> None:
        """Go on once it is known what became of the run and of its stream."""
        if not self.is_answered:
            return
        if self.forwarding.is_finished:
            if self.moved_from:
                self.forwarding.forwarder.port.drop_move(self.moved_from)
            return
        if self.moved_from:
            self.settle_moved()
            return
        self.attempt.move = None
        self.forwarding.forwarder.on_move(self)
        if self.source_failure is not None:
            self.forwarding.attempt_failed(self.attempt, self.source_failure)
        else:
            self.forwarding.watch_pause(self.attempt)

    def settle_moved(self) -> None:
        """Go on at the other target, behind the last event from this one."""
        if not self.attempt.is_over:
            clock = self.forwarding.clock
            self.timer = clock.callLater(LAST_EVENTS_S, self.cut)
            return
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.attempt.move = None
        self.forwarding.forwarder.on_move(self)
        self.forwarding.go_on_at(self.goal, self.moved_from)

    def cut(self) -> None:
        """Wait no longer for the last events; the goal makes them again."""
        self.attempt.cancel()
        self.settle()
