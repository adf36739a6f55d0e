"""One forwarded request: from its plan to the end of its answer.

A request is sent to one target at a time.  If the target proves that it did
not run the request, another target is tried; if the request may have run, only
if its kind allows that.  A stream that breaks is resumed at another target
after the last complete event.
"""

from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind import messages, retries, stream_reconnect
from sequoiawind.blackboard import RequestNote
from sequoiawind.forward_attempt import ForwardAttempt
from sequoiawind.forward_plan import ForwardPlan, urgency
from sequoiawind.forward_ports import (
    AnswerHead,
    ForwardCaller,
    SendOrder,
)
from sequoiawind.load import waiting
from sequoiawind.load.account_charge import AccountCharge
from sequoiawind.load.admission import Action
from sequoiawind.load.target_pace import PaceSample
from sequoiawind.repeat_window import AttemptCount
from sequoiawind.request_execution import RequestExecution
from sequoiawind.request_signature import RequestSignature
from sequoiawind.silent_attempts import SilentAttempts
from sequoiawind.stream_move import StreamMove
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.target_choice import Chosen
from sequoiawind.tried_targets import TriedTargets
from sequoiawind.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

if TYPE_CHECKING:
    from sequoiawind.forwarder import Forwarder

# Minimum deadline sent to a target, in seconds.
MIN_DEADLINE_S: Final = 0.005

# Value of `RequestNote.not_retried` for a request that may have run.
NOT_REPEATABLE: Final = "not_repeatable"


