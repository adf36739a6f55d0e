"""Retries: which are allowed, how many, and after what pause.

A failure that is not proved ``NOT_RUN`` is retried only if the kind is
idempotent.  A budget for each client account keeps retries from amplifying an
overload: each first attempt earns a fraction of a retry.
"""

import random
from typing import Final

import attrs

from sequoiawind import defaults
from sequoiawind.verdict import Failure, Reason, Verdict

# Refusals after which the next target is likely to accept.  They cost the
# target almost nothing, and their number is bounded by the list of targets that
# a request tries in turn, so they need no budget.
SPILL_REASONS: Final = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.QUEUE_TOO_LONG,
        Reason.COSTLY,
        Reason.DRAINING,
        Reason.SHUTTING_DOWN,
        Reason.WRONG_WEIGHTS,
    }
)
# Failures that would be the same at every target, or that nobody waits for.
FINAL_REASONS: Final = frozenset({Reason.CANCELLED, Reason.BODY_TOO_LARGE})


@attrs.define(kw_only=True)
class Budget:
    """Retries available to one account."""

    available: float = defaults.RETRY_RESERVE


@attrs.define(kw_only=True)
class RetryBudgets:
    """Budgets by account."""

    # Retries that each first attempt earns, and the most that a budget holds.
    ratio: float = defaults.RETRY_RATIO
    reserve: float = defaults.RETRY_RESERVE
    budgets: dict[str, Budget] = attrs.field(factory=dict)

    def earn(self, *names: str) -> None:
        """Credit each budget for a first attempt."""
        for name in names:
            budget = self.budgets.setdefault(name, Budget())
            budget.available = min(self.reserve, budget.available + self.ratio)

    def spend(self, *names: str) -> bool:
        """Take one retry from each budget, or none if one is exhausted.

        Returns:
          Whether the retry is allowed.
        """
        budgets = [self.budgets.setdefault(name, Budget()) for name in names]
        if any(budget.available < 1.0 for budget in budgets):
            return False
        for budget in budgets:
            budget.available -= 1.0
        return True


def may_retry(failure: Failure, is_idempotent: bool) -> bool:
    """Whether a failed request may be sent again."""
    if failure.reason in FINAL_REASONS:
        return False
    if failure.verdict is Verdict.NOT_RUN:
        return True
    return is_idempotent


def backoff_s(attempt: int, source: random.Random) -> float:
    """Return the pause before a retry, in seconds, with full jitter.

    Args:
      attempt: 1 for the first retry.
      source: Source of randomness.
    """
    ceiling_s = defaults.BACKOFF_BASE_S * 2 ** min(attempt - 1, 16)
    return source.uniform(0.0, min(ceiling_s, defaults.BACKOFF_CAP_S))
