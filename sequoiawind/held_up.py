"""Tells when the event loop of a process has been held up, and by what.

While it is held up, a process neither passes anything on nor handles a signal.
If that lasts until the process is killed, no line of its log tells of it, so a
stop that does not end has the call stacks written shortly before SIGKILL.
"""

import faulthandler
import math
from typing import Final

import attrs
import structlog

from sequoiawind.ports import Clock

Logger = structlog.typing.FilteringBoundLogger

# Interval of the checks, and the delay of one from which it is logged, in
# seconds.
CHECK_S: Final = 1.0
LOGGED_DELAY_S: Final = 0.5
# File descriptor to which the call stacks are written.
STANDARD_ERROR: Final = 2


@attrs.define(kw_only=True)
class HeldUpWatch:
    """Logs delays of the event loop."""

    clock: Clock
    log: Logger
    # When the next check is due, in seconds of the clock.
    due_s: float = 0.0

    def start(self) -> None:
        """Make the first check after the interval."""
        self.due_s = self.clock.seconds() + CHECK_S
        self.clock.callLater(CHECK_S, self.check)

    def check(self) -> None:
        """Log how late this check is, if it is, and make the next one."""
        held_up_s = self.clock.seconds() - self.due_s
        if held_up_s >= LOGGED_DELAY_S:
            self.log.warning(
                "event loop held up", held_up_s=round(held_up_s, 3)
            )
        self.start()


def write_stacks_after(delay_s: float) -> None:
    """Write the call stacks to standard error after a delay.

    A thread of the interpreter writes them, also while the event loop is held
    up.

    Args:
      delay_s: The delay in seconds; infinite for never.
    """
    if math.isfinite(delay_s) and delay_s > 0.0:
        faulthandler.dump_traceback_later(delay_s, file=STANDARD_ERROR)


def write_no_stacks() -> None:
    """Write no call stacks after all, as the process has ended its work."""
    faulthandler.cancel_dump_traceback_later()
