"""Lets controllers rest while a relay provides what they would ask for."""

from collections.abc import Callable
from typing import Final

import attrs
from twisted.internet.defer import Deferred

from sequoiawind.ports import Clock, Timer

# Longest and shortest time until it is checked again whether the relay still
# provides it, in seconds.
CHECK_S: Final = 0.4
MIN_CHECK_S: Final = 0.02


@attrs.define(kw_only=True)
class FeedCover:
    """A condition that many controllers wait for with one timer."""

    clock: Clock
    # Returns for how much longer a relay provides what the controllers need,
    # unless it is heard from again, in seconds; not positive if none does.
    left_s: Callable[[], float]
    resting: list[Deferred[None]] = attrs.field(factory=list)
    timer: Timer | None = None

    def is_given(self) -> bool:
        """Whether a relay provides what the controllers need."""
        return self.left_s() > 0.0

    async def wait_until_lost(self) -> None:
        """Wait until the relay no longer provides it."""
        ended: Deferred[None] = Deferred()
        self.resting.append(ended)
        if self.timer is None:
            self.start_timer()
        await ended

    def start_timer(self) -> None:
        """Check again once it may be lost."""
        pause_s = max(MIN_CHECK_S, min(CHECK_S, self.left_s()))
        self.timer = self.clock.callLater(pause_s, self.check)

    def check(self) -> None:
        """Let the controllers continue if the relay no longer provides it."""
        self.timer = None
        if self.is_given():
            self.start_timer()
            return
        resting, self.resting = self.resting, []
        for ended in resting:
            ended.callback(None)
