"""Limits that targets state on the requests that all routers send them.

Each router takes a part of a limit, by its part of the demand.  Room for a
request opens at intervals and closes again if it is not used, so that routers
with little demand do not save up room and use it at the same time.
"""

import math
import random
from collections import deque
from typing import Final

import attrs

# Share of a limit that the routers use together: their parts change at
# different times, and requests come unevenly.
USED_SHARE: Final = 0.7
# Requests a second that all routers together may send to a target whose limit
# is lower, so that they learn when it rises.
LEAST_PER_S: Final = 0.25
# How long room for a request stays open, in seconds.
ROOM_LIFETIME_S: Final = 1.0
# Deviation of an interval between two openings, as a share of it: routers that
# began at the same time do not stay in step.
INTERVAL_JITTER: Final = 0.3
# Time over which the demand of a router is averaged, in seconds.
DEMAND_TIME_S: Final = 5.0


@attrs.define(kw_only=True)
class TargetLimit:
    """One router's part of the limit that a target states."""

    # What the target states, for all routers, in requests a second.
    limit_per_s: float
    # The part of it that this router takes.
    share: float
    rng: random.Random
    # When room for the next request opens, in seconds of the clock.
    next_s: float
    # When the room that is open now opened, the earliest first.
    open_s: deque[float] = attrs.field(factory=deque)

    @classmethod
    def stated(
        cls,
        limit_per_s: float,
        share: float,
        source: random.Random,
        now_s: float,
    ) -> "TargetLimit":
        """Return a limit that was just stated; the first room opens later."""
        limit = cls(
            limit_per_s=limit_per_s, share=share, rng=source, next_s=now_s
        )
        limit.next_s = now_s + source.random() * limit.interval_s
        return limit

    @property
    def interval_s(self) -> float:
        """Mean time between two openings, in seconds."""
        limit_per_s = max(LEAST_PER_S, USED_SHARE * self.limit_per_s)
        return 1.0 / (limit_per_s * self.share)

    def change(self, limit_per_s: float, share: float, now_s: float) -> None:
        """Use another limit, or another part of it, from now on."""
        before_s = self.interval_s
        self.limit_per_s, self.share = limit_per_s, share
        left_s = max(0.0, self.next_s - now_s)
        self.next_s = now_s + left_s * self.interval_s / before_s

    def has_room(self, now_s: float) -> bool:
        """Whether a request may be sent now."""
        self.open_room(now_s)
        return bool(self.open_s)

    def take(self, now_s: float) -> bool:
        """Use room for one request; return whether there was any."""
        if not self.has_room(now_s):
            return False
        self.open_s.popleft()
        return True

    def room_in_s(self, now_s: float) -> float:
        """Return the time until there is room, in seconds."""
        return 0.0 if self.has_room(now_s) else self.next_s - now_s

    def open_room(self, now_s: float) -> None:
        """Open the room that is due, and close what was not used."""
        oldest_s = now_s - ROOM_LIFETIME_S
        if self.next_s < oldest_s:
            # All that opened before has closed again.
            passed_s = oldest_s - self.next_s
            intervals = math.floor(passed_s / self.interval_s)
            self.next_s += intervals * self.interval_s
        while self.next_s <= now_s:
            self.open_s.append(self.next_s)
            jitter = INTERVAL_JITTER * (2.0 * self.rng.random() - 1.0)
            self.next_s += self.interval_s * (1.0 + jitter)
        while self.open_s and self.open_s[0] < oldest_s:
            self.open_s.popleft()


@attrs.define(kw_only=True)
class DemandMeter:
    """The requests a second of one router, averaged over some time."""

    count: float = 0.0
    # When the count was made, in seconds of the clock.
    updated_s: float = 0.0

    def add(self, now_s: float) -> None:
        """Count a request."""
        self.count = self.decayed(now_s) + 1.0
        self.updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the requests a second."""
        return self.decayed(now_s) / DEMAND_TIME_S

    def decayed(self, now_s: float) -> float:
        """Return the count without what is long ago."""
        age_s = max(0.0, now_s - self.updated_s)
        return self.count * math.exp(-age_s / DEMAND_TIME_S)
