"""How old the configuration of a process may be.

Revoked keys must stop working within a bound, even at a process that has lost
the store without noticing, or that was suspended.  So the age is measured from
when the last request that the store answered was *sent*, on a clock that keeps
running while the VM is suspended.
"""

import time
from collections.abc import Callable
from typing import Final

import attrs

# Share of the revocation bound up to which a key is trusted; the rest is for
# the time between the check and the request's arrival at its target.
TRUSTED_SHARE: Final = 0.85


def suspended_clock_s() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define(kw_only=True)
class Freshness:
    """Tracks when the configuration was last known to be current."""

    # Time after which a revoked key must no longer work, in seconds.
    revoke_s: float
    # Time within which a change must be in force, in seconds.
    in_force_s: float
    now: Callable[[], float] = suspended_clock_s
    # Latest time, by `now`, as of which the configuration is known to have been
    # current; None before the first confirmation.
    current_as_of_s: float | None = None

    def confirmed(self, request_time_s: float) -> None:
        """Record that a request sent at `request_time_s` was answered."""
        if (
            self.current_as_of_s is None
            or request_time_s > self.current_as_of_s
        ):
            self.current_as_of_s = request_time_s

    @property
    def age_s(self) -> float:
        """The configuration's maximum possible age, in seconds."""
        if self.current_as_of_s is None:
            return float("inf")
        return self.now() - self.current_as_of_s

    @property
    def may_trust_keys(self) -> bool:
        """Whether no known key can be revoked for longer than allowed."""
        return self.age_s < self.revoke_s * TRUSTED_SHARE

    @property
    def may_deny(self) -> bool:
        """Whether an unknown route or key may be refused as not configured.

        False if an entry that must be in force by now may be missing.
        """
        return self.age_s < self.in_force_s
