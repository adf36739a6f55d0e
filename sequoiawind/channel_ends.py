"""How connections of the OpenAI interface end, and what they carried then."""

from typing import Any, Final

import attrs
from twisted.internet import error
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import sockets
from sequoiawind.connection_ends import Cause, ConnectionEnd, RequestPhase
from sequoiawind.headers import Headers

# Name under which the id that the router uses is passed on with an end.
REQUEST_ID: Final = b"x-request-id"


@attrs.define(kw_only=True, eq=False)
class ChannelLife:
    """Reports how one connection ends, once."""

    # The `http_server.BoundedChannel`.
    channel: Any
    is_reported: bool = False

    def lost(self, failure: TwistedFailure) -> None:
        """Report a connection that the caller has ended."""
        is_clean = failure.check(error.ConnectionDone) is not None
        detail = "closed" if is_clean else failure.getErrorMessage()[:100]
        self.ended(Cause.CALLER_LEFT, detail)

    def ended(self, cause: Cause, detail: str = "") -> None:
        """Report the end, unless it was reported."""
        if self.is_reported:
            return
        self.is_reported = True
        channel = self.channel
        requests = channel.requests
        request = requests[-1] if requests else None
        # `twisted.web` wraps the transport of a channel.
        transport = getattr(channel.transport, "_transport", channel.transport)
        untaken_bytes = sockets.untaken_bytes(transport)
        phase = phase_of(request)
        if request is None and untaken_bytes:
            phase = RequestPhase.ANSWERED
        request_id = channel.last_request_id.encode("latin-1", "replace")
        peer = channel.transport.getPeer()
        channel.site.on_end(
            ConnectionEnd(
                cause=cause,
                detail=detail,
                peer=f"{peer.host}:{peer.port}",
                request_phase=phase,
                headers=[(REQUEST_ID, request_id)] if request_id else [],
                read_bytes=request.body_bytes if request is not None else 0,
                written_bytes=request.sentLength if request is not None else 0,
                untaken_bytes=untaken_bytes,
            )
        )


def phase_of(request: Any) -> RequestPhase:
    """Return what is being done with a connection's current request."""
    if request is None:
        return RequestPhase.NONE
    if not request.is_whole:
        has_head = request.has_head
        return (
            RequestPhase.READING_BODY if has_head else RequestPhase.READING_HEAD
        )
    has_begun = bool(request.startedWriting)
    return RequestPhase.ANSWERING if has_begun else RequestPhase.WAITING


def request_id(headers: Headers) -> str:
    """Return the request id that an end carries; empty if it has none."""
    return dict(headers).get(REQUEST_ID, b"").decode("latin-1")
