"""The HTTP/1.1 client: complete, foreign and failed answers."""

import attrs
from testtools import TestCase
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import messages
from sequoiawind.headers import Headers
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.http1_connection import parse_keep_alive
from sequoiawind.verdict import Failure, Verdict
from tests.stand_ins import Peer, accept

ECHO = (b"x-id", b"q1")
REQUEST = OutgoingRequest(
    method=b"POST",
    request_target=b"/a?b",
    headers=[(b"host", b"h"), ECHO],
    body=b"body",
    echo=ECHO,
)
FOREIGN = b"HTTP/1.1 200 OK\r\nx-id: q0\r\ncontent-length: 3\r\n\r\nold"
REFUSAL = (
    b"HTTP/1.1 503 Full\r\nx-id: q0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
)
MATCHING = b"HTTP/1.1 200 OK\r\nx-id: q1\r\ncontent-length: 3\r\n\r\nnew"
OPEN_ENDED = b"HTTP/1.1 200 OK\r\nx-id: q1\r\n\r\nne"


@attrs.define(kw_only=True, eq=False)
class RecordingSink:
    """A sink that records the calls that it receives."""

    status: int = 0
    body: bytes = b""
    is_done: bool = False
    failure: Failure | None = None

    def head(self, status: int, headers: Headers) -> None:
        """Record the status."""
        self.status = status

    def data(self, data: bytes) -> None:
        """Record a part of the body."""
        self.body += data

    def done(self) -> None:
        """Record the end."""
        self.is_done = True

    def failed(self, failure: Failure) -> None:
        """Record the failure."""
        self.failure = failure