@attrs.define(kw_only=True, eq=False)
class Forwarding(RequestExecution):
    """A forwarded request that has not ended."""

    forwarder: "Forwarder"
    plan: ForwardPlan
    caller: ForwardCaller
    note: RequestNote
    # What it takes from its account's rate limit; None without a limit.
    charge: AccountCharge | None = None
    # Whether admission control has let it in.
    is_admitted: bool = False
    current: ForwardAttempt | None = None
    tried: TriedTargets = attrs.field(factory=TriedTargets)
    # Names of the targets that were asked for their load before a choice.
    probed: tuple[str, ...] = ()
    # Number of targets that were asked so far.
    asked: int = 0
    attempts: AttemptCount = attrs.field(init=False)
    silence: SilentAttempts = attrs.field(init=False)
    signature: RequestSignature = attrs.field(init=False)
    # Why the last attempt failed.
    last_failure: Failure | None = None
    # Whether an answer's head was sent to the caller.
    has_head: bool = False
    # Id of the last event that was sent to the caller.
    last_event: int | None = None
    # Where the stream that the caller gets began; None before its first event.
    origin: StreamOrigin | None = None
    # A target's whole error answer, for want of a better one.
    error_answer: tuple[AnswerHead, bytes] | None = None
    # Since when the request has been waiting for a target; None if it is not.
    waiting_since_s: float | None = None

    def __attrs_post_init__(self) -> None:
        """Create the parts that refer to the forwarding."""
        self.attempts = AttemptCount(window=self.forwarder.window)
        self.silence = SilentAttempts(forwarding=self)
        self.signature = RequestSignature.of(self.plan)

    def start(self) -> None:
        """Start the deadline and make the first attempt."""
        if self.left_s <= 0.0:
            self.give_up(not_run(Reason.DEADLINE, messages.DEADLINE))
            return
        self.start_deadline(self.left_s)
        if self.plan.kind.is_stream and self.plan.request.last_event_id:
            stream_reconnect.start(self)
        else:
            self.next_target()

    @property
    def stream_id(self) -> str:
        """Id of the request that brought the first event of the stream."""
        request = self.plan.request
        return (request.last_event_id and request.resumes) or request.request_id

    @property
    def now_s(self) -> float:
        """The time in seconds."""
        return self.clock.seconds()

    @property
    def left_s(self) -> float:
        """Time left until the request's deadline, in seconds."""
        return self.plan.ends_s - self.now_s

    def next_target(self) -> None:
        """Send the request to the best target, wait for one, or give up."""
        if self.is_finished:
            return
        if not self.replan():
            return
        kind = self.plan.kind
        if self.any_may_have_run and not kind.may_repeat:
            self.note.not_retried = NOT_REPEATABLE
            self.give_up(self.last_failure or may_have_run(Reason.TARGET_LOST))
            return
        if self.left_s <= 0.0:
            self.stop(not_run(Reason.DEADLINE, messages.DEADLINE))
            return
        if self.tried.count >= max(1, kind.max_targets):
            self.stop(not_run(Reason.MAX_TARGETS, messages.MAX_TARGETS))
            return
        if self.now_s < self.tried.ask_again_s:
            self.wait()
            return
        if not (self.tried or self.probed) and self.forwarder.probe(self):
            return
        options = self.forwarder.options(self)
        self.asked += len(self.probed)
        self.probed = ()
        if not options or not self.is_let_in(options):
            if not self.is_finished:
                self.wait()
            return
        self.waiting_since_s = None
        if self.reserve_attempt():
            self.send(options[0])
        elif self.tried.stopped:
            self.wait()
        else:
            self.stop(not_run(Reason.RETRY_BUDGET, messages.RETRY_BUDGET))

    def is_let_in(self, options: list[Chosen]) -> bool:
        """Whether the request is sent now; end it if it is refused."""
        if self.is_admitted or self.tried or self.origin is not None:
            return True
        decision = self.forwarder.decide(self, options)
        self.is_admitted = decision.action is not Action.WAIT
        if decision.failure is not None:
            self.stop(decision.failure)
        return decision.action is Action.ADMIT

    def stop(self, why: Failure) -> None:
        """Give up because no further attempt can be made.

        Args:
          why: The reason for that; also the request's failure, unless an
            attempt has failed.
        """
        self.note.not_retried = why.reason.value
        self.give_up(self.last_failure or why)

    def replan(self) -> bool:
        """Update the plan; return whether the request may be sent.

        If not, it has been refused, or waits for a newer configuration.
        """
        refused = self.update_plan()
        if refused is None:
            return True
        if self.has_head and refused.reason is Reason.CONFIG_STALE:
            # The caller has a part of the answer; the store may answer soon.
            self.forwarder.waiting.add(self)
            return False
        self.note.not_retried = refused.reason.value
        self.give_up(refused)
        return False

    def update_plan(self) -> Failure | None:
        """Plan again if the configuration changed or is too old to trust keys.

        Returns:
          Why the request must not be sent; None if it may be sent.
        """
        blocked = self.forwarder.crashes.refusal(self.signature)
        if blocked is not None:
            return blocked
        is_current = self.plan.revision == self.forwarder.board.state.revision
        is_trusted = (
            not self.plan.account.name or self.forwarder.planner.trusts_keys
        )
        if is_current and is_trusted:
            return None
        planner = self.forwarder.planner
        if self.tried or self.has_head:
            planned = planner.renew(self.plan, has_begun=self.has_head)
        else:
            planned = self.forwarder.plan_again(self.plan)
        if planned.is_error():
            return planned.error
        self.plan = stream_reconnect.with_pool_of_origin(
            planned.ok, self.origin, self.forwarder.board.state
        )
        self.start_deadline(max(0.0, self.left_s))
        return None

    def wait(self) -> None:
        """Queue for a target, or give up if none can be ready in time."""
        now_s = self.now_s
        if self.waiting_since_s is None:
            self.waiting_since_s = now_s
        refused = waiting.refusal(
            waiting.WaitState(
                waited_s=now_s - self.waiting_since_s,
                time_limit_s=self.plan.ends_s - self.plan.request.read_s,
                has_answer_begun=self.has_head,
                is_resumed_stream=self.origin is not None,
                room_in_s=self.forwarder.room_in_s(self),
                has_targets=bool(self.tried.stopped)
                or self.forwarder.has_targets(self),
            )
        )
        if refused is not None:
            self.stop(refused)
            return
        self.forwarder.waiting.add(self)

    def wait_longer(self) -> None:
        """Go on waiting without a new choice, if the request still may."""
        if not self.is_finished and self.replan():
            self.wait()

    def hold_repeat(self) -> bool:
        """Count a repeat in advance; return whether it is allowed."""
        routers = self.forwarder.fleet.routers(self.now_s)
        return self.attempts.hold(self.plan.pool.name, self.now_s, routers)

    def reserve_attempt(self) -> bool:
        """Count an attempt; return whether it is allowed."""
        now_s = self.now_s
        routers = self.forwarder.fleet.routers(now_s)
        return self.attempts.reserve(self.plan.pool.name, now_s, routers)

    def send(self, chosen: Chosen) -> None:
        """Send the request to a target."""
        if self.tried:
            failure = self.last_failure or may_have_run(Reason.TARGET_LOST)
            self.forwarder.on_retry(failure.reason)
        self.forwarder.sent(self, chosen)
        if self.charge is not None:
            self.charge.sent(self.now_s)
        sample = self.forwarder.load.sent(self.plan, chosen, self.now_s)
        self.open_attempt(chosen, sample=sample)

    def open_attempt(
        self,
        chosen: Chosen,
        moved_from: str = "",
        sample: PaceSample | None = None,
    ) -> None:
        """Start an attempt, or continue a run that was moved."""
        target = chosen.view.target
        self.tried.sent(target.name)
        self.note.targets_tried.append(target.name)
        attempt = ForwardAttempt(
            clock=self.clock,
            forwarding=self,
            chosen=chosen,
            pool=self.plan.pool,
            is_continuation=self.last_event is not None,
        )
        self.current = attempt
        attempt.expect(sample)
        attempt.occupy()
        order = SendOrder(
            request=self.plan.request,
            target=target,
            deadline_s=max(MIN_DEADLINE_S, self.left_s),
            account=self.plan.account.name,
            urgency=urgency(self.plan),
            version=chosen.version,
            salt=chosen.salt,
            source=chosen.source,
            cache_store=chosen.cache_store,
            after_event=self.last_event,
            moved_from=moved_from,
            needs_new_connection=self.silence.are_kept_doubtful,
        )
        self.silence.expect_first(attempt)
        attempt.call = self.forwarder.port.send(order, attempt)

    # Moves.

    def continue_at(self, destination: Chosen, move: StreamMove) -> None:
        """Continue the run at the target that now has its memory."""
        # It is the same run, so it replaces the previous attempt.
        self.tried.moved(move.attempt.view.target.name)
        self.open_attempt(destination, move.moved_from)

    def may_send_elsewhere(self) -> bool:
        """Whether the request may still be sent to another target."""
        kind = self.plan.kind
        return kind.may_repeat and self.tried.count < kind.max_targets

    # Answers.

    def take_event(
        self, attempt: ForwardAttempt, data: bytes, event_id: int | None
    ) -> None:
        """Send a complete event to the caller, unless it has it already."""
        if self.is_finished or attempt.answer is None:
            return
        self.silence.heard(attempt)
        self.tried.went_on()
        if attempt.move is None:
            self.silence.expect_event(attempt)
            if not attempt.may_be_stopped and attempt.reserving is None:
                self.attempts.release(self.now_s)
        if self.note.first_chunk_s < 0.0:
            self.stream_began(attempt)
        if event_id is not None:
            if self.last_event is not None and event_id <= self.last_event:
                self.note.repeated_chunks += 1
                return
            self.last_event = event_id
        if self.note.first_chunk_s < 0.0:
            self.note.first_chunk_s = self.now_s
        self.pass_head(attempt.answer)
        self.caller.send_data(data)

    def stream_began(self, attempt: ForwardAttempt) -> None:
        """Note the origin of a stream, for callers that take it up again."""
        self.plan = attrs.evolve(self.plan, pool=attempt.pool)
        if self.origin is None:
            self.origin = StreamOrigin.of(attempt.view.target)
        if self.plan.kind.may_repeat:
            self.forwarder.origins.began(self.stream_id, self.origin)

    def pass_head(self, head: AnswerHead) -> None:
        """Send the answer's head to the caller, unless one was sent."""
        if not self.has_head:
            self.has_head = True
            self.caller.send_head(head.status, head.headers)

    def answered(self, attempt: ForwardAttempt) -> None:
        """Handle a complete answer: a success, an error or a refusal."""
        answer = attempt.answer
        if answer is None or self.is_finished:
            return
        self.forwarder.versions_seen(attempt.view, answer.versions)
        if answer.refusal is not None:
            self.attempt_failed(attempt, answer.refusal)
            return
        is_fault = answer.status >= 500
        signature = self.signature if attempt.has_written else None
        self.forwarder.outcome(attempt.view.target.name, is_fault, signature)
        is_unfit = is_fault or (self.has_head and not attempt.has_event)
        if is_unfit and self.silence.lost(attempt):
            return
        self.silence.heard(attempt)
        if attempt.is_streaming:
            self.pass_head(answer)
            self.caller.send_data(attempt.splitter.rest)
            self.caller.send_end()
            self.finish(None)
            return
        if is_fault and self.may_send_elsewhere():
            self.any_may_have_run = True
            if self.has_head:
                self.resume_after_error(answer)
                return
            if self.repeat_elsewhere(attempt, answer):
                return
        self.reply(answer, attempt.take_body())

    def repeat_elsewhere(
        self, attempt: ForwardAttempt, answer: AnswerHead
    ) -> bool:
        """Try another target after an error status from a target.

        Returns:
          Whether it was sent; if not, the caller gets the answer unchanged.
        """
        self.attempts.use()
        if self.update_plan() is not None or not self.may_send_elsewhere():
            return False
        chosen = self.forwarder.choose(self)
        if chosen is None or not self.reserve_attempt():
            return False
        self.last_failure = answer.failure
        self.error_answer = (answer, attempt.take_body())
        self.send(chosen)
        return True

    def resume_after_error(self, answer: AnswerHead) -> None:
        """Resume a begun stream at a further target, waiting for one."""
        self.attempts.use()
        self.last_failure = answer.failure
        self.next_target()

    def reply(self, answer: AnswerHead, body: bytes) -> None:
        """Send a target's whole answer to the caller."""
        if self.has_head:
            # The caller has a part of a stream, but the target that should
            # resume it did not answer with a stream.
            self.caller.abort_answer()
            self.finish(may_have_run(Reason.TARGET_ERROR))
            return
        if self.note.first_chunk_s < 0.0:
            self.note.first_chunk_s = self.now_s
        self.caller.reply(answer.status, answer.headers, body)
        self.finish(None)

    def attempt_failed(self, attempt: ForwardAttempt, failure: Failure) -> None:
        """Retry a failed attempt at another target, or give up."""
        if self.is_finished:
            return
        self.last_failure = failure
        self.forwarder.attempt_failed(self, attempt, failure)
        self.record_verdict(failure)
        if self.charge is not None and failure.verdict is Verdict.NOT_RUN:
            self.charge.not_run()
        name, may_be_stopped = attempt.view.target.name, attempt.may_be_stopped
        self.tried.failed(name, failure, may_be_stopped, self.now_s)
        if failure.reason is not Reason.CONNECT_FAILED:
            self.attempts.use()
        if self.silence.lost(attempt):
            return
        may_repeat = (
            self.plan.kind.may_repeat
            and self.forwarder.crashes.may_repeat(self.signature)
        )
        if not retries.may_retry(failure, may_repeat):
            self.note.not_retried = NOT_REPEATABLE
            self.give_up(failure)
            return
        self.next_target()

    # Ends.

    def give_up(self, failure: Failure) -> None:
        """End the request with a failure, by the verdict over all attempts.

        An answer that has begun is aborted instead.
        """
        if self.is_finished:
            return
        if self.error_answer is not None and not self.has_head:
            self.reply(*self.error_answer)
            return
        failure = self.with_overall_verdict(failure)
        if failure.verdict is Verdict.NOT_RUN and not failure.retry_after_s:
            failure = attrs.evolve(
                failure, retry_after_s=waiting.BUSY_RETRY_AFTER_S
            )
        if self.has_head:
            self.caller.abort_answer()
            self.forwarder.origins.broken(self.stream_id)
        else:
            self.caller.refuse(failure)
        self.finish(failure)

    def caller_disconnected(self) -> None:
        """End the request after its caller has disconnected.

        A call that may not be repeated and does not stream is left running at
        its target, because an action stopped halfway is of no use.
        """
        if self.is_finished:
            return
        attempt = self.current
        kind = self.plan.kind
        if attempt is not None and (kind.may_repeat or kind.is_stream):
            attempt.cancel()
        self.finish(may_have_run(Reason.CANCELLED, messages.CANCELLED))

    def finish(self, failure: Failure | None) -> None:
        """Close the request and report its end to the forwarder."""
        self.close()
        self.silence.end()
        self.attempts.release(self.now_s)
        if self.charge is not None:
            self.charge.ended(self.now_s)
        is_whole = failure is None and self.has_head
        self.forwarder.origins.finished(self.stream_id, is_whole)
        self.forwarder.finished(self, failure)
