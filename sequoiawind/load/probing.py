"""Which targets to ask for their present load before a prompt is sent.

Answers the load of many routers before one pool: what a router knows of a
target is older than most of the work that waits there, so that the same few
targets look idle to all routers.  Two candidates are asked, as by the power of
two choices (Mitzenmacher, 2001): the one that looks best, and one drawn among
the next ones, so that routers that know the same do not all ask the same two.
"""

import random
from collections.abc import Sequence
from typing import Final

# Candidates after the best one of which one is drawn.
DRAWN_FROM: Final = 3
# Time left to the deadline below which asking is not worth its time, in
# seconds.
LEAST_LEFT_S: Final = 0.1


def to_probe(
    ranked: Sequence[str], left_s: float, source: random.Random
) -> tuple[str, ...]:
    """Return the targets to ask; none if that would not change the choice.

    Args:
      ranked: Names of the targets that may take the prompt, the one that looks
        best first.
      left_s: Time left until the request's deadline, in seconds.
      source: Source of randomness.
    """
    if len(ranked) < 2 or left_s < LEAST_LEFT_S:
        return ()
    return (ranked[0], source.choice(ranked[1 : 1 + DRAWN_FROM]))
