"""HTTP/1.1 towards targets, with proof of what may have run.

`treq` hides how far a call came and reads on past an answer's end; a request
that must not run twice needs both.  So `h11` parses and frames here.  A call
that failed before its bytes were handed to a connection is proved not to have
run; any later failure may have run.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
import h11
from expression import Error, Ok, Result
from twisted.internet import error
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import messages, sockets
from sequoiawind.headers import Headers
from sequoiawind.options import Address
from sequoiawind.verdict import Failure, Reason, may_have_run, not_run

# A handshake inside a region takes milliseconds; the peer's kernel repeats a
# dropped one only after a second.
CONNECT_TIMEOUT_S: Final = 0.5
# Idle time for which a connection is kept if the peer does not state its own.
DEFAULT_KEEP_S: Final = 0.8
# Taken off the idle time that a peer states, against a close on its way.
KEEP_MARGIN_S: Final = 0.4
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request to send."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    # A header by which the answer is known to be this request's; answers
    # with another value belong to an earlier request and are skipped.
    echo: tuple[bytes, bytes] | None = None


class AnswerSink(Protocol):
    """Receives an answer; ends with exactly one of the last two calls."""

    def head(self, status: int, headers: Headers) -> None:
        """The answer's head."""

    def data(self, data: bytes) -> None:
        """A part of its body."""

    def done(self) -> None:
        """The answer is complete."""

    def failed(self, failure: Failure) -> None:
        """No complete answer will come."""


