"""How estimates compare with the times that were then observed.

Targets serve urgent requests first, which an estimate from the backlog does
not know: those of urgent requests are too long and those of others too short.
So the mean error of each priority is corrected, and the tolerance follows what
remains.
"""

import math
from typing import Final

import attrs

from sequoiawind.load.decay import DecayedMean

# Time constant of the errors, in seconds.
ERROR_TIME_S: Final = 5.0
# Samples without error that are always counted.
PRIOR: Final = 2.0
# Smallest and greatest factor by which estimates are corrected.
MIN_CORRECTION: Final = 0.2
MAX_CORRECTION: Final = 3.0


def error_mean() -> DecayedMean:
    """Return a mean over the recent samples."""
    return DecayedMean(time_constant_s=ERROR_TIME_S, prior=PRIOR)


@attrs.define(kw_only=True)
class EstimateError:
    """The recent errors of estimates, as logarithms of actual to estimate."""

    mean: DecayedMean = attrs.field(factory=error_mean)
    # Absolute difference from the mean.
    spread: DecayedMean = attrs.field(factory=error_mean)

    def add(self, estimate_s: float, actual_s: float, now_s: float) -> None:
        """Count an estimate, in seconds; ignores times of 0."""
        if estimate_s <= 0.0 or actual_s <= 0.0:
            return
        error = math.log(actual_s / estimate_s)
        self.spread.add(abs(error - self.mean.value(now_s)), now_s)
        self.mean.add(error, now_s)

    def correction(self, now_s: float) -> float:
        """Return the factor that makes estimates right on average."""
        factor = math.exp(self.mean.value(now_s))
        return min(MAX_CORRECTION, max(MIN_CORRECTION, factor))

    def factor(self, now_s: float) -> float:
        """Return the factor by which corrected estimates are usually wrong."""
        return math.exp(self.spread.value(now_s))
