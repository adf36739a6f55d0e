"""Counts and logs what a forwarding router decides about requests."""

import math
import traceback
from collections.abc import Callable
from typing import Final

import attrs
import structlog
from expression import Result

from sequoiawind.blackboard import Blackboard
from sequoiawind.caller_output import StalledCaller
from sequoiawind.end_notes import EndNotes
from sequoiawind.fleet import TargetView
from sequoiawind.forward_attempt import ForwardAttempt
from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.forward_ports import AnswerHead
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.forwarding import Forwarding
from sequoiawind.freshness import Freshness
from sequoiawind.headers import Headers
from sequoiawind.load.account_bucket import ShareInputs
from sequoiawind.metrics import ForwardMetrics
from sequoiawind.ports import Clock
from sequoiawind.prompt_cache import Prompt
from sequoiawind.stream_move import StreamMove
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import Failure, Reason

Logger = structlog.typing.FilteringBoundLogger

# Number of prompt parts that a log line names at most.
MAX_LOGGED_PARTS: Final = 8


@attrs.define(kw_only=True)
class RouterNotes:
    """The counters and log lines of one router."""

    metrics: ForwardMetrics
    log: Logger
    board: Blackboard
    freshness: Freshness
    clock: Clock
    # Returns the request id in a request's headers; empty if there is none.
    request_id: Callable[[Headers], str]
    ends: EndNotes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the notes of the ends of connections."""
        self.ends = EndNotes(
            counter=self.metrics.connection_ends,
            log=self.log,
            board=self.board,
            clock=self.clock,
            request_id=self.request_id,
        )

    def count_retry(self, reason: Reason) -> None:
        """Count a retry by its reason."""
        self.metrics.retries.labels(reason.value).inc()

    def count_refusal(self, reason: Reason) -> None:
        """Count a refusal by its reason."""
        self.metrics.refusals.labels(reason.value).inc()

    def note_refusal(self, request: ForwardRequest, failure: Failure) -> None:
        """Count and log a request refused before it had a plan."""
        self.count_refusal(failure.reason)
        self.log.warning(
            "request refused",
            request_id=request.request_id,
            host=request.host,
            path=request.path[:80],
            reason=failure.reason.value,
            revision=self.board.state.revision,
            config_age_s=round(min(self.freshness.age_s, 1e6), 3),
        )

    def note_fault(self, forwarding: Forwarding, fault: Exception) -> None:
        """Log a fault of ours that has ended a request."""
        self.log.error(
            "request failed by a fault",
            request_id=forwarding.note.request_id,
            traceback="".join(traceback.format_exception(fault, limit=-4)),
        )

    def note_silence(
        self, forwarding: Forwarding, attempt: ForwardAttempt, outcome: str
    ) -> None:
        """Count and log what becomes of an attempt that has fallen silent."""
        self.metrics.silences.labels(outcome).inc()
        self.log.info(
            "attempt silent",
            request_id=forwarding.note.request_id,
            target=attempt.view.target.name,
            outcome=outcome,
            after_event=forwarding.last_event,
            left_s=round(forwarding.left_s, 3),
            revision=forwarding.plan.revision,
        )

    def note_attempt_failed(
        self, forwarding: Forwarding, attempt: ForwardAttempt, failure: Failure
    ) -> None:
        """Log a failed attempt with the last known status of its target."""
        now_s, view = self.clock.seconds(), attempt.view
        status = view.status
        window = forwarding.forwarder.window
        sends = window.sends_of(forwarding.plan.pool.name, now_s)
        self.log.warning(
            "attempt failed",
            request_id=forwarding.note.request_id,
            target=view.target.name,
            born_ms=view.target.born_ms,
            software=view.target.software,
            after_event=forwarding.last_event,
            verdict=failure.verdict.value,
            reason=failure.reason.value,
            detail=failure.detail,
            left_s=round(forwarding.left_s, 3),
            signature=forwarding.signature.whole,
            parts=shared_part_ids(forwarding.plan.request.prompt),
            since_first_event_s=since_first_event_s(attempt, now_s),
            first_sends=len(sends.first_s),
            repeats=len(sends.repeats_s),
            routers=forwarding.forwarder.fleet.routers(now_s),
            open_requests=view.open_requests,
            status_age_s=round(now_s - view.status_s, 3) if status else -1.0,
            waiting=status.waiting if status else -1,
            running=status.running if status else -1,
            reading=status.reading if status else -1,
            is_loading=status.is_loading if status else False,
        )

    def note_restart(self, target: ForwardTarget, born_ms: int) -> None:
        """Log that a target has started again, as its agent states.

        Args:
          target: Its entry, of an earlier start.
          born_ms: The later start, in milliseconds since the epoch.
        """
        self.log.warning(
            "target restarted",
            target=target.name,
            born_ms=born_ms,
            replaced=target.born_ms,
            software=target.software,
        )

    def note_notice(self, view: TargetView, head: AnswerHead) -> None:
        """Log what a target has stated about itself in an answer."""
        self.log.info(
            "target notice",
            target=view.target.name,
            born_ms=view.target.born_ms,
            is_leaving=head.is_leaving,
            pause_s=head.pause_s,
            limit_per_s=head.limit_per_s,
            limit_share=round(view.notice.limit.share, 4)
            if view.notice.limit
            else -1.0,
            status=head.status,
        )

    def note_move(self, move: StreamMove) -> None:
        """Count and log a stream's move to another target."""
        outcome = "moved" if move.moved_from else "not moved"
        self.metrics.moves.labels(outcome).inc()
        self.log.info(
            "stream move",
            request_id=move.forwarding.note.request_id,
            outcome=outcome,
            source=move.attempt.view.target.name,
            goal=move.destination.view.target.name,
            after_event=move.forwarding.last_event,
            detail=move.failure.detail if move.failure else "",
        )

    def note_reconnect(
        self, forwarding: Forwarding, found: Result[StreamOrigin, Failure]
    ) -> None:
        """Log where a stream that a caller resumes may continue."""
        request = forwarding.plan.request
        origin = found.ok if found.is_ok() else None
        self.log.info(
            "caller reconnected",
            request_id=request.request_id,
            resumes=request.resumes,
            after_event=request.last_event_id,
            pool=origin.pool if origin else "",
            software=origin.software if origin else "",
            reason="" if found.is_ok() else found.error.reason.value,
            waited_s=round(self.clock.seconds() - request.arrived_s, 4),
        )

    def note_stalled(self, caller: StalledCaller) -> None:
        """Count and log a caller that was ended because it took nothing."""
        self.metrics.stalled_callers.inc()
        self.log.warning(
            "caller stalled",
            peer=caller.peer,
            held_bytes=caller.held_bytes,
            stalled_s=round(caller.stalled_s, 3),
        )

    def note_share(
        self, account: str, share: float, inputs: ShareInputs
    ) -> None:
        """Log another share of an account's rate limit, with its inputs."""
        self.log.info(
            "account share",
            account=account,
            share=round(share, 4),
            stated_per_s=round(inputs.stated_per_s, 1),
            total_per_s=round(inputs.total_per_s, 1),
            age_s=finite(inputs.age_s),
            routers=inputs.routers,
        )

    def note_end(self, forwarding: Forwarding, failure: Failure | None) -> None:
        """Count and log the end of a request."""
        note, plan = forwarding.note, forwarding.plan
        prompt, attempt = plan.request.prompt, forwarding.current
        answer = attempt.answer if attempt else None
        self.metrics.requests.labels(note.kind, note.verdict).inc()
        if failure is not None:
            self.count_refusal(failure.reason)
            if is_cut(forwarding, failure):
                self.metrics.cut_answers.labels(
                    failure.reason.value, note.not_retried
                ).inc()
        if note.first_chunk_s >= 0.0:
            waited_s = note.first_chunk_s - note.began_s
            self.metrics.first_chunk.labels(note.kind).observe(waited_s)
        write = self.log.info if failure is None else self.log.warning
        write(
            "request",
            request_id=note.request_id,
            route=note.route,
            account=note.account,
            pool=plan.pool.name,
            revision=plan.revision,
            config_age_s=round(min(self.freshness.age_s, 1e6), 3),
            targets=note.targets_tried,
            software=attempt.view.target.software if attempt else "",
            weights=attempt.chosen.version if attempt else None,
            old_weights_s=old_weights_s(forwarding),
            resumes=plan.request.resumes,
            prompt_tokens=note.prompt_tokens,
            cached_tokens=note.cached_tokens,
            likely_tokens=prompt.likely_tokens if prompt else 0,
            work_tokens=round(attempt.chosen.work_tokens) if attempt else 0,
            expected_s=round(attempt.expected_s, 4) if attempt else -1.0,
            asked=forwarding.asked,
            verdict=note.verdict,
            reason=note.reason,
            not_retried=note.not_retried,
            is_cut=is_cut(forwarding, failure),
            detail=failure.detail if failure else "",
            framing=answer.framing.value if answer else "",
            last_event=forwarding.last_event,
            unfinished_bytes=len(attempt.splitter.rest) if attempt else 0,
            first_s=round(note.first_chunk_s - note.began_s, 4)
            if note.first_chunk_s >= 0.0
            else -1.0,
            sent_s=round(attempt.sent_s - note.began_s, 4) if attempt else -1.0,
            seconds=round(note.ended_s - note.began_s, 4),
            read_s=round(plan.request.read_s - note.began_s, 4),
            without_target_s=without_target_s(forwarding),
            phase=self.board.phase.stage,
            since_signal_s=self.ends.since_signal_s,
            in_force_for_s=self.ends.in_force_for_s,
            time_s=round(plan.ends_s - note.began_s, 3),
        )


