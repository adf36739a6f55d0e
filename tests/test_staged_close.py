"""The bounds on closing connections in stages, on a virtual clock."""

from unittest import mock

from testtools import TestCase
from twisted.internet.task import Clock

from sequoiawind import sockets
from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.options import ClosingOptions
from sequoiawind.staged_close import Bound, StagedCloser
from tests.stand_ins import FakeTransport

LINGER_S = 3.0
LINGER_BYTES = 1_000
MALFORMED = b"\x00 malformed\r\n\r\n"


class StagedCloseTest(TestCase):
    """A connection that was refused, and whose caller goes on sending."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.bounds: list[Bound] = []
        self.closer = StagedCloser(
            clock=self.clock,
            options=ClosingOptions(
                linger_s=LINGER_S, linger_bytes=LINGER_BYTES
            ),
            on_bound=self.bounds.append,
        )
        self.site = CallerSite(
            clock=self.clock,
            on_request=lambda request, caller: self.fail("a request passed"),
            limits=CallerLimits,
            on_refusal=lambda reason: None,
            closer=self.closer,
        )

    def refuse(self, is_stalled: bool = False) -> FakeTransport:
        """Return the transport of a connection that has been refused."""
        connection = self.site.buildProtocol(None)
        transport = FakeTransport()
        transport.protocol = connection
        transport.is_stalled = is_stalled
        connection.makeConnection(transport)
        connection.dataReceived(MALFORMED)
        self.assertIn(b" 400 ", transport.value())
        return transport

    def check_ended_at(self, transport: FakeTransport, bound: Bound) -> None:
        self.assertTrue(transport.is_aborted)
        self.assertEqual([bound], self.bounds)
        self.assertEqual(set(), self.closer.connections)
        # What is reported later counts no second time.
        transport.protocol.dataReceived(b"x" * 2 * LINGER_BYTES)
        transport.protocol.connectionLost()
        self.clock.advance(10 * LINGER_S)
        self.assertEqual([bound], self.bounds)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_endless_sender_ends_at_the_bound_of_bytes(self) -> None:
        transport = self.refuse()
        for _ in range(LINGER_BYTES // 100):
            transport.protocol.dataReceived(b"x" * 100)
        self.assertFalse(transport.is_aborted)
        transport.protocol.dataReceived(b"x")
        self.check_ended_at(transport, Bound.BYTES)

    def test_trickling_sender_ends_at_the_bound_of_time(self) -> None:
        transport = self.refuse()
        for _ in range(int(LINGER_S) - 1):
            self.clock.advance(1.0)
            transport.protocol.dataReceived(b"x")
        self.assertFalse(transport.is_aborted)
        self.assertFalse(self.closer.is_idle)
        self.clock.advance(1.0)
        self.check_ended_at(transport, Bound.TIME)
        self.assertTrue(self.closer.is_idle)

    def test_caller_that_closes_is_not_counted(self) -> None:
        transport = self.refuse()
        transport.protocol.dataReceived(b"x")
        transport.protocol.readConnectionLost()
        self.assertTrue(transport.disconnecting)
        transport.protocol.connectionLost()
        self.clock.advance(10 * LINGER_S)
        self.assertFalse(transport.is_aborted)
        self.assertEqual([], self.bounds)
        self.assertEqual(set(), self.closer.connections)

    def test_reset_by_the_caller_is_not_counted(self) -> None:
        transport = self.refuse()
        transport.protocol.connectionLost()
        self.clock.advance(10 * LINGER_S)
        self.assertEqual([], self.bounds)
        self.assertEqual(set(), self.closer.connections)

    def test_answer_that_is_still_being_sent_is_not_cut(self) -> None:
        transport = self.refuse(is_stalled=True)
        self.assertEqual(1, len(self.closer.connections))
        self.clock.advance(LINGER_S)
        self.assertTrue(transport.disconnecting)
        self.assertFalse(transport.is_aborted)
        self.assertEqual([], self.bounds)
        self.assertEqual(set(), self.closer.connections)

    def test_answer_that_is_read_slowly_holds_the_end_of_the_process(
        self,
    ) -> None:
        # Guards against the tail of an answer being lost with the process.
        untaken = [600, 400, 200]
        with mock.patch.object(
            sockets, "untaken_bytes", side_effect=lambda _: untaken[0]
        ):
            transport = self.refuse(is_stalled=True)
            while len(untaken) > 1:
                del untaken[0]
                self.clock.advance(LINGER_S)
                self.assertFalse(self.closer.is_idle)
                self.assertFalse(transport.disconnecting)
            # The kernel has the rest, and the peer has not.
            transport.protocol.writeConnectionLost()
            transport.protocol.holds_stop = False
            self.assertFalse(self.closer.is_idle)
            untaken[0] = 0
            self.assertTrue(self.closer.is_idle)
            self.clock.advance(LINGER_S)
            self.assertFalse(transport.is_aborted)
            self.clock.advance(LINGER_S)
        self.assertTrue(transport.is_aborted)

    def test_site_lets_go_of_the_connection_at_once(self) -> None:
        connection = self.site.buildProtocol(None)
        transport = FakeTransport()
        connection.makeConnection(transport)
        connection.dataReceived(MALFORMED)
        self.assertEqual(set(), self.site.connections)
        self.assertEqual(1, len(self.closer.connections))
        self.site.close_idle()
        self.assertFalse(transport.disconnecting)

    def test_reading_goes_on_where_it_was_paused(self) -> None:
        transport = FakeTransport()
        transport.pauseProducing()
        self.closer.close(transport)
        self.assertEqual("producing", transport.producerState)
