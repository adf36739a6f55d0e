"""HTTP clients of the daemons: JSON calls and streamed attempts.

A call that fails before its connection is open is known not to have run; a
call that fails later may have run.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

import attrs
import treq
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet import defer, error
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.interfaces import (
    IProtocolFactory,
    IStreamClientEndpoint,
)
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import URI, HTTPConnectionPool
from twisted.web.client import Agent as WebAgent
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from sequoiawind import defaults, messages, sockets, sse, timing, wire
from sequoiawind.event_loop import reactor
from sequoiawind.http_server import SECRET_HEADER
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run

T = TypeVar("T")

POOL_SIZE: Final = 64
CONNECT_TIMEOUT_S: Final = 1.0
# Idle time for which a connection is kept: well below that after which servers
# close theirs, so that no call meets a connection that is being closed.
KEEP_IDLE_S: Final = int(defaults.IDLE_TIMEOUT_S / 3)
# Largest event: one with a whole body in Base64, which adds a third.
MAX_EVENT_BYTES: Final = defaults.MAX_HELD_BODY_BYTES * 3 // 2

# Lowest status of an answer; Twisted also takes lower ones.
LEAST_STATUS: Final = 200
# Errors raised before a connection was open, so before anything was sent.
NOT_SENT: Final = (
    error.ConnectError,
    error.DNSLookupError,
    error.ConnectionRefusedError,
)


def make_client() -> HTTPClient:
    """Return a client with a pool of persistent connections.

    The client never retries a request itself; its users decide whether a
    retry is safe.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = POOL_SIZE
    pool.retryAutomatically = False
    pool.cachedConnectionTimeout = KEEP_IDLE_S
    web_agent: Any = WebAgent.usingEndpointFactory(
        reactor, PeerEndpoints(), pool=pool
    )
    return HTTPClient(web_agent)


@implementer(IAgentEndpointFactory)
class PeerEndpoints:
    """Makes the endpoints of a client."""

    def endpointForURI(self, uri: URI) -> "PeerEndpoint":  # noqa: N802
        """Return the endpoint of the host and port in a URL."""
        return PeerEndpoint(
            inner=HostnameEndpoint(
                reactor, uri.host, uri.port, timeout=CONNECT_TIMEOUT_S
            )
        )


@implementer(IStreamClientEndpoint)
@attrs.frozen(kw_only=True)
class PeerEndpoint:
    """Connects to another daemon; a dead connection is noticed and ends."""

    inner: HostnameEndpoint

    def connect(self, factory: IProtocolFactory) -> Deferred[Any]:
        """Connect, and set the options of the connection's socket."""
        return self.inner.connect(factory).addCallback(configured)


def configured(protocol: Any) -> Any:
    """Set the options of a protocol's socket; return the protocol."""
    sockets.configure(protocol.transport)
    return protocol


@attrs.define(kw_only=True)
class JsonClient:
    """Makes calls between processes, with JSON bodies."""

    client: HTTPClient
    secret: str = ""
    # Applies to the response's head and again to its body, in seconds.
    timeout_s: float = defaults.PEER_TIMEOUT_S

    async def call(
        self, method: str, url: str, kind: type[T], body: object = None
    ) -> Result[T, Failure]:
        """Make a call and decode its answer.

        Args:
          method: The HTTP method.
          url: The URL to call.
          kind: The class of the answer.
          body: The message to send; None for no body.

        Returns:
          The answer, or the failure.
        """
        data = b"" if body is None else wire.encode(body)
        headers = Headers({SECRET_HEADER: [self.secret]})
        try:
            sent = self.client.request(method, url, data=data, headers=headers)
        except ValueError as problem:
            # The URL is invalid, so nothing was sent.
            return Error(not_run(Reason.CONNECT_FAILED, str(problem)))
        try:
            response = await timing.with_timeout(sent, self.timeout_s, reactor)
            reading = treq.content(response)
            content = await timing.with_timeout(
                reading, self.timeout_s, reactor
            )
        except NOT_SENT as problem:
            return Error(not_run(Reason.CONNECT_FAILED, str(problem)))
        except Exception as problem:
            # Whatever the error, the other side may have processed the call.
            return Error(may_have_run(Reason.CONNECTION_LOST, repr(problem)))
        if not LEAST_STATUS <= response.code < 400:
            return Error(error_of(response.code, content))
        try:
            return Ok(wire.decode(content, kind))
        except wire.WireError as problem:
            return Error(may_have_run(Reason.TARGET_ERROR, str(problem)))


