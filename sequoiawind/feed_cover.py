"""Lets controllers rest while a relay provides what they would ask for."""

from collections.abc import Callable
from typing import Final

import attrs
from twisted.internet.defer import Deferred

from sequoiawind.ports import Clock, Timer

# Interval at which it is checked whether the relay still provides it, in
# seconds.
CHECK_S: Final = 0.4


@attrs.define(kw_only=True)
class FeedCover:
    """A condition that many controllers wait for with one timer."""

    clock: Clock
    # Whether a relay provides what the controllers need.
    is_given: Callable[[], bool] = attrs.field(default=lambda: False)
    resting: list[Deferred[None]] = attrs.field(factory=list)
    timer: Timer | None = None

    async def wait_until_lost(self) -> None:
        """Wait until the relay no longer provides it."""
        ended: Deferred[None] = Deferred()
        self.resting.append(ended)
        if self.timer is None:
            self.timer = self.clock.callLater(CHECK_S, self.check)
        await ended

    def check(self) -> None:
        """Let the controllers continue if the relay no longer provides it."""
        self.timer = None
        if self.is_given():
            self.timer = self.clock.callLater(CHECK_S, self.check)
            return
        resting, self.resting = self.resting, []
        for ended in resting:
            ended.callback(None)