def finite(value: float) -> float:
    """Return a number for a log; -1 for one that is not finite."""
    return round(value, 4) if math.isfinite(value) else -1.0


def without_target_s(forwarding: Forwarding) -> float:
    """Return for how long no target had worked on a request at its end.

    Returns:
      The time in seconds; 0 if a target was at work, -1 if none ever was.
    """
    attempt = forwarding.current
    if attempt is None:
        return -1.0
    if not attempt.is_over:
        return 0.0
    return round(forwarding.note.ended_s - attempt.ended_s, 4)


def old_weights_s(forwarding: Forwarding) -> float:
    """Return for how long a request's weights had been replaced as it began.

    Returns:
      The time in seconds until its last target's first event; -1 if there was
      none, or no newer weights were named by then.
    """
    attempt, prompt = forwarding.current, forwarding.plan.request.prompt
    if attempt is None or prompt is None or not attempt.has_event:
        return -1.0
    if attempt.chosen.version is None:
        return -1.0
    weights = forwarding.forwarder.weights
    replaced_s = weights.replaced_for_s(prompt.model, attempt.chosen.version)
    begun_s = replaced_s - (forwarding.now_s - attempt.first_event_s)
    return round(begun_s, 3) if begun_s >= 0.0 else -1.0


def is_cut(forwarding: Forwarding, failure: Failure | None) -> bool:
    """Whether this router ended an answer before its end."""
    if failure is None or failure.reason is Reason.CANCELLED:
        return False
    return forwarding.has_head


def shared_part_ids(prompt: Prompt | None) -> list[str]:
    """Return the ids of the parts that other prompts may share, for a log."""
    if prompt is None:
        return []
    return [part.id for part in prompt.shared_parts[:MAX_LOGGED_PARTS]]


def since_first_event_s(attempt: ForwardAttempt, now_s: float) -> float:
    """Return the age of the attempt's first event, in seconds; -1 if none."""
    if attempt.first_event_s < 0.0:
        return -1.0
    return round(now_s - attempt.first_event_s, 4)
