"""The targets of each pool that have the least pending work."""

from collections.abc import Callable
from typing import Final

import attrs

from sequoiawind.fleet import Fleet, TargetView
from sequoiawind.target_choice import backlog_tokens, equal_factor

# How long the list of least loaded targets is used, in seconds; the statuses
# that it is made of are older.
SPARE_LIFETIME_S: Final = 0.1
# Number of least loaded targets that are kept, and of those drawn from them as
# candidates for one prompt.
SPARE_COUNT: Final = 8
SPARE_CANDIDATES: Final = 2


@attrs.frozen(kw_only=True)
class SpareTargets:
    """A pool's targets with the least pending work."""

    names: tuple[str, ...]
    # When the list was made, in seconds of the clock.
    made_s: float


@attrs.define(kw_only=True, eq=False)
class SpareLists:
    """Lists of spare targets by pool, each kept for a short time."""

    fleet: Fleet
    lists: dict[str, SpareTargets] = attrs.field(factory=dict)
    # Returns a target's time for some work relative to the pool's middle.
    factor: Callable[[TargetView], float] = equal_factor

    def targets(
        self, pool: str, now_s: float, average_prefill_tokens: float
    ) -> SpareTargets:
        """Return a pool's least loaded targets, made anew if they are old.

        Args:
          pool: The pool.
          now_s: The time, in seconds of the clock.
          average_prefill_tokens: Tokens to prefill of a prompt of which no
            more is known.
        """
        known = self.lists.get(pool)
        if known is not None and now_s - known.made_s <= SPARE_LIFETIME_S:
            return known
        ready = [
            (
                self.factor(view)
                * backlog_tokens(view, now_s, average_prefill_tokens),
                view.target.name,
            )
            for view in self.fleet.pool(pool, now_s).usable.values()
            if view.takes_work(now_s)
        ]
        self.lists[pool] = SpareTargets(
            names=tuple(name for _, name in sorted(ready)[:SPARE_COUNT]),
            made_s=now_s,
        )
        return self.lists[pool]
