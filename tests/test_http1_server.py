"""The HTTP/1.1 server: requests, malformed input, aborted answers."""

from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.verdict import Reason
from tests.stand_ins import FakeTransport

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class CallerTest(TestCase):
    """Requests and answers on a caller's connection."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.clock.advance(100.0)
        self.received: list[tuple[HttpRequest, CallerConnection]] = []
        self.refused: list[Reason] = []
        self.site = CallerSite(
            clock=self.clock,
            on_request=lambda request, caller: self.received.append(
                (request, caller)
            ),
            limits=lambda: CallerLimits(
                header_bytes=500,
                body_bytes=100,
                header_timeout_s=3.0,
                idle_timeout_s=15.0,
            ),
            on_refusal=self.refused.append,
        )

    def connect(self) -> tuple[CallerConnection, FakeTransport]:
        connection = self.site.buildProtocol(None)
        transport = FakeTransport()
        connection.makeConnection(transport)
        return connection, transport

    def check_closes_in_stages(self, transport: FakeTransport) -> None:
        """Check that the rest is discarded until the caller closes too."""
        self.assertTrue(transport.is_half_closed)
        self.assertFalse(transport.disconnecting)
        before = (transport.value(), len(self.received))
        transport.protocol.dataReceived(GET + b"x" * 1_000)
        self.clock.advance(0.0)
        self.assertEqual(before, (transport.value(), len(self.received)))
        self.assertFalse(transport.disconnecting)
        transport.protocol.readConnectionLost()
        self.assertTrue(transport.disconnecting)
        self.assertFalse(transport.is_aborted)
        transport.protocol.connectionLost()
        self.assertEqual(set(), self.site.closer.connections)
        self.assertNotIn(
            transport, [c.transport for c in self.site.connections]
        )

    def test_requests_in_parts_and_whole(self) -> None:
        chunked = (
            b"POST /a?q=1 HTTP/1.1\r\nHost: h\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        )
        sized = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        for data, target, body in (
            (GET, b"/a", b""),
            (chunked, b"/a?q=1", b"abc"),
            (sized, b"/a", b"abc"),
        ):
            for size in (1, len(data)):
                connection, _ = self.connect()
                for offset in range(0, len(data), size):
                    connection.dataReceived(data[offset : offset + size])
                request, _ = self.received[-1]
                self.assertEqual(target, request.request_target)
                self.assertEqual(body, request.body)

    def test_invalid_requests_are_refused(self) -> None:
        for data, status in (
            (b"hello\r\n\r\n", b"400"),
            (b"GET /a HTTP/1.1\r\n\r\n", b"400"),
            (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 600, b"431"),
            (
                b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
            (
                b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                b"Content-Length: 4\r\n\r\nabcd",
                b"400",
            ),
            (
                b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n"
                + b"x" * 200,
                b"413",
            ),
        ):
            connection, transport = self.connect()
            before = len(self.received)
            connection.dataReceived(data)
            self.assertEqual(before, len(self.received), data[:60])
            self.assertIn(status, transport.value()[:20], data[:60])
            self.check_closes_in_stages(transport)

    def test_slow_head_and_idle_connection_time_out(self) -> None:
        connection, transport = self.connect()
        connection.dataReceived(GET[:5])
        self.clock.advance(3.1)
        self.assertIn(b"408", transport.value()[:20])
        self.check_closes_in_stages(transport)
        _, transport = self.connect()
        self.clock.advance(14.0)
        self.assertFalse(transport.disconnecting)
        self.clock.advance(1.1)
        self.assertTrue(transport.disconnecting)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        connection, transport = self.connect()
        connection.dataReceived(GET + GET.replace(b"/a", b"/b"))
        self.assertEqual(1, len(self.received))
        connection.reply(200, [], b"one")
        self.clock.advance(0.0)
        self.assertEqual(b"/b", self.received[-1][0].request_target)
        connection.reply(200, [], b"two")
        self.assertTrue(transport.value().endswith(b"two"))

    def test_aborted_stream_does_not_look_complete(self) -> None:
        connection, transport = self.connect()
        connection.dataReceived(GET)
        connection.send_head(200, [])
        connection.send_data(b"part")
        connection.abort_answer()
        self.assertIn(b"chunked", transport.value().lower())
        self.assertNotIn(b"0\r\n\r\n", transport.value())
        self.assertTrue(transport.disconnecting)

    def test_disconnect_is_reported(self) -> None:
        connection, _ = self.connect()
        connection.dataReceived(GET)
        disconnects: list[bool] = []
        connection.on_disconnect = lambda: disconnects.append(True)
        connection.connectionLost()
        self.assertEqual([True], disconnects)
        # An answer after the disconnect is discarded.
        connection.reply(200, [], b"late")

    def test_closing_site_finishes_answers_and_closes_idle(self) -> None:
        connection, transport = self.connect()
        idle, idle_transport = self.connect()
        connection.dataReceived(GET)
        self.site.is_closing = True
        self.site.close_idle()
        self.check_closes_in_stages(idle_transport)
        self.assertFalse(transport.disconnecting)
        connection.reply(200, [], b"")
        self.assertIn(b"connection: close", transport.value().lower())
        # The end of the process need not wait for what may cross the close.
        self.assertTrue(self.site.closer.is_idle)
        self.check_closes_in_stages(transport)
        self.assertFalse(idle.is_answering)
