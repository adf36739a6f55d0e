"""Orders that a target has got from others than the agent beside it.

Where no agent answers, a router orders weights.  Two holders must not take
turns at a target within a lease, so an agent waits that long after an order
that is not its own.  The target tells how many orders it has accepted since its
start: none of another holder if there are no more than the agent's own.
"""

import attrs

from sequoiawind.rollout import TargetReport


@attrs.define(kw_only=True)
class ForeignOrders:
    """What an agent knows of other holders' orders; times are of its clock."""

    # Duration of a lease, in seconds.
    lease_s: float
    # Start of the target, and the orders that it has accepted since; None
    # before the first report.
    born_ms: int | None = None
    orders: int = 0
    # Orders of the agent that its target may not have counted yet.
    own: int = 0
    # Until when the agent gives no orders, in seconds.
    until_s: float = float("-inf")

    def note(self, report: TargetReport, now_s: float) -> bool:
        """Note a report; return whether it shows orders of another holder.

        An agent that has just started cannot know whose the orders are that its
        target has accepted before.
        """
        if report.born_ms != self.born_ms:
            self.born_ms, self.orders, self.own = report.born_ms, 0, 0
        added = report.orders - self.orders
        self.orders = report.orders
        own = min(max(added, 0), self.own)
        self.own -= own
        if added <= own:
            return False
        self.until_s = now_s + self.lease_s
        return True

    def sent(self) -> None:
        """Note an order of the agent that its target may have accepted."""
        self.own += 1

    def may_order(self, now_s: float) -> bool:
        """Whether a lease has passed since another holder's last order."""
        return now_s >= self.until_s
