"""Log lines that never hold up the process that writes them.

A reader that stops reading, or a storm of lines, costs lines and not requests:
what does not fit is left out and counted.  Lines about requests that went well
go first, warnings and errors last.
"""

import os
import time
from collections.abc import Callable, MutableMapping
from typing import Any, Final

import attrs
import structlog

# Lines a second that are written as a rule, and at once after a quiet time.
# At about 400 bytes a line this is 80 KB/s at most.
LINES_PER_S: Final = 200.0
BURST_LINES: Final = 400.0
# Part of the burst that only warnings and errors may use.
RESERVED_SHARE: Final = 0.5
# Bytes of a line that the reader has not taken yet.
MAX_REST_BYTES: Final = 65_536


@attrs.define(kw_only=True)
class LogBudget:
    """Decides which lines are written; a processor of `structlog`."""

    now: Callable[[], float] = time.monotonic
    available: float = BURST_LINES
    updated_s: float = 0.0
    # Lines left out since the last one that was written.
    left_out: int = 0

    def __call__(
        self, logger: object, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Let a line pass with the count of those left out before it.

        Raises:
          structlog.DropEvent: The line is left out.
        """
        now_s = self.now()
        gained = (now_s - self.updated_s) * LINES_PER_S
        self.available = min(BURST_LINES, self.available + gained)
        self.updated_s = now_s
        is_common = method in ("debug", "info")
        least = BURST_LINES * RESERVED_SHARE if is_common else 1.0
        if self.available < least:
            self.left_out += 1
            raise structlog.DropEvent
        self.available -= 1.0
        if self.left_out:
            event["lines_left_out"] = self.left_out
            self.left_out = 0
        return event


@attrs.define(kw_only=True, eq=False)
class LogPipe:
    """Writes lines to a descriptor without ever waiting for its reader."""

    descriptor: int
    rest: bytes = b""
    # Lines that did not fit.
    lost: int = 0

    def write(self, text: str) -> int:
        """Write a line, or as much of it as the reader has room for."""
        if len(self.rest) > MAX_REST_BYTES:
            self.flush()
        if len(self.rest) > MAX_REST_BYTES:
            self.lost += 1
            return 0
        self.rest += text.encode()
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what is left over."""
        try:
            while self.rest:
                written = os.write(self.descriptor, self.rest)
                self.rest = self.rest[written:]
        except BlockingIOError:
            # The reader is behind; the rest goes out with a later line.
            return
        except OSError:
            # The reader has gone for good, and nobody is left to tell.
            self.lost += 1
            self.rest = b""


def standard_output() -> LogPipe:
    """Return a pipe to the process's standard output."""
    os.set_blocking(1, False)
    return LogPipe(descriptor=1)
