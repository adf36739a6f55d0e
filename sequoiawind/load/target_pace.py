"""How fast each target of a pool works, learned from the requests sent to it.

Answers the load of pools whose targets differ in speed, and of targets that
slow down for a while.  A target's factor is its time for some work relative to
the middle of its pool.  Three averages of observed over expected time make it,
of which a shorter one counts only if it differs by more than chance explains:
that of all routers over half a minute, that of all routers over seconds, and
that of this router's last second, in which requests count that wait longer
than expected.
"""

import math
import statistics
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from sequoiawind.load.estimate import Estimate
from sequoiawind.load.pace_sums import Seconds
from sequoiawind.load.work_model import WorkModel

# Times over which samples are averaged, in seconds: those that are stated to
# other routers, those that speeds are learned from, and the latest.  Over the
# stated time alone, ratios of four engines of one speed ranged from 1.08 to
# 1.29 in `lab.pace_model`, as requests wait behind unknown ones.
STATED_TIME_S: Final = 6.0
LONG_TIME_S: Final = 30.0
RECENT_TIME_S: Final = 1.0
# Weight of what was assumed before the samples, in samples of mean time.
PRIOR_SAMPLES: Final = 4.0
RECENT_PRIOR_SAMPLES: Final = 2.0
# How many times its usual error the last second and the last seconds may differ
# by chance: a router looks at few samples very often, and requests that wait
# behind the same unknown one are late together.
STATED_ERRORS: Final = 2.0
RECENT_ERRORS: Final = 3.0
# Bounds of a factor.
MIN_FACTOR: Final = 0.4
MAX_FACTOR: Final = 4.0
# Logarithm of the factor up to which a target counts as equal to the middle,
# and below which one that did not count as equal does again.
EQUAL_LOG: Final = math.log(1.25)
EQUAL_AGAIN_LOG: Final = math.log(1.12)
# Samples without which a target counts as equal: the middle of the pool is not
# known well enough before.
LEAST_APART_SAMPLES: Final = 10.0
# Longest time of one sample relative to the expected one.
OUTLIER: Final = 6.0
# How long the factors over seconds are used, in seconds.
REFRESH_S: Final = 0.25
# How long totals are used without newer ones, in seconds; they also lose
# weight with their age.
TOTALS_LIFETIME_S: Final = 30.0
# Time after a target's restart during which the totals may still contain its
# previous incarnation, in seconds: feeds reach all routers sooner.
RESTART_S: Final = 2.0
# Age beyond which an open sample is discarded, in seconds: longer than any
# deadline.
OPEN_LIFETIME_S: Final = 60.0
# Targets that a router states: half of the keys it may state, by pairs.
MAX_STATED: Final = 100
# Time of a target's samples below which it is not stated, in seconds.
LEAST_STATED_S: Final = 0.001
# Targets without samples are discarded after this time, in seconds.
TARGET_LIFETIME_S: Final = 600.0
KEY_PREFIX: Final = "p:"


@attrs.define(kw_only=True, eq=False)
class TargetPace:
    """What is known of the speed of one incarnation of a target."""

    # Samples of this router, over the time that is stated.
    stated: Seconds = attrs.field(factory=lambda: Seconds(time_s=STATED_TIME_S))
    # Samples of all routers.
    long: Seconds = attrs.field(factory=lambda: Seconds(time_s=LONG_TIME_S))
    # The latest samples, compared with the estimates for this target.
    recent: Seconds = attrs.field(factory=lambda: Seconds(time_s=RECENT_TIME_S))
    # Samples whose answer has not begun, the oldest first.
    open: "dict[PaceSample, None]" = attrs.field(factory=dict)
    # Observed over expected time, relative to the middle of the pool, without
    # the last second; and the factor made of it.
    ratio: float = 1.0
    factor: float = 1.0
    # Whether the target did not count as equal to the middle when last seen.
    is_apart: bool = False

    def overdue(
        self, error_factor: float, now_s: float
    ) -> "list[tuple[PaceSample, float]]":
        """Return the overdue samples and their time so far, in seconds."""
        found: list[tuple[PaceSample, float]] = []
        for sample in self.open:
            passed_s = now_s - sample.sent_s
            if passed_s > error_factor * sample.estimate_s:
                found.append((sample, passed_s))
        return found


@attrs.define(kw_only=True, eq=False)
class PaceSample:
    """A request that was sent to a target, until its answer begins."""

    pool: str
    target: str
    work_tokens: float
    sent_s: float
    # Expected time of the pool's middle and estimate for the target, both in
    # seconds.
    expected_s: float
    estimate_s: float
    pace: TargetPace
    # Whether the model of the pool was known when the request was sent.
    is_measure: bool


