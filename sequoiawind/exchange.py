"""Carries out one caller's request, in one or more attempts.

An exchange tries the targets in placement order, passes the chunks of the
answer on in order, resumes a broken answer at its agent or continues it at
another target, and ends exactly once: with the whole answer, or with a failure
whose verdict covers all its attempts.
"""

import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import defaults, invariants, messages, openai_format, retries
from sequoiawind.chunk_order import ChunkOrder
from sequoiawind.members import Members
from sequoiawind.placement import Candidate, Choice
from sequoiawind.ports import Clock, TargetPort
from sequoiawind.request_execution import OpenAttempt, RequestExecution
from sequoiawind.retries import RetryBudgets
from sequoiawind.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)
from sequoiawind.wire import Attempt, Ended, LoadReport, ProbeAnswer

# Failures of the connection between router and agent, after which the agent
# may still hold the answer.
RESUMABLE = frozenset(
    {Reason.CONNECTION_LOST, Reason.CHUNK_MISSING, Reason.CHUNK_TIMEOUT}
)
# Failures that are counted against the target's health.
TARGET_FAULTS = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_LOST,
        Reason.START_TIMEOUT,
        Reason.CHUNK_TIMEOUT,
        Reason.TARGET_ERROR,
        Reason.TARGET_LOST,
    }
)


class CallerSink(Protocol):
    """Receives the answer of an exchange on behalf of the caller."""

    def chunk(self, data: bytes) -> None:
        """Receive the next chunk of the answer."""

    def ended(self, ended: Ended) -> None:
        """Receive the end of the answer, whole or failed; called once."""


# Returns the targets to try, given the one that refused and what a probe of it
# would have returned.
Replan = Callable[[Candidate, ProbeAnswer], Deferred[list[Choice]]]


@attrs.define(kw_only=True)
class ExchangeContext:
    """The dependencies that the exchanges of one router share."""

    clock: Clock
    random: random.Random
    port: TargetPort
    members: Members
    budgets: RetryBudgets
    # Called with the reason of each retry, for metrics.
    on_retry: Callable[[Reason], None] = attrs.field(
        default=lambda reason: None
    )


@attrs.define(kw_only=True, eq=False)
class AttemptSink(OpenAttempt):
    """Receives the events of one attempt of an exchange."""

    exchange: "Exchange"
    attempt: Attempt
    candidate: Candidate
    has_started: bool = False
    # Whether a chunk has arrived since the timer was set.
    has_received: bool = False

    def started(self, load: LoadReport) -> None:
        """Record that the agent has admitted the attempt."""
        if self.is_over:
            return
        self.has_started = True
        self.exchange.context.members.update_load(load, self.clock.seconds())
        self.restart_timer(self.exchange.chunk_timeout_s, Reason.CHUNK_TIMEOUT)

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Accept a chunk, unless it belongs to another attempt."""
        # The chunks of a resumed answer carry the id of its first attempt.
        expected_id = self.attempt.resume_of or self.attempt.attempt_id
        if self.is_over or attempt_id != expected_id:
            self.exchange.foreign_chunks += 1
            return
        self.has_received = True
        self.exchange.take_chunk(index, data)

    def ended(self, ended: Ended) -> None:
        """Close the attempt and pass its end to the exchange."""
        if not self.close():
            return
        if ended.load is not None:
            now_s = self.clock.seconds()
            self.exchange.context.members.update_load(ended.load, now_s)
        self.exchange.attempt_ended(self, ended)

    def restart_timer(self, timeout_s: float, reason: Reason) -> None:
        """End the attempt for a reason if nothing arrives in time."""
        self.set_timeout(timeout_s, partial(self.timed_out, reason))

    def timed_out(self, reason: Reason) -> None:
        """End the attempt, unless a chunk has arrived since the last check."""
        if self.is_over:
            return
        if self.has_received:
            self.has_received = False
            self.restart_timer(self.exchange.chunk_timeout_s, reason)
            return
        text = messages.START_TIMEOUT
        if reason is Reason.CHUNK_TIMEOUT:
            text = messages.CHUNK_TIMEOUT
        elif self.call is not None:
            self.call.cancel()
        self.ended(Ended(failure=may_have_run(reason, text)))

    def release(self) -> None:
        """Remove the attempt from the target's open attempts."""
        self.exchange.context.members.health_of(
            self.candidate.name
        ).open_attempts -= 1


