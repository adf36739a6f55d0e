"""Keeps controllers running after exceptions.

An exception in one step is logged with its traceback and the next step is run,
so that one unexpected message does not stop the controller that keeps a
process's view of the others current.
"""

import traceback
from collections.abc import Awaitable, Callable
from typing import Final

import structlog

from sequoiawind import timing
from sequoiawind.ports import Clock

Logger = structlog.typing.FilteringBoundLogger

# Pause after an exception, in seconds, so that a persistent fault does not fill
# the log.
FAULT_PAUSE_S: Final = 0.5


async def repeat(
    step: Callable[[], Awaitable[bool]], name: str, clock: Clock, log: Logger
) -> None:
    """Run a controller's steps until one returns False."""
    while True:
        try:
            if not await step():
                return
        except Exception:
            # Whatever the exception was, the next step starts anew.
            log.error(
                "controller step failed",
                controller=name,
                traceback=traceback.format_exc(limit=-4),
            )
            await timing.sleep(clock, FAULT_PAUSE_S)
