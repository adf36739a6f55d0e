"""A connection to a target: framing, and where an answer ends.

An answer without a length or chunks ends with its connection.  It is complete
only if the connection ends in order and the target has taken the request: a
target in trouble may answer a long request at once and then reset it.
"""

from typing import TYPE_CHECKING, Any, Final

import attrs
import h11
from twisted.internet import error
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from zope.interface import implementer

from sequoiawind import messages, sockets
from sequoiawind.body_writer import PIECE_BYTES, BodyWriter
from sequoiawind.headers import Framing, Headers, framing
from sequoiawind.turn_limit import TurnLimit
from sequoiawind.verdict import Reason, may_have_run

if TYPE_CHECKING:
    from sequoiawind.http1_client import (
        AnswerSink,
        Http1Client,
        OutgoingRequest,
    )

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
# Statuses that an answer may have (RFC 9110, section 15).
LEAST_STATUS: Final = 200
MAX_STATUS: Final = 599
# Time after the end of an answer without a length in which the reset of a long
# request may follow, in seconds.
RESET_WAIT_S: Final = 0.025


@implementer(IHalfCloseableProtocol)
class TargetConnection(Protocol):
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
        # Whether the answer being read ends with the connection.
        self.ends_with_connection = False
        # Whether the request is long, so that the answer may have overtaken it.
        self.is_long = False
        # Whether a write has found the connection reset: the kernel tells that
        # once, and the next read sees an ordinary end.
        self.is_reset = False
        # Whether the target has ended its side of the connection.
        self.has_peer_ended = False
        # Ends an answer unless it is reset before; None while none ends.
        self.ending: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options and mark the connection as open."""
        sockets.configure_target(self.transport)
        self.is_open = True

    def send(self, request: "OutgoingRequest", sink: "AnswerSink") -> None:
        """Send a request; its answer goes to the sink."""
        self.request = request
        self.sink = sink
        self.received_bytes = self.interim_answers = 0
        self.active_s = self.client.reactor.seconds()
        if request.flow is not None:
            request.flow.attach(self)
        self.ends_with_connection = False
        self.is_long = len(request.body) > PIECE_BYTES
        if not self.is_long:
            self.write(self.frame(request))
            return
        self.writer = BodyWriter(
            transport=self.transport,
            rest=memoryview(request.body),
            frame=self.frame_piece,
            on_written=self.body_written,
        )
        self.write(self.frame_head(request))
        self.writer.start()

    def write(self, data: bytes) -> None:
        """Write a request, or its head."""
        if not sockets.write_now(self.transport, data):
            self.is_reset = True

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

    def end_exchange(self) -> "AnswerSink | None":
        """End the exchange; return its sink."""
        sink, request = self.sink, self.request
        self.sink = self.request = None
        if request is not None and request.flow is not None:
            request.flow.detach(self)
            self.resume()
        return sink

    def frame_head(self, request: "OutgoingRequest") -> bytes:
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

    def frame(self, request: "OutgoingRequest") -> bytes:
        """Return a request's bytes and advance the parser's state."""
        parts = [self.frame_head(request)]
        if request.body:
            parts.append(self.http.send(h11.Data(data=request.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def frame_again(self, request: "OutgoingRequest") -> None:
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
            self.end_answer()
        elif self.client.reactor.seconds() - self.active_s >= TIMED_OUT_S:
            self.client.close_idle_since(self.active_s)
        self.fail(Reason.CONNECTION_LOST, messages.CONNECTION_LOST)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Handle the end of what the target sends."""
        if self.has_peer_ended:
            return
        self.has_peer_ended = True
        if self.sink is None:
            self.drop()
        elif self.ends_with_connection and self.is_long and self.is_taken:
            # The reset of a request that was not read to its end may follow.
            self.ending = self.client.reactor.callLater(
                RESET_WAIT_S, self.end_answer
            )
        else:
            self.end_answer()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this side is never closed alone."""

    @property
    def is_taken(self) -> bool:
        """Whether the target's system has taken the whole request."""
        if self.writer is not None or sockets.left_bytes(self.transport):
            return False
        return not (self.is_long and sockets.untaken_bytes(self.transport))

    def end_answer(self) -> None:
        """End the exchange, as the target has ended the connection.

        An answer that has no other end is complete only if its request was
        taken and the connection has not been reset.
        """
        self.ending = None
        is_reset = self.is_reset or sockets.has_error(self.transport)
        if not self.ends_with_connection or (self.is_taken and not is_reset):
            self.feed(b"")
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
        status = response.status_code
        if not LEAST_STATUS <= status <= MAX_STATUS:
            self.fail(Reason.TARGET_ERROR, f"status {status}")
            return
        self.ends_with_connection = (
            framing(status, headers) is Framing.CONNECTION
        )
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
            self.sink.head(status, headers)

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
        """Abort the connection; close it if nothing is under way."""
        self.client.remove_idle(self)
        is_quiet = self.has_peer_ended and self.is_taken and not self.is_reset
        self.writer = None
        if self.ending is not None:
            self.ending.cancel()
            self.ending = None
        if self.is_open:
            self.is_open = False
            if is_quiet:
                self.transport.loseConnection()
            else:
                self.transport.abortConnection()

    def cancel(self) -> None:
        """Abort the exchange; the sink receives nothing more."""
        self.end_exchange()
        self.drop()


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
