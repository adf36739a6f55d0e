"""One forwarded request: from its plan to the end of its answer.

A request goes to one target at a time.  What the target proves not to have run
goes to another; what may have run does so only if its kind allows that.  A
stream that breaks goes on at another target behind the last whole event.
"""

from functools import partial
from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind import messages, retries
from sequoiawind.blackboard import RequestNote
from sequoiawind.course import Course, OpenAttempt
from sequoiawind.event_stream import EventCutter
from sequoiawind.fleet import TargetView
from sequoiawind.forward_plan import ForwardPlan, urgency
from sequoiawind.forward_ports import (
    AnswerHead,
    ForwardCaller,
    SendOrder,
)
from sequoiawind.stream_move import StreamMove
from sequoiawind.target_choice import Chosen
from sequoiawind.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

if TYPE_CHECKING:
    from sequoiawind.forwarder import Forwarder

# Silence after which a stream that may be resumed goes on elsewhere, as a
# multiple of the route's longest pause, and at least so many seconds.
PAUSE_FACTOR: Final = 3.0
MIN_PAUSE_S: Final = 1.2
# Silence before the first event or answer after which a request that may be
# repeated is sent elsewhere: a multiple of the route's aim, and a share of
# the time that is left, so that another target still has time to answer.
FIRST_AIM_FACTOR: Final = 3.0
FIRST_LEFT_SHARE: Final = 0.4
# Part of its time for which a request waits for a target that takes work.
WAIT_SHARE: Final = 0.3
# Least time to leave to a target, in seconds.
MIN_DEADLINE_S: Final = 0.005
# When to come back after a refusal for want of a target, in seconds: about
# the time in which a target sheds, loads or restarts.
BUSY_RETRY_AFTER_S: Final = 0.4


@attrs.define(kw_only=True, eq=False)
class ForwardAttempt(OpenAttempt):
    """One try at one target; the sink of its answer."""

    forwarding: "Forwarding"
    chosen: Chosen
    answer: AnswerHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    cutter: EventCutter = attrs.field(factory=EventCutter)
    # Whether the target has read the prompt.
    has_begun: bool = False
    # The move to another target that is under way; None if there is none.
    move: StreamMove | None = None

    @property
    def view(self) -> TargetView:
        """The target's view."""
        return self.chosen.view

    def head(self, head: AnswerHead) -> None:
        """Take the answer's head."""
        if not self.is_over:
            self.answer = head

    def data(self, data: bytes) -> None:
        """Take a part of the body: streams go on at once."""
        if self.is_over or self.answer is None:
            return
        if not self.is_streaming:
            self.body += data
            return
        self.begin()
        for event in self.cutter.take(data):
            self.forwarding.take_event(self, event.data, event.id)

    def done(self) -> None:
        """Take the end of the answer."""
        if self.close():
            self.forwarding.answered(self)

    def failed(self, failure: Failure) -> None:
        """Take the answer's failure."""
        if not self.close():
            return
        if self.move is not None:
            self.move.source_ended(failure)
        else:
            self.forwarding.attempt_failed(self, failure)

    @property
    def is_streaming(self) -> bool:
        """Whether the answer is passed on as it arrives."""
        answer = self.answer
        if answer is None or answer.refusal is not None:
            return False
        return self.forwarding.plan.kind.is_stream and answer.status < 300

    def release(self) -> None:
        """Count the attempt no more."""
        self.view.open_requests -= 1
        self.begin()

    def begin(self) -> None:
        """Note that the target need not read the prompt any more."""
        if self.has_begun:
            return
        self.has_begun = True
        self.view.unread_requests -= 1
        self.view.unread_tokens -= self.chosen.missing_tokens