@attrs.define(kw_only=True, eq=False)
class PoolPace:
    """The targets of one pool."""

    model: WorkModel = attrs.field(factory=WorkModel)
    targets: dict[str, TargetPace] = attrs.field(factory=dict)
    # Observed over expected time of the middle target.
    middle: float = 1.0
    refreshed_s: float = float("-inf")

    def target(self, name: str) -> TargetPace:
        """Return what is known of a target; new if nothing is."""
        found = self.targets.get(name)
        if found is None:
            found = self.targets[name] = TargetPace()
        return found

    @property
    def error_factor(self) -> float:
        """The usual error of an estimate, as a factor."""
        return math.exp(self.model.error)


@attrs.define(kw_only=True, eq=False)
class TargetPaces:
    """The speeds of all targets, as one router knows them."""

    pools: dict[str, PoolPace] = attrs.field(factory=dict)
    # Expected and observed seconds of the other routers by target, as the last
    # totals held them.
    others: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    # When the last totals were requested, on the clock that dates totals, and
    # when they were first used, on the clock of all other times.
    totals_as_of_s: float = float("-inf")
    totals_used_s: float | None = None
    # Targets that have restarted: until when the totals may contain their
    # previous incarnation, on the clock that dates totals; None until the next
    # totals.
    restarted: dict[str, float | None] = attrs.field(factory=dict)

    def pool(self, name: str) -> PoolPace:
        """Return what is known of a pool; new if nothing is."""
        found = self.pools.get(name)
        if found is None:
            found = self.pools[name] = PoolPace()
        return found

    # Samples.

    def sent(
        self, pool: str, target: str, work_tokens: float, now_s: float
    ) -> PaceSample:
        """Return the sample of a request that is sent to a target.

        Args:
          pool: The target's pool.
          target: The target.
          work_tokens: What the target has to do before the answer begins: its
            backlog and the request's own prefill; 1 for a plain call.
          now_s: The time, in seconds of the clock.
        """
        known = self.pool(pool)
        pace = known.target(target)
        expected_s = known.model.expected_s(work_tokens)
        sample = PaceSample(
            pool=pool,
            target=target,
            work_tokens=work_tokens,
            sent_s=now_s,
            expected_s=expected_s,
            estimate_s=expected_s * known.middle * pace.ratio,
            pace=pace,
            is_measure=known.model.is_known,
        )
        pace.open[sample] = None
        return sample

    def began(self, sample: PaceSample, now_s: float) -> None:
        """Learn from a request whose answer has begun, or has come whole."""
        if sample not in sample.pace.open:
            return
        del sample.pace.open[sample]
        pool = self.pools[sample.pool]
        observed_s = max(0.0, now_s - sample.sent_s)
        pool.model.add(sample.work_tokens, observed_s, sample.estimate_s)
        if not sample.is_measure:
            return
        pace, expected_s = sample.pace, sample.expected_s
        limited_s = min(observed_s, OUTLIER * expected_s)
        pace.stated.add(expected_s, limited_s, now_s)
        limited_s = min(observed_s, OUTLIER * sample.estimate_s)
        pace.recent.add(sample.estimate_s, limited_s, now_s)

    def dropped(self, sample: PaceSample) -> None:
        """Discard a sample that failed, was refused or cancelled."""
        sample.pace.open.pop(sample, None)

    def forget(self, target: str) -> None:
        """Start anew with a target of which a new incarnation has begun."""
        for pool in self.pools.values():
            pool.targets.pop(target, None)
        self.others.pop(target, None)
        self.restarted[target] = None

    # Factors.

    def factor(self, pool: str, target: str, now_s: float) -> float:
        """Return a target's time for some work relative to the pool's middle.

        Returns:
          1.0 for a target that is equal to the middle or unknown.
        """
        known = self.pool(pool)
        if now_s - known.refreshed_s >= REFRESH_S:
            self.refresh(known, now_s)
        pace = known.targets.get(target)
        if pace is None:
            if target in self.others:
                # Other routers know it: the next refresh computes its factor.
                known.target(target)
            return 1.0
        if not pace.open and now_s - pace.recent.updated_s > 3 * RECENT_TIME_S:
            return pace.factor
        return with_recent(known, pace, now_s)

    def is_uneven(self, pool: str, share: float, least: int) -> bool:
        """Whether several targets of a pool differ from its middle.

        Args:
          pool: The pool.
          share: Part of its targets that must differ.
          least: Number of targets that must differ.
        """
        known = self.pools.get(pool)
        if known is None:
            return False
        apart = sum(pace.is_apart for pace in known.targets.values())
        return apart >= max(least, share * len(known.targets))

    def expected_s(
        self, pool: str, target: str, work_tokens: float, now_s: float
    ) -> Estimate:
        """Return when a target is expected to begin an answer.

        Args:
          pool: The target's pool.
          target: The target.
          work_tokens: As for `sent`.
          now_s: The time, in seconds of the clock.
        """
        recent = self.factor(pool, target, now_s)
        known = self.pool(pool)
        if not known.model.is_known:
            return Estimate(
                expected_s=WorkModel().expected_s(work_tokens),
                error_factor=math.inf,
            )
        pace = known.targets.get(target)
        expected_s = known.middle * known.model.expected_s(work_tokens)
        if pace is not None:
            # A factor that counts as equal hides the target's ratio.
            is_usual = recent == pace.factor
            expected_s *= pace.ratio if is_usual else recent
        return Estimate(expected_s=expected_s, error_factor=known.error_factor)

    def refresh(self, pool: PoolPace, now_s: float) -> None:
        """Compute the factors of a pool's targets, without the last second."""
        passed_s = min(now_s - pool.refreshed_s, STATED_TIME_S)
        pool.refreshed_s = now_s
        model = pool.model
        if not model.is_known and not self.others:
            return
        weight = self.others_weight(now_s)
        sums: list[tuple[TargetPace, float, float]] = []
        for name, pace in list(pool.targets.items()):
            others = self.others.get(name)
            if others is None and is_unused(pace, now_s):
                del pool.targets[name]
                continue
            expected_s, observed_s = self.stated_seconds(pool, pace, now_s)
            if others is not None:
                expected_s += weight * others[0]
                observed_s += weight * others[1]
            # The integral of sums that decay over a time, divided by that time,
            # is the sum of the samples.
            share = passed_s / STATED_TIME_S
            pace.long.add(share * expected_s, share * observed_s, now_s)
            sums.append((pace, expected_s, observed_s))
        pool.middle = middle_of(pool, pool.middle)
        for pace, expected_s, observed_s in sums:
            set_factor(pool, pace, expected_s, observed_s)

    def stated_seconds(
        self, pool: PoolPace, pace: TargetPace, now_s: float
    ) -> tuple[float, float]:
        """Return a target's seconds at this router, with overdue samples."""
        expected_s, observed_s = pace.stated.at(now_s)
        if pace.open and pool.model.is_known:
            for sample, passed_s in pace.overdue(pool.error_factor, now_s):
                expected_s += sample.expected_s
                observed_s += min(passed_s, OUTLIER * sample.expected_s)
        return expected_s, observed_s

    # Totals over all routers.

    def others_weight(self, now_s: float) -> float:
        """Return the weight of the last totals by their age."""
        if self.totals_used_s is None:
            self.totals_used_s = now_s
        age_s = max(0.0, now_s - self.totals_used_s)
        if age_s > TOTALS_LIFETIME_S:
            return 0.0
        return math.exp(-age_s / STATED_TIME_S)

    def statement(
        self,
        now_s: float,
        is_stated: Callable[[str], bool] = lambda pool: True,
    ) -> dict[str, float]:
        """Return this router's seconds by target, for the totals.

        Args:
          now_s: The time, in seconds of the clock.
          is_stated: Returns whether a pool's targets are stated.
        """
        found: list[tuple[float, float, str]] = []
        for pool_name, pool in self.pools.items():
            if not is_stated(pool_name):
                continue
            for name, pace in pool.targets.items():
                expected_s, observed_s = self.stated_seconds(pool, pace, now_s)
                if expected_s >= LEAST_STATED_S:
                    found.append((expected_s, observed_s, name))
        found.sort(reverse=True)
        stated: dict[str, float] = {}
        for expected_s, observed_s, name in found[:MAX_STATED]:
            stated[f"{KEY_PREFIX}{name}:e"] = expected_s
            stated[f"{KEY_PREFIX}{name}:o"] = observed_s
        return stated

    def take_totals(
        self,
        totals: Mapping[str, float],
        stated: Mapping[str, float],
        as_of_s: float,
    ) -> None:
        """Use the totals over all routers.

        Args:
          totals: The totals.
          stated: This router's statement that they contain.
          as_of_s: When they were requested, in seconds of the clock that
            includes suspended time.
        """
        if as_of_s < self.totals_as_of_s:
            return
        self.totals_as_of_s, self.totals_used_s = as_of_s, None
        for name, until_s in list(self.restarted.items()):
            if until_s is None:
                self.restarted[name] = as_of_s + RESTART_S
            elif as_of_s > until_s:
                del self.restarted[name]
        self.others.clear()
        for key, total_s in totals.items():
            if not key.startswith(KEY_PREFIX) or not key.endswith(":e"):
                continue
            name = key[len(KEY_PREFIX) : -len(":e")]
            observed_key = f"{KEY_PREFIX}{name}:o"
            observed_s = totals.get(observed_key, -1.0)
            expected_s = total_s - stated.get(key, 0.0)
            observed_s -= stated.get(observed_key, 0.0)
            # Also false for values that are no numbers.
            if name not in self.restarted and (
                0.0 < expected_s < math.inf and 0.0 <= observed_s < math.inf
            ):
                self.others[name] = (expected_s, observed_s)


