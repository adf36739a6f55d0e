"""Estimates of how soon a target answers."""

import math

import attrs


@attrs.frozen(kw_only=True)
class Estimate:
    """How long a request is expected to wait at one target."""

    # Until the first event or the whole plain answer, in seconds.
    expected_s: float
    # Factor by which such estimates are usually wrong; 1.0 if exact, infinite
    # before there are any samples.
    error_factor: float = 1.0

    @property
    def is_known(self) -> bool:
        """Whether the estimate is more than an assumption."""
        return math.isfinite(self.error_factor)
