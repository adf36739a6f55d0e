"""HTTP/1.1 server for callers whose requests are forwarded unchanged.

`klein` exposes a request only as a resource of its own site, with rewritten
headers, and chooses the framing of its answer.  Forwarding needs the head as
it arrived and control over when an answer counts as complete, so `h11` parses
and frames here, over Twisted's transports.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import h11
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import defaults, sockets, unread_requests
from sequoiawind.caller_limits import RequestLimits
from sequoiawind.caller_output import SMALL_ANSWER_BYTES, CallerOutput
from sequoiawind.caller_parser import CallerParser, HeadTooLarge
from sequoiawind.connection_ends import Cause, ConnectionLife
from sequoiawind.headers import Headers
from sequoiawind.http_request import HttpRequest
from sequoiawind.ports import Timer
from sequoiawind.turn_limit import TurnLimit
from sequoiawind.verdict import Reason

if TYPE_CHECKING:
    from sequoiawind.caller_site import CallerSite

# Pipelined bytes that a caller may send during an answer before the server
# stops reading.
MAX_PIPELINED_BYTES: Final = 65_536


class CallerConnection(Protocol):
    """A caller's connection; handles one request and answer at a time."""

    transport: Any

    def __init__(self, site: "CallerSite") -> None:
        """Set up the parser."""
        self.site = site
        self.limits = RequestLimits(in_force=site.limits)
        self.http = CallerParser(lambda: self.limits.current().header_bytes)
        self.head: h11.Request | None = None
        self.body = bytearray()
        # Bytes of the body for which memory is counted.
        self.reserved_bytes = 0
        # Arrival of the first byte of the request being read, in seconds of the
        # clock; None if no request is being read.
        self.arrived_s: float | None = None
        self.timer: Timer | None = None
        # Whether a request was dispatched and its answer is not complete.
        self.is_answering = False
        # The parts of an answer that is sent in one write; else None.
        self.collected: list[bytes] | None = None
        # Whether the connection is lost, or is being closed.
        self.is_lost = False
        # Since when no request is being read or answered, in seconds of the
        # clock.
        self.idle_since_s = 0.0
        # Whether the rest of what was received is parsed in the next turn.
        self.is_yielding = False
        self.turn = TurnLimit()
        # Whether the next request waits until the last answer is sent.
        self.is_draining = False
        # Called once if the caller disconnects before its answer is complete.
        self.on_disconnect: Callable[[], None] | None = None
        self.life = ConnectionLife(connection=self)

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and wait for a request."""
        sockets.configure_caller(self.transport)
        self.output = CallerOutput(
            transport=self.transport,
            clock=self.site.clock,
            budget=self.site.budget,
            on_stalled=self.life.stalled,
            on_drained=self.drained,
        )
        if not self.site.keeps(self.transport):
            self.is_lost = True
            self.life.ended(Cause.DESCRIPTORS, "new")
            self.transport.abortConnection()
            return
        self.site.connections.add(self)
        self.wait_idle()

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        """Report a disconnect before the end of the answer."""
        self.life.lost(reason)
        self.leave_site()
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if self.is_answering:
            self.is_answering = False
            if on_disconnect is not None:
                on_disconnect()
        self.output.closed()
        sockets.forget_unsent(self.transport)

    def leave_site(self) -> None:
        """Stop handling the connection."""
        self.is_lost = True
        self.stop_timer()
        self.body = bytearray()
        self.http.forget()
        self.site.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle bytes from the caller."""
        if self.http.their_state is h11.ERROR:
            return
        if self.head is None and not self.is_answering:
            self.begin_head()
        if self.head is None:
            self.output.charge(len(data))
        self.limits.received(len(data))
        self.http.receive_data(data)
        if not self.is_yielding:
            self.parse()
        if not self.is_answering:
            return
        pipelined = self.http.unparsed_bytes
        if pipelined > MAX_PIPELINED_BYTES or (
            pipelined and self.site.budget.is_scarce
        ):
            self.transport.pauseProducing()

    def parse(self) -> None:
        """Handle the parser's events; refuse malformed requests."""
        try:
            self.read_events()
        except HeadTooLarge:
            self.refuse(Reason.HEAD_TOO_LARGE)
        except h11.RemoteProtocolError as error:
            self.refuse_malformed(error.error_status_hint)

    def parse_pipelined(self) -> None:
        """Parse what has arrived of a request and was not parsed yet."""
        self.is_yielding = False
        if self.is_lost or self.is_answering:
            return
        self.begin_head()
        self.parse()
        if not self.is_lost and not self.is_answering and not self.is_yielding:
            # The rest of the request has not been read yet.
            self.transport.resumeProducing()

    def begin_head(self) -> None:
        """Record a request's arrival and start the timer for its head."""
        if self.arrived_s is not None:
            return
        self.arrived_s = self.site.clock.seconds()
        self.limits.begin(self.http.unparsed_bytes)
        self.http.begin_request()
        self.await_head()

    def await_head(self) -> None:
        """Refuse a head that takes too long, by the limit on it now."""
        if self.arrived_s is not None:
            limit_s = self.limits.current().header_timeout_s
            self.at_limit(
                self.arrived_s + limit_s, self.await_head, self.timed_out
            )

    def read_events(self) -> None:
        """Handle the parser's events up to the end of a request."""
        self.turn.begin()
        while not self.turn.is_reached:
            if self.is_answering or self.is_lost:
                return
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.handle_head(event)
            elif isinstance(event, h11.Data):
                self.handle_body(event.data)
                self.turn.handled(len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.dispatch_request()
                # Its answer may be complete: `parse_pipelined` reads on.
                return
            else:
                return
        self.is_yielding = True
        self.transport.pauseProducing()
        self.site.clock.callLater(0, self.parse_pipelined)

    def handle_head(self, head: h11.Request) -> None:
        """Handle a request's head.

        Raises:
          h11.RemoteProtocolError: Transfer-Encoding and Content-Length are
            both present.
        """
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise h11.RemoteProtocolError(
                "both Transfer-Encoding and Content-Length", 400
            )
        self.head = head
        self.set_timer(defaults.BODY_TIMEOUT_S, self.timed_out)
        if not self.reserve_body(head):
            return
        if self.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.write(self.http.send(proceed))

    def reserve_body(self, head: h11.Request) -> bool:
        """Reserve memory for a body of a stated length, before it is read.

        A body over the limit is read up to the limit and then refused.

        Returns:
          Whether there is enough; if not, the request has been refused.
        """
        self.reserved_bytes = 0
        for name, value in head.headers:
            if name == b"content-length":
                limit = self.limits.current().body_bytes
                return self.reserve_up_to(min(int(value), limit))
        return True

    def reserve_up_to(self, size: int) -> bool:
        """Reserve memory for a body of a size.

        Returns:
          Whether there is enough; if not, the request has been refused.
        """
        if size <= self.reserved_bytes:
            return True
        if not self.output.reserve(size - self.reserved_bytes):
            self.refuse(Reason.MEMORY_LIMIT)
            return False
        self.reserved_bytes = size
        return True

    def handle_body(self, data: bytes) -> None:
        """Append a part of the body; refuse a body over the limit."""
        if len(self.body) + len(data) > self.limits.current().body_bytes:
            self.refuse(Reason.BODY_TOO_LARGE)
        elif self.reserve_up_to(len(self.body) + len(data)):
            self.body += data

    def dispatch_request(self) -> None:
        """Pass a complete request to the site's handler."""
        self.stop_timer()
        head = self.head
        if head is None or self.arrived_s is None:
            return
        request = HttpRequest(
            method=head.method,
            request_target=head.target,
            headers=list(head.headers),
            body=bytes(self.body),
            arrived_s=self.arrived_s,
            read_s=self.site.clock.seconds(),
            flow=self.output,
        )
        self.life.begin(request)
        self.head = None
        self.body = bytearray()
        self.arrived_s = None
        self.is_answering = True
        self.site.on_request(request, self)

    # The answer.

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the answer's head.

        An answer without a Content-Length is sent in chunks, so that an
        aborted one does not look complete.
        """
        if self.is_lost:
            return
        out = list(headers)
        if self.site.is_closing and not self.http.has_whole_request:
            out.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=out)
        self.write(self.http.send(response))

    def send_data(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        if not self.is_lost and data:
            self.write(self.http.send(h11.Data(data=data)))

    def send_end(self) -> None:
        """End the answer and continue with the next request."""
        if self.is_lost:
            return
        self.write(self.http.send(h11.EndOfMessage()))
        self.write_collected()
        self.is_answering = False
        self.output.free_request()
        self.on_disconnect = None
        if self.must_close:
            # The caller's next request may cross the close.
            self.life.answered()
            self.close_in_stages(holds_stop=False)
            return
        if self.output.is_choked:
            # Answers to pipelined requests would pile up.
            self.is_draining = True
            self.transport.pauseProducing()
            return
        self.next_request()

    def drained(self) -> None:
        """Continue with the next request, which has waited for the answer."""
        if not self.is_draining or self.is_lost:
            return
        self.is_draining = False
        if self.must_close:
            self.life.answered()
            self.close_in_stages(holds_stop=False)
            return
        self.next_request()

    @property
    def must_close(self) -> bool:
        """Whether the connection closes after the answer that has ended.

        While the site is closing, one more request is answered if this answer
        has not announced the close: its caller may already be sending it, and
        could not tell whether it was run.
        """
        return self.http.our_state is not h11.DONE

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer, a small one in one write."""
        length = (b"content-length", b"%d" % len(body))
        if len(body) <= SMALL_ANSWER_BYTES:
            self.collected = []
        self.send_head(status, [*headers, length])
        self.send_data(body)
        self.send_end()

    def abort_answer(self) -> None:
        """Abort the answer so that the caller sees it is incomplete."""
        self.life.ended(Cause.BROKEN_OFF)
        self.is_answering = False
        self.on_disconnect = None
        self.output.free_request()
        if not self.is_lost:
            self.lose()

    def next_request(self) -> None:
        """Wait for the next request, and parse what has arrived of it."""
        pipelined = self.http.unparsed_bytes
        self.output.charge(pipelined)
        try:
            self.http.start_next_cycle()
        except h11.LocalProtocolError as error:
            self.life.ended(Cause.NOT_REUSABLE, str(error))
            self.lose()
            return
        self.wait_idle()
        if not pipelined:
            self.transport.resumeProducing()
        else:
            # Nothing more is read before what is there has been parsed.
            self.transport.pauseProducing()
            self.site.clock.callLater(0, self.parse_pipelined)

    # Time-outs and refusals.

    def wait_idle(self) -> None:
        """Start the time for which the connection may stay idle."""
        self.idle_since_s = self.site.clock.seconds()
        self.await_request()

    def await_request(self) -> None:
        """Close a connection that is idle too long, by the limit now."""
        limit_s = self.site.limits().idle_timeout_s
        self.at_limit(
            self.idle_since_s + limit_s, self.await_request, self.close
        )

    def at_limit(
        self, due_s: float, again: Callable[[], None], act: Callable[[], None]
    ) -> None:
        """Act at a time; ask for it again then, as it may have changed.

        Args:
          due_s: The time, in seconds of the clock.
          again: Called at the time.
          act: Called instead if that time has come.
        """
        left_s = due_s - self.site.clock.seconds()
        if left_s > 0.0:
            self.set_timer(left_s, again)
        else:
            act()

    def set_timer(self, delay_s: float, act: Callable[[], None]) -> None:
        """Start the connection's only timer, in place of a running one."""
        self.stop_timer()
        self.timer = self.site.clock.callLater(delay_s, act)

    def stop_timer(self) -> None:
        """Cancel the connection's timer."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def timed_out(self) -> None:
        """Refuse a request that took too long to arrive."""
        self.refuse(Reason.BODY_TIMEOUT)

    def refuse(self, reason: Reason) -> None:
        """Refuse a request that was not read to its end, and close."""
        reason = unread_requests.provable(reason, self.site.may_deny())
        self.life.refused(reason)
        self.refuse_status(*unread_requests.status_and_headers(reason))

    def refuse_malformed(self, status: int) -> None:
        """Refuse bytes that are not a valid request, and close."""
        self.life.refused(Reason.BAD_REQUEST)
        self.refuse_status(status)

    def refuse_status(
        self, status: int, headers: Headers | None = None
    ) -> None:
        """Reply with a status and no body, and close."""
        self.stop_timer()
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = unread_requests.response(status, headers or [])
            self.write(self.http.send(response))
            self.write(self.http.send(h11.EndOfMessage()))
        self.close_in_stages(holds_stop=True)

    def close_in_stages(self, *, holds_stop: bool) -> None:
        """Close the connection although the caller may still be sending.

        Args:
          holds_stop: Whether the end of the process waits for it.
        """
        self.leave_site()
        self.output.closed()
        self.site.closer.close(
            self.transport, holds_stop=holds_stop, on_end=self.life.closed
        )

    def close(self, cause: Cause = Cause.IDLE) -> None:
        """Close the idle connection."""
        self.life.ended(cause)
        self.lose()

    def drain(self) -> None:
        """Close the idle connection; a further request may cross that."""
        self.life.ended(Cause.DRAIN)
        self.close_in_stages(holds_stop=False)

    def lose(self) -> None:
        """Close the connection once what was written has been sent."""
        self.is_lost = True
        self.output.end()
        self.transport.loseConnection()

    def write(self, data: bytes | None) -> None:
        """Write bytes to the caller, or collect them for one write."""
        if not data:
            return
        if self.collected is not None:
            self.collected.append(data)
        else:
            sockets.write_now(self.transport, data)
            self.output.written(len(data))

    def write_collected(self) -> None:
        """Write the collected bytes, and collect no more."""
        collected, self.collected = self.collected, None
        if collected:
            self.write(b"".join(collected))

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered, and all is sent."""
        return (
            not self.is_answering
            and self.arrived_s is None
            and not self.http.unparsed_bytes
            and not sockets.has_unsent(self.transport)
        )

    @property
    def may_be_closed(self) -> bool:
        """Whether it is idle, and its close has not begun."""
        return self.is_idle and not self.is_lost