def error_of(status: int, content: bytes) -> Failure:
    """Return the failure in an error reply, or else one with its text."""
    try:
        return wire.decode(content, Failure)
    except wire.WireError:
        text = content[:200].decode("utf-8", "replace")
        return may_have_run(Reason.TARGET_ERROR, f"status {status}: {text}")


class StreamReceiver(Protocol):
    """Passes the body of a response to a callback as it arrives."""

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_lost: Callable[[], None],
    ) -> None:
        """Store the callbacks for data and for the end of the body."""
        self.on_data = on_data
        self.on_lost = on_lost

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data to the callback."""
        self.on_data(data)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        """Report the end of the body or the loss of the connection."""
        self.on_lost()

    def abort(self) -> None:
        """Close the connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


@attrs.define(kw_only=True, eq=False)
class EventCall:
    """A request whose answer is a stream of server-sent events.

    Exactly one of `on_refused` and `on_lost` is called at the end, unless
    the call was cancelled.
    """

    client: HTTPClient
    url: str
    body: bytes
    headers: Mapping[str, str]
    on_event: Callable[[sse.Event], None]
    # Called with the failure of a request that got no event stream.
    on_refused: Callable[[Failure], None]
    # Called when the stream has ended.
    on_lost: Callable[[], None]
    # Called with the response's headers, before the first event.
    on_headers: Callable[[Any], None] = attrs.field(
        default=lambda headers: None
    )
    reader: sse.EventReader = attrs.field(
        factory=lambda: sse.EventReader(max_bytes=MAX_EVENT_BYTES)
    )
    request: Deferred[Any] | None = None
    receiver: StreamReceiver | None = None
    is_over: bool = False

    def start(self) -> None:
        """Send the request."""
        headers = {name: [value] for name, value in self.headers.items()}
        try:
            self.request = self.client.request(
                "POST",
                self.url,
                data=self.body,
                headers=Headers(headers),
                unbuffered=True,
            )
        except ValueError as problem:
            # The URL is invalid, so nothing was sent.
            self.end(not_run(Reason.CONNECT_FAILED, str(problem)))
            return
        self.request.addCallbacks(self.answered, self.failed)

    def answered(self, response: Any) -> None:
        """Handle the response's status and headers."""
        if self.is_over:
            response.deliverBody(Protocol())
            return
        if response.code != 200:
            Deferred.fromCoroutine(self.refused(response))
            return
        self.on_headers(response.headers)
        self.receiver = StreamReceiver(self.received, self.lost)
        response.deliverBody(self.receiver)

    async def refused(self, response: Any) -> None:
        """End the call with the failure in an error reply."""
        reading = timing.with_timeout(
            treq.content(response), defaults.PEER_TIMEOUT_S, reactor
        )
        try:
            content = await reading
        except Exception as problem:
            # Whatever the error, the status shows that the call has failed.
            content = repr(problem).encode()
        self.end(error_of(response.code, content))

    def failed(self, failure: TwistedFailure) -> None:
        """Handle a request that got no response."""
        if failure.check(*NOT_SENT):
            text = messages.CONNECT_FAILED
            self.end(not_run(Reason.CONNECT_FAILED, text))
        elif not failure.check(defer.CancelledError):
            text = messages.CONNECTION_LOST
            self.end(may_have_run(Reason.CONNECTION_LOST, text))

    def end(self, failure: Failure) -> None:
        """End the call with a failure."""
        if not self.is_over:
            self.is_over = True
            self.on_refused(failure)

    def received(self, data: bytes) -> None:
        """Parse received bytes and report the events in them."""
        try:
            for event in self.reader.feed(data):
                if self.is_over:
                    return
                self.on_event(event)
        except (sse.SseError, wire.WireError) as problem:
            self.cancel()
            self.on_refused(may_have_run(Reason.TARGET_ERROR, str(problem)))

    def lost(self) -> None:
        """Report the end of the stream."""
        if not self.is_over:
            self.is_over = True
            self.on_lost()

    def cancel(self) -> None:
        """Close the connection; no callback is called afterwards."""
        self.is_over = True
        if self.receiver is not None:
            self.receiver.abort()
        elif self.request is not None:
            self.request.cancel()
