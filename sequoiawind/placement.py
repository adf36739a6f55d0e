"""Placement of a request on the targets of its pool.

``rank`` is a pure function of the key and the candidates: every router puts
the same targets in the same order, so that routers agree without messages,
and losing or adding a target moves only that target's share of the keys
(rendezvous hashing, Thaler and Ravishankar, 1998).
"""

from collections.abc import Iterable

import attrs
from xxhash import xxh3_64_intdigest


@attrs.frozen(kw_only=True)
class Candidate:
    """A target that may serve a request."""

    name: str
    # Address of the target's agent.
    address: str
    domain: str = ""
    # Seed of the target's rendezvous scores; the hash of its name.
    seed: int = attrs.field(
        default=attrs.Factory(
            lambda self: xxh3_64_intdigest(self.name.encode()), takes_self=True
        )
    )


def rank(key: int, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates in rendezvous order for a key, best first."""
    data = key.to_bytes(8, "little")
    scored = [
        (
            xxh3_64_intdigest(data, seed=candidate.seed),
            candidate.name,
            candidate,
        )
        for candidate in candidates
    ]
    scored.sort(reverse=True)
    return [candidate for _, _, candidate in scored]


@attrs.frozen(kw_only=True)
class Choice:
    """A target to try, with its time limit for the first token."""

    candidate: Candidate
    max_first_s: float
    # Cost of placing the request there, in seconds; infinite if unknown.
    cost_s: float = 0.0
    # Cost above which the target refuses, in seconds; negative for no limit.
    max_cost_s: float = -1.0
    # Whether the target reported that it could start immediately.
    is_idle: bool = False