class TargetConnection(TwistedProtocol):
    """A connection to a target; one exchange at a time."""

    transport: Any

    def __init__(self, client: "Http1Client", address: str) -> None:
        """Prepare for a first exchange."""
        self.client = client
        self.address = address
        self.http = h11.Connection(h11.CLIENT)
        self.request: OutgoingRequest | None = None
        self.sink: AnswerSink | None = None
        # Whether the answer being read belongs to an earlier request.
        self.is_skipping = False
        self.received_bytes = 0
        self.keep_s = DEFAULT_KEEP_S
        self.idle_since_s = 0.0
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Note that the connection is open."""
        sockets.configure(self.transport)
        self.is_open = True

    def send(self, request: OutgoingRequest, sink: AnswerSink) -> None:
        """Start an exchange."""
        self.request = request
        self.sink = sink
        self.received_bytes = 0
        self.transport.write(self.frame(request))

    def frame(self, request: OutgoingRequest) -> bytes:
        """Return a request's bytes, and put the parser in step."""
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        parts = [
            self.http.send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                )
            )
        ]
        if request.body:
            parts.append(self.http.send(h11.Data(data=request.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes from the target."""
        if self.sink is None:
            # Bytes that no request asked for.
            self.drop()
            return
        self.take(data)

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        """End the exchange: complete only if its framing says so."""
        self.is_open = False
        self.client.forget(self)
        if self.sink is None:
            return
        if reason.check(error.ConnectionDone) is not None:
            self.take(b"")
        self.fail(Reason.CONNECTION_LOST, messages.CONNECTION_LOST)

    def take(self, data: bytes) -> None:
        """Parse bytes; empty ones stand for the end of the connection."""
        self.received_bytes += len(data)
        try:
            self.http.receive_data(data)
            while self.sink is not None and self.read_event():
                pass
        except h11.RemoteProtocolError as problem:
            self.fail(Reason.TARGET_ERROR, str(problem))
        if self.received_bytes > MAX_ANSWER_BYTES:
            self.fail(Reason.TARGET_ERROR, messages.ANSWER_TOO_LARGE)

    def read_event(self) -> bool:
        """Take one event of the parser; whether there was one."""
        event = self.http.next_event()
        if isinstance(event, h11.Response):
            self.take_head(event)
        elif isinstance(event, h11.Data):
            if not self.is_skipping and self.sink is not None:
                self.sink.data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.take_end()
        else:
            return isinstance(event, h11.InformationalResponse)
        return True

    def take_head(self, response: h11.Response) -> None:
        """Take an answer's head, unless it is of another request."""
        headers = list(response.headers)
        self.note_keep(headers)
        echo = self.request.echo if self.request is not None else None
        found = [value for name, value in headers if echo and name == echo[0]]
        self.is_skipping = bool(echo and found and found[0] != echo[1])
        if not self.is_skipping and self.sink is not None:
            self.sink.head(response.status_code, headers)

    def note_keep(self, headers: Headers) -> None:
        """Note how long the target keeps an idle connection."""
        for name, value in headers:
            if name == b"keep-alive":
                self.keep_s = keep_s(value)

    def take_end(self) -> None:
        """Finish the exchange, or go on to the answer that is ours."""
        if self.is_skipping:
            self.skip_answer()
            return
        sink, self.sink, self.request = self.sink, None, None
        extra, _ = self.http.trailing_data
        reusable = not extra and self.http.their_state is h11.DONE
        if reusable and self.is_open:
            self.http.start_next_cycle()
            self.client.keep(self)
        else:
            self.drop()
        if sink is not None:
            sink.done()

    def skip_answer(self) -> None:
        """Expect the answer to our request after another's."""
        extra, _ = self.http.trailing_data
        self.client.on_foreign()
        self.is_skipping = False
        if self.http.their_state is not h11.DONE or self.request is None:
            self.fail(Reason.TARGET_ERROR, messages.FOREIGN_ANSWER)
            return
        self.http = h11.Connection(h11.CLIENT)
        # The bytes are on their way already; this keeps the parser in step.
        self.frame(self.request)
        if extra:
            self.http.receive_data(extra)

    def fail(self, reason: Reason, detail: str) -> None:
        """End the exchange without a complete answer."""
        sink, self.sink, self.request = self.sink, None, None
        self.drop()
        if sink is not None:
            sink.failed(may_have_run(reason, detail))

    def drop(self) -> None:
        """Close the connection at once."""
        self.client.forget(self)
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    def cancel(self) -> None:
        """Give the exchange up; the sink hears nothing more."""
        self.sink = None
        self.drop()


@attrs.define(kw_only=True, eq=False)
class HttpCall:
    """A call in progress."""

    connection: TargetConnection | None = None
    connecting: Deferred[Any] | None = None
    is_cancelled: bool = False

    def cancel(self) -> None:
        """Give the call up; its sink hears nothing more."""
        self.is_cancelled = True
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.cancel()


@attrs.define(kw_only=True, eq=False)
class Http1Client:
    """Calls to targets over kept connections."""

    # A Twisted reactor; untyped like `event_loop.reactor`.
    reactor: Any
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    idle: dict[str, list[TargetConnection]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    # Called for each answer that belonged to another request.
    on_foreign: Callable[[], None] = attrs.field(default=lambda: None)
    on_connect: Callable[[], None] = attrs.field(default=lambda: None)

    def call(
        self, address: str, request: OutgoingRequest, sink: AnswerSink
    ) -> HttpCall:
        """Send a request, over a kept connection if there is one."""
        call = HttpCall()
        kept = self.take_kept(address)
        if kept is not None:
            call.connection = kept
            kept.send(request, sink)
            return call
        self.on_connect()
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, int(port), timeout=self.connect_timeout_s
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
            if not call.is_cancelled:
                detail = failure.getErrorMessage()
                sink.failed(not_run(Reason.CONNECT_FAILED, detail))

        call.connecting.addCallbacks(connected, refused)
        return call

    def take_kept(self, address: str) -> TargetConnection | None:
        """Return the connection used last, if it is still good."""
        now_s = self.reactor.seconds()
        kept = self.idle[address]
        while kept:
            connection = kept.pop()
            if now_s - connection.idle_since_s < connection.keep_s:
                return connection
            connection.drop()
        return None

    def keep(self, connection: TargetConnection) -> None:
        """Keep a connection for another call."""
        connection.idle_since_s = self.reactor.seconds()
        self.idle[connection.address].append(connection)

    def forget(self, connection: TargetConnection) -> None:
        """Do not use a connection again."""
        kept = self.idle[connection.address]
        if connection in kept:
            kept.remove(connection)
        if not kept:
            del self.idle[connection.address]


@attrs.frozen(kw_only=True)
class HttpReply:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


@attrs.define(kw_only=True, eq=False)
class ReplySink:
    """Collects a whole answer."""

    done_with: Deferred[Result[HttpReply, Failure]] = attrs.field(
        factory=Deferred
    )
    status: int = 0
    headers: Headers = attrs.field(factory=list)
    body: bytearray = attrs.field(factory=bytearray)
    is_over: bool = False

    def head(self, status: int, headers: Headers) -> None:
        """Keep the head."""
        self.status = status
        self.headers = headers

    def data(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.body += data

    def done(self) -> None:
        """Hand over the whole answer."""
        self.finish(
            Ok(
                HttpReply(
                    status=self.status,
                    headers=self.headers,
                    body=bytes(self.body),
                )
            )
        )

    def failed(self, failure: Failure) -> None:
        """Hand over why there is none."""
        self.finish(Error(failure))

    def finish(self, result: Result[HttpReply, Failure]) -> None:
        """Hand over the result, once."""
        if not self.is_over:
            self.is_over = True
            self.done_with.callback(result)


def fetch(
    client: Http1Client,
    address: Address | str,
    request: OutgoingRequest,
    timeout_s: float,
) -> Deferred[Result[HttpReply, Failure]]:
    """Return the whole answer to a request, or why there is none in time."""
    sink = ReplySink()
    call = client.call(str(address), request, sink)

    def timed_out() -> None:
        call.cancel()
        sink.failed(may_have_run(Reason.START_TIMEOUT, messages.START_TIMEOUT))

    timer = client.reactor.callLater(timeout_s, timed_out)

    def stop(result: Any) -> Any:
        if timer.active():
            timer.cancel()
        return result

    return sink.done_with.addBoth(stop)


def keep_s(value: bytes) -> float:
    """Return for how long to keep a connection by its Keep-Alive header."""
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return max(0.0, int(number) - KEEP_MARGIN_S)
    return DEFAULT_KEEP_S
