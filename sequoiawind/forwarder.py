"""Forwarding of all requests of one router.

Holds the state that the requests share: the fleet, the repeat window, the
targets' caches, the named weights versions, and the requests that wait for a
target.
"""

from collections.abc import Callable, Mapping
from typing import Final

import attrs
import structlog
from expression import Error, Result

from sequoiawind import defaults, messages
from sequoiawind.blackboard import RequestNote
from sequoiawind.crash_registry import CrashRegistry
from sequoiawind.fleet import TargetView
from sequoiawind.forward_attempt import ForwardAttempt
from sequoiawind.forward_placement import ForwardPlacement
from sequoiawind.forward_plan import ForwardPlan, ForwardRequest
from sequoiawind.forward_ports import AnswerHead, ForwardCaller, ForwardPort
from sequoiawind.forwarding import Forwarding
from sequoiawind.origin_registry import OriginRegistry
from sequoiawind.repeat_window import RepeatWindow
from sequoiawind.request_signature import RequestSignature
from sequoiawind.spare_targets import SpareLists
from sequoiawind.stream_move import StreamMove, move_away
from sequoiawind.stream_origins import StreamOrigin, may_continue
from sequoiawind.target_choice import (
    Chosen,
)
from sequoiawind.target_limit import DemandMeter, TargetLimit
from sequoiawind.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from sequoiawind.waiting_requests import WaitingRequests

Logger = structlog.typing.FilteringBoundLogger

# Weight of a prompt in the moving average of tokens to prefill: covers about
# the last 30 prompts.
PREFILL_AVERAGE_WEIGHT: Final = 0.03