@attrs.define(kw_only=True, eq=False)
class Forwarding(Course):
    """A request on its way."""

    forwarder: "Forwarder"
    plan: ForwardPlan
    caller: ForwardCaller
    note: RequestNote
    current: ForwardAttempt | None = None
    # Names of the targets that were sent the request.
    sent_to: list[str] = attrs.field(factory=list)
    # Why the last attempt ended without an answer.
    last: Failure | None = None
    # Whether the caller has the head of an answer.
    has_head: bool = False
    last_event: int | None = None
    waiting_since_s: float | None = None

    def start(self) -> None:
        """Make the first attempt."""
        left_s = self.left_s
        if left_s <= 0.0:
            self.give_up(not_run(Reason.DEADLINE, messages.DEADLINE))
            return
        self.start_deadline(left_s)
        self.next_target()

    @property
    def now_s(self) -> float:
        """The time in seconds."""
        return self.clock.seconds()

    @property
    def left_s(self) -> float:
        """Time left for an answer, in seconds."""
        return self.plan.ends_s - self.now_s

    def next_target(self) -> None:
        """Send the request to the best target, or wait for one."""
        if self.is_finished:
            return
        if not self.replan():
            return
        kind = self.plan.kind
        if len(self.sent_to) >= max(1, kind.max_targets):
            self.give_up(
                self.last or not_run(Reason.MAX_TARGETS, messages.MAX_SENDS)
            )
            return
        chosen = self.forwarder.choose(self)
        if chosen is None:
            self.wait()
            return
        self.waiting_since_s = None
        if not self.may_send():
            self.give_up(
                self.last or not_run(Reason.RETRY_BUDGET, messages.RETRY_BUDGET)
            )
            return
        self.send(chosen)

    def replan(self) -> bool:
        """Follow a configuration that has changed meanwhile."""
        is_current = self.plan.revision == self.forwarder.board.state.revision
        is_trusted = (
            not self.plan.account.name or self.forwarder.planner.trusts_keys
        )
        if is_current and is_trusted:
            return True
        planned = self.forwarder.planner.plan(self.plan.request)
        if planned.is_error():
            self.give_up(planned.error)
            return False
        self.plan = planned.ok
        return True

    def wait(self) -> None:
        """Wait for a target, unless none can be ready in time."""
        now_s = self.now_s
        if self.waiting_since_s is None:
            self.waiting_since_s = now_s
        waited_s = now_s - self.waiting_since_s
        limit_s = WAIT_SHARE * (self.plan.ends_s - self.plan.request.arrived_s)
        has_targets = self.forwarder.has_targets(self.plan.pool.name)
        if waited_s >= limit_s or not has_targets:
            self.give_up(
                self.last
                or not_run(
                    Reason.NO_TARGET, messages.NO_TARGET, BUSY_RETRY_AFTER_S
                )
            )
            return
        self.forwarder.wait(self)

    def may_send(self) -> bool:
        """Count an attempt; whether the pool's repeats allow it."""
        forwarder, pool = self.forwarder, self.plan.pool.name
        now_s = self.now_s
        if not self.sent_to:
            forwarder.window.first(pool, now_s)
            return True
        routers = forwarder.fleet.routers(now_s)
        return forwarder.window.repeat(pool, now_s, routers)

    def send(self, chosen: Chosen) -> None:
        """Send the request to a target."""
        if self.sent_to:
            reason = self.last.reason if self.last else Reason.TARGET_LOST
            self.forwarder.on_retry(reason)
        self.forwarder.sent(self, chosen)
        self.open_attempt(chosen)

    def open_attempt(self, chosen: Chosen, moved_from: str = "") -> None:
        """Begin an attempt, or go on with a run that was moved."""
        target = chosen.view.target
        self.sent_to.append(target.name)
        self.note.path.append(target.name)
        attempt = ForwardAttempt(
            clock=self.clock, forwarding=self, chosen=chosen
        )
        self.current = attempt
        chosen.view.open_requests += 1
        chosen.view.unread_requests += 1
        chosen.view.unread_tokens += chosen.missing_tokens
        order = SendOrder(
            request=self.plan.request,
            target=target,
            deadline_s=max(MIN_DEADLINE_S, self.left_s),
            account=self.plan.account.name,
            urgency=urgency(self.plan),
            version=chosen.version,
            salt=chosen.salt,
            source=chosen.source,
            keeper=chosen.keeper,
            after_event=self.last_event,
            moved_from=moved_from,
        )
        self.watch_first(attempt)
        attempt.call = self.forwarder.port.send(order, attempt)

    # Moves.

    def move_away(self) -> None:
        """Move the run off its target, if it may be resumed and has begun."""
        attempt = self.current
        if attempt is None or attempt.is_over or attempt.move is not None:
            return
        if not self.plan.pool.has_moves or not self.plan.kind.may_repeat:
            return
        if not attempt.is_streaming or self.last_event is None:
            return
        goal = self.forwarder.goal_of_move(self, attempt.chosen)
        if goal is not None:
            StreamMove(forwarding=self, attempt=attempt, goal=goal).start()

    def go_on_at(self, goal: Chosen, moved_from: str) -> None:
        """Go on with the run at the target that has its memory now."""
        # It is the same run, so it takes the place of the one before.
        self.sent_to.pop()
        self.open_attempt(goal, moved_from)

    # Silence.

    def watch_first(self, attempt: ForwardAttempt) -> None:
        """Send elsewhere what has no answer for long, if it may repeat."""
        if not self.may_go_on():
            return
        kind = self.plan.kind
        silence_s = max(
            FIRST_AIM_FACTOR * kind.aim_s, FIRST_LEFT_SHARE * self.left_s
        )
        attempt.watch(silence_s, partial(self.was_silent, attempt))

    def watch_pause(self, attempt: ForwardAttempt) -> None:
        """Go on elsewhere with a stream that has stopped."""
        if not self.may_go_on():
            return
        pause_s = max(MIN_PAUSE_S, PAUSE_FACTOR * self.plan.kind.pause_s)
        attempt.watch(pause_s, partial(self.was_silent, attempt))

    def was_silent(self, attempt: ForwardAttempt) -> None:
        """Give up on a target that was silent for too long."""
        if attempt.is_over or not self.may_go_on():
            return
        attempt.cancel()
        self.attempt_failed(
            attempt,
            may_have_run(Reason.CHUNK_TIMEOUT, messages.CHUNK_TIMEOUT),
        )

    def may_go_on(self) -> bool:
        """Whether the request may still be sent to another target."""
        kind = self.plan.kind
        return kind.may_repeat and len(self.sent_to) < kind.max_targets

    # Answers.

    def take_event(
        self, attempt: ForwardAttempt, data: bytes, event: int | None
    ) -> None:
        """Pass a whole event on, once."""
        if self.is_finished or attempt.answer is None:
            return
        if attempt.move is None:
            self.watch_pause(attempt)
        if event is not None:
            if self.last_event is not None and event <= self.last_event:
                self.note.repeated_chunks += 1
                return
            self.last_event = event
        if self.note.first_chunk_s < 0.0:
            self.note.first_chunk_s = self.now_s
        self.pass_head(attempt.answer)
        self.caller.send_data(data)

    def pass_head(self, head: AnswerHead) -> None:
        """Pass the head of the first answer on, once."""
        if not self.has_head:
            self.has_head = True
            self.caller.send_head(head.status, head.headers)

    def answered(self, attempt: ForwardAttempt) -> None:
        """Take a complete answer, whatever it says."""
        answer = attempt.answer
        if answer is None or self.is_finished:
            return
        name = attempt.view.target.name
        self.forwarder.versions_seen(attempt.view, answer.versions)
        if answer.refusal is not None:
            self.attempt_failed(attempt, answer.refusal)
            return
        is_fault = answer.status >= 500
        self.forwarder.outcome(name, is_fault)
        if attempt.is_streaming:
            self.pass_head(answer)
            self.caller.send_data(attempt.cutter.rest)
            self.caller.send_end()
            self.finish(None)
            return
        if is_fault and self.may_go_on() and not self.has_head:
            self.is_tainted = True
            if self.repeat_elsewhere(attempt, answer):
                return
        self.reply(answer, bytes(attempt.body))

    def repeat_elsewhere(
        self, attempt: ForwardAttempt, answer: AnswerHead
    ) -> bool:
        """Try another target after a failure that the target itself told.

        Returns:
          Whether the request is on its way to another target; if not, the
          caller gets the failure as it is.
        """
        chosen = self.forwarder.choose(self)
        if chosen is None or not self.may_send():
            return False
        self.last = may_have_run(Reason.TARGET_ERROR, f"status {answer.status}")
        self.send(chosen)
        return True

    def reply(self, answer: AnswerHead, body: bytes) -> None:
        """Give the caller a target's whole answer."""
        if self.has_head:
            # A resumed stream was answered with something else.
            self.caller.break_off()
            self.finish(may_have_run(Reason.TARGET_ERROR))
            return
        if self.note.first_chunk_s < 0.0:
            self.note.first_chunk_s = self.now_s
        self.caller.reply(answer.status, answer.headers, body)
        self.finish(None)

    def attempt_failed(self, attempt: ForwardAttempt, failure: Failure) -> None:
        """Decide what follows an attempt without an answer."""
        if self.is_finished:
            return
        self.last = failure
        self.forwarder.attempt_failed(self, attempt.view, failure)
        self.note_verdict(failure)
        if not retries.may_retry(failure, self.plan.kind.may_repeat):
            self.give_up(failure)
            return
        if failure.reason is Reason.CONNECT_FAILED:
            # Nothing was sent there.
            self.sent_to.remove(attempt.view.target.name)
        self.next_target()

    # Ends.

    def give_up(self, failure: Failure) -> None:
        """End with a failure whose verdict covers all attempts."""
        if self.is_finished:
            return
        failure = self.covering(failure)
        if failure.verdict is Verdict.NOT_RUN and not failure.retry_after_s:
            failure = attrs.evolve(failure, retry_after_s=BUSY_RETRY_AFTER_S)
        if self.has_head:
            self.caller.break_off()
        else:
            self.caller.refuse(failure)
        self.finish(failure)

    def caller_gone(self) -> None:
        """Stop work for a caller that has gone.

        An action that must not repeat goes on: half of it helps nobody.
        """
        if self.is_finished:
            return
        attempt = self.current
        kind = self.plan.kind
        if attempt is not None and (kind.may_repeat or kind.is_stream):
            attempt.cancel()
        self.finish(may_have_run(Reason.CANCELLED, messages.CANCELLED))

    def finish(self, failure: Failure | None) -> None:
        """End the request."""
        self.close()
        self.forwarder.finished(self, failure)
