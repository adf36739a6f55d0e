"""When a router that has started can serve requests.

That takes a configuration that keys may be checked by, a target, and the
records of requests that crash targets.  Public routes need no keys, so a router
without the store becomes ready too, after a while.
"""

from collections.abc import Callable
from typing import Final

import attrs
import structlog

from sequoiawind.blackboard import Blackboard
from sequoiawind.fleet import Fleet
from sequoiawind.forward_state import ForwardState
from sequoiawind.freshness import Freshness
from sequoiawind.ports import Clock

Logger = structlog.typing.FilteringBoundLogger

# Time after its start, in seconds, from which a router is ready though nobody
# has confirmed its configuration.
UNCONFIRMED_READY_S: Final = 2.0


@attrs.define(kw_only=True, eq=False)
class Readiness:
    """Calls back once a router can serve requests."""

    board: Blackboard
    fleet: Fleet
    freshness: Freshness
    clock: Clock
    log: Logger
    # Returns whether it is known which requests crash targets.
    knows_crashes: Callable[[], bool]
    # When the controllers were started, in seconds of the clock.
    started_s: float = 0.0
    # Called once a request can be served; None afterwards.
    on_prepared: Callable[[], None] | None = None

    def start(self, on_prepared: Callable[[], None]) -> None:
        """Note the start; call back once a request can be served."""
        self.on_prepared = on_prepared
        self.started_s = self.clock.seconds()
        self.clock.callLater(UNCONFIRMED_READY_S, self.check)

    @property
    def age_s(self) -> float:
        """Time since the start, in seconds."""
        return self.clock.seconds() - self.started_s

    def check(self) -> None:
        """Call back if a request can be served now."""
        if self.on_prepared is None or not self.fleet.views:
            return
        if not isinstance(self.board.state, ForwardState):
            return
        is_prepared = self.freshness.may_trust_keys and self.knows_crashes()
        if is_prepared or self.age_s >= UNCONFIRMED_READY_S:
            self.on_prepared()
            self.on_prepared = None
            self.log.info("ready", revision=self.board.state.revision)
