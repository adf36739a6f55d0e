"""Delays and time-outs on a clock, real or virtual."""

import random
from typing import TypeVar, cast

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from sequoiawind.ports import Clock

T = TypeVar("T")


def sleep(clock: Clock, delay_s: float) -> Deferred[None]:
    """Return a Deferred that fires after a delay in seconds."""
    waiting: Deferred[None] = Deferred(lambda _: timer.cancel())
    timer = clock.callLater(delay_s, waiting.callback, None)
    return waiting


def with_timeout(
    waiting: Deferred[T], timeout_s: float, clock: Clock
) -> Deferred[T]:
    """Set a time-out after which a Deferred is cancelled, and return it.

    Raises:
      twisted.internet.defer.TimeoutError: through the Deferred, on timeout.
    """
    return waiting.addTimeout(timeout_s, cast(IReactorTime, clock))


def jittered(period_s: float, share: float, source: random.Random) -> float:
    """Return a period with uniform jitter of plus or minus a share of it."""
    return period_s * (1.0 + share * (2.0 * source.random() - 1.0))
