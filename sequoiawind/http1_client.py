"""HTTP/1.1 client for targets; its failures state whether a call may have run.

A request that must not run twice needs to know how far a failed call got and
where exactly its answer ends.  `treq` hides the former and continues to read
past the latter, so `h11` parses and frames here.  A call that fails before its
bytes are passed to a connection is known not to have run; a call that fails
later may have run.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
import h11
from twisted.internet import error
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import messages, sockets
from sequoiawind.body_writer import PIECE_BYTES, BodyWriter
from sequoiawind.caller_output import AnswerFlow
from sequoiawind.headers import Headers
from sequoiawind.options import parse_port
from sequoiawind.turn_limit import TurnLimit
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run

# A handshake inside a region takes milliseconds; the peer's kernel
# retransmits a dropped one only after a second.
CONNECT_TIMEOUT_S: Final = 0.5
# Idle time for which a connection is kept if the peer states none.
DEFAULT_KEEP_ALIVE_S: Final = 0.8
# Subtracted from the idle time that a peer states, so that no request is sent
# on a connection that the peer is about to close.
KEEP_ALIVE_MARGIN_S: Final = 0.4
# Time without a sign of the peer after which a lost connection is taken to have
# timed out, in seconds: just below the time-out that `sockets` sets.  A reset
# cannot be told from it.
TIMED_OUT_S: Final = 0.9 * sockets.USER_TIMEOUT_MS / 1000
# Interim answers (status 1xx) that may precede an answer.
MAX_INTERIM_ANSWERS: Final = 64
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024


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


class TargetConnection(TwistedProtocol):
    """A connection to a target; carries one exchange at a time."""

    transport: Any

    def __init__(self, client: "Http1Client", address: str) -> None:
        """Set up the parser for the first exchange."""
        self.client = client
        self.address = address
        self.http = h11.Connection(h11.CLIENT)
        self.request: OutgoingRequest | None = None
        self.sink: AnswerSink | None = None
        # Whether the answer being read belongs to an earlier request.
        self.is_skipping = False
        # Whether an answer has named the request that it belongs to.
        self.has_echoed = False
        self.received_bytes = 0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.idle_since_s = 0.0
        # When a request was sent or a part of its answer arrived last.
        self.active_s = 0.0
        self.is_open = False
        # Sends a large body; None while none is being sent.
        self.writer: BodyWriter | None = None
        # Whether nothing is read, as the caller of the answer reads slowly.
        self.is_paused = False
        # Whether the rest of what was received is parsed in the next turn.
        self.is_yielding = False
        self.turn = TurnLimit()
        # Interim answers since the request was sent.
        self.interim_answers = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options and mark the connection as open."""
        sockets.configure_target(self.transport)
        self.is_open = True

    def send(self, request: OutgoingRequest, sink: AnswerSink) -> None:
        """Send a request; its answer goes to the sink."""
        self.request = request
        self.sink = sink
        self.received_bytes = self.interim_answers = 0
        self.active_s = self.client.reactor.seconds()
        if request.flow is not None:
            request.flow.attach(self)
        if len(request.body) <= PIECE_BYTES:
            sockets.write_now(self.transport, self.frame(request))
            return
        self.writer = BodyWriter(
            transport=self.transport,
            rest=memoryview(request.body),
            frame=self.frame_piece,
            on_written=self.body_written,
        )
        sockets.write_now(self.transport, self.frame_head(request))
        self.writer.start()

    def frame_piece(self, piece: bytes) -> bytes:
        """Return the bytes of a part of the body."""
        return self.http.send(h11.Data(data=piece)) or b""

    def body_written(self) -> None:
        """End the request, and free its body."""
        self.http.send(h11.EndOfMessage())
        self.writer = None
        if self.request is not None:
            self.request = attrs.evolve(self.request, body=b"")

    def pause(self) -> None:
        """Read nothing more, as the caller reads slowly."""
        if self.is_open:
            self.is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self.is_paused and self.is_open:
            self.is_paused = False
            if not self.is_yielding:
                self.transport.resumeProducing()

    def end_exchange(self) -> AnswerSink | None:
        """End the exchange; return its sink."""
        sink, request = self.sink, self.request
        self.sink = self.request = None
        if request is not None and request.flow is not None:
            request.flow.detach(self)
            self.resume()
        return sink

    def frame_head(self, request: OutgoingRequest) -> bytes:
        """Return a request's head and advance the parser's state."""
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = self.http.send(
            h11.Request(
                method=request.method,
                target=request.request_target,
                headers=headers,
            )
        )
        return head or b""

    def frame(self, request: OutgoingRequest) -> bytes:
        """Return a request's bytes and advance the parser's state."""
        parts = [self.frame_head(request)]
        if request.body:
            parts.append(self.http.send(h11.Data(data=request.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def frame_again(self, request: OutgoingRequest) -> None:
        """Bring a new parser into the state after what has been sent."""
        if self.writer is None:
            self.frame(request)
            return
        self.frame_head(request)
        self.frame_piece(request.body[: self.writer.sent_bytes])

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle bytes from the target."""
        if self.sink is None:
            # No request is waiting for an answer.
            self.drop()
            return
        self.active_s = self.client.reactor.seconds()
        self.feed(data)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        """End the exchange; complete only if the answer's framing says so."""
        self.is_open = False
        self.client.open_connections -= 1
        self.client.remove_idle(self)
        if self.sink is None:
            return
        if reason.check(error.ConnectionDone) is not None:
            self.feed(b"")
        elif self.client.reactor.seconds() - self.active_s >= TIMED_OUT_S:
            self.client.close_idle_since(self.active_s)
        self.fail(Reason.CONNECTION_LOST, messages.CONNECTION_LOST)

    def feed(self, data: bytes) -> None:
        """Parse bytes; empty bytes mark the end of the connection."""
        self.received_bytes += len(data)
        try:
            self.http.receive_data(data)
            if not data:
                while self.sink is not None and self.read_event():
                    pass
            elif not self.is_yielding:
                self.read_events()
        except h11.RemoteProtocolError as problem:
            # The parser words the end of a connection by its own states.
            text = str(problem) if data else messages.CONNECTION_LOST
            self.fail(Reason.TARGET_ERROR, text)
        if self.received_bytes > MAX_ANSWER_BYTES:
            self.fail(Reason.TARGET_ERROR, messages.ANSWER_TOO_LARGE)

    def read_events(self) -> None:
        """Handle the parser's events, some of them in the next turn."""
        self.turn.begin()
        while not self.turn.is_reached:
            if self.sink is None or not self.read_event():
                return
        self.is_yielding = True
        self.transport.pauseProducing()
        self.client.reactor.callLater(0, self.go_on)

    def go_on(self) -> None:
        """Parse what the last turn has left."""
        self.is_yielding = False
        if not self.is_open or self.sink is None:
            return
        try:
            self.read_events()
        except h11.RemoteProtocolError as problem:
            self.fail(Reason.TARGET_ERROR, str(problem))
        if self.is_open and not self.is_yielding and not self.is_paused:
            self.transport.resumeProducing()

    def read_event(self) -> bool:
        """Handle the parser's next event; return whether there was one."""
        event = self.http.next_event()
        if isinstance(event, h11.Response):
            self.handle_head(event)
        elif isinstance(event, h11.Data):
            self.turn.handled(len(event.data))
            if not self.is_skipping and self.sink is not None:
                self.sink.data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.handle_end()
        elif isinstance(event, h11.InformationalResponse):
            self.interim_answers += 1
            if self.interim_answers > MAX_INTERIM_ANSWERS:
                self.fail(Reason.TARGET_ERROR, messages.INTERIM_WITHOUT_END)
        else:
            return False
        return True

    def handle_head(self, response: h11.Response) -> None:
        """Pass on an answer's head unless it belongs to another request."""
        headers = list(response.headers)
        self.update_keep_alive(headers)
        echo = self.request.echo if self.request is not None else None
        found = [value for name, value in headers if echo and name == echo[0]]
        if echo and self.has_echoed and not found:
            # It may be another copy of an earlier answer, so it proves nothing
            # about this request, not even that it was refused.
            self.fail(Reason.TARGET_ERROR, messages.FOREIGN_ANSWER)
            return
        self.has_echoed = self.has_echoed or bool(found)
        self.is_skipping = bool(echo and found and found[0] != echo[1])
        if not self.is_skipping and self.sink is not None:
            self.sink.head(response.status_code, headers)

    def update_keep_alive(self, headers: Headers) -> None:
        """Read from the headers how long the target keeps idle connections."""
        for name, value in headers:
            if name == b"keep-alive":
                self.keep_alive_s = parse_keep_alive(value)

    def handle_end(self) -> None:
        """End the exchange, or continue with the next answer after a skip."""
        if self.is_skipping:
            self.skip_answer()
            return
        sink = self.end_exchange()
        extra, _ = self.http.trailing_data
        # An early answer may leave a part of the request's body unsent.
        reusable = (
            not extra
            and self.http.their_state is h11.DONE
            and self.http.our_state is h11.DONE
        )
        if reusable and self.is_open:
            self.http.start_next_cycle()
            self.client.add_idle(self)
        else:
            self.drop()
        if sink is not None:
            sink.done()

    def skip_answer(self) -> None:
        """Discard another request's answer and wait for this request's."""
        extra, _ = self.http.trailing_data
        self.client.on_foreign_answer()
        self.is_skipping = False
        if self.http.their_state is not h11.DONE or self.request is None:
            self.fail(Reason.TARGET_ERROR, messages.FOREIGN_ANSWER)
            return
        self.http = h11.Connection(h11.CLIENT)
        self.frame_again(self.request)
        if extra:
            self.http.receive_data(extra)

    def fail(self, reason: Reason, detail: str) -> None:
        """End the exchange without a complete answer."""
        sink = self.end_exchange()
        self.drop()
        if sink is not None:
            sink.failed(may_have_run(reason, detail))

    def drop(self) -> None:
        """Abort the connection."""
        self.client.remove_idle(self)
        self.writer = None
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    def cancel(self) -> None:
        """Abort the exchange; the sink receives nothing more."""
        self.end_exchange()
        self.drop()


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


def parse_keep_alive(value: bytes) -> float:
    """Return how long to keep an idle connection, in seconds.

    Args:
      value: The Keep-Alive header of an answer.
    """
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return max(0.0, int(number) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
