"""Mutants of the forwarding: one mechanism broken at a time."""

from collections.abc import Collection
from typing import Any, Final

from sequoiawind import (
    cache_scope,
    forwarder,
    prompt_cache,
    retries,
    rollout,
    target_choice,
)
from sequoiawind.crash_registry import CrashRegistry
from sequoiawind.fleet import Fleet
from sequoiawind.forward_attempt import ForwardAttempt
from sequoiawind.forward_plan import Planner
from sequoiawind.forwarding import Forwarding
from sequoiawind.lab import forward_soak
from sequoiawind.lab.mutants import Mutant
from sequoiawind.repeat_window import RepeatWindow
from sequoiawind.request_execution import RequestExecution
from sequoiawind.request_signature import RequestSignature
from sequoiawind.rollout import NamedVersion
from sequoiawind.silent_attempts import SilentAttempts
from sequoiawind.stream_move import StreamMove
from sequoiawind.verdict import Failure, Reason, may_have_run


def salt_without_scope(scope: str, model: str, version: int) -> str:
    """Share cached parts among all accounts."""
    return prompt_cache.cache_salt("", model, version)


def salt_without_version(scope: str, model: str, version: int) -> str:
    """Share cached parts among weights versions."""
    return prompt_cache.cache_salt(scope, model, 0)


def scope_without_isolated(isolated: Collection[str]) -> str:
    """Share parts in one scope, whichever accounts are isolated."""
    return cache_scope.SHARED


def last_verdict_only(self: RequestExecution, failure: Failure) -> Failure:
    """Return the verdict of the last attempt instead of that of all."""
    return failure


def no_deadline(self: RequestExecution, left_s: float) -> None:
    """Set no deadline for a request."""


def failed_is_done(self: ForwardAttempt, failure: Failure) -> None:
    """Treat a broken answer as a complete one."""
    if self.close():
        self.forwarding.answered(self)


def reconnect_anywhere(self: Forwarding) -> None:
    """Send a stream that a caller resumes to any target."""
    self.next_target()


def pass_all_events(
    self: Forwarding, attempt: ForwardAttempt, data: bytes, event: int | None
) -> None:
    """Pass on events that the caller has, and resume from the beginning."""
    if self.is_finished or attempt.answer is None:
        return
    self.pass_head(attempt.answer)
    self.caller.send_data(data)


def all_versions(has: int | None, named: Any) -> list[NamedVersion]:
    """Return all named versions, also those that the target has."""
    return list(named)


def foreign_memory(self: StreamMove) -> None:
    """Resume from any memory at the destination, also that of another run."""
    self.attempt.cancel()
    self.attempt.move = None
    port: Any = self.forwarding.forwarder.port
    destination = port.world.targets[self.destination.view.target.name]
    self.moved_from = next(iter(destination.memories), self.moved_from)
    self.forwarding.continue_at(self.destination, self)


def give_up_silent_run(self: SilentAttempts, attempt: ForwardAttempt) -> None:
    """Give a silent run up before another target has taken the stream up."""
    forwarding = self.forwarding
    if attempt.is_over or not forwarding.may_send_elsewhere():
        return
    attempt.cancel()
    failure = may_have_run(Reason.CHUNK_TIMEOUT)
    forwarding.attempt_failed(attempt, failure)


MUTANTS: Final = tuple(
    Mutant(
        name=name,
        owner=owner,
        attribute=attribute,
        replacement=replacement,
        run_seed=forward_soak.run_seed,
    )
    for name, owner, attribute, replacement in (
        (
            "keys are trusted forever",
            Planner,
            "trusts_keys",
            property(lambda self: True),
        ),
        (
            "salts have no account",
            target_choice,
            "cache_salt",
            salt_without_scope,
        ),
        (
            "the shared scope does not name the isolated accounts",
            cache_scope,
            "shared_scope",
            scope_without_isolated,
        ),
        (
            "salts have no version",
            target_choice,
            "cache_salt",
            salt_without_version,
        ),
        (
            "forwarded requests that may have run are sent again",
            retries,
            "may_retry",
            lambda failure, is_idempotent: True,
        ),
        (
            "a refusal has the verdict of the last attempt only",
            RequestExecution,
            "with_overall_verdict",
            last_verdict_only,
        ),
        (
            "requests have no deadline",
            RequestExecution,
            "start_deadline",
            no_deadline,
        ),
        (
            "a broken answer counts as complete",
            ForwardAttempt,
            "failed",
            failed_is_done,
        ),
        (
            "the end of a connection completes each stream",
            ForwardAttempt,
            "is_truncated",
            property(lambda self: False),
        ),
        (
            "a stream is resumed at any software version",
            forwarder,
            "may_continue",
            lambda origin, target: True,
        ),
        (
            "a caller resumes a stream at any software version",
            Forwarding,
            "reconnect_caller",
            reconnect_anywhere,
        ),
        (
            "events are passed on twice",
            Forwarding,
            "take_event",
            pass_all_events,
        ),
        (
            "prompt parts that crash targets are sent on",
            CrashRegistry,
            "refusal",
            lambda self, prompt: None,
        ),
        (
            "whole requests that crash targets are sent on",
            RequestSignature,
            "names",
            property(lambda self: self.parts),
        ),
        (
            "silent runs are given up",
            SilentAttempts,
            "handle_silence",
            give_up_silent_run,
        ),
        (
            "limits that targets state are not read",
            Fleet,
            "record_limit",
            lambda self, view, limit_per_s, now_s: False,
        ),
        (
            "repeats have no bound",
            RepeatWindow,
            "try_repeat",
            lambda self, pool, now_s, routers: True,
        ),
        ("weights are ordered again", rollout, "lacking", all_versions),
        (
            "a run resumes from any memory",
            StreamMove,
            "complete_move",
            foreign_memory,
        ),
    )
)