class AnswerTest(TestCase):
    """Which bytes count as a complete answer to a request."""

    def setUp(self) -> None:
        super().setUp()
        self.reactor = MemoryReactorClock()
        self.client = Http1Client(reactor=self.reactor)

    def call(self) -> tuple[Peer, RecordingSink]:
        self.reactor = MemoryReactorClock()
        self.client = Http1Client(reactor=self.reactor)
        sink = RecordingSink()
        self.client.call("10.0.0.1:80", REQUEST, sink)
        return accept(self.reactor), sink

    def test_request_bytes(self) -> None:
        peer, _ = self.call()
        self.assertEqual(
            b"POST /a?b HTTP/1.1\r\nhost: h\r\nx-id: q1\r\n"
            b"content-length: 4\r\n\r\nbody",
            peer.take_sent(),
        )

    def test_connection_is_reused_after_a_whole_answer(self) -> None:
        peer, sink = self.call()
        peer.protocol.dataReceived(MATCHING)
        self.assertTrue(sink.is_done)
        next_sink = RecordingSink()
        self.client.call("10.0.0.1:80", REQUEST, next_sink)
        peer.protocol.dataReceived(MATCHING)
        self.assertEqual(1, len(self.reactor.tcpClients))
        self.assertEqual(b"new", next_sink.body)

    def test_answer_of_another_request_is_skipped(self) -> None:
        for data in (FOREIGN + MATCHING, FOREIGN):
            peer, sink = self.call()
            peer.protocol.dataReceived(data)
            if data == FOREIGN:
                self.assertFalse(sink.is_done)
                peer.protocol.dataReceived(MATCHING)
            self.assertEqual(b"new", sink.body)
            self.assertTrue(sink.is_done)

    def answer_to_second_request(self, *answers: bytes) -> RecordingSink:
        """Return what a request on a kept connection gets."""
        peer, _ = self.call()
        peer.protocol.dataReceived(MATCHING)
        sink = RecordingSink()
        self.client.call("10.0.0.1:80", REQUEST, sink)
        self.assertEqual(1, len(self.reactor.tcpClients))
        for answer in answers:
            peer.protocol.dataReceived(answer)
        return sink

    def test_repeated_refusal_of_an_earlier_request_is_skipped(self) -> None:
        for repeated in (REFUSAL, REFUSAL * 2):
            sink = self.answer_to_second_request(repeated)
            self.assertEqual(0, sink.status)
            self.assertIsNone(sink.failure)
            sink = self.answer_to_second_request(repeated, MATCHING)
            self.assertEqual(200, sink.status)
            self.assertTrue(sink.is_done)

    def test_repeated_refusal_without_its_id_proves_nothing(self) -> None:
        anonymous = REFUSAL.replace(b"x-id: q0\r\n", b"")
        sink = self.answer_to_second_request(anonymous)
        self.assertEqual(0, sink.status)
        assert sink.failure is not None
        self.assertEqual(Verdict.MAY_HAVE_RUN, sink.failure.verdict)

    def test_refusal_without_an_id_counts_where_targets_name_none(self) -> None:
        anonymous = REFUSAL.replace(b"x-id: q0\r\n", b"")
        peer, sink = self.call()
        peer.protocol.dataReceived(anonymous)
        self.assertEqual(503, sink.status)

    def test_bytes_after_an_answer_close_the_connection(self) -> None:
        peer, sink = self.call()
        peer.protocol.dataReceived(MATCHING + b"more")
        self.assertTrue(sink.is_done)
        self.assertTrue(peer.transport.is_aborted)

    def test_bytes_without_a_request_close_the_connection(self) -> None:
        peer, _ = self.call()
        peer.protocol.dataReceived(MATCHING)
        peer.protocol.dataReceived(FOREIGN)
        self.assertTrue(peer.transport.is_aborted)
        self.assertEqual(None, self.client.pop_idle("10.0.0.1:80"))

    def test_close_before_an_answer_is_told_in_plain_words(self) -> None:
        """Guards against the parser's states in a log line."""
        for part in (b"", b"HTTP/1.1 200 OK\r\nx-id: q1\r\n"):
            peer, sink = self.call()
            if part:
                peer.protocol.dataReceived(part)
            closed = TwistedFailure(error.ConnectionDone())
            peer.protocol.connectionLost(closed)
            assert sink.failure is not None
            self.assertEqual(messages.CONNECTION_LOST, sink.failure.detail)
            self.assertEqual(Verdict.MAY_HAVE_RUN, sink.failure.verdict)

    def test_connection_end_completes_close_delimited_answers(self) -> None:
        closed = TwistedFailure(error.ConnectionDone())
        reset = TwistedFailure(error.ConnectionLost())
        for data, reason, is_done in (
            (OPEN_ENDED, closed, True),
            (OPEN_ENDED, reset, False),
            (MATCHING[:-1], closed, False),
            (b"", closed, False),
            (b"not an answer\r\n\r\n", closed, False),
        ):
            peer, sink = self.call()
            if data:
                peer.protocol.dataReceived(data)
            peer.protocol.connectionLost(reason)
            self.assertEqual(is_done, sink.is_done, data)
            if not is_done:
                assert sink.failure is not None
                self.assertEqual(Verdict.MAY_HAVE_RUN, sink.failure.verdict)

    def test_failed_connect_is_not_run(self) -> None:
        sink = RecordingSink()
        self.client.call("10.0.0.1:80", REQUEST, sink)
        factory = self.reactor.tcpClients[-1][2]
        refused = TwistedFailure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, refused)
        assert sink.failure is not None
        self.assertEqual(Verdict.NOT_RUN, sink.failure.verdict)

    def test_connection_idle_for_too_long_is_closed(self) -> None:
        peer, _ = self.call()
        peer.protocol.dataReceived(MATCHING)
        self.reactor.advance(10.0)
        self.assertEqual(None, self.client.pop_idle("10.0.0.1:80"))
        self.assertTrue(peer.transport.is_aborted)

    def test_cancelled_call_reports_nothing(self) -> None:
        sink = RecordingSink()
        call = self.client.call("10.0.0.1:80", REQUEST, sink)
        peer = accept(self.reactor)
        call.cancel()
        self.assertTrue(peer.transport.is_aborted)
        peer.protocol.connectionLost(TwistedFailure(error.ConnectionLost()))
        self.assertEqual(None, sink.failure)

    def test_keep_alive_time_is_the_stated_one_less_a_margin(self) -> None:
        for value, expected in (
            (b"timeout=5", 4.6),
            (b"timeout=5, max=10", 4.6),
            (b"max=10", 0.8),
            (b"timeout=x", 0.8),
            (b"timeout=0", 0.0),
        ):
            self.assertEqual(expected, parse_keep_alive(value), value)
