"""Targets that answer a long request before they have read it.

Guards against a part of an answer that reaches the caller as a whole one: an
answer without a length ends with its connection, and a target in trouble resets
that connection while the request is still being written.
"""

import contextlib
import itertools
import socket
import struct
import threading
import time
from typing import Any, Final

import attrs
from testtools import TestCase
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import event_loop, http_client, sockets
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.http1_fetch import fetch
from sequoiawind.verdict import Verdict, forwarded_status
from tests import live
from tests.forward_rig import FakeCaller
from tests.stand_ins import Peer, accept
from tests.test_close_delimited_answers import (
    CLOSED,
    HEAD,
    CloseDelimitedRig,
    events,
)
from tests.test_target_ports import (
    ATTEMPT,
    RawTarget,
    RecordingSink,
    open_port,
)

LINGER_NONE: Final = struct.pack("ii", 1, 0)
UPLOADS: Final = (100_000, 900_000, 4_000_000)
PARTS: Final = (400, 40_000)
# How a target ends its answer: it resets the connection; it closes it with
# bytes unread, which resets it too; it ends its side and resets the connection
# after a while; it ends its side, and reads no more.
ENDS: Final = ("reset", "unread", "ended, then reset", "ended")
RESET_AFTER_S: Final = 0.005
IDLE_S: Final = 0.3
# Receive buffer of a target's connection, in bytes: the kernel takes no more of
# a request that the target does not read.
RECEIVE_BYTES: Final = 16_384
LENGTH_HEAD: Final = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"


@attrs.define(kw_only=True, eq=False)
class EarlyTarget:
    """Answers each request at once; a context manager that runs it."""

    head: bytes = HEAD
    part: bytes = b""
    ending: str = "ended"
    # Whether it reads the whole request first.
    reads_all: bool = False
    # Requests that get a whole answer with a length before, on a kept
    # connection.
    whole_before: int = 0
    listener: socket.socket = attrs.field(init=False)

    def __enter__(self) -> "EarlyTarget":
        """Listen."""
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
        )
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        threading.Thread(target=self.serve, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the port."""
        self.listener.close()

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def serve(self) -> None:
        """Serve one connection."""
        with contextlib.suppress(OSError):
            connection, _ = self.listener.accept()
            with connection:
                for _ in range(self.whole_before):
                    self.read(connection, whole=True)
                    connection.sendall(LENGTH_HEAD % 2 + b"ok")
                self.read(connection, whole=self.reads_all)
                connection.sendall(self.head + self.part)
                self.end(connection)

    def read(self, connection: socket.socket, whole: bool) -> None:
        """Read a request, or only its head."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += connection.recv(1)
        length = int(data.lower().partition(b"content-length: ")[2].split()[0])
        while whole and length > 0:
            length -= len(connection.recv(65_536))

    def end(self, connection: socket.socket) -> None:
        """End the answer."""
        if self.ending.startswith("ended"):
            connection.shutdown(socket.SHUT_WR)
            time.sleep(RESET_AFTER_S)
        if self.ending == "ended":
            time.sleep(IDLE_S)
        if self.ending.endswith("reset"):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
            )


def request_of(size: int) -> OutgoingRequest:
    """Return a request with a body of a size."""
    return OutgoingRequest(
        method=b"POST",
        request_target=b"/x",
        headers=[(b"host", b"h")],
        body=b"u" * size,
    )


