"""Requests that one connection sends ahead to the OpenAI interface.

Guards against a connection that holds up all others by thousands of requests
that are answered at once.
"""

from unittest import mock

import klein
from testtools import TestCase
from twisted.internet.address import IPv4Address
from twisted.internet.testing import StringTransport
from twisted.web import server

from sequoiawind import http_server
from sequoiawind.http_server import BoundedRequest, BoundedSite
from sequoiawind.staged_close import StagedCloser
from tests.test_work_of_one_turn import TURN_S, TurnClock

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
BODY = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"


class SentAheadTest(TestCase):
    """A connection on a virtual clock."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = TurnClock()
        patch = mock.patch.object(http_server, "reactor", self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        app = klein.Klein()
        app.route("/", methods=["GET", "POST"])(self.answer)
        self.count = 0
        site = BoundedSite(
            app.resource(),
            reactor=self.clock,
            requestFactory=BoundedRequest,
            on_refusal=lambda reason: None,
            closer=StagedCloser(clock=self.clock),
        )
        self.channel = site.buildProtocol(IPv4Address("TCP", "h", 1))
        self.channel.callLater = self.clock.callLater
        self.transport = StringTransport()
        self.channel.makeConnection(self.transport)
        self.addCleanup(self.channel.setTimeout, None)

    def answer(self, request: server.Request) -> bytes:
        """Answer at once."""
        self.count += 1
        return b"answer"

    def test_one_request_is_handled_in_a_turn(self) -> None:
        self.channel.dataReceived((REQUEST + BODY) * 10)
        for turn in range(1, 21):
            self.assertEqual(turn, self.count)
            self.clock.advance(TURN_S)
        self.assertEqual(20, self.transport.value().count(b"answer"))
        # The connection goes on.
        self.channel.dataReceived(REQUEST)
        self.clock.advance(TURN_S)
        self.assertEqual(21, self.count)

    def test_none_is_handled_while_answers_are_not_taken(self) -> None:
        self.channel.dataReceived(REQUEST * 3)
        self.channel.pauseProducing()
        for _ in range(5):
            self.clock.advance(TURN_S)
        self.assertEqual(1, self.count)
        self.channel.resumeProducing()
        for _ in range(5):
            self.clock.advance(TURN_S)
        self.assertEqual(3, self.count)
