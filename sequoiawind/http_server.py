"""Common parts of the daemons' HTTP servers.

Bodies, headers and the time to send them are bounded, so that one caller
cannot hold resources that others need.
"""

import hmac
from collections.abc import Callable
from typing import Any, Final

import klein
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web import http, server

from sequoiawind import defaults
from sequoiawind.channel_ends import ChannelLife
from sequoiawind.connection_ends import Cause, ConnectionEnd, ignore_end
from sequoiawind.event_loop import LISTEN_BACKLOG, reactor
from sequoiawind.options import Address
from sequoiawind.staged_close import StagedCloser
from sequoiawind.verdict import HTTP_STATUS, Reason

SECRET_HEADER: Final = "X-Sequoiawind-Secret"
REQUEST_ID_HEADER: Final = "X-Request-Id"
VERDICT_HEADER: Final = "X-Sequoiawind-Verdict"
ATTEMPTS_HEADER: Final = "X-Sequoiawind-Attempts"
CACHED_TOKENS_HEADER: Final = "X-Sequoiawind-Cached-Tokens"
IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
JSON_TYPE: Final = "application/json"
# A status for which `twisted.web` has no name.
HEADER_FIELDS_TOO_LARGE: Final = 431


def refusal(status: int) -> bytes:
    """Return an answer without a body, after which the connection closes."""
    text = http.RESPONSES.get(status, b"refused")
    return (
        b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        % (status, text)
    )


