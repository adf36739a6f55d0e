"""Sums whose addends lose weight with age."""

import math

import attrs


@attrs.define(kw_only=True)
class DecayedSum:
    """A sum that falls by a factor of e in each time constant."""

    time_constant_s: float
    total: float = 0.0
    at_s: float = 0.0

    def value(self, now_s: float) -> float:
        """Return the sum at a time, in seconds of the clock."""
        age_s = max(0.0, now_s - self.at_s)
        return self.total * math.exp(-age_s / self.time_constant_s)

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at a time, in seconds of the clock."""
        self.total = self.value(now_s) + amount
        self.at_s = max(self.at_s, now_s)


@attrs.define(kw_only=True)
class DecayedMean:
    """A mean in which recent values count more."""

    time_constant_s: float
    # Weight of a value of 0 that is always counted, in samples.
    prior: float = 0.0
    values: DecayedSum = attrs.field(init=False)
    weights: DecayedSum = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without values."""
        self.values = DecayedSum(time_constant_s=self.time_constant_s)
        self.weights = DecayedSum(time_constant_s=self.time_constant_s)

    def add(self, value: float, now_s: float, weight: float = 1.0) -> None:
        """Count a value at a time, in seconds of the clock."""
        self.values.add(value * weight, now_s)
        self.weights.add(weight, now_s)

    def value(self, now_s: float) -> float:
        """Return the mean at a time; 0.0 before the first value."""
        weight = self.weights.value(now_s) + self.prior
        return self.values.value(now_s) / weight if weight > 0.0 else 0.0