@attrs.define(kw_only=True, eq=False)
class Exchange(RequestExecution):
    """A request in progress, with its attempts and its partial answer."""

    context: ExchangeContext
    caller: CallerSink
    # The fields that all attempts share.
    template: Attempt
    is_idempotent: bool
    # Targets to try, in order.
    choices: list[Choice]
    # Limit of the time to the first token once every target has refused, in
    # seconds.
    max_first_s: float = defaults.MAX_FIRST_S
    start_timeout_s: float = defaults.START_TIMEOUT_S
    chunk_timeout_s: float = defaults.CHUNK_TIMEOUT_S
    # Returns the targets to try after a first refusal for wait or cost.
    replan: Replan | None = None
    order: ChunkOrder = attrs.field(factory=ChunkOrder)
    # Index in `choices` of the next target to try.
    position: int = 0
    attempts: int = 0
    # Number of retries after failures, without those after refusals.
    retried: int = 0
    # Names, in the order of the attempts.
    targets_tried: list[str] = attrs.field(factory=list)
    foreign_chunks: int = 0
    # Waits that refusing targets reported, by index in `choices`.
    refused_waits_s: dict[int, float] = attrs.field(factory=dict)
    # Whether the target that refused with the shortest wait was tried again.
    has_tried_shortest_wait: bool = False
    # Number of chunks that had arrived when the answer was last resumed.
    arrived_at_resume: int = -1
    current: AttemptSink | None = None
    # When the deadline passes, in seconds of the clock.
    deadline_at_s: float = 0.0

    def start(self) -> None:
        """Make the first attempt."""
        deadline_s = self.template.deadline_s
        self.deadline_at_s = self.clock.seconds() + deadline_s
        self.start_deadline(deadline_s)
        self.order.request_id = self.template.request_id
        self.context.budgets.earn(self.template.account)
        self.next_target(None)

    def next_target(self, failure: Failure | None) -> None:
        """Try the next target, or give up.

        After the last target, the one that refused with the shortest wait is
        tried once more with the limit `max_first_s`.
        """
        if self.is_finished:
            return
        if self.attempts >= defaults.MAX_ATTEMPTS:
            self.give_up(failure)
        elif self.position < len(self.choices):
            choice = self.choices[self.position]
            self.position += 1
            self.open(choice.candidate, choice.max_first_s, choice.max_cost_s)
        elif self.refused_waits_s and not self.has_tried_shortest_wait:
            self.has_tried_shortest_wait = True
            choice_index = min(
                self.refused_waits_s, key=self.refused_waits_s.__getitem__
            )
            self.open(self.choices[choice_index].candidate, self.max_first_s)
        else:
            self.give_up(failure)

    def open(
        self,
        candidate: Candidate,
        max_first_s: float,
        max_cost_s: float = -1.0,
    ) -> None:
        """Open an attempt at a target."""
        order = self.order
        try:
            text = openai_format.joined_text(self.template.path, order.passed)
        except openai_format.FormatError as error:
            # Without the text so far no other target can continue the answer.
            self.give_up(may_have_run(Reason.TARGET_ERROR, str(error)))
            return
        left_s = self.deadline_at_s - self.clock.seconds()
        attempt = attrs.evolve(
            self.template,
            attempt_id=self.new_id(),
            target=candidate.name,
            max_first_s=min(max_first_s, left_s),
            max_cost_s=max_cost_s,
            deadline_s=left_s,
            start_index=order.expected,
            partial=text,
        )
        order.forget_early()
        self.send(candidate, attempt)

    def send(self, candidate: Candidate, attempt: Attempt) -> None:
        """Send an attempt to a target's agent."""
        if not self.is_idempotent and not attempt.resume_of:
            invariants.not_repeated(
                1 + int(self.any_may_have_run), self.template.request_id
            )
        self.attempts += 1
        self.targets_tried.append(candidate.name)
        sink = AttemptSink(
            clock=self.clock,
            exchange=self,
            attempt=attempt,
            candidate=candidate,
        )
        self.current = sink
        self.context.members.health_of(candidate.name).open_attempts += 1
        sink.restart_timer(self.start_timeout_s, Reason.START_TIMEOUT)
        sink.call = self.context.port.open(candidate.address, attempt, sink)

    def new_id(self) -> str:
        """Return a new attempt id."""
        return f"{self.context.random.getrandbits(64):016x}"

    def take_chunk(self, index: int, data: bytes) -> None:
        """Pass on the chunks that are next in order."""
        if self.is_finished:
            return
        for ready in self.order.take(index, data):
            self.caller.chunk(ready)

    def attempt_ended(self, sink: AttemptSink, ended: Ended) -> None:
        """Finish, replan, resume, retry or give up after an attempt."""
        if self.is_finished:
            return
        name = sink.candidate.name
        if ended.failure is None and self.is_answered(ended):
            self.context.members.record_success(name)
            self.finish(ended)
            return
        failure = ended.failure or may_have_run(
            Reason.CHUNK_MISSING, messages.CHUNK_MISSING
        )
        self.note_failure(sink, failure, ended.load)
        if ended.probe is not None and self.replan is not None:
            self.context.on_retry(failure.reason)
            replan, self.replan = self.replan, None
            planning = replan(sink.candidate, ended.probe)
            planning.addCallback(self.replanned, failure)
        elif self.can_resume(sink, failure):
            self.resume(sink)
        elif not retries.may_retry(failure, self.is_idempotent):
            self.give_up(failure)
        else:
            self.retry(sink, failure)

    def replanned(self, choices: list[Choice], failure: Failure) -> None:
        """Continue with the targets found after a refusal for wait or cost."""
        if not choices:
            failure = attrs.evolve(
                failure,
                reason=Reason.QUEUE_TOO_LONG,
                detail=messages.QUEUE_TOO_LONG,
            )
        self.refused_waits_s.clear()
        self.choices = choices
        self.position = 0
        self.next_target(failure)

    def is_answered(self, ended: Ended) -> bool:
        """Whether the whole answer has arrived."""
        return ended.reply is not None or self.order.is_whole

    def note_failure(
        self, sink: AttemptSink, failure: Failure, load: LoadReport | None
    ) -> None:
        """Record a failure for the verdict and for the target's health."""
        now_s = self.clock.seconds()
        self.record_verdict(failure)
        if failure.reason in TARGET_FAULTS:
            self.context.members.record_failure(sink.candidate.name, now_s)
        if failure.reason is Reason.QUEUE_TOO_LONG:
            choice_index = self.index_of_choice(sink.candidate)
            self.refused_waits_s[choice_index] = failure.retry_after_s or 0.0

    def index_of_choice(self, candidate: Candidate) -> int:
        """Return the index of a target in `choices`."""
        names = [choice.candidate.name for choice in self.choices]
        return names.index(candidate.name)

    def can_resume(self, sink: AttemptSink, failure: Failure) -> bool:
        """Whether the agent may still deliver the rest of the answer."""
        if not sink.has_started or failure.reason not in RESUMABLE:
            return False
        # An attempt with a method is a call to a plain service.
        if sink.attempt.method:
            return False
        # After a resume without progress, another would not help either.
        return self.order.arrived > self.arrived_at_resume

    def resume(self, sink: AttemptSink) -> None:
        """Request the rest of the answer from the same agent."""
        self.arrived_at_resume = self.order.arrived
        self.context.on_retry(Reason.CONNECTION_LOST)
        attempt = attrs.evolve(
            sink.attempt,
            resume_of=sink.attempt.resume_of or sink.attempt.attempt_id,
            attempt_id=self.new_id(),
            start_index=self.order.expected,
        )
        self.send(sink.candidate, attempt)

    def retry(self, sink: AttemptSink, failure: Failure) -> None:
        """Try the next target; spend from the retry budget after a failure."""
        self.context.on_retry(failure.reason)
        if failure.reason in retries.SPILL_REASONS:
            self.next_target(failure)
            return
        if not self.context.budgets.spend(self.template.account):
            self.give_up(attrs.evolve(failure, reason=Reason.RETRY_BUDGET))
            return
        self.retried += 1
        if self.position >= len(self.choices):
            # A failure, unlike a refusal, may not happen again.
            self.position = 0
        pause_s = retries.backoff_s(self.retried, self.context.random)
        self.clock.callLater(pause_s, partial(self.next_target, failure))

    def give_up(self, failure: Failure | None) -> None:
        """End with a failure whose verdict covers all attempts."""
        last = self.with_overall_verdict(
            failure or not_run(Reason.NO_TARGET, messages.NO_TARGET)
        )
        waits_s = [*self.refused_waits_s.values(), last.retry_after_s or 0.0]
        retry_after_s = max(defaults.MIN_RETRY_AFTER_S, *waits_s)
        self.finish(
            Ended(
                failure=attrs.evolve(
                    last,
                    retry_after_s=min(
                        retry_after_s, defaults.MAX_RETRY_AFTER_S
                    ),
                )
            )
        )

    def cancel(self) -> None:
        """End a request whose caller has disconnected."""
        if self.is_finished:
            return
        self.cancel_current()
        self.finish(
            Ended(failure=may_have_run(Reason.CANCELLED, messages.CANCELLED))
        )

    def finish(self, ended: Ended) -> None:
        """Close the exchange and pass its end to the caller."""
        self.close()
        self.caller.ended(ended)
