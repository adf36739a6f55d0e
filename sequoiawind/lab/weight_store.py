"""A simulated weight store with limited throughput: a stand-in for tests.

Up to `free_loads` concurrent loads run at full speed.  A load that starts
while more are in progress takes longer, in proportion to their number.
"""

from typing import Protocol

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import timing
from sequoiawind.ports import Clock


class WeightSource(Protocol):
    """A source from which an engine loads weights."""

    def load(self, load_time_s: float) -> Deferred[None]:
        """Load weights; the Deferred fires when they are loaded."""


@attrs.define(kw_only=True)
class WeightStore:
    """The simulated store, shared by all engines of a deployment."""

    clock: Clock
    # Number of concurrent loads that do not slow each other.
    free_loads: int = 2
    # Number of loads in progress.
    loads: int = 0

    def load(self, load_time_s: float) -> Deferred[None]:
        """Load weights; the Deferred fires when they are loaded.

        Args:
          load_time_s: How long the load takes at full speed, in seconds.
        """
        self.loads += 1
        slowed_s = load_time_s * max(1.0, self.loads / self.free_loads)
        return timing.sleep(self.clock, slowed_s).addCallback(self.end_load)

    def end_load(self, loaded: None) -> None:
        """Count a load as finished."""
        self.loads -= 1
