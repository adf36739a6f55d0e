"""A request that follows a stream in a stop is answered, not thrown away.

The head of the stream's answer was sent before SIGTERM, so its caller does not
know that the connection closes, and sends on.
"""

from unittest import mock

from testtools import TestCase

from sequoiawind import event_loop
from tests.stand_ins import FakeTransport
from tests.test_late_in_shutdown import (
    END_S,
    LEAVE_S,
    Stopping,
    request,
    statuses,
)

EVENT = b"id: 1\ndata: x\n\n"


class RequestBehindAStreamTest(TestCase):
    """A kept connection of a router that stops."""

    def setUp(self) -> None:
        super().setUp()
        self.router = Stopping()
        clock = self.router.rig.clock
        patch = mock.patch.object(event_loop, "reactor", clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.sent = self.router.rig.port.sent

    def end_stream_at(self, seconds: float) -> FakeTransport:
        """Let a stream begin before SIGTERM and end a time after it."""
        caller = self.router.connect()
        caller.protocol.dataReceived(request("brief", 20_000))
        self.sent[-1].begin(200, EVENT)
        self.router.daemon.leave()
        self.router.advance_to(seconds)
        self.sent[-1].sink.done()
        return caller

    def check(self, ends_s: float, deadline_ms: int, status: int) -> None:
        """Check the answer to a request that follows the stream.

        Args:
          ends_s: When the stream ends, in seconds after SIGTERM.
          deadline_ms: Time of the request that follows.
          status: Its expected status.
        """
        caller = self.end_stream_at(ends_s)
        self.assertFalse(caller.is_half_closed)
        caller.protocol.dataReceived(request("book", deadline_ms))
        if status == 200:
            self.sent[-1].answer(200, b"done")
        self.assertEqual([200, status], statuses(caller))
        head = caller.value().rpartition(b"HTTP/1.1 ")[2].lower()
        self.assertIn(b"connection: close", head)
        self.assertTrue(caller.is_half_closed)
        caller.protocol.connectionLost()
        self.router.advance_to(END_S)
        self.assertTrue(self.router.stopped_s > 0.0)

    def test_before_the_drain(self) -> None:
        self.check(ends_s=1.0, deadline_ms=20_000, status=200)

    def test_after_the_drain_if_it_ends_in_time(self) -> None:
        self.check(ends_s=4.0, deadline_ms=2_000, status=200)

    def test_after_the_drain_if_it_may_last_too_long(self) -> None:
        self.check(ends_s=4.0, deadline_ms=20_000, status=503)

    def test_connection_that_brings_no_request_does_not_hold_the_stop(
        self,
    ) -> None:
        caller = self.end_stream_at(LEAVE_S + 1.0)
        self.router.advance_to(LEAVE_S + 1.3)
        self.assertTrue(self.router.stopped_s > 0.0)
        self.assertTrue(caller.is_half_closed)
