"""Log output that is limited in rate and never blocks the process.

If the reader of the log stops reading, or if lines are logged too fast, lines
are left out and counted instead of delaying requests.  Debug and info lines are
left out first, warnings and errors last.
"""

import os
import select
import socket
import stat
import time
from collections.abc import Callable, MutableMapping
from contextlib import suppress
from functools import partial
from typing import Any, Final

import attrs
import structlog

# Sustained rate of lines, and the largest burst after a quiet time.  At about
# 400 bytes a line the sustained rate is 80 KB/s at most.
LINES_PER_S: Final = 200.0
BURST_LINES: Final = 400.0
# Share of the burst that only warnings and errors may use.
RESERVED_SHARE: Final = 0.5
# Unwritten bytes above which further lines are dropped.
MAX_UNWRITTEN_BYTES: Final = 65_536
# Time for which the end of a process waits for the reader, in seconds.
END_FLUSH_S: Final = 0.2
# The lines of a process' life cycle, of which there are few.  They are never
# left out, as a missing one tells that the process was killed.
KEPT_EVENTS: Final = frozenset({"signal received", "drain began", "stopped"})
# The line of a request's end, and the one that names some of those left out.
REQUEST_EVENT: Final = "request"
ENDS_EVENT: Final = "requests ended"
# Requests that the latter names; together they take less than one `request`.
MAX_NAMED_ENDS: Final = 20
# Longest request id in it, as callers choose them.
MAX_ID_CHARACTERS: Final = 40


@attrs.define(kw_only=True)
class LogBudget:
    """Rate limiter of log lines (token bucket); a `structlog` processor.

    It numbers the lines, so that a gap tells of lines that were lost later.
    """

    now: Callable[[], float] = time.monotonic
    # Returns the number of lines that the pipe has dropped so far.
    count_lost: Callable[[], int] = attrs.field(default=lambda: 0)
    # Lines that may be written now; grows with time up to the largest burst.
    available: float = BURST_LINES
    updated_s: float = 0.0
    # Lines left out since the last one that was written.
    left_out: int = 0
    # Ids and verdicts of the requests whose lines are among them.
    ends_left_out: list[str] = attrs.field(factory=list)
    # Lines passed on, and those that the pipe had dropped by the last one.
    lines: int = 0
    lost: int = 0

    def __call__(
        self, logger: object, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass a line on, with the number of lines left out before it.

        Raises:
          structlog.DropEvent: The line exceeds the rate and is left out.
        """
        now_s = self.now()
        gained = (now_s - self.updated_s) * LINES_PER_S
        self.available = min(BURST_LINES, self.available + gained)
        self.updated_s = now_s
        is_common = method in ("debug", "info")
        required = BURST_LINES * RESERVED_SHARE if is_common else 1.0
        is_kept = event.get("event") in KEPT_EVENTS
        if self.available < required and not is_kept:
            event = self.leave_out(event)
        self.available = max(0.0, self.available - 1.0)
        self.note_missing(event)
        return event

    def leave_out(
        self, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Leave a line out; return the line that names the requests left out.

        Each request that was passed on leaves a trace of its end, however many
        there are.

        Raises:
          structlog.DropEvent: There are not enough requests to name yet.
        """
        self.left_out += 1
        if event.get("event") == REQUEST_EVENT:
            request_id = str(event.get("request_id"))[:MAX_ID_CHARACTERS]
            self.ends_left_out.append(f"{request_id} {event.get('verdict')}")
        if len(self.ends_left_out) < MAX_NAMED_ENDS:
            raise structlog.DropEvent
        return {"daemon": event.get("daemon", ""), "event": ENDS_EVENT}

    def note_missing(self, event: MutableMapping[str, Any]) -> None:
        """Number a line, and add what is missing before it."""
        self.lines += 1
        event["line"] = self.lines
        if self.left_out:
            event["lines_left_out"] = self.left_out
            self.left_out = 0
        if self.ends_left_out:
            event["ends_left_out"] = self.ends_left_out
            self.ends_left_out = []
        lost = self.count_lost()
        if lost > self.lost:
            event["lines_lost"] = lost - self.lost
            self.lost = lost


@attrs.define(kw_only=True, eq=False)
class LogPipe:
    """Writes lines to an output that does not block."""

    descriptor: int
    # Writes a part of some bytes; returns its size.
    write_part: Callable[[bytes], int] = attrs.field(
        default=attrs.Factory(
            lambda self: partial(os.write, self.descriptor), takes_self=True
        )
    )
    unwritten: bytes = b""
    # Number of lines dropped.
    lost: int = 0

    def write(self, text: str) -> int:
        """Write a line, and keep the part that the pipe has no room for.

        Returns:
          The number of characters accepted; 0 if the line was dropped.
        """
        if len(self.unwritten) > MAX_UNWRITTEN_BYTES:
            self.flush()
        if len(self.unwritten) > MAX_UNWRITTEN_BYTES:
            self.lost += 1
            return 0
        self.unwritten += text.encode()
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write the unwritten bytes, as far as the pipe has room."""
        try:
            while self.unwritten:
                written = self.write_part(self.unwritten)
                self.unwritten = self.unwritten[written:]
        except BlockingIOError:
            # The pipe is full; the rest is written with a later line.
            return
        except OSError:
            # The pipe is closed; there is no other place to report the error.
            self.lost += 1
            self.unwritten = b""

    def flush_at_end(self) -> None:
        """Write the unwritten bytes, waiting a little for a slow reader."""
        ends_s = time.monotonic() + END_FLUSH_S
        self.flush()
        while self.unwritten and (left_s := ends_s - time.monotonic()) > 0.0:
            select.select([], [self.descriptor], [], left_s)
            self.flush()


def standard_output() -> LogPipe:
    """Return a pipe to standard output that does not block."""
    return output_to(1)


def output_to(descriptor: int) -> LogPipe:
    """Return a pipe to a descriptor that does not block.

    Processes that share a descriptor share whether it blocks, and any of them
    may change that.  So a pipe or a terminal is opened anew, and a socket is
    told with each write.  A file does not block, and keeps its descriptor, with
    which its position is shared.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISSOCK(mode):
        with suppress(OSError):
            connection = socket.socket(fileno=os.dup(descriptor))
            options = socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL
            return LogPipe(
                descriptor=connection.fileno(),
                write_part=lambda data: connection.send(data, options),
            )
    if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
        flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
        with suppress(OSError):
            return LogPipe(
                descriptor=os.open(f"/proc/self/fd/{descriptor}", flags)
            )
    os.set_blocking(descriptor, False)
    return LogPipe(descriptor=descriptor)
