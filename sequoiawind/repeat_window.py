"""How many repeats a router may send to a pool in a sliding window.

All routers together may repeat a share of the pool's requests plus a fixed
allowance.  Each router holds itself to that share of the requests that it saw
itself, and to an equal part of the allowance; a router that does not know how
many others there are takes a small part.

Answers the load of a pool whose targets shed or fail at once: without a
bound every refusal doubles the arrivals there.
"""

from collections import deque
from typing import Final

import attrs

# Routers assumed while none is known.
ASSUMED_ROUTERS: Final = 16
# Part of the bound that a router uses: its window and the judge's window
# begin at different times, and routers see uneven parts of the traffic.
USED_SHARE: Final = 0.7


@attrs.define(kw_only=True)
class Seen:
    """What one router sent to one pool within the window."""

    first_s: deque[float] = attrs.field(factory=deque)
    repeats_s: deque[float] = attrs.field(factory=deque)


@attrs.define(kw_only=True)
class RepeatWindow:
    """Counts first attempts and repeats by pool."""

    # Repeats for each request.
    ratio: float
    # Repeats that all routers together may send besides, in one window.
    allowance: float
    window_s: float
    seen: dict[str, Seen] = attrs.field(factory=dict)

    def first(self, pool: str, now_s: float) -> None:
        """Count a request's first attempt."""
        self.of(pool, now_s).first_s.append(now_s)

    def repeat(self, pool: str, now_s: float, routers: int) -> bool:
        """Count a repeat if one is allowed; whether it is."""
        seen = self.of(pool, now_s)
        known = routers or ASSUMED_ROUTERS
        bound = USED_SHARE * (
            self.ratio * len(seen.first_s) + self.allowance / known
        )
        if len(seen.repeats_s) + 1 > bound:
            return False
        seen.repeats_s.append(now_s)
        return True

    def of(self, pool: str, now_s: float) -> Seen:
        """Return a pool's counts without what has left the window."""
        seen = self.seen.setdefault(pool, Seen())
        for times_s in (seen.first_s, seen.repeats_s):
            while times_s and times_s[0] <= now_s - self.window_s:
                times_s.popleft()
        return seen
