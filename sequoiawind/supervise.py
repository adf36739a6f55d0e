"""Keeps controllers running after exceptions.

An exception in one step is logged with its traceback and the next step is run,
so that one unexpected message does not stop the controller that keeps a
process's view of the others current.  The same holds for one of the store's
records among others.
"""

import traceback
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import structlog

from sequoiawind import timing
from sequoiawind.ports import Clock
from sequoiawind.record_ports import KeyedRecord

Logger = structlog.typing.FilteringBoundLogger

# Pause after an exception, in seconds, so that a persistent fault does not fill
# the log.
FAULT_PAUSE_S: Final = 0.5

T = TypeVar("T")


def apply(
    record: KeyedRecord, how: Callable[[KeyedRecord], T], log: Logger
) -> T | None:
    """Apply a record of the store; return None if that failed.

    An exception is logged with its traceback, and the records after it are
    applied all the same.
    """
    try:
        return how(record)
    except Exception:
        # Whatever the exception was, other records do not depend on this one.
        log.error(
            "record not applied",
            key=record.key[:200],
            traceback=traceback.format_exc(limit=-4),
        )
        return None


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
