"""One client account with a limit at one router: bucket, demand and counts."""

import math
from typing import Final

import attrs

from sequoiawind.forward_state import LimitedAccount

# Part of the rate that is used: shares of routers change at different times.
USED_PART: Final = 0.98
# Time over which demand is averaged, in seconds.  With 4 s, callers that move
# each second find routers whose shares follow too late.
DEMAND_TIME_S: Final = 1.0
# Shortest Retry-After of a refusal, in seconds.
LEAST_RETRY_AFTER_S: Final = 0.02


@attrs.define(kw_only=True)
class DemandAverage:
    """Demand of one account at one router, averaged over some time."""

    total: float = 0.0
    # When the total was updated, in seconds of the clock.
    updated_s: float = 0.0

    def add(self, cost: float, now_s: float) -> None:
        """Count a request, admitted or not."""
        self.total = self.decayed(now_s) + cost
        self.updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the demand, in tokens or requests a second."""
        return self.decayed(now_s) / DEMAND_TIME_S

    def decayed(self, now_s: float) -> float:
        """Return the total without what is long ago."""
        age_s = max(0.0, now_s - self.updated_s)
        return self.total * math.exp(-age_s / DEMAND_TIME_S)


@attrs.define(kw_only=True)
class AccountCounts:
    """Tokens or requests of one account at this router since its start."""

    asked: float = 0.0
    granted: float = 0.0
    refused: float = 0.0

    def add(self, other: "AccountCounts") -> None:
        """Add the counts of another account."""
        self.asked += other.asked
        self.granted += other.granted
        self.refused += other.refused


@attrs.frozen(kw_only=True)
class ShareInputs:
    """What a router's share of a limit depends on."""

    # Demand of this router and of all, as stated; in units a second.
    stated_per_s: float
    total_per_s: float
    # Age of the totals, in seconds; infinite if there are none.
    age_s: float
    routers: int


@attrs.define(kw_only=True)
class AccountBucket:
    """The state of one limited account at one router."""

    limit: LimitedAccount
    share: float
    # What may be spent; negative while in debt.
    level: float
    # When the level was updated, in seconds of the clock.
    updated_s: float
    # When a request arrived last, in seconds of the clock.
    used_s: float
    # The share that was reported last, and when, in seconds of the clock.
    reported_share: float
    reported_s: float = float("-inf")
    # Whether the account was over its limit at the last request.
    is_over: bool = False
    # Mean cost of a request, and what the bucket holds in addition.
    mean_cost: float = 0.0
    spare: float = 0.0
    demand: DemandAverage = attrs.field(factory=DemandAverage)
    counts: AccountCounts = attrs.field(factory=AccountCounts)

    @property
    def rate_per_s(self) -> float:
        """Rate at which the bucket refills."""
        return USED_PART * self.limit.rate_per_s * self.share

    @property
    def capacity(self) -> float:
        """What the bucket holds."""
        return self.limit.burst * self.share + self.spare

    def refill(self, limit: LimitedAccount, share: float, now_s: float) -> None:
        """Refill the bucket, then adapt it to the limit and share in force.

        The time since the last update counts at the lower of the two rates. A
        level above zero falls with the capacity, and does not rise with it:
        else a router with a full bucket that gets a larger share would have a
        burst that other routers have spent.
        """
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        if limit is self.limit and share == self.share:
            self.fill(elapsed_s * self.rate_per_s)
            return
        old_rate, old_capacity = self.rate_per_s, self.capacity
        lowered = limit.rate_per_s / self.limit.rate_per_s
        self.limit, self.share = limit, share
        self.level += elapsed_s * min(old_rate, self.rate_per_s)
        self.level = min(self.level, max(old_capacity, 0.0))
        if self.level > 0.0 and self.capacity < old_capacity:
            self.level *= self.capacity / old_capacity
        elif self.level < 0.0 and lowered < 1.0:
            # The higher limit allowed it, which the lower one takes no longer
            # to pay off.
            self.level *= lowered
        self.fill(0.0)

    def fill(self, amount: float) -> None:
        """Add to the level, as far as the bucket holds it."""
        self.level = min(self.level + amount, self.capacity)

    def wait_s(self, level: float) -> float:
        """Return the time until a level is reached, in seconds."""
        missing = level - self.level
        return max(LEAST_RETRY_AFTER_S, missing / self.rate_per_s)
