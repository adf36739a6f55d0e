"""Controllers that outlive their own faults.

A fault of one step is logged with its traceback and the next step is taken,
so that a message nobody foresaw does not end a process's view of the others.
"""

import traceback
from collections.abc import Awaitable, Callable
from typing import Final

import structlog

from sequoiawind import timing
from sequoiawind.ports import Clock

Logger = structlog.typing.FilteringBoundLogger

# Pause after a fault, in seconds, so that one that stays does not fill the log.
FAULT_PAUSE_S: Final = 0.5


async def repeat(
    step: Callable[[], Awaitable[bool]], name: str, clock: Clock, log: Logger
) -> None:
    """Take a controller's steps for as long as they return True."""
    while True:
        try:
            if not await step():
                return
        except Exception:
            # Whatever it was, the controller's next step starts afresh.
            log.error(
                "controller step failed",
                controller=name,
                traceback=traceback.format_exc(limit=-4),
            )
            await timing.sleep(clock, FAULT_PAUSE_S)
