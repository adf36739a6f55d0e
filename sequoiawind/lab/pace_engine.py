"""An engine of the queue model of target speeds.

It prefills one prompt after the other, slower the more answers it generates.
"""

import random
from collections import deque
from typing import Any, Final

import attrs

# An engine of speed 1: time to prefill a token, fixed time until the first
# event, and time to generate a token, in seconds.
PREFILL_TOKEN_S: Final = 50e-6
FIXED_S: Final = 0.06
GENERATE_TOKEN_S: Final = 0.010
# Share by which each running request slows down the prefills.
RUNNING_SLOWDOWN: Final = 0.02
# Deviation of the tokens that an engine prefills from those expected, as that
# of a logarithm: the routers' model of its cache is inexact.
PREFILL_DEVIATION: Final = 0.15
# Length of slow periods in seconds, the factor of the time in them, and the
# mean time between the beginnings of two of one engine, in seconds.
SLOW_S: Final = 0.6
SLOW_FACTOR: Final = 2.5
SLOW_EVERY_S: Final = 6.0


@attrs.define(kw_only=True, eq=False)
class ModelEngine:
    """An engine that prefills one prompt after the other."""

    name: str
    speed: float
    rng: random.Random
    # Whether the engine has slow periods; the begin of the next or present one
    # in seconds.
    has_slow_periods: bool
    slow_from_s: float = float("inf")
    queue: deque[Any] = attrs.field(factory=deque)
    current: Any | None = None
    running: int = 0
    # Begin and end of each prefill, in seconds.
    busy: list[tuple[float, float]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Draw the first slow period."""
        if self.has_slow_periods:
            self.slow_from_s = self.rng.expovariate(1.0 / SLOW_EVERY_S)

    def prefill_end_s(self, tokens: float, now_s: float) -> float:
        """Return when a prefill that begins now ends, in seconds."""
        slowdown = 1.0 + RUNNING_SLOWDOWN * self.running
        left_s = tokens * PREFILL_TOKEN_S * slowdown / self.speed
        while True:
            while self.slow_from_s + SLOW_S <= now_s:
                pause_s = self.rng.expovariate(1.0 / SLOW_EVERY_S)
                self.slow_from_s += SLOW_S + pause_s
            is_slow = self.slow_from_s <= now_s
            until_s = self.slow_from_s + (SLOW_S if is_slow else 0.0)
            pace = SLOW_FACTOR if is_slow else 1.0
            if now_s + left_s * pace <= until_s:
                return now_s + left_s * pace
            left_s -= (until_s - now_s) / pace
            now_s = until_s

    def utilisation(self, start_s: float, end_s: float) -> float:
        """Return the share of a time span spent on prefills."""
        busy_s = sum(
            max(0.0, min(ended_s, end_s) - max(began_s, start_s))
            for began_s, ended_s in self.busy
        )
        return busy_s / (end_s - start_s)
