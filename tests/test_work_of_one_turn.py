"""What one connection may have done in a turn of the event loop is bounded.

Guards against a process that serves nobody else for seconds, as a few
connections send bytes that cost far more than their number.
"""

from typing import Any

from testtools import TestCase
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind.caller_site import CallerSite
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_client import Http1Client
from sequoiawind.http_request import HttpRequest
from tests.stand_ins import FakeTransport, accept
from tests.test_http1_client import REQUEST, RecordingSink

CHUNKS = 2_000
# Chunks that may be handled in a turn: a small part of those of one read.
MOST = 200
# Time by which the clock advances for a turn, in seconds.
TURN_S = 0.001
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nx-id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY = b"1\r\nx\r\n" * CHUNKS


class TurnClock(Clock):
    """A clock on which a call without delay waits for the next advance."""

    def callLater(self, when: float, *args: Any, **kw: Any) -> Any:
        """Schedule a call, at the earliest for the next turn."""
        return Clock.callLater(self, max(when, TURN_S), *args, **kw)


class TurnReactor(TurnClock, MemoryReactorClock):
    """A reactor with such a clock."""


class WorkOfOneTurnTest(TestCase):
    """Bodies in single bytes, and interim answers without end."""

    def test_body_of_a_caller(self) -> None:
        received: list[HttpRequest] = []
        clock = TurnClock()
        site = CallerSite(
            clock=clock,
            on_request=lambda request, connection: received.append(request),
            limits=CallerLimits,
            on_refusal=lambda reason: None,
        )
        transport = FakeTransport()
        transport.protocol = connection = site.buildProtocol(None)
        connection.makeConnection(transport)
        connection.dataReceived(HEAD + BODY + b"0\r\n\r\n")
        turns = 0
        while not received and turns < CHUNKS:
            before = len(connection.body)
            clock.advance(TURN_S)
            turns += 1
            self.assertTrue(len(connection.body) - before <= MOST)
        self.assertTrue(turns >= CHUNKS / MOST, turns)
        self.assertEqual(b"x" * CHUNKS, received[0].body)

    def test_answer_of_a_target(self) -> None:
        reactor = TurnReactor()
        client, sink = Http1Client(reactor=reactor), RecordingSink()
        client.call("10.0.0.1:80", REQUEST, sink)
        peer = accept(reactor)
        peer.protocol.dataReceived(ANSWER + BODY + b"0\r\n\r\n")
        turns = 0
        while not sink.is_done and turns < CHUNKS:
            before = len(sink.body)
            reactor.advance(TURN_S)
            turns += 1
            self.assertTrue(len(sink.body) - before <= MOST)
        self.assertTrue(turns >= CHUNKS / MOST, turns)
        self.assertEqual(b"x" * CHUNKS, sink.body)

    def test_answer_whose_connection_ends_is_read_to_its_end(self) -> None:
        reactor = TurnReactor()
        client, sink = Http1Client(reactor=reactor), RecordingSink()
        client.call("10.0.0.1:80", REQUEST, sink)
        peer = accept(reactor)
        peer.protocol.dataReceived(ANSWER + BODY + b"0\r\n\r\n")
        peer.protocol.connectionLost(TwistedFailure(error.ConnectionDone()))
        self.assertTrue(sink.is_done)
        self.assertEqual(b"x" * CHUNKS, sink.body)

    def test_interim_answers_end_a_call(self) -> None:
        reactor = TurnReactor()
        client, sink = Http1Client(reactor=reactor), RecordingSink()
        client.call("10.0.0.1:80", REQUEST, sink)
        peer = accept(reactor)
        peer.protocol.dataReceived(b"HTTP/1.1 102 Processing\r\n\r\n" * 300)
        reactor.advance(TURN_S)
        self.assertTrue(sink.failure is not None)
        self.assertTrue(peer.transport.is_aborted)