class BoundedRequest(server.Request):
    """A request whose body is bounded in size and time."""

    body_timer: Any = None
    body_bytes: int = 0
    is_refused: bool = False
    # Whether the head, and whether all of the request, has arrived.
    has_head: bool = False
    is_whole: bool = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose announced length is too large."""
        self.has_head = True
        if length is not None and length > defaults.MAX_BODY_BYTES:
            self.refuse_body(Reason.BODY_TOO_LARGE)
            return
        server.Request.gotLength(self, length)
        if length is None or length > 0:
            self.body_timer = reactor.callLater(
                defaults.BODY_TIMEOUT_S,
                self.refuse_body,
                Reason.BODY_TIMEOUT,
            )

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Refuse a body that grows too large."""
        if self.is_refused:
            return
        self.body_bytes += len(data)
        if self.body_bytes > defaults.MAX_BODY_BYTES:
            self.refuse_body(Reason.BODY_TOO_LARGE)
            return
        if self.content is not None:
            server.Request.handleContentChunk(self, data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Process the request once its body has arrived.

        A refused one is not processed, though its end may have arrived together
        with what was too large.
        """
        self.stop_body_timer()
        if self.is_refused:
            return
        self.is_whole = True
        server.Request.requestReceived(self, command, path, version)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Cancel the body timer when the connection is lost."""
        self.stop_body_timer()
        server.Request.connectionLost(self, reason)

    def stop_body_timer(self) -> None:
        """Cancel the body timer if it is running."""
        if self.body_timer is not None and self.body_timer.active():
            self.body_timer.cancel()

    def refuse_body(self, reason: Reason) -> None:
        """Reply with an error without reading the rest, and close."""
        self.stop_body_timer()
        channel: Any = self.channel
        if channel is None or self.is_refused:
            return
        self.is_refused = True
        # The channel would send status 100 after the refusal.
        self.requestHeaders.removeHeader(b"Expect")
        channel.site.on_refusal(reason)
        channel.life.ended(Cause.REFUSED, reason.value)
        channel.transport.write(refusal(HTTP_STATUS[reason]))
        channel.loseConnection()


class BoundedChannel(http.HTTPChannel):
    """A connection that is closed in stages after its last answer."""

    site: Any
    transport: Any
    _networkProducer: Any  # noqa: N815
    # Whether the close has begun; what arrives is then no longer parsed.
    is_closing: bool = False
    # Whether no request was read or answered for too long.
    is_timed_out: bool = False
    # Id of the request that was passed on last; empty for none.
    last_request_id: str = ""
    # Whether the rest of what has arrived is parsed in a later turn.
    is_yielding: bool = False

    def __init__(self) -> None:
        """Set up the channel."""
        http.HTTPChannel.__init__(self)
        self.life = ChannelLife(channel=self)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        """Report a connection that was not closed here."""
        self.life.lost(reason)
        http.HTTPChannel.connectionLost(self, reason)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Refuse bytes that are not a valid request."""
        self.life.ended(Cause.REFUSED, Reason.BAD_REQUEST.value)
        http.HTTPChannel._respondToBadRequestAndDisconnect(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line of a request's head."""
        if not self.is_closing:
            http.HTTPChannel.lineReceived(self, line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a request's body."""
        if not self.is_closing:
            http.HTTPChannel.rawDataReceived(self, data)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a head with a line that is too long."""
        if not self.is_closing:
            self.site.on_refusal(Reason.BAD_REQUEST)
            self.life.ended(Cause.REFUSED, Reason.BAD_REQUEST.value)
            self.transport.write(refusal(HEADER_FIELDS_TOO_LARGE))
            self.loseConnection()

    def requestDone(self, request: http.Request) -> None:  # noqa: N802
        """Handle the next request in a later turn of the event loop.

        A connection may bring thousands of requests that are answered at once.
        """
        self.is_yielding = self.paused = True
        http.HTTPChannel.requestDone(self, request)
        if self.is_closing:
            return
        # What is there is parsed before more is read.
        self._networkProducer.pauseProducing()
        reactor.callLater(0, self.go_on)

    def go_on(self) -> None:
        """Parse the next request, unless the answers are not being taken."""
        if not self.is_yielding or self.is_closing or self._waitingForTransport:
            return
        self.is_yielding = self.paused = False
        self._networkProducer.resumeProducing()
        receive: Any = self.dataReceived
        receive(b"")

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on, as the answers are taken again."""
        http.HTTPChannel.resumeProducing(self)
        self.go_on()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close a connection on which nothing has arrived for too long."""
        self.is_timed_out = True
        self.life.ended(Cause.IDLE)
        http.HTTPChannel.timeoutConnection(self)

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection although the caller may still be sending."""
        if self.is_timed_out:
            http.HTTPChannel.loseConnection(self)
        elif not self.is_closing:
            self.is_closing = True
            self.life.ended(Cause.ANSWERED)
            self.transport.unregisterProducer()
            # Ends the requests and the timers of this class.
            http.HTTPChannel.connectionLost(self, connectionDone)
            self.site.closer.close(self.transport, on_end=self.life.closed)


class BoundedSite(server.Site):
    """A site that reports why it refused a request's body."""

    protocol: Any = BoundedChannel

    def __init__(
        self,
        *args: Any,
        on_refusal: Callable[[Reason], None],
        closer: StagedCloser,
        on_end: Callable[[ConnectionEnd], None] = ignore_end,
        **kwargs: Any,
    ) -> None:
        """Store the callbacks for refused bodies and ends, and the closer."""
        server.Site.__init__(self, *args, **kwargs)
        self.on_refusal = on_refusal
        self.closer = closer
        self.on_end = on_end


def ignore(reason: Reason) -> None:
    """Ignore a refused body."""


def listen(
    app: klein.Klein,
    address: Address,
    on_refusal: Callable[[Reason], None] = ignore,
    closer: StagedCloser | None = None,
    on_end: Callable[[ConnectionEnd], None] = ignore_end,
) -> IListeningPort:
    """Serve an application at an address; port 0 selects a free one.

    Connections are closed with the default bounds if no closer is given.
    """
    site = BoundedSite(
        app.resource(),
        requestFactory=BoundedRequest,
        timeout=defaults.IDLE_TIMEOUT_S,
        on_refusal=on_refusal,
        closer=closer or StagedCloser(clock=reactor),
        on_end=on_end,
    )
    site.displayTracebacks = False
    port: IListeningPort = reactor.listenTCP(
        address.port,
        site,
        backlog=LISTEN_BACKLOG,
        interface=address.host,
    )
    return port


def header(request: server.Request, name: str) -> str:
    """Return a header of a request; empty if it has none."""
    value: str | None = request.getHeader(name)
    return value or ""


def bearer_token(request: server.Request) -> str:
    """Return the bearer token of a request; empty if it has none."""
    scheme, _, token = header(request, "Authorization").partition(" ")
    if scheme.lower() != "bearer":
        return ""
    return token.strip()


def has_secret(request: server.Request, secret: str) -> bool:
    """Whether a request carries the secret of the system's processes."""
    sent = header(request, SECRET_HEADER).encode()
    return hmac.compare_digest(sent, secret.encode())


def body_of(request: server.Request) -> bytes:
    """Return the body of a request."""
    if request.content is None:
        return b""
    data: bytes = request.content.read()
    return data


def json_reply(
    request: server.Request, body: bytes, status: int = http.OK
) -> bytes:
    """Set the headers of a JSON reply and return its body."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", JSON_TYPE)
    return body


def when_finished(request: server.Request) -> Deferred[None]:
    """Return a Deferred that fires when a request is over.

    It fires with None, whether the reply was finished or the peer
    disconnected.
    """
    done: Deferred[None] = request.notifyFinish()
    done.addErrback(lambda failure: None)
    return done
