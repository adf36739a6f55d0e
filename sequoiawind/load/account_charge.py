"""What one request takes from the rate limit of its account."""

import attrs

from sequoiawind.forward_state import LimitedAccount
from sequoiawind.load.account_limits import AccountLimits


@attrs.define(kw_only=True)
class AccountCharge:
    """The runs of one request that were paid for.

    A request is charged once when it is admitted, and again for each further
    run.  What a target states it has not run is not charged.
    """

    limits: AccountLimits
    account: LimitedAccount
    # Of one run, in tokens or requests.
    cost: float
    # Runs that were paid for and have not come about.
    unused: int = 1

    def sent(self, now_s: float) -> None:
        """Pay for a run that is sent to a target."""
        if self.unused:
            self.unused -= 1
        else:
            self.limits.charge(self.account, self.cost, now_s)

    def not_run(self) -> None:
        """Note that a target has not run what was sent to it."""
        self.unused += 1

    def ended(self, now_s: float) -> None:
        """Return what was paid for runs that have not come about."""
        if self.unused:
            cost = self.unused * self.cost
            self.limits.give_back(self.account.name, cost, now_s)
        self.unused = 0
