"""Expected and observed time of requests, with less weight for older ones."""

import math

import attrs


@attrs.define(kw_only=True)
class Seconds:
    """Expected and observed time of samples; both lose weight with age."""

    # Time in which the weight of a sample falls to 1/e, in seconds.
    time_s: float
    expected_s: float = 0.0
    observed_s: float = 0.0
    updated_s: float = 0.0

    def add(self, expected_s: float, observed_s: float, now_s: float) -> None:
        """Add a sample."""
        kept = self.kept(now_s)
        self.expected_s = kept * self.expected_s + expected_s
        self.observed_s = kept * self.observed_s + observed_s
        self.updated_s = now_s

    def kept(self, now_s: float) -> float:
        """Return the weight that the sums have left."""
        return math.exp(min(0.0, self.updated_s - now_s) / self.time_s)

    def at(self, now_s: float) -> tuple[float, float]:
        """Return the expected and the observed seconds."""
        kept = self.kept(now_s)
        return kept * self.expected_s, kept * self.observed_s
