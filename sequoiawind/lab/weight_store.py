"""A model of the weight store, whose rate is limited: a stand-in.

Loads beyond the free ones slow each other.
"""

from typing import Protocol

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import timing
from sequoiawind.ports import Clock


class WeightSource(Protocol):
    """Where an engine loads weights from."""

    def load(self, load_time_s: float) -> Deferred[None]:
        """Load weights; fires when they are there."""


@attrs.define(kw_only=True)
class WeightStore:
    """The store; shared by all engines of a deployment."""

    clock: Clock
    # Loads at once that do not slow each other.
    free_loads: int = 2
    loads: int = 0

    def load(self, load_time_s: float) -> Deferred[None]:
        """Load weights that take so many seconds when the store is idle."""
        self.loads += 1
        slowed_s = load_time_s * max(1.0, self.loads / self.free_loads)
        return timing.sleep(self.clock, slowed_s).addCallback(self.ended)

    def ended(self, loaded: None) -> None:
        """Note the end of a load."""
        self.loads -= 1
