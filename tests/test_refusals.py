"""Callers on real sockets that are refused while they are still sending."""

import socket
from collections.abc import Iterator
from typing import Any, Final

import attrs
import klein
from testtools import TestCase
from twisted.web import server

from sequoiawind import defaults, event_loop, http_server
from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.options import Address, ClosingOptions
from sequoiawind.staged_close import Bound, StagedCloser
from sequoiawind.verdict import Reason
from tests import live

# Sent after the limit; more than the buffers of two sockets hold, so that the
# caller is still sending when it is refused.
EXCESS_BYTES: Final = 12 * 1024 * 1024
PART: Final = b"x" * 0x10000
# For how long a caller waits for its answer before the test fails, in seconds.
PATIENCE_S: Final = 60.0
GENEROUS: Final = ClosingOptions(
    linger_s=PATIENCE_S, linger_bytes=2 * EXCESS_BYTES
)

HEAD: Final = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
CHUNKED: Final = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GET: Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_GET: Final = GET.replace(b"Host", b"Connection: close\r\nHost")
CHUNK: Final = b"10000\r\n" + PART + b"\r\n"


def send_and_read(address: Address, head: bytes, part: bytes) -> bytes:
    """Send a head and, after it, parts; return the answer up to its end.

    The caller reads nothing before it has sent everything.
    """
    with socket.create_connection(
        (address.host, address.port), timeout=PATIENCE_S
    ) as sock:
        sock.sendall(head)
        for _ in range(EXCESS_BYTES // len(part)):
            sock.sendall(part)
        return b"".join(read_parts(sock))


def read_parts(sock: socket.socket) -> Iterator[bytes]:
    """Yield what arrives until the other side has ended."""
    while part := sock.recv(0x10000):
        yield part


def send_without_end(sock: socket.socket) -> None:
    """Send chunks until the connection breaks."""
    while True:
        sock.sendall(CHUNK)


class ForwardingTest(TestCase):
    """The interface that forwards requests unchanged."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()
        self.received: list[HttpRequest] = []
        self.refused: list[Reason] = []
        self.bounds: list[Bound] = []
        self.closer = StagedCloser(
            clock=event_loop.reactor,
            options=GENEROUS,
            on_bound=self.bounds.append,
        )
        self.site = CallerSite(
            clock=event_loop.reactor,
            on_request=self.answer,
            limits=lambda: CallerLimits(header_bytes=5_000, body_bytes=1_000),
            on_refusal=self.refused.append,
            closer=self.closer,
        )
        port: Any = live.in_reactor(
            event_loop.reactor.listenTCP, 0, self.site, 50, "127.0.0.1"
        )
        self.addCleanup(live.in_reactor, port.stopListening)
        self.address = live.address_of(port)

    def answer(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        self.received.append(request)
        connection.reply(200, [], b"answer")

    def check_refused(
        self, status: bytes, reason: Reason, head: bytes, part: bytes
    ) -> None:
        answer = send_and_read(self.address, head, part)
        self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
        self.assertIn(b"connection: close", answer.lower())
        self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)
        self.assertEqual([reason], self.refused)
        self.assertEqual([], self.received)
        self.assertEqual([], self.bounds)

    def test_body_in_chunks_too_large(self) -> None:
        self.check_refused(b"413", Reason.BODY_TOO_LARGE, CHUNKED, CHUNK)

    def test_announced_body_too_large(self) -> None:
        head = HEAD + b"Content-Length: 99999999\r\n\r\n"
        self.check_refused(b"413", Reason.BODY_TOO_LARGE, head, PART)

    def test_head_too_long(self) -> None:
        self.check_refused(b"431", Reason.HEAD_TOO_LARGE, HEAD + b"A: ", PART)

    def test_malformed_request(self) -> None:
        head = b"\x00 malformed\r\n\r\n"
        self.check_refused(b"400", Reason.BAD_REQUEST, head, PART)

    def test_caller_that_has_ended_before_the_refusal(self) -> None:
        with socket.create_connection(
            (self.address.host, self.address.port), timeout=PATIENCE_S
        ) as sock:
            sock.sendall(b"\x00 malformed\r\n\r\n")
            sock.shutdown(socket.SHUT_WR)
            answer = b"".join(read_parts(sock))
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
        self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)

    def test_request_after_a_refusal_is_not_passed_on(self) -> None:
        with socket.create_connection(
            (self.address.host, self.address.port), timeout=PATIENCE_S
        ) as sock:
            sock.sendall(b"\x00 malformed\r\n\r\n" + GET)
            answer = b"".join(read_parts(sock))
            sock.sendall(GET)
            sock.shutdown(socket.SHUT_WR)
            self.assertEqual(b"", sock.recv(100))
        self.assertEqual(1, answer.count(b"HTTP/1.1"))
        self.assertEqual([], self.received)

    def test_endless_sender_is_cut_off_and_counted(self) -> None:
        self.closer.options = attrs.evolve(GENEROUS, linger_bytes=len(PART))
        with socket.create_connection(
            (self.address.host, self.address.port), timeout=PATIENCE_S
        ) as sock:
            sock.sendall(CHUNKED)
            self.assertRaises(ConnectionError, send_without_end, sock)
        self.assertEqual([Bound.BYTES], self.bounds)
        self.assertEqual(set(), self.closer.connections)

    def check_answered(self, request: bytes) -> None:
        head = request + HEAD + b"Content-Length: 99999999\r\n\r\n"
        answer = send_and_read(self.address, head, PART)
        self.assertEqual(1, answer.count(b"HTTP/1.1"), answer)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"\r\n\r\nanswer"), answer)
        self.assertEqual(1, len(self.received))
        self.assertEqual([], self.bounds)

    def test_request_that_crosses_the_close_of_a_stop(self) -> None:
        self.site.is_closing = True
        self.check_answered(GET)

    def test_request_behind_the_last_one(self) -> None:
        self.check_answered(LAST_GET)


class OpenAiTest(TestCase):
    """The HTTP server of the OpenAI-compatible interface and of agents."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()
        self.received: list[bytes] = []
        self.refused: list[Reason] = []
        self.bounds: list[Bound] = []
        self.closer = StagedCloser(
            clock=event_loop.reactor,
            options=GENEROUS,
            on_bound=self.bounds.append,
        )
        app = klein.Klein()
        app.route("/", branch=True)(self.answer)
        port: Any = live.in_reactor(
            http_server.listen,
            app,
            live.ANY_PORT,
            self.refused.append,
            self.closer,
        )
        self.addCleanup(live.in_reactor, port.stopListening)
        self.address = live.address_of(port)

    def answer(self, request: server.Request) -> bytes:
        self.received.append(http_server.body_of(request))
        return b"answer"

    def test_body_that_ends_beyond_the_limit_is_refused_once(self) -> None:
        whole = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        beyond = b"1\r\nx\r\n" * 3 + b"0\r\n\r\n"
        parts = defaults.MAX_BODY_BYTES // 0x100000
        with socket.create_connection(
            (self.address.host, self.address.port), timeout=PATIENCE_S
        ) as sock:
            sock.sendall(CHUNKED + whole * parts + beyond + GET)
            answer = b"".join(read_parts(sock))
        self.assertEqual(1, answer.count(b"HTTP/1.1"), answer)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)
        self.assertEqual([Reason.BODY_TOO_LARGE], self.refused)
        self.assertEqual([], self.received)

    def test_refused_body_is_not_asked_for(self) -> None:
        head = HEAD + b"Content-Length: 99999999\r\nExpect: 100-continue\r\n"
        with socket.create_connection(
            (self.address.host, self.address.port), timeout=PATIENCE_S
        ) as sock:
            sock.sendall(head + b"\r\n")
            answer = b"".join(read_parts(sock))
        self.assertEqual(1, answer.count(b"HTTP/1.1"), answer)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)

    def check_refused(
        self, status: bytes, reasons: list[Reason], head: bytes, part: bytes
    ) -> None:
        answer = send_and_read(self.address, head, part)
        self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
        self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)
        self.assertEqual(1, answer.count(b"HTTP/1.1"), answer)
        self.assertEqual(reasons, self.refused)
        self.assertEqual([], self.received)
        self.assertEqual([], self.bounds)

    def test_body_in_chunks_too_large(self) -> None:
        self.check_refused(b"413", [Reason.BODY_TOO_LARGE], CHUNKED, CHUNK)

    def test_announced_body_too_large(self) -> None:
        head = HEAD + b"Content-Length: 99999999\r\n\r\n"
        self.check_refused(b"413", [Reason.BODY_TOO_LARGE], head, PART)

    def test_malformed_request(self) -> None:
        self.check_refused(b"400", [], b"malformed\r\n\r\n" + GET, PART)

    def test_line_of_the_head_too_long(self) -> None:
        self.check_refused(b"431", [Reason.BAD_REQUEST], HEAD + b"A: ", PART)

    def test_head_too_long(self) -> None:
        head = HEAD + b"A: x\r\n" * 4_000
        self.check_refused(b"400", [], head, PART)

    def test_malformed_header(self) -> None:
        head = GET.replace(b"Host", b"Host: h\r\nA malformed\r\nB")
        self.check_refused(b"400", [], head + GET, PART)

    def test_malformed_chunk(self) -> None:
        head = CHUNKED + b"malformed\r\n\r\n"
        self.check_refused(b"400", [], head + GET, PART)

    def test_caller_that_has_ended_before_the_refusal(self) -> None:
        with socket.create_connection(
            (self.address.host, self.address.port), timeout=PATIENCE_S
        ) as sock:
            sock.sendall(b"malformed\r\n\r\n")
            sock.shutdown(socket.SHUT_WR)
            answer = b"".join(read_parts(sock))
        self.assertEqual(b"HTTP/1.1 400 Bad Request\r\n\r\n", answer)

    def test_endless_sender_is_cut_off_and_counted(self) -> None:
        self.closer.options = attrs.evolve(GENEROUS, linger_bytes=len(PART))
        with socket.create_connection(
            (self.address.host, self.address.port), timeout=PATIENCE_S
        ) as sock:
            sock.sendall(CHUNKED)
            self.assertRaises(ConnectionError, send_without_end, sock)
        self.assertEqual([Bound.BYTES], self.bounds)
        self.assertEqual(set(), self.closer.connections)

    def test_stop_of_a_router_waits_for_a_refused_caller(self) -> None:
        router = live.shared().routers[1]
        address = live.address_of(router.port)
        with socket.create_connection(
            (address.host, address.port), timeout=PATIENCE_S
        ) as sock:
            sock.sendall(b"malformed\r\n\r\n")
            answer = b"".join(read_parts(sock))
            self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
            self.assertFalse(live.in_reactor(router.is_idle))
            sock.shutdown(socket.SHUT_WR)

    def test_request_behind_the_last_one(self) -> None:
        head = LAST_GET + HEAD + b"Content-Length: 99999999\r\n\r\n"
        answer = send_and_read(self.address, head, PART)
        self.assertEqual(1, answer.count(b"HTTP/1.1"), answer)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"answer\r\n0\r\n\r\n"), answer)
        self.assertEqual([b""], self.received)
        self.assertEqual([], self.bounds)
