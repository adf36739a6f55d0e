"""Guarantees to users, asserted at run time.

Each function checks one guarantee where it could be violated.  A violation
raises :class:`InvariantError` and is recorded, so that a run that swallows the
exception still fails at its end.
"""

from typing import Final

from sequoiawind.claims import ClaimEntry


class InvariantError(AssertionError):
    """A guarantee was about to be violated."""


# Violations seen by this process.
violations: Final[list[str]] = []


def check(is_satisfied: bool, guarantee: str, detail: str) -> None:
    """Record and raise a violation unless the guarantee holds."""
    if is_satisfied:
        return
    text = f"{guarantee}: {detail}"
    violations.append(text)
    raise InvariantError(text)


def claim_won(key: str, claim_id: str, entry: ClaimEntry) -> None:
    """An action that must not repeat is sent only by its key's first claim."""
    check(
        entry.claim.claim_id == claim_id and entry.is_open,
        "at-most-once",
        f"key {key} sent by claim {claim_id}, held by {entry.claim.claim_id}",
    )


def next_chunk(expected: int, index: int, request_id: str) -> None:
    """A caller gets the chunks of its answer in order, each once."""
    check(
        expected == index,
        "whole-answer",
        f"request {request_id} got chunk {index}, expected {expected}",
    )


def revision_forward(old: int, new: int) -> None:
    """A configuration in force never reverts."""
    check(
        new >= old,
        "configuration-forward",
        f"revision {new} replaced {old}",
    )


def block_usable(salt: str, wanted: str, block: int) -> None:
    """No cached block of another account, model or version is used."""
    check(
        salt == wanted,
        "cache-owner",
        f"block {block:x} of salt {salt} used for salt {wanted}",
    )


def not_repeated(sent: int, request_id: str) -> None:
    """An action that must not repeat reaches a target at most once."""
    check(
        sent <= 1,
        "at-most-once",
        f"request {request_id} was sent {sent} times",
    )


def drained_idle(is_drained: bool, target: str) -> None:
    """A draining target starts no new work."""
    check(
        not is_drained,
        "leaving-gets-nothing",
        f"new work was started at draining target {target}",
    )
