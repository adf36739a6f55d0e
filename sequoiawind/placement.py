"""Placement of a request on the targets of its pool.

``walk`` is a pure function of the key and the candidates: every router puts
the same targets in the same order, so that routers agree without messages,
and losing or adding a target moves only that target's share of the keys
(rendezvous hashing, Thaler and Ravishankar, 1998).
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs
from xxhash import xxh3_64_intdigest

from sequoiawind import defaults


@attrs.frozen(kw_only=True)
class Candidate:
    """A target that may serve a request."""

    name: str
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


def walk(
    key: int,
    holders: int,
    candidates: Sequence[Candidate],
    waits_s: Mapping[str, float],
    length: int = defaults.WALK_LENGTH,
) -> list[Candidate]:
    """Return the targets to try for a request, in order.

    Args:
      key: The placement key.
      holders: Number of targets that hold the key's prefix.
      candidates: Targets that may serve the request.
      waits_s: Last reported wait of each target, in seconds; 0 if unknown.
      length: The largest number of targets to try.

    Returns:
      The holders, least loaded first, then the rest in rendezvous order.
    """
    ranked = rank(key, candidates)
    holding = ranked[:holders]
    if holders > 1:
        holding.sort(key=lambda item: waits_s.get(item.name, 0.0))
    return (holding + ranked[holders:])[:length]
