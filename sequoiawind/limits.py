"""Request rate and concurrency limits by client account.

Each router admits its share of an account's limit.  Shares follow demand:
routers send each other the demand they see, and a router's share is its part
of the sum.  With ``n`` routers the sum of the shares is at most 1 while all
receive each other's demand; after a change of demand the excess lasts until
the routers next send theirs, so an account can exceed its rate by at most the
limit times the share that moved, for one period.  Demand below a tenth of a
router's equal part is not sent, which adds at most a tenth to the bound.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from sequoiawind import defaults, messages
from sequoiawind.state import Account
from sequoiawind.verdict import Failure, Reason, not_run

# Requests a second below which an account's usage is dropped.
MIN_TRACKED_DEMAND: Final = 0.01


@attrs.define(kw_only=True)
class AccountUsage:
    """The requests and the demand of one account at one router."""

    # Token bucket: requests that may start now.
    tokens: float
    # When `tokens` was last updated, in seconds.
    updated_s: float
    open_requests: int = 0
    # Requests seen in the current period, admitted or not.
    seen: int = 0
    # Requests a second, averaged over periods.
    demand: float = 0.0
    # The account's limit, in requests a second.
    rate_per_s: float = 0.0


@attrs.define(kw_only=True)
class PeerDemand:
    """The demand last received from another router."""

    received_s: float
    # Requests a second by account.
    demand: Mapping[str, float]


@attrs.define(kw_only=True)
class AccountLimits:
    """Enforces the limits of all accounts at one router."""

    period_s: float = defaults.LIMIT_SHARE_PERIOD_S
    usage: dict[str, AccountUsage] = attrs.field(factory=dict)
    peers: dict[str, PeerDemand] = attrs.field(factory=dict)
    # Number of routers in the settings, this one included.
    routers: int = 1

    def admit(self, account: Account, now_s: float) -> Failure | None:
        """Admit a request, or return why it is refused.

        The caller must call `release` when an admitted request ends.
        """
        usage = self.refill(account, now_s)
        usage.seen += 1
        share = self.share(account.name, now_s)
        if usage.open_requests >= max(1.0, account.concurrency * share):
            return not_run(
                Reason.CONCURRENCY_LIMIT,
                messages.CONCURRENCY_LIMIT,
                defaults.MIN_RETRY_AFTER_S,
            )
        if usage.tokens < 1.0:
            rate = max(account.rate_per_s * share, 1e-3)
            wait_s = (1.0 - usage.tokens) / rate
            return not_run(
                Reason.RATE_LIMIT,
                messages.RATE_LIMIT,
                min(
                    max(wait_s, defaults.MIN_RETRY_AFTER_S),
                    defaults.MAX_RETRY_AFTER_S,
                ),
            )
        usage.tokens -= 1.0
        usage.open_requests += 1
        return None

    def release(self, account: str) -> None:
        """Record the end of an admitted request."""
        usage = self.usage.get(account)
        if usage is not None and usage.open_requests > 0:
            usage.open_requests -= 1

    def refill(self, account: Account, now_s: float) -> AccountUsage:
        """Return an account's usage after refilling its token bucket."""
        usage = self.usage.get(account.name)
        rate = account.rate_per_s * self.share(account.name, now_s)
        burst = max(1.0, rate)
        if usage is None:
            usage = AccountUsage(tokens=burst, updated_s=now_s)
            self.usage[account.name] = usage
        usage.rate_per_s = account.rate_per_s
        elapsed_s = max(0.0, now_s - usage.updated_s)
        usage.tokens = min(burst, usage.tokens + elapsed_s * rate)
        usage.updated_s = now_s
        return usage

    def share(self, account: str, now_s: float) -> float:
        """Return this router's share of an account's limit, from 0 to 1.

        Without recent demand from every other router the share is an equal
        part, so that a partition or many restarts at the same time cannot
        multiply the limit.
        """
        others = self.peer_demand(account, now_s)
        usage = self.usage.get(account)
        own_demand = usage.demand if usage else 0.0
        equal = 1.0 / max(1, self.routers)
        if others is None:
            return equal
        total = own_demand + others
        if total <= 0.0:
            return equal
        # The floor lets a router that has no demand yet admit first requests.
        floor = equal * 0.1
        return floor + (1.0 - floor * self.routers) * own_demand / total

    def peer_demand(self, account: str, now_s: float) -> float | None:
        """Return the other routers' demand; None if any is missing or old."""
        if len(self.peers) < self.routers - 1:
            return None
        total = 0.0
        for peer in self.peers.values():
            if now_s - peer.received_s > 5 * self.period_s:
                return None
            total += peer.demand.get(account, 0.0)
        return total

    def end_period(self) -> dict[str, float]:
        """End a period; return the demand by account to send to peers."""
        reported: dict[str, float] = {}
        for name, usage in list(self.usage.items()):
            rate = usage.seen / self.period_s
            usage.demand += 0.5 * (rate - usage.demand)
            usage.seen = 0
            if usage.demand > self.report_threshold(usage):
                reported[name] = round(usage.demand, 2)
            if usage.demand < MIN_TRACKED_DEMAND and not usage.open_requests:
                del self.usage[name]
        largest = sorted(reported, key=reported.__getitem__, reverse=True)
        kept = largest[: defaults.MAX_REPORTED_ACCOUNTS]
        return {name: reported[name] for name in kept}

    def report_threshold(self, usage: AccountUsage) -> float:
        """Return the demand above which an account is reported to peers.

        Below it an account is far from its limit, and reporting it would cost
        more than it helps.
        """
        equal = usage.rate_per_s / max(1, self.routers)
        return equal * defaults.MIN_REPORTED_DEMAND_SHARE

    def record_peer_demand(
        self, router: str, demand: Mapping[str, float], now_s: float
    ) -> None:
        """Store the demand that another router has sent."""
        self.peers[router] = PeerDemand(received_s=now_s, demand=demand)
