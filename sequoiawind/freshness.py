"""How old the configuration of a process may be.

Keys that an operator took away must stop working within a bound, also at a
process that has lost the store without noticing, or that was suspended.  So
age counts from when the last question that the store answered was *sent*, on
a clock that goes on while the machine sleeps.
"""

import time
from collections.abc import Callable
from typing import Final

import attrs

# Part of the revocation bound up to which a key is trusted; the rest is for
# the time between the check and the request's arrival at its target.
TRUSTED_SHARE: Final = 0.85


def suspended_clock_s() -> float:
    """Return the seconds since boot, those of a suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define(kw_only=True)
class Freshness:
    """The time as of which the configuration is known to be current."""

    # Time after which a key that was taken away must not work, in seconds.
    revoke_s: float
    # Time within which a change must be in force, in seconds.
    in_force_s: float
    now: Callable[[], float] = suspended_clock_s
    current_as_of_s: float | None = None

    def confirmed(self, asked_s: float) -> None:
        """Note that the store answered a question sent at a time."""
        if self.current_as_of_s is None or asked_s > self.current_as_of_s:
            self.current_as_of_s = asked_s

    @property
    def age_s(self) -> float:
        """The configuration's greatest possible age, in seconds."""
        if self.current_as_of_s is None:
            return float("inf")
        return self.now() - self.current_as_of_s

    @property
    def may_trust_keys(self) -> bool:
        """Whether a known key is surely not revoked for longer than allowed."""
        return self.age_s < self.revoke_s * TRUSTED_SHARE

    @property
    def may_deny(self) -> bool:
        """Whether an unknown route or key is surely not just being added."""
        return self.age_s < self.in_force_s
