"""Counts and logs the ends of callers' connections."""

from collections.abc import Callable
from typing import Final

import attrs
import structlog
from prometheus_client import Counter

from sequoiawind.blackboard import Blackboard
from sequoiawind.connection_ends import Cause, ConnectionEnd, RequestPhase
from sequoiawind.headers import Headers
from sequoiawind.ports import Clock

Logger = structlog.typing.FilteringBoundLogger

# Ends by the caller's doing, or with an answer; the others are warnings.
USUAL_CAUSES: Final = frozenset(
    {
        Cause.REFUSED,
        Cause.CALLER_LEFT,
        Cause.ANSWERED,
        Cause.DISCARDED,
        Cause.RESET,
    }
)
# Ends that are logged although no request is on the connection.
LOGGED_CAUSES: Final = frozenset({Cause.DISCARDED, Cause.UNTAKEN})
# What the event loop reports when it ends connections, too.
LOST_CAUSES: Final = frozenset({Cause.CALLER_LEFT, Cause.RESET})
# Longest request id in a line.
MAX_ID_CHARACTERS: Final = 80


@attrs.define(kw_only=True)
class EndNotes:
    """The counter and the log lines of the ends of one router's connections."""

    # By cause and by the phase of the request.
    counter: Counter
    log: Logger
    board: Blackboard
    clock: Clock
    # Returns the request id in a request's headers; empty if there is none.
    request_id: Callable[[Headers], str]
    # When the configuration came into force, in seconds of the clock; negative
    # before the first.
    configured_s: float = -1.0

    def configured(self) -> None:
        """Note that a configuration has come into force."""
        self.configured_s = self.clock.seconds()

    @property
    def in_force_for_s(self) -> float:
        """Time since the configuration came into force; -1 before the first."""
        if self.configured_s < 0.0:
            return -1.0
        return round(self.clock.seconds() - self.configured_s, 3)

    @property
    def since_signal_s(self) -> float:
        """Time since the signal to stop, in seconds; -1 without one."""
        return round(self.board.phase.since_signal_s(), 3)

    def note(self, end: ConnectionEnd) -> None:
        """Count an end; log it if it concerns a request."""
        cause, phase = end.cause, end.request_phase
        if cause in LOST_CAUSES and self.board.phase.name == "stopped":
            cause = Cause.PROCESS_END
        request_id = self.request_id(end.headers)[:MAX_ID_CHARACTERS]
        found = self.board.requests.get(request_id) if request_id else None
        targets = found.targets_tried if found is not None else []
        if phase is RequestPhase.WAITING and targets:
            phase = RequestPhase.SENT
        self.counter.labels(cause.value, phase.value).inc()
        if not is_logged(cause, phase):
            return
        write = self.log.info if cause in USUAL_CAUSES else self.log.warning
        write(
            "connection ended",
            cause=cause.value,
            detail=end.detail,
            request_id=request_id,
            targets=targets,
            request_phase=phase.value,
            peer=end.peer,
            read_bytes=end.read_bytes,
            written_bytes=end.written_bytes,
            untaken_bytes=end.untaken_bytes,
            discarded_bytes=end.discarded_bytes,
            phase=self.board.phase.stage,
            since_signal_s=self.since_signal_s,
            revision=self.board.state.revision,
            in_force_for_s=self.in_force_for_s,
        )


def is_logged(cause: Cause, phase: RequestPhase) -> bool:
    """Whether an end gets a line, and is not only counted.

    An answer that is on its way when its connection is closed is usual.
    """
    if cause is Cause.ANSWERED:
        return phase not in (RequestPhase.NONE, RequestPhase.ANSWERED)
    return cause in LOGGED_CAUSES or phase is not RequestPhase.NONE
