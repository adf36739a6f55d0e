"""Choosing the target of a call to a plain service.

Answers the load of calls from many routers to a few targets, which may differ
in speed or fail.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final

from sequoiawind.fleet import TargetView
from sequoiawind.members import Members
from sequoiawind.target_choice import Chosen, equal_factor

# Cost of a call to a plain service whose recent calls have all failed, in open
# requests per slot.
FAILING_COST: Final = 8.0


def choose_call(
    ready: Sequence[TargetView],
    members: Members,
    domain: str,
    factor: Callable[[TargetView], float] = equal_factor,
    source: random.Random | None = None,
) -> Chosen | None:
    """Return the target of a call to a plain service; None if none is ready.

    Takes the target with the fewest open requests of this router per slot,
    plus a penalty for recent failures.  If speeds differ, it takes the one that
    is expected to answer the call first instead.

    Args:
      ready: The targets that take a call now.
      members: The health of the targets.
      domain: This router's failure domain.
      factor: Returns a target's service time relative to the pool's middle.
      source: Chooses two of the equally good targets, so that routers that
        share few targets do not all call the same one; None to compare all.

    Returns:
      The target.  Ties go to this router's failure domain, so that calls stay
      near where that costs nothing.
    """
    if not ready:
        return None
    factors = [factor(view) for view in ready]
    is_equal = all(item == 1.0 for item in factors)
    costs: list[float] = []
    for view, slow in zip(ready, factors, strict=True):
        failing = members.health_of(view.target.name).failure_share
        slots = max(1, view.target.slots)
        if is_equal:
            load = view.open_requests / slots
        else:
            load = (view.open_requests + 1) / slots * slow
        costs.append(round(load + FAILING_COST * failing, 2))
    least = min(costs)
    best = [
        view for view, cost in zip(ready, costs, strict=True) if cost == least
    ]
    best.sort(key=lambda view: view.target.name)
    if source is not None:
        best = source.sample(best, min(2, len(best)))

    # The first of equal ones: by name, or as drawn.
    chosen = min(best, key=lambda view: view.target.domain != domain)
    return Chosen(view=chosen, work_tokens=1.0)
