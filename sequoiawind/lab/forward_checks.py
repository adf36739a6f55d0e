"""Checks of the forwarding soak on the arrivals at all targets of a pool."""

from collections.abc import Sequence
from typing import Final

import attrs

from sequoiawind import invariants

# The bound on repeats of all routers together.
REPEAT_RATIO: Final = 0.2
REPEAT_ALLOWANCE: Final = 2.0
REPEAT_WINDOW_S: Final = 10.0
# Crashes under one part, and under one request that is repeated, after which,
# and time from the last of them, at most `MAX_FATAL_ARRIVALS` requests may
# arrive.
FREE_CRASHES: Final = 5
FREE_REPEATS: Final = 3
CONTACT_S: Final = 3.0
MAX_FATAL_ARRIVALS: Final = 3
# What a target with a limit may get in a window: a multiple of the limit and
# some requests, from processes that were told it this long before.
LIMIT_WINDOW_S: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5.0
TOLD_S: Final = 0.5


@attrs.define(kw_only=True)
class Arrivals:
    """Requests that have arrived at the targets of one pool."""

    # When callers sent requests for the pool, in seconds of the clock.
    requests_s: list[float] = attrs.field(factory=list)
    # When requests arrived that had arrived before; moved runs do not count.
    repeats_s: list[float] = attrs.field(factory=list)
    arrived: set[str] = attrs.field(factory=set)

    def add(self, request_id: str, now_s: float) -> None:
        """Count a request that arrives."""
        if request_id in self.arrived:
            self.repeats_s.append(now_s)
        self.arrived.add(request_id)

    def check_repeats(self) -> None:
        """Check the bound on repeats in each window.

        The requests are those of the window, of the one before it or of the one
        half a window before, whichever has most.
        """
        for start_s in self.repeats_s:
            requests = max(
                count_between(self.requests_s, start_s - back_s)
                for back_s in (0.0, REPEAT_WINDOW_S / 2, REPEAT_WINDOW_S)
            )
            repeats = count_between(self.repeats_s, start_s)
            bound = REPEAT_RATIO * requests + REPEAT_ALLOWANCE
            invariants.check(
                repeats <= bound,
                "repeats",
                f"{repeats} repeats from {start_s:.2f} s on, allowed {bound}",
            )


@attrs.define(kw_only=True)
class CrashingRequests:
    """Requests under which targets crash: with one part, or all the same."""

    name: str
    # Crashes after which they must be kept from targets.
    free_crashes: int
    # When they arrived at targets, repeats included, and when targets crashed
    # under them, in seconds of the clock.
    arrivals_s: list[float] = attrs.field(factory=list)
    crashes_s: list[float] = attrs.field(factory=list)

    def check(self, calm_since_s: float) -> None:
        """Check that the requests are kept from targets.

        Args:
          calm_since_s: Since when no process and no store was disturbed.
        """
        if len(self.crashes_s) < self.free_crashes:
            return
        last_free_s = self.crashes_s[self.free_crashes - 1]
        since_s = max(last_free_s, calm_since_s) + CONTACT_S
        late = sum(arrived_s > since_s for arrived_s in self.arrivals_s)
        invariants.check(
            late <= MAX_FATAL_ARRIVALS,
            self.name,
            f"{late} requests after {since_s:.2f} s, "
            f"{len(self.crashes_s)} crashes",
        )


@attrs.define(kw_only=True)
class StatedLimit:
    """A limit that one target states, and what it gets meanwhile."""

    # Requests a second, of all routers together.
    limit_per_s: float
    # When it was first stated, in seconds of the clock.
    since_s: float
    # When each process of a router was told, by its name and epoch.
    told_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    arrivals_s: list[float] = attrs.field(factory=list)

    def add(self, sender: tuple[str, int], now_s: float) -> None:
        """Count a request, and check the window that ends with it."""
        told_s = self.told_s.get(sender, float("inf"))
        if now_s < max(told_s + TOLD_S, self.since_s + CONTACT_S):
            return
        self.arrivals_s.append(now_s)
        count = sum(
            arrived_s > now_s - LIMIT_WINDOW_S for arrived_s in self.arrivals_s
        )
        bound = LIMIT_FACTOR * self.limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        invariants.check(
            count <= bound,
            "target-limit",
            f"{count} requests, stated {self.limit_per_s} a second",
        )


def count_between(times_s: Sequence[float], start_s: float) -> int:
    """Return how many times are in the window that begins at a time."""
    end_s = start_s + REPEAT_WINDOW_S
    return sum(start_s <= time_s < end_s for time_s in times_s)
