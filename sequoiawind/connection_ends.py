"""How the connections of callers end, and what they carried then."""

import enum
from typing import TYPE_CHECKING, Final

import attrs
import h11
from twisted.internet import error
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import sockets
from sequoiawind.caller_output import StalledCaller
from sequoiawind.headers import Headers
from sequoiawind.staged_close import CloseEnd, CloseOutcome
from sequoiawind.verdict import Reason

if TYPE_CHECKING:
    from sequoiawind.http1_server import CallerConnection
    from sequoiawind.http_request import HttpRequest


class Cause(enum.Enum):
    """Why a connection ended, or what was lost while it was being closed."""

    # A request that was not read to its end was refused.
    REFUSED = "refused"
    # The last answer has announced the close.
    ANSWERED = "answered"
    # An answer was broken off.
    BROKEN_OFF = "broken_off"
    # The parser takes no further request.
    NOT_REUSABLE = "not_reusable"
    IDLE = "idle"
    DRAIN = "drain"
    DESCRIPTORS = "descriptors"
    # The caller took nothing of what was held for it.
    STALLED = "stalled"
    # The caller closed or reset it, or was found to be unreachable.
    CALLER_LEFT = "caller_left"
    # A fault of ours in its handler.
    FAULT = "fault"
    # The event loop ended it, as the process ends.
    PROCESS_END = "process_end"
    # While it was being closed: bytes arrived, as of a further request; it was
    # ended at a bound; the caller stopped to take the answer; it was reset.
    DISCARDED = "discarded"
    AT_BOUND = "at_bound"
    UNTAKEN = "untaken"
    RESET = "reset"


class RequestPhase(enum.Enum):
    """What was being done with the request on a connection."""

    # No request is on the connection.
    NONE = "none"
    READING_HEAD = "reading_head"
    READING_BODY = "reading_body"
    WAITING = "waiting"
    SENT = "sent"
    ANSWERING = "answering"
    # The answer is complete, but not all of it has been taken.
    ANSWERED = "answered"


# Longest text of an error in an end.
MAX_DETAIL_CHARACTERS: Final = 100
# Causes that follow another end of the same connection.
CLOSE_CAUSES: Final = {
    CloseOutcome.BYTES: Cause.AT_BOUND,
    CloseOutcome.TIME: Cause.AT_BOUND,
    CloseOutcome.UNTAKEN: Cause.UNTAKEN,
    CloseOutcome.RESET: Cause.RESET,
}


@attrs.frozen(kw_only=True)
class ConnectionEnd:
    """The end of a connection, with what it carried."""

    cause: Cause
    # More on the cause; for a refusal, its reason.
    detail: str
    # Address of the caller, as host:port.
    peer: str
    request_phase: RequestPhase
    # Headers of the request, as far as they were read.
    headers: Headers
    # Bytes of the request that were read, and of its answer that were written.
    read_bytes: int
    written_bytes: int
    # Written bytes that the caller's system has not taken.
    untaken_bytes: int
    # Bytes that arrived while the connection was being closed.
    discarded_bytes: int = 0


def ignore_end(end: ConnectionEnd) -> None:
    """Ignore the end of a connection."""


