"""When callers whose requests were refused are told to come back.

Callers that are all told the same time make a second peak.  So the times that
a router gives out are apart from each other, by the work that it admits, and
partly random.  A request is known again by its signature (account, route and
body) when it comes back to the same router; other routers do not know it.
"""

import random
from collections import OrderedDict
from typing import Final

import attrs

from sequoiawind.load.decay import DecayedSum

# Time constant of the admitted work, in seconds.
ADMITTED_TIME_S: Final = 2.0
# Part of the admitted work that returning requests may take.
RETURN_SHARE: Final = 0.25
# Largest random addition to the time, as a part of it.
RANDOM_SHARE: Final = 0.5
# Part of the time left to a request that callers wait at most.
WAIT_SHARE: Final = 1.0 / 3.0
# Shortest time that is given, in seconds: the time constant in which a change
# of the estimates shows.
MIN_RETRY_S: Final = 0.1
# How early a request may come back and still be known, in seconds.
EARLY_S: Final = 0.05
# Signatures that are kept.
MAX_SIGNATURES: Final = 2_048


@attrs.define(kw_only=True)
class ReturnTimes:
    """The times at which refused requests are expected back at one pool."""

    random: random.Random
    admitted: DecayedSum = attrs.field(
        factory=lambda: DecayedSum(time_constant_s=ADMITTED_TIME_S)
    )
    # The first time that has not been given out, in seconds of the clock.
    next_s: float = 0.0
    # For each expected signature, from when until when it is known.
    expected: OrderedDict[str, tuple[float, float]] = attrs.field(
        factory=OrderedDict
    )

    def give(
        self,
        signature: str,
        work: float,
        backlog_s: float,
        left_s: float,
        now_s: float,
    ) -> float:
        """Return the Retry-After of a refused request, in seconds.

        Args:
          signature: The request's signature; empty if unknown.
          work: Its cost.
          backlog_s: Until the backlog has fallen to the objective, in seconds.
          left_s: Until its deadline, in seconds.
          now_s: The time, in seconds of the clock.
        """
        most_s = WAIT_SHARE * left_s
        wait_s = max(MIN_RETRY_S, backlog_s, self.next_s - now_s)
        longest_s = wait_s * (1.0 + RANDOM_SHARE)
        if wait_s > most_s:
            # The caller does not wait for it, so no time is reserved.
            return self.random.uniform(wait_s, longest_s)
        rate_per_s = self.admitted.value(now_s) / ADMITTED_TIME_S
        if rate_per_s > 0.0:
            apart_s = work / (RETURN_SHARE * rate_per_s)
            self.next_s = max(self.next_s, now_s + wait_s) + apart_s
        given_s = self.random.uniform(wait_s, min(longest_s, most_s))
        if signature:
            due_s = now_s + given_s - EARLY_S
            self.expected.pop(signature, None)
            self.expected[signature] = (due_s, now_s + left_s)
            while len(self.expected) > MAX_SIGNATURES:
                self.expected.popitem(last=False)
        return given_s

    def is_expected(self, signature: str, now_s: float) -> bool:
        """Whether a request came back when it was told to; forgets it."""
        times = self.expected.pop(signature, None)
        return times is not None and times[0] <= now_s <= times[1]