def set_factor(
    pool: PoolPace, pace: TargetPace, expected_s: float, observed_s: float
) -> None:
    """Compute a target's ratio and factor.

    Args:
      pool: Its pool.
      pace: The target.
      expected_s: Expected seconds of the samples of all routers over seconds.
      observed_s: The observed seconds of these.
    """
    model = pool.model
    prior_s = PRIOR_SAMPLES * model.mean_s
    long_s = pace.long.expected_s + expected_s + prior_s
    long_observed_s = pace.long.observed_s + observed_s
    ratio = (long_observed_s / pool.middle + prior_s) / long_s
    # What has changed in the last seconds.
    change = (observed_s / (pool.middle * ratio) + prior_s) / (
        expected_s + prior_s
    )
    samples = expected_s / model.mean_s + PRIOR_SAMPLES
    if abs(math.log(change)) > apart_log(pool, samples, STATED_ERRORS):
        ratio *= change
    else:
        samples = long_s / model.mean_s
    pace.ratio = ratio
    distance = abs(math.log(ratio))
    if pace.is_apart:
        pace.is_apart = distance > EQUAL_AGAIN_LOG
    else:
        is_certain = samples >= PRIOR_SAMPLES + LEAST_APART_SAMPLES
        least_log = apart_log(pool, samples, STATED_ERRORS)
        pace.is_apart = is_certain and distance > least_log
    pace.factor = bounded(ratio) if pace.is_apart else 1.0


