"""Rate limits of client accounts, enforced by all routers together.

Each router spends from a token bucket that refills at its share of the limit:
its part of the stated demand in the totals over all routers, and at least a
guaranteed share that is equal for all.

One request often costs more than the bucket of a router holds, and totals are
about a second old.  So a router may spend some of its refill in advance: what
its present part of the demand earns in a short time, and at least one request.
If hundreds of routers do that at once they exceed the limit.  So while the
demand is above the limit, the first request that a bucket does not cover is
admitted at random, with the limit's part of the demand as probability; a router
that refuses it starts with a random debt, as if it had been in use before.

State exists for accounts with a limit that have been used lately.
"""

import random
from collections import deque
from collections.abc import Callable, Container, Mapping
from typing import Final

import attrs

from sequoiawind import defaults, messages
from sequoiawind.forward_state import LimitedAccount
from sequoiawind.load.account_bucket import (
    DEMAND_TIME_S,
    AccountBucket,
    AccountCounts,
    ShareInputs,
)
from sequoiawind.verdict import Failure, Reason, not_run

# Prefix of the keys in statements and totals.
KEY_PREFIX: Final = "a:"
# Part of a limit that is divided equally among the routers.
GUARANTEED_PART: Final = 0.2
# Age of the totals, in seconds, from which only the guaranteed share is left.
TOTALS_LIFETIME_S: Final = 2.0
# What all routers together may spend in advance: the refill of some seconds,
# and a part of the 110,000 tokens that the bound of the limit allows besides.
ADVANCE_S: Final = 1.4
ADVANCE_TOKENS: Final = 60_000.0
# Time from the start of a router over which its advance grows, in seconds: the
# window in which the limit is measured.
START_S: Final = 8.0
# Demand above which an account counts as over its limit, and above which the
# advance falls, as parts of the limit.  The first is above 1, as the demand of
# accounts with few requests varies.
OVER_LIMIT: Final = 1.3
FAR_OVER_LIMIT: Final = 2.9
# What a request counts at most as demand of its router while the account is
# over its limit, as a part of the demand before it.
OWN_DEMAND_PART: Final = 0.5
# Limit's part of the demand below which requests are admitted with less than
# that probability: demand far over the limit has usually just risen, and was
# admitted until the totals showed it.
STEEP_PART: Final = 0.5
# What a bucket of an account over its limit holds in addition, in requests of
# mean cost, so that a router with few requests keeps what it refills between
# them, and the weight of one request in the mean cost.
SPARE_REQUESTS: Final = 2.0
COST_WEIGHT: Final = 0.2
# Time for which the highest number of routers counts, in seconds.
ROUTERS_WINDOW_S: Final = 8.0
# Time without requests after which an account out of debt is dropped, in
# seconds, and the time between two searches for such accounts.
IDLE_S: Final = 30.0
SWEEP_S: Final = 5.0
# Demand that is not stated: below this part of a limit.
LEAST_STATED_PART: Final = 1e-4
# Accounts whose counts are returned by name, and the name of all others.
NAMED_ACCOUNTS: Final = 8
OTHERS: Final = "others"
# Change of a share that is reported, as a factor, and the time between two
# reports of an account, in seconds.
REPORTED_CHANGE: Final = 1.0 + 1.0 / 3.0
REPORT_PERIOD_S: Final = 1.0


