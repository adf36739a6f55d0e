"""How long the targets of a pool take for work, learned from its requests.

The time until the first event of an answer is a fixed part plus one in
proportion to the work.  Both are learned by weighted least squares with
forgetting, so that the model follows a pool whose targets or prompts change.
"""

import math
from typing import Final

import attrs

# Model before the first sample: the fixed part in seconds, and seconds per
# token.
PRIOR_BASE_S: Final = 0.06
PRIOR_TOKEN_S: Final = 50e-6
# Bounds of the learned model: the shortest fixed part, the shortest and
# longest time per token, all in seconds.
MIN_BASE_S: Final = 0.001
MIN_TOKEN_S: Final = 1e-6
MAX_TOKEN_S: Final = 0.01
# Weight of the assumed time per token, in square thousands of tokens: it
# decides where all requests have the same work, as calls to plain services do.
TOKEN_PRIOR: Final = 0.01
# Number of samples over which the model is averaged.
MEMORY_SAMPLES: Final = 300
# Samples without which the model is not used.
LEAST_SAMPLES: Final = 12
# Longest time of a sample relative to the expected one: a single request that
# hangs would otherwise dominate least squares.
OUTLIER: Final = 4.0
# Shortest time by which a sample is weighted, in seconds.
LEAST_WEIGHTED_S: Final = 0.005
# Mean absolute error of an estimate as a logarithm, before the first sample.
PRIOR_ERROR: Final = 0.5
# Number of samples over which the error and the mean time are averaged.
ERROR_SAMPLES: Final = 100
# Unit of work inside the regression, in tokens.
THOUSAND: Final = 1_000.0


@attrs.define(kw_only=True)
class WorkModel:
    """Expected seconds until the first event, as a function of the work."""

    base_s: float = PRIOR_BASE_S
    token_s: float = PRIOR_TOKEN_S
    samples: int = 0
    # Mean expected time of a sample, in seconds.
    mean_s: float = PRIOR_BASE_S
    # Mean absolute logarithm of observed over estimated time.
    error: float = PRIOR_ERROR
    # Weighted sums over the samples: of one, the work, its square, the time,
    # and the work times the time.
    sum_1: float = 0.0
    sum_x: float = 0.0
    sum_xx: float = 0.0
    sum_y: float = 0.0
    sum_xy: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there are enough samples to compare targets by."""
        return self.samples >= LEAST_SAMPLES

    def expected_s(self, work_tokens: float) -> float:
        """Return the expected time for some work, in seconds."""
        return self.base_s + self.token_s * work_tokens

    def add(
        self, work_tokens: float, observed_s: float, estimate_s: float
    ) -> None:
        """Learn from a request.

        Args:
          work_tokens: Its work.
          observed_s: The time until the first event of its answer, in seconds.
          estimate_s: What was estimated for its target, in seconds.
        """
        expected_s = self.expected_s(work_tokens)
        if self.is_known:
            observed_s = min(observed_s, OUTLIER * expected_s)
        self.samples += 1
        step = max(1.0 / self.samples, 1.0 / ERROR_SAMPLES)
        self.mean_s += step * (expected_s - self.mean_s)
        if self.is_known:
            error = abs(math.log(max(observed_s, MIN_BASE_S) / estimate_s))
            self.error += (error - self.error) / ERROR_SAMPLES
        self.fit(work_tokens / THOUSAND, observed_s, expected_s)

    def fit(self, x: float, y: float, expected_s: float) -> None:
        """Update the regression with one sample.

        The deviation of a time grows with the time, so the weight of a sample
        is the inverse square of the expected one.
        """
        weight = max(expected_s, LEAST_WEIGHTED_S) ** -2.0
        kept = 1.0 - 1.0 / MEMORY_SAMPLES
        self.sum_1 = kept * self.sum_1 + weight
        self.sum_x = kept * self.sum_x + weight * x
        self.sum_xx = kept * self.sum_xx + weight * x * x
        self.sum_y = kept * self.sum_y + weight * y
        self.sum_xy = kept * self.sum_xy + weight * x * y
        mean_x, mean_y = self.sum_x / self.sum_1, self.sum_y / self.sum_1
        variance = max(0.0, self.sum_xx / self.sum_1 - mean_x * mean_x)
        covariance = self.sum_xy / self.sum_1 - mean_x * mean_y
        prior = TOKEN_PRIOR * PRIOR_TOKEN_S * THOUSAND
        slope = (covariance + prior) / (variance + TOKEN_PRIOR)
        base_s = mean_y - slope * mean_x
        if base_s < MIN_BASE_S:
            base_s = MIN_BASE_S
            slope = (self.sum_xy - base_s * self.sum_x) / max(
                self.sum_xx, 1e-12
            )
        self.base_s = base_s
        self.token_s = min(max(slope / THOUSAND, MIN_TOKEN_S), MAX_TOKEN_S)
