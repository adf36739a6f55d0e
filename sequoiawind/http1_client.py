"""HTTP/1.1 client for targets; its failures state whether a call may have run.

A request that must not run twice needs to know how far a failed call got and
where exactly its answer ends.  `treq` hides the former and continues to read
past the latter, so `http1_connection` parses and frames.  A call that fails
before its bytes are passed to a connection is known not to have run; a call
that fails later may have run.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import messages
from sequoiawind.caller_output import AnswerFlow
from sequoiawind.headers import Headers
from sequoiawind.http1_connection import TargetConnection
from sequoiawind.options import parse_port
from sequoiawind.verdict import Failure, Reason, not_run

# A handshake inside a region takes milliseconds; the peer's kernel
# retransmits a dropped one only after a second.
CONNECT_TIMEOUT_S: Final = 0.5


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request to send."""

    method: bytes
    request_target: bytes
    headers: Headers
    body: bytes = b""
    # A header that the target echoes in its answer.  An answer with another
    # value belongs to an earlier request and is skipped.
    echo: tuple[bytes, bytes] | None = None
    # Whether a connection is opened for it although an idle one may be there.
    needs_new_connection: bool = False
    # The way of the answer; None if the answer is always read at once.
    flow: AnswerFlow | None = attrs.field(default=None, eq=False, repr=False)


class AnswerSink(Protocol):
    """Receives an answer, ended by exactly one of `done` and `failed`."""

    def head(self, status: int, headers: Headers) -> None:
        """Receive the answer's status and headers."""

    def data(self, data: bytes) -> None:
        """Receive a part of the answer's body."""

    def done(self) -> None:
        """Receive the end of a complete answer."""

    def failed(self, failure: Failure) -> None:
        """Receive the reason why there is no complete answer."""


@attrs.define(kw_only=True, eq=False)
class HttpCall:
    """A call in progress."""

    connection: TargetConnection | None = None
    connecting: Deferred[Any] | None = None
    is_cancelled: bool = False

    def refuse(self, sink: AnswerSink, failure: Failure) -> None:
        """End a call that has got no connection, unless it is cancelled."""
        if not self.is_cancelled:
            sink.failed(failure)

    def cancel(self) -> None:
        """Cancel the call; its sink receives nothing more."""
        self.is_cancelled = True
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.cancel()


@attrs.define(kw_only=True, eq=False)
class Http1Client:
    """Makes calls to targets over persistent connections."""

    # A Twisted reactor; untyped like `event_loop.reactor`.
    reactor: Any
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    idle: dict[str, list[TargetConnection]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    # Connections that are being opened or are not closed yet.
    open_connections: int = 0
    # Bytes of the answers that are being collected.
    collected_bytes: int = 0
    # Called for each answer that belonged to another request.
    on_foreign_answer: Callable[[], None] = attrs.field(default=lambda: None)
    # Called before each new connection is opened.
    on_connect: Callable[[], None] = attrs.field(default=lambda: None)

    def call(
        self, address: str, request: OutgoingRequest, sink: AnswerSink
    ) -> HttpCall:
        """Send a request, over an idle connection if there may be one."""
        call = HttpCall()
        idle = None
        if not request.needs_new_connection:
            idle = self.pop_idle(address)
        if idle is not None:
            call.connection = idle
            idle.send(request, sink)
            return call
        host, _, text = address.rpartition(":")
        port = parse_port(text)
        if port is None:
            refusal = not_run(Reason.CONNECT_FAILED, messages.BAD_ADDRESS)
            self.reactor.callLater(0, call.refuse, sink, refusal)
            return call
        self.on_connect()
        self.open_connections += 1
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, port, timeout=self.connect_timeout_s
        )
        factory: Any = Factory.forProtocol(
            lambda: TargetConnection(self, address)
        )
        factory.noisy = False
        call.connecting = endpoint.connect(factory)

        def connected(connection: TargetConnection) -> None:
            call.connecting = None
            call.connection = connection
            if call.is_cancelled:
                connection.drop()
                return
            connection.send(request, sink)

        def refused(failure: TwistedFailure) -> None:
            call.connecting = None
            self.open_connections -= 1
            detail = failure.getErrorMessage()
            call.refuse(sink, not_run(Reason.CONNECT_FAILED, detail))

        call.connecting.addCallbacks(connected, refused)
        return call

    def pop_idle(self, address: str) -> TargetConnection | None:
        """Remove and return the most recently used idle connection.

        Connections that have been idle for too long are closed; None if no
        other is left.
        """
        now_s = self.reactor.seconds()
        connections = self.idle[address]
        while connections:
            connection = connections.pop()
            if now_s - connection.idle_since_s < connection.keep_alive_s:
                return connection
            connection.drop()
        return None

    def close_idle_since(self, time_s: float) -> None:
        """Close the connections that have been idle since a time.

        A connection has died without a reset in that time, as when a VM or a
        device between loses its state; the idle ones may have died with it.

        Args:
          time_s: The time, in seconds of the reactor.
        """
        for connections in list(self.idle.values()):
            for connection in list(connections):
                if connection.idle_since_s <= time_s:
                    connection.drop()

    def add_idle(self, connection: TargetConnection) -> None:
        """Add a connection to the idle ones, for use by another call."""
        connection.idle_since_s = self.reactor.seconds()
        self.idle[connection.address].append(connection)

    def remove_idle(self, connection: TargetConnection) -> None:
        """Remove a connection from the idle ones."""
        connections = self.idle[connection.address]
        if connection in connections:
            connections.remove(connection)
        if not connections:
            del self.idle[connection.address]