def with_recent(pool: PoolPace, pace: TargetPace, now_s: float) -> float:
    """Return a target's factor with the samples of the last second.

    Overdue samples count as their time so far.  The factor over seconds is kept
    unless the last second differs from it by more than chance explains.
    """
    if not pool.model.is_known:
        return pace.factor
    expected_s, observed_s = pace.recent.at(now_s)
    if pace.open:
        oldest = next(iter(pace.open))
        if now_s - oldest.sent_s > OPEN_LIFETIME_S:
            del pace.open[oldest]
        for sample, passed_s in pace.overdue(pool.error_factor, now_s):
            expected_s += sample.estimate_s
            observed_s += min(passed_s, OUTLIER * sample.estimate_s)
    mean_s = pool.model.mean_s * pool.middle * pace.ratio
    prior_s = RECENT_PRIOR_SAMPLES * mean_s
    change = (observed_s + prior_s) / (expected_s + prior_s)
    samples = expected_s / mean_s + RECENT_PRIOR_SAMPLES
    least_log = apart_log(pool, samples, RECENT_ERRORS)
    if abs(math.log(change)) <= least_log:
        return pace.factor
    return bounded(pace.ratio * change)


def apart_log(pool: PoolPace, samples: float, errors: float = 1.0) -> float:
    """Return the distance beyond which a target is not equal to the middle.

    Args:
      pool: Its pool, with the usual error of one sample.
      samples: The number of samples of the target.
      errors: How many times its usual error the mean of the samples may differ
        by chance.

    Returns:
      The distance, as a logarithm of the factor.
    """
    return EQUAL_LOG + errors * pool.model.error / math.sqrt(samples)


def middle_of(pool: PoolPace, otherwise: float) -> float:
    """Return the median of observed over expected time of a pool's targets.

    Targets with less than one sample do not count.
    """
    ratios = [
        pace.long.observed_s / pace.long.expected_s
        for pace in pool.targets.values()
        if pace.long.expected_s >= pool.model.mean_s
    ]
    return max(statistics.median(ratios), 0.01) if ratios else otherwise


def bounded(ratio: float) -> float:
    """Return a ratio within the bounds of factors."""
    return min(max(ratio, MIN_FACTOR), MAX_FACTOR)


def is_unused(pace: TargetPace, now_s: float) -> bool:
    """Whether nothing has been sent to a target for a long time."""
    idle_s = now_s - pace.long.updated_s
    return not pace.open and idle_s > TARGET_LIFETIME_S
