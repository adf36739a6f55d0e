"""Log lines of a daemon's signals and of the steps of its shutdown.

A process that is killed writes nothing at its end.  Its last lines name what
was open at the signal and when the drain began, so what is cut is known.
"""

import enum
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
import structlog

from sequoiawind.lifecycle import Phase

Logger = structlog.typing.FilteringBoundLogger

# Number of requests that one line names, and all lines of one step.
NAMES_PER_LINE: Final = 10
MAX_NAMED_REQUESTS: Final = 100


class Step(enum.Enum):
    """A step at which a daemon writes what is open."""

    SIGHUP = "SIGHUP"
    SIGTERM = "SIGTERM"
    SIGINT = "SIGINT"
    DRAIN = "drain"
    END = "end"


SIGNALS: Final = frozenset({Step.SIGHUP, Step.SIGTERM, Step.SIGINT})
# Steps at which the open requests are named.
NAMING_STEPS: Final = frozenset({Step.SIGTERM, Step.SIGINT, Step.DRAIN})


@attrs.frozen(kw_only=True)
class OpenRequest:
    """A request that has no whole answer yet."""

    request_id: str
    # Name of the target to which it was sent last; empty for none.
    target: str = ""
    # What is being done with it: waiting, sent or answering.
    phase: str = ""
    # Id of the last event that was sent to its caller; None before the first.
    last_event: int | None = None


@attrs.frozen(kw_only=True)
class OpenWork:
    """What is open in a process."""

    requests: Sequence[OpenRequest] = ()
    # Number of requests that have arrived in part.
    unread_requests: int = 0
    # Number of connections of callers, and of those that are being closed.
    connections: int = 0
    closing: int = 0
    # Written bytes that the callers' systems have not taken.
    untaken_bytes: int = 0


@attrs.define(kw_only=True, eq=False)
class StopNotes:
    """Writes the lines of one daemon's shutdown."""

    log: Logger
    phase: Phase
    open_work: Callable[[], OpenWork] = OpenWork
    # What was open when the process stopped its event loop.
    at_end: OpenWork = attrs.field(factory=OpenWork)

    def note(self, step: Step) -> None:
        """Log a step, with what is open."""
        work = self.open_work()
        if step is Step.END:
            # The event loop ends all connections before `stopped` is logged.
            self.at_end = work
            return
        if step in SIGNALS:
            self.log.info(
                "signal received", signal=step.value, **self.fields(work)
            )
        else:
            self.log.info("drain began", **self.fields(work))
        if step in NAMING_STEPS:
            self.name_requests(work.requests, step)

    def stopped(self) -> None:
        """Log that the process has ended by itself, and what was open."""
        self.log.info("stopped", **self.fields(self.at_end))

    def fields(self, work: OpenWork) -> dict[str, Any]:
        """Return what each line tells of the process and what is open."""
        return {
            "phase": self.phase.stage,
            "since_signal_s": round(self.phase.since_signal_s(), 3),
            "open_requests": len(work.requests),
            "unread_requests": work.unread_requests,
            "connections": work.connections,
            "closing": work.closing,
            "untaken_bytes": work.untaken_bytes,
        }

    def name_requests(self, requests: Sequence[OpenRequest], at: Step) -> None:
        """Name the open requests, as far as some lines hold them."""
        for begin in range(
            0, min(len(requests), MAX_NAMED_REQUESTS), NAMES_PER_LINE
        ):
            part = requests[begin : begin + NAMES_PER_LINE]
            self.log.warning(
                "requests open",
                at=at.value,
                request_ids=[item.request_id for item in part],
                targets=[item.target for item in part],
                request_phases=[item.phase for item in part],
                last_events=[item.last_event for item in part],
                since_signal_s=round(self.phase.since_signal_s(), 3),
            )
