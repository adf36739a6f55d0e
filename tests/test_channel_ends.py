"""Ends of connections at the OpenAI interface are reported with their cause."""

import socket
from typing import Any

import klein
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.web import server

from sequoiawind import channel_ends, http_server
from sequoiawind.connection_ends import Cause, ConnectionEnd, RequestPhase
from tests import live
from tests.slow_peers import wait_until

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
TIMEOUT_S = 20.0


class ChannelTest(TestCase):
    """Connections on real sockets."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()
        self.ends: list[ConnectionEnd] = []
        # Requests that have arrived and have no whole answer.
        self.open: list[server.Request] = []
        app = klein.Klein()
        app.route("/a")(lambda request: b"answer")
        app.route("/wait")(self.wait)
        port: Any = live.in_reactor(
            lambda: http_server.listen(
                app, live.ANY_PORT, on_end=self.ends.append
            )
        )
        self.addCleanup(live.in_reactor, port.stopListening)
        self.address = live.address_of(port)

    def wait(self, request: server.Request) -> Deferred[bytes]:
        """Leave a request without an answer."""
        channel: Any = request.channel
        channel.last_request_id = "q1"
        self.open.append(request)
        return Deferred()

    def connect(self, data: bytes) -> socket.socket:
        """Connect, and send bytes."""
        sock = socket.create_connection(
            (self.address.host, self.address.port), timeout=TIMEOUT_S
        )
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def only(self) -> ConnectionEnd:
        """Return the only end, once it was reported."""
        self.assertTrue(wait_until(lambda: bool(self.ends)))
        (end,) = self.ends
        return end

    def test_caller_that_leaves_without_an_answer(self) -> None:
        sock = self.connect(GET.replace(b"/a", b"/wait") + b"\r\n")
        self.assertTrue(wait_until(lambda: bool(self.open)))
        sock.close()
        end = self.only()
        self.assertEqual(
            (Cause.CALLER_LEFT, "closed", RequestPhase.WAITING),
            (end.cause, end.detail, end.request_phase),
        )
        self.assertEqual("q1", channel_ends.request_id(end.headers))

    def test_caller_that_leaves_during_its_answer(self) -> None:
        sock = self.connect(GET.replace(b"/a", b"/wait") + b"\r\n")
        self.assertTrue(wait_until(lambda: bool(self.open)))
        live.in_reactor(self.open[0].write, b"part")
        self.assertTrue(sock.recv(1).startswith(b"H"))
        sock.close()
        self.assertEqual(RequestPhase.ANSWERING, self.only().request_phase)
        self.assertEqual(4, self.only().written_bytes)

    def test_half_sent_requests(self) -> None:
        for data, phase in (
            (GET, RequestPhase.READING_HEAD),
            (POST + b"xx", RequestPhase.READING_BODY),
        ):
            self.ends.clear()
            self.connect(data).close()
            end = self.only()
            self.assertEqual(Cause.CALLER_LEFT, end.cause)
            self.assertEqual(phase, end.request_phase)

    def test_refused_and_answered_requests_and_idle_callers(self) -> None:
        for data, cause, detail, phase in (
            (
                b"no request\r\n\r\n",
                Cause.REFUSED,
                "bad_request",
                RequestPhase.READING_HEAD,
            ),
            (
                GET + b"Connection: close\r\n\r\n",
                Cause.ANSWERED,
                "",
                # It was written in the same turn of the event loop.
                RequestPhase.ANSWERED,
            ),
            (b"", Cause.CALLER_LEFT, "closed", RequestPhase.NONE),
        ):
            self.ends.clear()
            sock = self.connect(data)
            while data and sock.recv(1_000):
                pass
            sock.close()
            end = self.only()
            self.assertEqual(
                (cause, detail, phase),
                (end.cause, end.detail, end.request_phase),
            )
