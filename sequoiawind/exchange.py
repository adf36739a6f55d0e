"""Carries out one caller's request, in one or more attempts.

An exchange tries the targets in placement order, passes the chunks of the
answer on in order, resumes a broken answer at its agent or continues it at
another target, and ends exactly once: with the whole answer, or with a failure
whose verdict covers all its attempts.

A silent attempt stays open while others are tried, since a sound target may go
on after a silence.  The first attempt that delivers the next part of the answer
takes the answer over, and the others end.  If nothing else can be tried, the
silent attempts are waited for until the deadline.
"""

import random
from collections.abc import Callable, Collection
from functools import partial
from typing import Final, Protocol

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import defaults, invariants, messages, openai_format, retries
from sequoiawind.chunk_order import ChunkOrder
from sequoiawind.exchange_attempt import AttemptSink
from sequoiawind.members import Members
from sequoiawind.placement import Candidate, Choice
from sequoiawind.ports import Clock, ResumablePort
from sequoiawind.request_execution import RequestExecution
from sequoiawind.retries import RetryBudgets
from sequoiawind.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from sequoiawind.wire import Attempt, Ended, ProbeAnswer

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
# Refusals of targets that leave, which say nothing of the load of others.
LEAVING: Final = frozenset({Reason.DRAINING, Reason.SHUTTING_DOWN})


class CallerSink(Protocol):
    """Receives the answer of an exchange on behalf of the caller."""

    def chunk(self, data: bytes) -> None:
        """Receive the next chunk of the answer."""

    def ended(self, ended: Ended) -> None:
        """Receive the end of the answer, whole or failed; called once."""


# Returns the targets to try, given the one that refused and what a probe of it
# would have returned.
Replan = Callable[[Candidate, ProbeAnswer], Deferred[list[Choice]]]
# Returns further targets by the configuration in force, given the names of
# those known.
Extend = Callable[[Collection[str]], list[Choice]]