@attrs.define(kw_only=True, eq=False)
class Forwarder(ForwardPlacement):
    """Starts forwarded requests, and keeps what they share."""

    port: ForwardPort
    window: RepeatWindow
    origins: OriginRegistry
    crashes: CrashRegistry
    waiting: WaitingRequests = attrs.field(init=False)
    # Requests that have not ended, in the order of arrival, so that a seeded
    # soak repeats.
    open: dict[Forwarding, None] = attrs.field(factory=dict)
    demand: DemandMeter = attrs.field(factory=DemandMeter)
    # Returns when the process ends work that begins now, in seconds of the
    # clock: none is taken that may last longer.
    latest_end_s: Callable[[], float] = attrs.field(
        default=lambda: float("inf")
    )
    # Whether the process stops, so that a stream that loses its target may find
    # no further one in time.
    is_stopping: bool = False
    # Called when a move of a stream has succeeded or failed.
    on_move: Callable[[StreamMove], None] = attrs.field(
        default=lambda move: None
    )
    # Called when a caller resumes a stream, with its origin or a refusal.
    on_reconnect: Callable[
        [Forwarding, Result[StreamOrigin, Failure]], None
    ] = attrs.field(default=lambda forwarding, found: None)
    on_end: Callable[[Forwarding, Failure | None], None] = attrs.field(
        default=lambda forwarding, failure: None
    )
    # Called with a fault of ours that has ended a request.
    on_fault: Callable[[Forwarding, Exception], None] = attrs.field(
        default=lambda forwarding, fault: None
    )
    on_retry: Callable[[Reason], None] = attrs.field(
        default=lambda reason: None
    )
    on_attempt_failed: Callable[[Forwarding, ForwardAttempt, Failure], None] = (
        attrs.field(default=lambda forwarding, attempt, failure: None)
    )
    # Called when an attempt falls silent, with what becomes of the request, and
    # when it goes on.
    on_silence: Callable[[Forwarding, ForwardAttempt, str], None] = attrs.field(
        default=lambda forwarding, attempt, outcome: None
    )
    # Called when a target states that it leaves, or wants nothing for a while.
    on_notice: Callable[[TargetView, AnswerHead], None] = attrs.field(
        default=lambda view, head: None
    )
    on_refusal: Callable[[ForwardRequest, Failure], None] = attrs.field(
        default=lambda request, failure: None
    )

    def __attrs_post_init__(self) -> None:
        """Let the watcher of caches respect what targets have stated."""
        self.caches.is_paused = self.is_paused
        self.spare = SpareLists(
            fleet=self.fleet,
            factor=lambda view: self.load.factor(
                view.target.pool, self.clock.seconds()
            )(view),
        )
        self.waiting = WaitingRequests(
            clock=self.clock,
            order=lambda waiting: self.load.ordered(
                waiting, self.clock.seconds()
            ),
        )

    def is_paused(self, name: str) -> bool:
        """Whether a target wants no calls beside requests from this VM now."""
        view = self.fleet.views.get(name)
        now_s = self.clock.seconds()
        return view is not None and (
            view.notice.paused_until_s > now_s or view.notice.limit is not None
        )

    def submit(
        self, request: ForwardRequest, caller: ForwardCaller
    ) -> Forwarding | None:
        """Start a request; return None if it was refused immediately."""
        planned = self.planner.plan(request)
        if planned.is_error():
            self.refuse(request, caller, planned.error)
            return None
        plan = planned.ok
        now_s = self.clock.seconds()
        if plan.ends_s > self.latest_end_s():
            self.refuse(request, caller, shutting_down())
            return None
        charge = self.load.charge(plan, now_s)
        if isinstance(charge, Failure):
            self.refuse(request, caller, charge)
            return None
        self.demand.add(now_s)
        forwarding = Forwarding(
            clock=self.clock,
            forwarder=self,
            plan=plan,
            caller=caller,
            charge=charge,
            note=RequestNote(
                request_id=request.request_id,
                account=plan.account.name,
                route=plan.route.name,
                kind=plan.kind.repeat,
                began_s=request.arrived_s,
            ),
        )
        self.open[forwarding] = None
        self.board.note_request(forwarding.note)
        try:
            forwarding.start()
        except Exception as fault:
            # The caller would lose its connection without an answer.
            self.on_fault(forwarding, fault)
            forwarding.give_up(may_have_run(Reason.INTERNAL_ERROR))
        return forwarding

    def plan_again(self, plan: ForwardPlan) -> Result[ForwardPlan, Failure]:
        """Return the present plan of a request that no target has got.

        Args:
          plan: The request's plan so far.

        Returns:
          The plan, or why the request is refused: a shutdown takes nothing that
          a newer configuration lets last longer than the process.
        """
        planned = self.planner.plan(plan.request)
        taken_until_s = max(plan.ends_s, self.latest_end_s())
        if planned.is_ok() and planned.ok.ends_s > taken_until_s:
            return Error(shutting_down())
        return planned

    def refuse(
        self, request: ForwardRequest, caller: ForwardCaller, failure: Failure
    ) -> None:
        """Refuse a request that was not started."""
        self.on_refusal(request, failure)
        caller.refuse(failure)

    def end_all(self) -> None:
        """End all requests, as the process ends."""
        for forwarding in list(self.open):
            forwarding.end(Reason.SHUTTING_DOWN, messages.SHUTTING_DOWN)

    @property
    def open_requests(self) -> int:
        """Number of requests that have not ended."""
        return len(self.open)

    # Targets.

    def sent(self, forwarding: Forwarding, chosen: Chosen) -> None:
        """Account for a prompt that is sent to a target.

        Updates the average prefill, the model of the target's cache, and the
        request's note.
        """
        self.crashes.sent(forwarding.signature)
        prompt = forwarding.plan.request.prompt
        if prompt is None or chosen.version is None:
            return
        self.average_prefill_tokens += PREFILL_AVERAGE_WEIGHT * (
            chosen.prefill_tokens - self.average_prefill_tokens
        )
        target = chosen.view.target
        memory = self.memory_of(target.name)
        self.caches.watch(target.name, target.address, memory)
        self.caches.caches[target.name].held.sent(chosen.salt, prompt.parts)
        forwarding.note.prompt_tokens = prompt.tokens
        forwarding.note.cached_tokens = prompt.tokens - chosen.prefill_tokens

    def room_in_s(self, forwarding: Forwarding) -> float | None:
        """Return when targets' limits may leave room for a request.

        Returns:
          The time until then, in seconds, behind the requests that wait for the
          same pool; None if something else than limits keeps it waiting.
        """
        now_s, pool = self.clock.seconds(), forwarding.plan.pool.name
        limits: list[TargetLimit] = []
        for view in self.fleet.pool(pool, now_s).usable.values():
            if (
                view.target.name in forwarding.tried.excluded
                or not may_continue(forwarding.origin, view.target)
            ):
                continue
            if view.notice.limit is None:
                return None
            limits.append(view.notice.limit)
        if not limits:
            return None
        ahead = self.waiting.count(pool)
        per_s = sum(1.0 / limit.interval_s for limit in limits)
        first_s = min(limit.room_in_s(now_s) for limit in limits)
        return first_s + ahead / per_s

    def forget_targets(self) -> None:
        """Drop the caches of targets that are gone."""
        known = self.fleet.views.keys() | self.board.state.pools.keys()
        for name in self.caches.caches.keys() - known:
            self.caches.forget(name)

    def incarnation_began(self, name: str) -> None:
        """Drop what is known of a target's previous incarnation."""
        self.caches.forget(name)
        self.load.forget_target(name)

    # Outcomes.

    def outcome(
        self, name: str, is_fault: bool, signature: RequestSignature | None
    ) -> None:
        """Record a complete answer in the health of its target.

        Args:
          name: The target.
          is_fault: Whether the answer is an error of the target.
          signature: That of the request, if the target has written an answer.
        """
        if is_fault:
            self.fleet.members.health_of(name).note_outcome(True)
            return
        self.fleet.record_success(name)
        if signature is not None:
            self.crashes.answered(signature)

    def head_received(self, view: TargetView, head: AnswerHead) -> None:
        """Record what a target states about itself in an answer."""
        view.has_refused = False
        now_s = self.clock.seconds()
        has_limit_changed = self.fleet.record_limit(
            view, head.limit_per_s, now_s
        )
        if has_limit_changed:
            self.on_notice(view, head)
        if not head.is_leaving and not head.pause_s:
            return
        was_leaving = view.notice.is_leaving
        self.fleet.record_notice(view, head.is_leaving, head.pause_s, now_s)
        if head.pause_s or not was_leaving:
            self.on_notice(view, head)

    def versions_seen(
        self, view: TargetView, versions: Mapping[str, int]
    ) -> None:
        """Record the weights versions that an answer reports."""
        for model, version in versions.items():
            seen = view.seen_versions.get(model, 0)
            view.seen_versions[model] = max(seen, version)

    def attempt_failed(
        self, forwarding: Forwarding, attempt: ForwardAttempt, failure: Failure
    ) -> None:
        """Update a target's health after a failed attempt.

        A target that refused the request is avoided for a while.  Any other
        failure counts against its health.  A connection that could not be
        opened ejects the target immediately; it is avoided also if all others
        are ejected.
        """
        self.on_attempt_failed(forwarding, attempt, failure)
        view = attempt.view
        self.crashes.attempt_broken(
            view,
            forwarding.signature,
            attempt.first_event_s,
            failure,
        )
        now_s = self.clock.seconds()
        name = view.target.name
        if failure.verdict is Verdict.NOT_RUN and (
            failure.reason is not Reason.CONNECT_FAILED
        ):
            self.fleet.shed(name, now_s)
            return
        is_certain = failure.reason is Reason.CONNECT_FAILED
        if is_certain:
            view.has_refused = True
            self.fleet.shed(name, now_s)
        self.fleet.record_failure(name, now_s, is_certain)

    def status_changed(self, name: str) -> None:
        """Handle a new status of a target.

        Moves streams away from a target that is about to load weights, and
        serves waiting requests if the target takes work.
        """
        view = self.fleet.views.get(name)
        if view is None:
            return
        now_s = self.clock.seconds()
        status = view.fresh_status(now_s)
        if status is not None and status.is_loading:
            for forwarding in list(self.open):
                attempt = forwarding.current
                if attempt is not None and attempt.view is view:
                    move_away(forwarding)
        if self.waiting.items and view.takes_work(now_s):
            self.waiting.serve()

    def finished(self, forwarding: Forwarding, failure: Failure | None) -> None:
        """Record the end of a request."""
        self.open.pop(forwarding, None)
        note = forwarding.note
        note.ended_s = self.clock.seconds()
        note.state = "ended"
        if failure is None:
            note.verdict = Verdict.DONE.value
        else:
            note.verdict = failure.verdict.value
            note.reason = failure.reason.value
        self.on_end(forwarding, failure)


def shutting_down() -> Failure:
    """Return the refusal of a request that may last longer than the process."""
    return not_run(
        Reason.SHUTTING_DOWN,
        messages.SHUTTING_DOWN,
        defaults.ELSEWHERE_RETRY_AFTER_S,
    )
