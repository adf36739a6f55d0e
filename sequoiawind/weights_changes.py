"""Requests that wait at targets while newer weights are named.

A request states the weights that it was placed for.  It may wait at its target
for longer than its router expects, as orders are carried out late, loads slow
each other down, or a queue grows.  So those that have not begun when their
weights may be used no longer are withdrawn, and sent again if they may be.
"""

from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind import messages
from sequoiawind.forwarder import Forwarder
from sequoiawind.ports import Clock, Timer
from sequoiawind.verdict import Reason, may_have_run
from sequoiawind.withdrawal import withdraw

if TYPE_CHECKING:
    from sequoiawind.forward_attempt import ForwardAttempt
    from sequoiawind.forwarding import Forwarding

# Least time between two withdrawals, in seconds: a time that has come but for
# rounding must not be waited for again and again.
MIN_DELAY_S: Final = 0.01


@attrs.define(kw_only=True, eq=False)
class WeightsChanges:
    """Withdraws requests whose weights may be used no longer."""

    forwarder: Forwarder
    clock: Clock
    timer: Timer | None = None

    def named(self, model: str, version: int, is_late: bool) -> None:
        """Note that an operator has named newer weights.

        The arguments are those of `AllowedWeights.version_named`.
        """
        self.forwarder.weights.version_named(model, version, is_late)
        self.withdraw_when_due()

    def bounds_changed(self) -> None:
        """Follow a change of the time allowed for newly named weights."""
        self.withdraw_when_due()

    def withdraw_when_due(self) -> None:
        """Withdraw what is due now, and wait for the next time."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        why = may_have_run(Reason.WEIGHTS_REPLACED, messages.WEIGHTS_REPLACED)
        for forwarding in list(self.forwarder.open):
            withdraw(forwarding, self.is_outdated, why)
        next_s = self.forwarder.weights.next_withdrawal_s()
        if next_s is not None:
            delay_s = max(MIN_DELAY_S, next_s)
            self.timer = self.clock.callLater(delay_s, self.withdraw_when_due)

    def is_outdated(
        self, forwarding: "Forwarding", attempt: "ForwardAttempt"
    ) -> bool:
        """Whether an attempt must not begin on its target's weights."""
        prompt, version = forwarding.plan.request.prompt, attempt.chosen.version
        if prompt is None or version is None:
            return False
        weights = self.forwarder.weights
        return version < weights.oldest_begun(prompt.model)
