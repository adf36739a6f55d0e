"""How much work each client account has recently sent to one pool.

Answers the load of one to three accounts that send four to seven times their
usual load: under overload their excess is refused first, and accounts that
send little are not refused.
"""

from collections import OrderedDict
from typing import Final

import attrs

from sequoiawind.load.decay import DecayedMean, DecayedSum

# Time constant of recent work, in seconds: a router sees a twentieth of the
# load, so a shorter one would hold only one or two requests of an account.
WORK_TIME_S: Final = 5.0
# Time after an account's last request after which it is forgotten, in seconds.
KEPT_S: Final = 30.0
# Accounts that are kept for a pool; the ones that sent least recently go first.
MAX_ACCOUNTS: Final = 1_024
# Multiple of an equal share beyond which work is excess.
EXCESS_FACTOR: Final = 1.5
# Part of an equal share below which an account is not refused for overload.
QUIET_SHARE: Final = 0.25


@attrs.frozen(kw_only=True)
class AccountShare:
    """An account's recent work relative to an equal share."""

    # Part of its work that is far beyond an equal share, from 0 to 1.
    excess: float = 0.0
    # Factor for the refusal of the rest, from 0 to 1.
    weight: float = 1.0


@attrs.define(kw_only=True)
class AccountWork:
    """Recent work by account, offered to one pool through this router."""

    # The account that sent last is the last one.
    by_account: OrderedDict[str, DecayedSum] = attrs.field(factory=OrderedDict)
    total: DecayedSum = attrs.field(
        factory=lambda: DecayedSum(time_constant_s=WORK_TIME_S)
    )
    # Mean work of a request to which a unit of work belongs.
    request_work: DecayedMean = attrs.field(
        factory=lambda: DecayedMean(time_constant_s=WORK_TIME_S)
    )

    def share(self, account: str, now_s: float) -> AccountShare:
        """Return an account's share, compared with the mean of the others."""
        known = self.by_account.get(account)
        own = known.value(now_s) if known is not None else 0.0
        others = len(self.by_account) - (known is not None)
        if others == 0:
            return AccountShare()
        equal = max(0.0, self.total.value(now_s) - own) / others
        if own < QUIET_SHARE * equal:
            return AccountShare(weight=0.0)
        # One request more is no sign of a flood.
        usual = EXCESS_FACTOR * equal + self.request_work.value(now_s)
        excess = 1.0 - usual / own if own > usual else 0.0
        weight = min(1.0, own / equal) if equal > 0.0 else 1.0
        return AccountShare(excess=excess, weight=weight)

    def add(self, account: str, work: float, now_s: float) -> None:
        """Count the work of a request, whether it is admitted or not."""
        known = self.by_account.pop(account, None)
        if known is None:
            known = DecayedSum(time_constant_s=WORK_TIME_S)
        known.add(work, now_s)
        self.by_account[account] = known
        self.total.add(work, now_s)
        self.request_work.add(work, now_s, weight=work)
        while self.by_account:
            oldest, sent = next(iter(self.by_account.items()))
            is_kept = now_s - sent.at_s <= KEPT_S
            if is_kept and len(self.by_account) <= MAX_ACCOUNTS:
                return
            del self.by_account[oldest]