class LiveTest(TestCase):
    """Over real connections."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()
        self.client = Http1Client(reactor=event_loop.reactor)

    def fetch(self, address: str, size: int) -> Any:
        """Send a request; return the answer or the failure."""
        return live.in_reactor(
            fetch, self.client, address, request_of(size), 3.0
        )

    def check_lost(self, result: Any, case: object) -> None:
        """Check that an answer is not taken as whole."""
        self.assertTrue(result.is_error(), case)
        self.assertEqual(Verdict.MAY_HAVE_RUN, result.error.verdict, case)

    def test_part_of_an_answer_is_not_taken_as_whole(self) -> None:
        for size, part, ending in itertools.product(UPLOADS, PARTS, ENDS):
            server = EarlyTarget(part=b"p" * part, ending=ending)
            with server:
                result = self.fetch(server.address, size)
            self.check_lost(result, (size, part, ending))

    def test_on_a_kept_connection(self) -> None:
        for ending in ENDS:
            server = EarlyTarget(part=b"part", ending=ending, whole_before=1)
            with server:
                first = self.fetch(server.address, 100)
                self.assertEqual(b"ok", first.ok.body)
                result = self.fetch(server.address, UPLOADS[0])
            self.check_lost(result, ending)

    def test_whole_answers_are_taken(self) -> None:
        # The request was read whole, or the answer has an end of its own.
        chunks = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        for size, (head, part, reads_all) in itertools.product(
            (100, *UPLOADS),
            (
                (HEAD, b"p" * 400, True),
                (HEAD, b"p" * 40_000, True),
                (LENGTH_HEAD % 400, b"p" * 400, False),
                (chunks, b"190\r\n" + b"p" * 400 + b"\r\n0\r\n\r\n", False),
            ),
        ):
            server = EarlyTarget(head=head, part=part, reads_all=reads_all)
            with server:
                result = self.fetch(server.address, size)
            self.assertTrue(result.is_ok(), (size, head, reads_all))
            self.assertEqual(b"p" * len(result.ok.body), result.ok.body)

    def test_read_request_whose_answer_is_reset(self) -> None:
        for size, ending in itertools.product(
            (100, *UPLOADS), ("reset", "ended, then reset")
        ):
            if size == 100 and ending != "reset":
                # A short request and its answer have arrived by then.
                continue
            server = EarlyTarget(part=b"part", ending=ending, reads_all=True)
            with server:
                result = self.fetch(server.address, size)
            self.check_lost(result, (size, ending))


class ForwardedTest(CloseDelimitedRig):
    """What callers get, on both kinds of routes."""

    def submit(self, route: str, answer: bytes) -> tuple[Peer, FakeCaller]:
        """Submit a long request; its target answers while it is written."""
        caller = self.rig.submit(
            route, headers=[(b"host", b"h")], body=b"b" * UPLOADS[0]
        )
        peer = accept(self.reactor)
        peer.protocol.dataReceived(answer)
        return peer, caller

    def test_call_that_ends_before_its_request_is_written(self) -> None:
        for route, sends in (("book", 1), ("read", 2)):
            self.make_router()
            peer, caller = self.submit(route, HEAD + b"part")
            self.end(peer)
            self.assertEqual([], caller.statuses)
            self.assertEqual(sends, len(self.reactor.tcpClients))
            if route == "book":
                assert caller.failure is not None
                self.assertEqual(502, forwarded_status(caller.failure))

    def test_stream_that_ends_before_its_request_is_written(self) -> None:
        peer, caller = self.submit("brief", HEAD + events(1, 2))
        self.end(peer)
        self.assertTrue(caller.is_broken)
        self.assertFalse(caller.is_ended)
        self.make_router()
        peer, caller = self.submit("draft", HEAD + events(1, 2))
        self.end(peer)
        self.assertFalse(caller.is_ended)
        second = accept(self.reactor)
        body = events(3)
        second.protocol.dataReceived(LENGTH_HEAD % len(body) + body)
        self.assertEqual(events(1, 2, 3), caller.body)


class ResetTest(TestCase):
    """A write outside of the event loop takes the news of a reset."""

    def test_end_after_a_reset_that_a_write_has_seen(self) -> None:
        for is_reset in (False, True):
            reactor = MemoryReactorClock()
            client = Http1Client(reactor=reactor)
            results: list[Any] = []
            fetch(client, "10.0.0.1:80", request_of(5), 1.0).addCallback(
                results.append
            )
            peer = accept(reactor)
            # The endpoint wraps the protocol.
            peer.protocol._wrappedProtocol.is_reset = is_reset
            peer.protocol.dataReceived(HEAD + b"part")
            peer.protocol.connectionLost(TwistedFailure(CLOSED))
            self.assertEqual(is_reset, results[0].is_error())

    def test_write_to_a_reset_connection_tells(self) -> None:
        live.start_reactor_thread()
        for is_reset in (False, True):
            is_connected, has_ended = threading.Event(), threading.Event()
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen()

                def serve(
                    listener: socket.socket = listener,
                    is_reset: bool = is_reset,
                    is_connected: threading.Event = is_connected,
                    has_ended: threading.Event = has_ended,
                ) -> None:
                    connection, _ = listener.accept()
                    is_connected.wait(1.0)
                    if is_reset:
                        connection.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
                        )
                        connection.close()
                    has_ended.set()
                    time.sleep(IDLE_S)
                    connection.close()

                threading.Thread(target=serve, daemon=True).start()
                told = live.in_reactor(
                    write_once, listener.getsockname(), is_connected, has_ended
                )
            self.assertEqual(not is_reset, told)


def write_once(
    address: tuple[str, int],
    is_connected: threading.Event,
    has_ended: threading.Event,
) -> Any:
    """Connect, and write when the far end has ended or not.

    The event loop does nothing meanwhile, so nothing else sees a reset.
    """
    protocol: Any = Protocol()
    endpoint = TCP4ClientEndpoint(event_loop.reactor, *address)

    def connected(_: Any) -> bool:
        is_connected.set()
        has_ended.wait(1.0)
        time.sleep(0.05)
        told = sockets.write_now(protocol.transport, b"x")
        protocol.transport.abortConnection()
        return told

    connecting = endpoint.connect(Factory.forProtocol(lambda: protocol))
    return connecting.addCallback(connected)


class OwnInterfaceStatusTest(TestCase):
    """Services, agents and the log behind the OpenAI interface."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()

    def target(self, status: bytes) -> RawTarget:
        """Return a target that answers with a status."""
        head = b"HTTP/1.1 %s No\r\ncontent-length: 2\r\n\r\n" % status
        return RawTarget(answer=head + b"{}")

    def test_answers_of_services_and_engines(self) -> None:
        for service, status in itertools.product(
            ("plain", "engine"), (b"000", b"099", b"600", b"999")
        ):
            sink = RecordingSink()
            client = Http1Client(reactor=event_loop.reactor)
            port = open_port(service, client)
            with self.target(status) as found:
                live.in_reactor(port.open, found.address, ATTEMPT, sink)
                self.assertTrue(sink.has_ended.wait(5.0))
            (end,) = sink.ends
            assert end.failure is not None, (service, status)
            self.assertEqual(Verdict.MAY_HAVE_RUN, end.failure.verdict)

    def test_answers_of_the_log(self) -> None:
        client = live.in_reactor(http_client.make_client)
        calls = http_client.JsonClient(client=client)
        for status, is_ok in (
            (b"200", True),
            (b"000", False),
            (b"099", False),
            (b"600", False),
        ):
            with self.target(status) as log:
                url = f"http://{log.address}/a"
                result = live.in_reactor(calls.call, "POST", url, dict, {})
            self.assertEqual(is_ok, result.is_ok(), status)


class StatusTest(CloseDelimitedRig):
    """Statuses that are no answer's (RFC 9110, section 15)."""

    def test_status_that_is_not_valid_is_a_failure(self) -> None:
        for status in (b"600", b"999", b"000", b"099", b"1000", b"20", b"101"):
            for route in ("book", "brief"):
                self.make_router()
                line = b"HTTP/1.1 %s No\r\ncontent-length: 0\r\n\r\n" % status
                _, caller = self.begin(route, line)
                if caller.failure is None:
                    self.fail(f"{status!r} on {route}: {caller.statuses}")
                self.assertEqual(502, forwarded_status(caller.failure))
                self.assertEqual([], caller.statuses)

    def test_valid_statuses_are_passed_on(self) -> None:
        for status in (200, 204, 299, 404, 500, 599):
            self.make_router()
            _, caller = self.begin(
                "book", b"HTTP/1.1 %d x\r\ncontent-length: 0\r\n\r\n" % status
            )
            self.assertEqual([status], caller.statuses)
