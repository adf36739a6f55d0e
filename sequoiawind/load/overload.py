"""How much of a pool's work a router refuses while the pool is overloaded.

Answers the load of bursts of two to two and a half times the usual load, under
which everything that was let in was late.  The part of the work to refuse
rises while estimates miss the objective and falls within a second once they
fit again.  It is taken from the excess of accounts that send far more than
others, then from the least urgent requests, and from more urgent ones only
when nine tenths of these are refused.
"""

from typing import Final

import attrs

from sequoiawind.load.account_work import AccountShare, AccountWork
from sequoiawind.load.decay import DecayedMean, DecayedSum

# Time constant of the share of requests whose estimate misses the objective,
# in seconds.
MISS_TIME_S: Final = 0.25
# Shares of missing estimates from which on more work is refused, and below
# which less is; between them nothing changes.
MISS_HIGH: Final = 0.5
MISS_LOW: Final = 0.25
# Weight of recent requests below which their share of misses is not used.
MIN_SAMPLES: Final = 0.05
# Change of the refused part of the work, per second.  Nothing is left after
# a second in which estimates fit.
RISE_PER_S: Final = 2.0
FALL_PER_S: Final = 2.0
# Longest time between two requests for which the part rises, in seconds.
MAX_RISE_S: Final = 0.25
# Parts below this one are not refused: a late answer has a third of its value,
# so that refusing a few requests gains less than it costs.
MIN_SHED: Final = 0.05
# Largest probability of a refusal for overload: a tenth gets in.
MAX_REFUSAL: Final = 0.9
# Time constant of the work by priority and of refusals, in seconds.
LEVEL_TIME_S: Final = 2.0
# Requests assumed to have been admitted in the share of refused ones, so that
# one refusal does not stand for a whole priority.
REFUSAL_PRIOR: Final = 3.0


@attrs.define(kw_only=True)
class PriorityLoad:
    """The recent requests of one priority."""

    # Share of requests whose best estimate misses the objective.
    misses: DecayedMean = attrs.field(
        factory=lambda: DecayedMean(time_constant_s=MISS_TIME_S)
    )
    excess: DecayedSum = attrs.field(
        factory=lambda: DecayedSum(time_constant_s=LEVEL_TIME_S)
    )
    ordinary: DecayedSum = attrs.field(
        factory=lambda: DecayedSum(time_constant_s=LEVEL_TIME_S)
    )
    # Share of requests that could not be answered in time at all.
    hopeless: DecayedMean = attrs.field(
        factory=lambda: DecayedMean(
            time_constant_s=LEVEL_TIME_S, prior=REFUSAL_PRIOR
        )
    )


@attrs.define(kw_only=True)
class PoolOverload:
    """The refusals of one pool by one router."""

    accounts: AccountWork = attrs.field(factory=AccountWork)
    # By priority, the least urgent first.
    levels: dict[int, PriorityLoad] = attrs.field(factory=dict)
    # Part of the offered work to refuse, from 0 to 1.
    shed: float = 0.0
    updated_s: float = 0.0

    def observe(
        self,
        account: str,
        priority: int,
        work: float,
        misses: bool | None,
        now_s: float,
    ) -> AccountShare:
        """Count an offered request; return its account's share before it.

        Args:
          account: The account's name.
          priority: 0 is the most urgent.
          work: Its cost, in any unit that is the same for the whole pool.
          misses: Whether its best estimate misses the objective; None if that
            says nothing about the pool.
          now_s: The time, in seconds of the clock.
        """
        self.update(now_s)
        if priority not in self.levels:
            self.levels[priority] = PriorityLoad()
            self.levels = dict(sorted(self.levels.items(), reverse=True))
        level = self.levels[priority]
        share = self.accounts.share(account, now_s)
        self.accounts.add(account, work, now_s)
        level.excess.add(work * share.excess, now_s)
        level.ordinary.add(work * (1.0 - share.excess), now_s)
        if misses is not None:
            level.misses.add(float(misses), now_s)
        return share

    def update(self, now_s: float) -> None:
        """Move the part of the work to refuse by the recent estimates."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        missing = {
            priority: level.misses.value(now_s)
            for priority, level in self.levels.items()
            if level.misses.weights.value(now_s) > MIN_SAMPLES
        }
        worst = max(missing.values(), default=0.0)
        if worst > MISS_HIGH:
            urgent = min(p for p, m in missing.items() if m > MISS_HIGH)
            most = MAX_REFUSAL * self.refusable(urgent, now_s)
            over = (worst - MISS_HIGH) / (1.0 - MISS_HIGH)
            rise = RISE_PER_S * over * min(elapsed_s, MAX_RISE_S)
            self.shed = max(self.shed, min(most, self.shed + rise))
        elif worst < MISS_LOW:
            self.shed = max(0.0, self.shed - FALL_PER_S * elapsed_s)

    def refusable(self, priority: int, now_s: float) -> float:
        """Return the part of the work that may be refused for a priority."""
        total = sum(
            level.excess.value(now_s) + level.ordinary.value(now_s)
            for level in self.levels.values()
        )
        more_urgent = sum(
            level.ordinary.value(now_s)
            for other, level in self.levels.items()
            if other < priority
        )
        return 1.0 - more_urgent / total if total > 0.0 else 0.0

    def probabilities(self, priority: int, now_s: float) -> tuple[float, float]:
        """Return the probabilities to refuse excess and other work."""
        if self.shed < MIN_SHED:
            return 0.0, 0.0
        works = [
            *(level.excess.value(now_s) for level in self.levels.values()),
            *(level.ordinary.value(now_s) for level in self.levels.values()),
        ]
        left = self.shed * sum(works)
        result: list[float] = []
        for work in works:
            taken = min(MAX_REFUSAL * work, left)
            left -= taken
            result.append(taken / work if work > 0.0 else 0.0)
        place = list(self.levels).index(priority)
        return result[place], result[place + len(self.levels)]

    def refusal(
        self, priority: int, share: AccountShare, now_s: float
    ) -> float:
        """Return the probability to refuse a request, at most `MAX_REFUSAL`.

        It is no less than the recent share of requests of a more urgent
        priority that had too little time to be answered at all.
        """
        excess, ordinary = self.probabilities(priority, now_s)
        for other, level in self.levels.items():
            if other < priority:
                hopeless = level.hopeless.value(now_s)
                urgent = self.probabilities(other, now_s)[1]
                share_refused = hopeless + (1.0 - hopeless) * urgent
                ordinary = max(ordinary, share_refused)
        probability = (
            share.excess * max(excess, ordinary)
            + (1.0 - share.excess) * share.weight * ordinary
        )
        return min(MAX_REFUSAL, probability)

    def judged(self, priority: int, is_hopeless: bool, now_s: float) -> None:
        """Count whether a request could be answered in time at all."""
        self.levels[priority].hopeless.add(float(is_hopeless), now_s)
