"""Requests that wait at targets while the isolated accounts change.

A request carries the salt of the scope that was in force when it was sent.  It
may wait at its target, and would then use cached parts that its account may
use no longer.  So those that have not begun to answer are withdrawn before the
older configuration can be in force no longer, and sent again if they may be.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind import messages
from sequoiawind.forward_state import ForwardState
from sequoiawind.forwarder import Forwarder
from sequoiawind.ports import Clock
from sequoiawind.verdict import Reason, may_have_run
from sequoiawind.withdrawal import withdraw

if TYPE_CHECKING:
    from sequoiawind.forward_attempt import ForwardAttempt
    from sequoiawind.forwarding import Forwarding

# Time from a change until requests are withdrawn, as a share of the time within
# which it must be in force: nearly all have begun by then.
WITHDRAW_SHARE: Final = 0.9


@attrs.define(kw_only=True, eq=False)
class ScopeChanges:
    """Withdraws requests under scopes that are in force no longer."""

    forwarder: Forwarder
    clock: Clock
    # Returns the time within which a configuration must be in force, in
    # seconds.
    in_force_s: Callable[[], float]
    # Scope of the accounts that share parts; None before a configuration.
    scope: str | None = None

    def configured(self, state: ForwardState) -> None:
        """Adapt to a configuration; each change of isolation changes scopes."""
        old, self.scope = self.scope, state.shared_scope
        if old is not None and old != self.scope:
            delay_s = WITHDRAW_SHARE * self.in_force_s()
            self.clock.callLater(delay_s, self.withdraw_all)

    def withdraw_all(self) -> None:
        """Withdraw what waits at targets under an outdated salt."""
        why = may_have_run(Reason.SCOPE_CHANGED, messages.SCOPE_CHANGED)
        for forwarding in list(self.forwarder.open):
            withdraw(forwarding, is_outdated, why)


def is_outdated(forwarding: "Forwarding", attempt: "ForwardAttempt") -> bool:
    """Whether the salt of an attempt is outdated."""
    salted = forwarding.forwarder.salted(forwarding.plan, attempt.chosen)
    return salted.salt != attempt.chosen.salt