@attrs.define(kw_only=True)
class AccountLimits:
    """Enforces the rate limits of all client accounts at one router.

    Times `now_s` are in seconds of the steady clock.
    """

    # Clock that includes suspended time, in seconds; dates the totals.
    age_clock: Callable[[], float]
    random: random.Random
    # When this router started.
    started_s: float
    # Called with an account, its new share and the inputs of the share.
    on_share_change: Callable[[str, float, ShareInputs], None] = attrs.field(
        default=lambda account, share, inputs: None
    )
    buckets: dict[str, AccountBucket] = attrs.field(factory=dict)
    # The last totals, the statement that they contain and their date by
    # `age_clock`.
    totals: Mapping[str, float] = attrs.field(factory=dict)
    stated: Mapping[str, float] = attrs.field(factory=dict)
    as_of_s: float = float("-inf")
    # Numbers of routers with the time at which each was last stated; falling
    # numbers in the order of time.
    known_routers: deque[tuple[float, int]] = attrs.field(factory=deque)
    is_count_known: bool = False
    swept_s: float = float("-inf")
    # Counts of the accounts that were dropped.
    dropped: AccountCounts = attrs.field(factory=AccountCounts)

    # Requests.

    def admit(
        self, account: LimitedAccount, cost: float, now_s: float
    ) -> Failure | None:
        """Admit a request and charge its cost, or return a refusal."""
        bucket = self.bucket(account, now_s)
        bucket.used_s = now_s
        bucket.counts.asked += cost
        wait_s = self.refusal_s(bucket, cost, now_s)
        bucket.demand.add(cost, now_s)
        if wait_s is None:
            bucket.level -= cost
            bucket.counts.granted += cost
            return None
        bucket.counts.refused += cost
        return not_run(Reason.RATE_LIMIT, messages.ACCOUNT_RATE_LIMIT, wait_s)

    def refusal_s(
        self, bucket: AccountBucket, cost: float, now_s: float
    ) -> float | None:
        """Return when a refused request has room; None if it has it now."""
        bucket.mean_cost += COST_WEIGHT * (cost - bucket.mean_cost)
        rate_per_s = bucket.limit.rate_per_s
        own, total = self.demand_now(bucket, now_s)
        # This request counts as demand of its router fully only below the
        # limit:
        # in a fleet with few requests for each router, every router would
        # otherwise take it for a large part of the demand.
        added = cost / DEMAND_TIME_S
        if total > OVER_LIMIT * rate_per_s:
            added = min(added, OWN_DEMAND_PART * own)
        own += added
        total += added
        is_over = total > OVER_LIMIT * rate_per_s
        if is_over:
            if not bucket.is_over and 0.0 <= bucket.level < cost:
                self.place(bucket, cost, rate_per_s / total)
            bucket.spare = SPARE_REQUESTS * bucket.mean_cost
        else:
            bucket.spare = 0.0
        bucket.is_over = is_over
        if bucket.level >= 0.0:
            return None
        if not self.are_totals_fresh:
            # Its part of the demand is not known.
            return bucket.wait_s(0.0)
        advance = advance_of(bucket.limit) * own / max(total, own, 1e-9)
        if is_over:
            advance *= min(1.0, FAR_OVER_LIMIT * rate_per_s / total)
        # The predecessor of a router may have spent its advance already.
        age_s = now_s - self.started_s
        advance *= min(1.0, max(0.0, age_s / START_S))
        if bucket.level - cost >= -advance:
            return None
        return bucket.wait_s(0.0)

    def place(self, bucket: AccountBucket, cost: float, part: float) -> None:
        """Put a bucket into debt at random.

        Args:
          bucket: A bucket that is not in debt and does not cover the request.
          cost: The request's cost.
          part: The limit's part of the demand.
        """
        chance = part * min(1.0, part / STEEP_PART)
        if self.random.random() >= chance:
            bucket.level -= (1.0 - chance) * self.random.random() * cost

    def demand_now(
        self, bucket: AccountBucket, now_s: float
    ) -> tuple[float, float]:
        """Return this router's demand as of now, and that of all routers."""
        key = KEY_PREFIX + bucket.limit.name
        others = self.totals.get(key, 0.0) - self.stated.get(key, 0.0)
        own = bucket.demand.per_s(now_s)
        return own, max(0.0, others) + own

    def charge(
        self, account: LimitedAccount, cost: float, now_s: float
    ) -> None:
        """Charge a further attempt of an admitted request."""
        bucket = self.bucket(account, now_s)
        bucket.used_s = now_s
        bucket.level -= cost
        bucket.demand.add(cost, now_s)
        bucket.counts.asked += cost
        bucket.counts.granted += cost

    def give_back(self, account_name: str, cost: float, now_s: float) -> None:
        """Refund what a target reports as not run."""
        bucket = self.buckets.get(account_name)
        if bucket is None:
            return
        self.refill(bucket, bucket.limit, now_s)
        bucket.fill(cost)
        bucket.counts.granted -= cost

    # Shares.

    def bucket(self, account: LimitedAccount, now_s: float) -> AccountBucket:
        """Return an account's bucket, refilled."""
        self.sweep(now_s)
        bucket = self.buckets.get(account.name)
        if bucket is not None:
            self.refill(bucket, account, now_s)
            return bucket
        share = self.share(account, now_s)
        bucket = AccountBucket(
            limit=account,
            share=share,
            level=0.0,
            updated_s=self.started_s,
            used_s=now_s,
            reported_share=share,
        )
        bucket.demand.updated_s = now_s
        # Without requests here only the guaranteed share was saved up.
        self.buckets[account.name] = bucket
        bucket.share = self.guaranteed_share(now_s)
        bucket.refill(account, bucket.share, now_s)
        bucket.refill(account, share, now_s)
        return bucket

    def refill(
        self, bucket: AccountBucket, limit: LimitedAccount, now_s: float
    ) -> None:
        """Refill a bucket at the share in force, and report changes of it."""
        share = self.share(limit, now_s)
        bucket.refill(limit, share, now_s)
        least, most = sorted((share, bucket.reported_share))
        if most < least * REPORTED_CHANGE:
            return
        if now_s - bucket.reported_s < REPORT_PERIOD_S:
            return
        bucket.reported_share, bucket.reported_s = share, now_s
        self.on_share_change(limit.name, share, self.inputs(limit.name, now_s))

    def share(self, limit: LimitedAccount, now_s: float) -> float:
        """Return this router's share of an account's limit, from 0 to 1."""
        guaranteed = self.guaranteed_share(now_s)
        if not self.are_totals_fresh:
            return guaranteed
        key = KEY_PREFIX + limit.name
        stated = self.stated.get(key, 0.0)
        if stated <= 0.0:
            return guaranteed
        total = max(stated, self.totals.get(key, 0.0))
        if total > limit.rate_per_s:
            # All routers together would have more than the limit, and far more
            # if some take their number to be too low.
            return stated / total
        return max(guaranteed, stated / total)

    @property
    def are_totals_fresh(self) -> bool:
        """Whether totals are recent enough for more than the guaranteed."""
        return self.age_clock() - self.as_of_s < TOTALS_LIFETIME_S

    def guaranteed_share(self, now_s: float) -> float:
        """Return the share that needs no totals."""
        return GUARANTEED_PART / self.routers(now_s)

    def routers(self, now_s: float) -> int:
        """Return the highest number of routers known lately."""
        known = self.known_routers
        while len(known) > 1 and known[0][0] <= now_s - ROUTERS_WINDOW_S:
            known.popleft()
        routers = known[0][1] if known else 0
        if not self.is_count_known:
            routers = max(routers, defaults.ASSUMED_ROUTERS)
        return routers

    def inputs(self, account_name: str, now_s: float) -> ShareInputs:
        """Return what the share of an account depends on."""
        key = KEY_PREFIX + account_name
        return ShareInputs(
            stated_per_s=self.stated.get(key, 0.0),
            total_per_s=self.totals.get(key, 0.0),
            age_s=self.age_clock() - self.as_of_s,
            routers=self.routers(now_s),
        )

    # What other components tell.

    def statement(self, now_s: float) -> dict[str, float]:
        """Return the demand to state, by key, in units a second."""
        self.sweep(now_s)
        found: dict[str, float] = {}
        for name, bucket in self.buckets.items():
            demand = bucket.demand.per_s(now_s)
            if demand > LEAST_STATED_PART * bucket.limit.rate_per_s:
                found[KEY_PREFIX + name] = demand
        return found

    def take_totals(
        self,
        totals: Mapping[str, float],
        stated: Mapping[str, float],
        as_of_s: float,
        now_s: float,
    ) -> None:
        """Use totals over all routers, unless newer ones are known.

        Args:
          totals: Demand of all routers by key, in units a second.
          stated: This router's statement that they contain.
          as_of_s: When the request that returned them was sent, in seconds of
            `age_clock`.
          now_s: The time, in seconds of the clock.
        """
        if as_of_s <= self.as_of_s:
            return
        # The time up to now counts at the share that was in force.
        for bucket in self.buckets.values():
            self.refill(bucket, bucket.limit, now_s)
        self.totals = own_keys(totals)
        self.stated = own_keys(stated)
        self.as_of_s = as_of_s
        for bucket in self.buckets.values():
            self.refill(bucket, bucket.limit, now_s)

    def note_routers(self, routers: int, now_s: float) -> None:
        """Record the number of routers; 0 if it is unknown."""
        self.is_count_known = routers > 0
        if routers <= 0:
            return
        while self.known_routers and self.known_routers[-1][1] <= routers:
            self.known_routers.pop()
        self.known_routers.append((now_s, routers))

    def keep_only(self, account_names: Container[str]) -> None:
        """Drop the accounts that a new configuration does not limit."""
        for name in [n for n in self.buckets if n not in account_names]:
            self.drop(name)

    def figures(self) -> dict[str, AccountCounts]:
        """Return the counts of the largest accounts, and of all others.

        They count from the start of the process; an account that was dropped
        since is among the others.
        """
        largest = sorted(
            self.buckets, key=lambda name: -self.buckets[name].counts.asked
        )
        found = {
            name: self.buckets[name].counts for name in largest[:NAMED_ACCOUNTS]
        }
        others = attrs.evolve(self.dropped)
        for name in largest[NAMED_ACCOUNTS:]:
            others.add(self.buckets[name].counts)
        found[OTHERS] = others
        return found

    def drop(self, name: str) -> None:
        """Drop an account's state; its counts go to the others."""
        self.dropped.add(self.buckets.pop(name).counts)

    def sweep(self, now_s: float) -> None:
        """Drop the accounts without recent use that are out of debt."""
        if now_s - self.swept_s < SWEEP_S:
            return
        self.swept_s = now_s
        for name, bucket in list(self.buckets.items()):
            if now_s - bucket.used_s < IDLE_S:
                continue
            self.refill(bucket, bucket.limit, now_s)
            if bucket.level >= 0.0:
                self.drop(name)


def advance_of(limit: LimitedAccount) -> float:
    """Return what all routers may spend in advance, in units of the limit."""
    tokens = ADVANCE_TOKENS if limit.is_in_tokens else 0.0
    return ADVANCE_S * limit.rate_per_s + tokens


def own_keys(figures: Mapping[str, float]) -> dict[str, float]:
    """Return the figures of client accounts."""
    return {
        key: value
        for key, value in figures.items()
        if key.startswith(KEY_PREFIX)
    }