@attrs.define(kw_only=True, eq=False)
class ConnectionLife:
    """Reports how one connection ends: once, and once more for its close."""

    connection: "CallerConnection"
    # Headers of the request that was passed on last; None before the first.
    # The request itself would keep its body in memory beyond its answer.
    request_headers: Headers | None = None
    # Bytes that the connection had read and written before its answer.
    request_bytes: int = 0
    written_before: int = 0
    end: ConnectionEnd | None = None

    def begin(self, request: "HttpRequest") -> None:
        """Note a request that is passed on."""
        self.request_headers = request.headers
        http = self.connection.http
        self.request_bytes = http.request_bytes - http.unparsed_bytes
        self.written_before = self.connection.output.written_bytes

    def refused(self, reason: Reason) -> None:
        """Report a request that was not read to its end and is refused."""
        self.connection.site.on_refusal(reason)
        self.ended(Cause.REFUSED, reason.value)

    def answered(self) -> None:
        """Report a close after an answer."""
        self.ended(Cause.ANSWERED)

    def stalled(self, caller: StalledCaller) -> None:
        """Report a caller that took nothing, maybe during the close."""
        if self.end is not None and self.end.cause is not Cause.BROKEN_OFF:
            self.end = None
        self.ended(Cause.STALLED, untaken_bytes=caller.held_bytes)
        self.connection.site.on_stalled(caller)

    def lost(self, failure: TwistedFailure) -> None:
        """Report a connection that was not closed here."""
        cause, detail = cause_of_loss(failure)
        untaken_bytes = sockets.left_bytes(self.connection.transport)
        self.ended(cause, detail, untaken_bytes)

    def ended(
        self,
        cause: Cause,
        detail: str = "",
        untaken_bytes: int | None = None,
    ) -> None:
        """Report the end, unless it was reported."""
        if self.end is not None:
            return
        connection = self.connection
        if untaken_bytes is None:
            untaken_bytes = sockets.untaken_bytes(connection.transport)
        phase = self.request_phase(untaken_bytes)
        is_reading = phase in (
            RequestPhase.READING_HEAD,
            RequestPhase.READING_BODY,
        )
        peer = connection.transport.getPeer()
        self.end = ConnectionEnd(
            cause=cause,
            detail=detail,
            peer=f"{peer.host}:{peer.port}",
            request_phase=phase,
            headers=self.headers(is_reading),
            read_bytes=connection.http.request_bytes
            if is_reading
            else self.request_bytes,
            written_bytes=0
            if is_reading
            else connection.output.written_bytes - self.written_before,
            untaken_bytes=untaken_bytes,
        )
        connection.site.on_end(self.end)

    def request_phase(self, untaken_bytes: int) -> RequestPhase:
        """Return what is being done with the request now."""
        connection = self.connection
        if connection.is_answering:
            has_begun = connection.http.our_state is h11.SEND_BODY
            return RequestPhase.ANSWERING if has_begun else RequestPhase.WAITING
        if connection.head is not None:
            return RequestPhase.READING_BODY
        if connection.arrived_s is not None or connection.http.unparsed_bytes:
            return RequestPhase.READING_HEAD
        if untaken_bytes and self.request_headers is not None:
            return RequestPhase.ANSWERED
        return RequestPhase.NONE

    def headers(self, is_reading: bool) -> Headers:
        """Return the headers of the request that the end concerns."""
        if is_reading:
            head = self.connection.head
            return list(head.headers) if head is not None else []
        return self.request_headers or []

    def closed(self, close: CloseEnd) -> None:
        """Report what a close in stages has lost, if anything."""
        end = end_of_close(self.end, close)
        if end is not None:
            self.end = end
            self.connection.site.on_end(end)


def cause_of_loss(failure: TwistedFailure) -> tuple[Cause, str]:
    """Return why a connection that was not closed here was lost, and more.

    The event loop also ends a connection whose handler fails.
    """
    if failure.check(error.ConnectionDone) is not None:
        return Cause.CALLER_LEFT, "closed"
    is_closed = failure.check(error.ConnectionClosed) is not None
    detail = failure.getErrorMessage()[:MAX_DETAIL_CHARACTERS]
    return Cause.CALLER_LEFT if is_closed else Cause.FAULT, detail


def end_of_close(
    before: ConnectionEnd | None, close: CloseEnd
) -> ConnectionEnd | None:
    """Return what a close in stages has lost; None if nothing.

    Args:
      before: What was reported when the close began.
      close: How it has ended.
    """
    if before is None or before.cause is Cause.STALLED:
        return None
    cause = CLOSE_CAUSES.get(close.outcome)
    if cause is Cause.RESET and not close.untaken_bytes:
        cause = None
    is_after_answer = before.cause is not Cause.REFUSED
    if cause is None and close.discarded_bytes and is_after_answer:
        cause = Cause.DISCARDED
    if cause is None:
        return None
    phase = before.request_phase
    if close.untaken_bytes:
        phase = RequestPhase.ANSWERED
    elif phase is RequestPhase.ANSWERED:
        phase = RequestPhase.NONE
    return attrs.evolve(
        before,
        cause=cause,
        detail=f"{close.outcome.value} after {before.cause.value}",
        request_phase=phase,
        untaken_bytes=close.untaken_bytes,
        discarded_bytes=close.discarded_bytes,
    )