@attrs.define(kw_only=True)
class ExchangeContext:
    """The dependencies that the exchanges of one router share."""

    clock: Clock
    random: random.Random
    port: ResumablePort
    members: Members
    budgets: RetryBudgets
    # Called with the reason of each retry, for metrics.
    on_retry: Callable[[Reason], None] = attrs.field(
        default=lambda reason: None
    )


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
    # Returns further targets, once those in `choices` have been tried.
    extend: Extend | None = None
    order: ChunkOrder = attrs.field(factory=ChunkOrder)
    # Index in `choices` of the next target to try.
    position: int = 0
    attempts: int = 0
    # Number of retries after failures, without those after refusals.
    retried: int = 0
    # Names, in the order of the attempts.
    targets_tried: list[str] = attrs.field(factory=list)
    foreign_chunks: int = 0
    # Waits that refusing targets reported, by name.
    refused_waits_s: dict[str, float] = attrs.field(factory=dict)
    # Whether the target that refused with the shortest wait was tried again.
    has_tried_shortest_wait: bool = False
    # Number of chunks that had arrived when the answer was last resumed.
    arrived_at_resume: int = -1
    # The attempt opened last, or the one that has taken the answer over.
    current: AttemptSink | None = None
    # The attempts that have not ended; at most one of them is not silent, or
    # two after the end of a silence.
    open_attempts: list[AttemptSink] = attrs.field(factory=list)
    # The run that delivered the last chunk.
    run_id: str = ""
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

        An attempt that is not silent needs no other.
        """
        if self.is_finished or self.is_under_way:
            return
        choice = None
        if self.attempts < defaults.MAX_ATTEMPTS:
            choice = self.next_choice(failure)
        if choice is None:
            self.give_up(failure)
        else:
            self.open(choice)

    def next_choice(self, failure: Failure | None) -> Choice | None:
        """Return the next target to try; None if there is none left.

        A request that has begun, or was refused by a target that leaves, goes
        on to the other targets of the pool.  A request that the targets
        have no room for does not: asking all would add to the overload.  After
        the last target, the one that refused with the shortest wait is
        tried once more with a longer limit.
        """
        has_begun = self.any_may_have_run or bool(self.open_attempts)
        if has_begun or (failure and failure.reason in LEAVING):
            self.extend_choices()
        while self.position < len(self.choices):
            choice = self.choices[self.position]
            self.position += 1
            if not self.holds_run(choice):
                return choice
        left = [item for item in self.choices if not self.holds_run(item)]
        if not left or not self.refused_waits_s or self.has_tried_shortest_wait:
            return None
        self.has_tried_shortest_wait = True
        shortest = min(left, key=self.refused_wait_s)
        # The rest of an answer that has begun waits until the deadline.
        limit_s = self.left_s if self.order.passed else self.max_first_s
        return attrs.evolve(shortest, max_first_s=limit_s, max_cost_s=-1.0)

    @property
    def left_s(self) -> float:
        """The time until the deadline, in seconds."""
        return self.deadline_at_s - self.clock.seconds()

    def extend_choices(self) -> None:
        """Add further targets if all choices have been tried."""
        if self.extend is not None and self.position >= len(self.choices):
            known = {choice.candidate.name for choice in self.choices}
            self.choices = [*self.choices, *self.extend(known)]

    def holds_run(self, choice: Choice) -> bool:
        """Whether a target's agent has admitted an attempt that is open.

        A silent target that has not is tried again: the connection may be at
        fault.
        """
        return any(
            sink.has_started and sink.candidate.name == choice.candidate.name
            for sink in self.open_attempts
        )

    @property
    def is_under_way(self) -> bool:
        """Whether an open attempt is not silent."""
        return any(not sink.is_silent for sink in self.open_attempts)

    def refused_wait_s(self, choice: Choice) -> float:
        """Return the wait for which a target refused; infinite if none."""
        return self.refused_waits_s.get(choice.candidate.name, float("inf"))

    def open(self, choice: Choice) -> None:
        """Open an attempt at a target."""
        order = self.order
        try:
            text = openai_format.joined_text(self.template.path, order.passed)
        except openai_format.FormatError as error:
            # Without the text so far no other target can continue the answer.
            self.give_up(may_have_run(Reason.TARGET_ERROR, str(error)))
            return
        left_s = self.left_s
        attempt = attrs.evolve(
            self.template,
            attempt_id=self.new_id(),
            target=choice.candidate.name,
            max_first_s=min(choice.max_first_s, left_s),
            max_cost_s=choice.max_cost_s,
            deadline_s=left_s,
            start_index=order.expected,
            partial=text,
        )
        self.send(choice.candidate, attempt)

    def send(self, candidate: Candidate, attempt: Attempt) -> None:
        """Send an attempt to a target's agent."""
        if not self.is_idempotent and not attempt.resume_of:
            has_run = self.any_may_have_run or bool(self.open_attempts)
            invariants.not_repeated(1 + int(has_run), self.template.request_id)
        self.attempts += 1
        self.targets_tried.append(candidate.name)
        sink = AttemptSink(
            clock=self.clock,
            exchange=self,
            attempt=attempt,
            candidate=candidate,
        )
        self.current = sink
        self.open_attempts.append(sink)
        self.context.members.health_of(candidate.name).open_attempts += 1
        sink.restart_timer(self.start_timeout_s, Reason.START_TIMEOUT)
        sink.call = self.context.port.open(candidate.address, attempt, sink)

    def new_id(self) -> str:
        """Return a new attempt id."""
        return f"{self.context.random.getrandbits(64):016x}"

    def attempt_started(self, sink: AttemptSink) -> None:
        """Close the connections over which an attempt's run came before."""
        for other in list(self.open_attempts):
            if other is not sink and other.run_id == sink.run_id:
                other.detach()

    def take_over(self, sink: AttemptSink) -> None:
        """Let one attempt deliver the answer, and end all others."""
        if self.run_id == sink.run_id and len(self.open_attempts) == 1:
            return
        if self.run_id != sink.run_id:
            # The waiting chunks are those of another run.
            self.order.forget_early()
            self.refused_waits_s.clear()
            self.has_tried_shortest_wait = False
        self.run_id = sink.run_id
        self.current = sink
        self.attempt_started(sink)
        self.end_attempts(sink)

    def end_attempts(self, kept: AttemptSink | None = None) -> None:
        """End all open attempts but one; they may have run."""
        for sink in list(self.open_attempts):
            if sink is not kept:
                self.any_may_have_run = True
                sink.cancel()

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
        if self.order.is_whole:
            # Only the agent's end event is missing.
            self.finish(Ended(load=ended.load))
            return
        failure = ended.failure or may_have_run(
            Reason.CHUNK_MISSING, messages.CHUNK_MISSING
        )
        self.record_verdict(failure)
        self.note_failure(sink, failure)
        if self.is_under_way:
            return
        # Plans are for the time to the first token.
        if (
            ended.probe is not None
            and self.replan is not None
            and not self.order.passed
        ):
            self.context.on_retry(failure.reason)
            replan, self.replan = self.replan, None
            planning = replan(sink.candidate, ended.probe)
            planning.addCallback(self.replanned, failure)
        else:
            self.go_on(sink, failure)

    def attempt_silent(self, sink: AttemptSink, failure: Failure) -> None:
        """Try to resume a silent attempt's run, or another target."""
        self.note_failure(sink, failure)
        if self.is_finished or self.is_under_way:
            return
        if self.order.is_whole:
            self.finish(Ended())
        else:
            self.go_on(sink, failure)

    def go_on(self, sink: AttemptSink, failure: Failure) -> None:
        """Resume, retry or give up after an attempt has failed or is silent."""
        if self.can_resume(sink, failure):
            self.resume(sink)
        elif not self.may_retry(failure):
            self.give_up(failure)
        else:
            self.retry(sink, failure)

    def may_retry(self, failure: Failure) -> bool:
        """Whether another attempt may begin, given those before and the last.

        An attempt that is refused does not prove that one before it, whose
        connection broke or which is open, has not run.
        """
        if self.open_attempts and not self.is_idempotent:
            return False
        overall = self.with_overall_verdict(failure)
        return retries.may_retry(overall, self.is_idempotent)

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

    def note_failure(self, sink: AttemptSink, failure: Failure) -> None:
        """Record a failure for the target's health and for further attempts."""
        name = sink.candidate.name
        if failure.reason in TARGET_FAULTS:
            now_s = self.clock.seconds()
            self.context.members.record_failure(name, now_s)
        if failure.reason is Reason.QUEUE_TOO_LONG:
            self.refused_waits_s[name] = failure.retry_after_s or 0.0

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
        if failure.verdict is Verdict.NOT_RUN:
            # A request under which targets crash must not reach them all.
            self.extend_choices()
        if self.attempts >= defaults.MAX_ATTEMPTS or all(
            map(self.holds_run, self.choices)
        ):
            self.give_up(failure)
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
        """End with a failure whose verdict covers all attempts.

        While an attempt is open, nothing is given up: its answer may come.
        """
        if self.open_attempts:
            return
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
        self.finish(
            Ended(failure=may_have_run(Reason.CANCELLED, messages.CANCELLED))
        )

    def cancel_current(self) -> None:
        """Cancel all open attempts."""
        self.end_attempts()

    def finish(self, ended: Ended) -> None:
        """Close the exchange and pass its end to the caller."""
        self.close()
        self.end_attempts()
        self.caller.ended(ended)
