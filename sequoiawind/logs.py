"""Structured logging of the daemons."""

import atexit
import functools
import logging
import os
from typing import Any, Final, NoReturn

import structlog
from twisted.logger import globalLogBeginner

from sequoiawind import log_pipe
from sequoiawind.options import LogsOptions

# The pipes that lines are written to, for the end of the process.
PIPES: Final[list[log_pipe.LogPipe]] = []


def configure(options: LogsOptions) -> None:
    """Configure structlog to write this process's lines to standard output."""
    level = logging.getLevelNamesMapping()[options.level.upper()]
    # `structlog` expects a text file, but only uses `write` and `flush`.
    pipe: Any = log_pipe.standard_output()
    atexit.register(pipe.flush_at_end)
    PIPES.append(pipe)
    renderer: structlog.typing.Processor
    if options.format == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            log_pipe.LogBudget(count_lost=lambda: pipe.lost),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=pipe),
        cache_logger_on_first_use=True,
    )
    report_failures()


@functools.cache
def report_failures() -> None:
    """Log what Twisted reports, which it writes to standard error otherwise.

    That may block, as this process does not read what it is connected to.
    """
    observer: Any = log_failure
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)


def log_failure(event: dict[str, Any]) -> None:
    """Log an unhandled error that Twisted reports, with its traceback."""
    failure = event.get("log_failure")
    if failure is not None:
        structlog.get_logger().error(
            "unhandled error", log_failure=failure.getTraceback()
        )


def end_process() -> NoReturn:
    """Write the last lines, and end the process at once, with status 0.

    The interpreter frees all objects at its end, which takes some tenths of a
    second, and much longer on a busy machine.
    """
    for pipe in PIPES:
        pipe.flush_at_end()
    os._exit(os.EX_OK)


def get(daemon: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger whose lines carry the daemon's name."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(
        daemon=daemon
    )
    return logger
