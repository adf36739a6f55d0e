"""Answers without a length or chunks, which end with their connection."""

from typing import Any

from testtools import TestCase
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind.forward_state import ForwardPool
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.http1_fetch import fetch
from sequoiawind.platform.engine import EngineClient
from sequoiawind.verdict import forwarded_status
from sequoiawind.wire import TargetStatus
from tests.forward_rig import FakeCaller, ForwardRig, state, target
from tests.stand_ins import Peer, accept

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CLOSED = error.ConnectionDone()
RESET = error.ConnectionLost()


def events(*numbers: int, end: bytes = b"\n") -> bytes:
    """Return events of a stream, with the given line end."""
    return b"".join(
        b"id: %d%sdata: x%s%s" % (number, end, end, end) for number in numbers
    )


def chunk(data: bytes) -> bytes:
    """Return data as a chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class CloseDelimitedRig(TestCase):
    """A router whose targets are met through the HTTP client."""

    def setUp(self) -> None:
        super().setUp()
        self.make_router()

    def make_router(self) -> None:
        """Make a new router with four targets."""
        self.reactor = MemoryReactorClock()
        self.rig = ForwardRig()
        pool = ForwardPool(
            name="llm", models=("m",), memory_tokens=10_000, has_moves=True
        )
        pools = {**self.rig.board.state.pools, "llm": pool}
        self.rig.configure(state(2, pools=pools))
        self.rig.add(
            target("e1", "llm", address="10.0.0.1:80"),
            target("e2", "llm", address="10.0.0.2:80"),
            target("t1", address="10.0.0.3:80"),
            target("t2", address="10.0.0.4:80"),
        )
        client: Any = EngineClient(client=Http1Client(reactor=self.reactor))
        self.rig.forwarder.port = client

    def begin(self, route: str, answer: bytes) -> tuple[Peer, FakeCaller]:
        """Submit a request; its target sends the given bytes."""
        caller = self.rig.submit(route, headers=[(b"host", b"h")])
        peer = accept(self.reactor)
        peer.take_sent()
        peer.protocol.dataReceived(answer)
        return peer, caller

    def end(self, peer: Peer, reason: Exception = CLOSED) -> None:
        """End a target's connection."""
        peer.protocol.connectionLost(TwistedFailure(reason))

    def resume(self, after_event: int) -> Peer:
        """Accept the second attempt, which must resume after an event."""
        self.assertEqual(2, len(self.reactor.tcpClients))
        peer = accept(self.reactor)
        position = b"\r\nlast-event-id: %d\r\n" % after_event
        self.assertIn(position, peer.take_sent().lower())
        return peer


class CloseDelimitedStreamTest(CloseDelimitedRig):
    """A stream is complete only if it does not end inside an event."""

    # What a target sends before it closes the connection inside event 3.
    CUT = (
        HEAD + events(1, 2) + b"id: 3\nda",
        HEAD + events(1, 2) + b"id: 3\ndata: x\n",
        HEAD + events(1, 2, end=b"\r\n") + b"id: 3\r\ndata: x\r\n",
        CHUNKED_HEAD + chunk(events(1, 2) + b"id: 3\nda") + b"0\r\n\r\n",
        CHUNKED_HEAD + chunk(events(1, 2) + b"id: 3\nda"),
    )

    def test_stream_truncated_inside_an_event_is_resumed(self) -> None:
        for answer in self.CUT:
            self.make_router()
            peer, caller = self.begin("draft", answer)
            self.end(peer)
            self.assertFalse(caller.is_ended, answer)
            second = self.resume(2)
            second.protocol.dataReceived(HEAD + events(3, 4))
            self.end(second)
            expected = events(1, 2, 3, 4)
            self.assertEqual(expected, caller.body.replace(b"\r", b""))
            self.assertTrue(caller.is_ended)

    def test_truncated_stream_that_may_not_be_resumed_is_aborted(self) -> None:
        for answer in self.CUT:
            self.make_router()
            peer, caller = self.begin("brief", answer)
            self.end(peer)
            self.assertFalse(caller.is_ended, answer)
            self.assertTrue(caller.is_broken, answer)
            self.assertEqual(events(1, 2), caller.body.replace(b"\r", b""))

    def test_stream_that_ends_after_an_event_is_complete(self) -> None:
        for end in (b"\n", b"\r\n"):
            self.make_router()
            peer, caller = self.begin("brief", HEAD + events(1, 2, end=end))
            self.assertEqual(events(1, 2, end=end), caller.body)
            self.end(peer)
            self.assertTrue(caller.is_ended)
            self.assertFalse(caller.is_broken)

    def test_reset_stream_is_not_complete(self) -> None:
        peer, caller = self.begin("brief", HEAD + events(1, 2))
        self.end(peer, RESET)
        self.assertFalse(caller.is_ended)
        self.assertTrue(caller.is_broken)

    def test_stream_without_any_event_is_not_complete(self) -> None:
        peer, caller = self.begin("brief", HEAD)
        self.end(peer)
        assert caller.failure is not None
        self.assertEqual(502, forwarded_status(caller.failure))
        peer, caller = self.begin("draft", HEAD)
        self.end(peer)
        self.assertEqual([], caller.statuses)
        self.assertEqual(3, len(self.reactor.tcpClients))

    def test_resumed_stream_may_end_without_a_further_event(self) -> None:
        peer, caller = self.begin("draft", HEAD + events(1, 2) + b"id")
        self.end(peer)
        second = self.resume(2)
        second.protocol.dataReceived(HEAD)
        self.end(second)
        self.assertTrue(caller.is_ended)
        self.assertEqual(events(1, 2), caller.body)

    def test_reset_call_is_not_complete(self) -> None:
        for reason, status in ((CLOSED, 200), (RESET, 502)):
            self.make_router()
            peer, caller = self.begin("book", HEAD + b"part")
            self.end(peer, reason)
            failure = caller.failure
            seen = forwarded_status(failure) if failure else caller.statuses[0]
            self.assertEqual(status, seen)


class CloseDelimitedMoveTest(CloseDelimitedRig):
    """A target closes the stream of a run that it has stopped for a move."""

    def move(self, ends_first: bool = True) -> tuple[Peer, Peer, FakeCaller]:
        """Begin a stream and its move.

        Args:
          ends_first: Whether the stream ends before the move is answered.
        """
        source, caller = self.begin("draft", HEAD + events(1, 2))
        name = next(iter(self.rig.forwarder.open)).tried.names[0]
        loading = TargetStatus(target=name, is_loading=True)
        self.rig.fleet.record_status(name, loading, self.rig.clock.seconds())
        self.rig.forwarder.status_changed(name)
        mover = accept(self.reactor)
        self.assertIn(b"/api/kv-move", mover.take_sent())
        if ends_first:
            self.end(source)
        return source, mover, caller

    def answer(self, mover: Peer, status: bytes, body: bytes) -> None:
        """Answer the request to move the run."""
        mover.protocol.dataReceived(
            b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s"
            % (status, len(body), body)
        )

    def test_stream_closed_by_its_move_continues_elsewhere(self) -> None:
        _, mover, caller = self.move()
        self.assertFalse(caller.is_ended)
        self.answer(mover, b"200 OK", b'{"handle": "h", "created_rev": 2}')
        second = accept(self.reactor)
        self.assertIn(b"\r\nlast-event-id: 2\r\n", second.take_sent().lower())
        second.protocol.dataReceived(HEAD + events(3))
        self.end(second)
        self.assertTrue(caller.is_ended)
        self.assertEqual(events(1, 2, 3), caller.body)

    def test_stream_closed_by_a_failed_move_is_resumed(self) -> None:
        # The stream may end before or after the answer to the move.
        for ends_first in (True, False):
            self.make_router()
            source, mover, caller = self.move(ends_first)
            self.answer(mover, b"503 Service Unavailable", b"")
            if not ends_first:
                self.end(source)
            self.assertFalse(caller.is_ended)
            second = accept(self.reactor)
            position = b"\r\nlast-event-id: 2\r\n"
            self.assertIn(position, second.take_sent().lower())
            second.protocol.dataReceived(HEAD)
            self.end(second)
            self.assertTrue(caller.is_ended)
            self.assertEqual(events(1, 2), caller.body)

    def test_stream_that_no_move_has_stopped_ends_as_usual(self) -> None:
        source, mover, caller = self.move(ends_first=False)
        self.answer(mover, b"404 Not Found", b"")
        self.assertFalse(caller.is_ended)
        source.protocol.dataReceived(events(3))
        self.end(source)
        self.assertTrue(caller.is_ended)
        self.assertEqual(events(1, 2, 3), caller.body)

    def test_stream_that_had_ended_before_its_move_is_complete(self) -> None:
        _, mover, caller = self.move()
        self.answer(mover, b"404 Not Found", b"")
        self.assertTrue(caller.is_ended)
        self.assertEqual(events(1, 2), caller.body)


class EndlessAnswerTest(CloseDelimitedRig):
    """Bytes without end are cut off before they fill a VM's memory."""

    # Router VMs have 128 MB; a share of that may be held for one answer.
    HELD_BYTES = 16 * 1024 * 1024
    PIECE_BYTES = 256 * 1024

    def feed(self, route: str, begin: bytes, piece: bytes) -> FakeCaller:
        """Answer with bytes until the connection is closed."""
        peer, caller = self.begin(route, begin)
        data = piece * (self.PIECE_BYTES // len(piece))
        for _ in range(self.HELD_BYTES // self.PIECE_BYTES):
            if peer.transport.is_aborted:
                return caller
            peer.protocol.dataReceived(data)
        self.fail(f"{route}: still open after {begin!r}")

    def test_endless_bytes_are_cut_off(self) -> None:
        line = b"x: " + b"y" * 1000 + b"\r\n"
        for route, begin, piece in (
            ("book", b"HTTP/1.1 200 OK\r\n", line),
            ("book", b"HTTP/1.1 200 OK\r\nx: ", b"y"),
            ("book", b"", b"HTTP/1.1 1"),
            ("book", HEAD, b"z"),
            ("brief", b"HTTP/1.1 200 OK\r\n", line),
            ("brief", HEAD, b"z"),
            ("brief", HEAD + events(1), b"z\n"),
            ("brief", b"HTTP/1.1 500 No\r\n\r\n", b"z"),
        ):
            self.make_router()
            caller = self.feed(route, begin, piece)
            self.assertFalse(caller.is_ended, (route, begin))
            if caller.statuses:
                self.assertTrue(caller.is_broken)
                self.assertEqual(events(1), caller.body)
            else:
                assert caller.failure is not None
                self.assertEqual(502, forwarded_status(caller.failure))

    def test_endless_answer_to_a_call_of_our_own_is_cut_off(self) -> None:
        request = OutgoingRequest(
            method=b"GET", request_target=b"/r", headers=[(b"host", b"h")]
        )
        client = Http1Client(reactor=self.reactor)
        replies = []
        fetch(client, "10.0.0.1:80", request, 5.0).addCallback(replies.append)
        peer = accept(self.reactor)
        peer.protocol.dataReceived(HEAD)
        for _ in range(self.HELD_BYTES // self.PIECE_BYTES):
            peer.protocol.dataReceived(b"z" * self.PIECE_BYTES)
            if peer.transport.is_aborted:
                break
        self.assertTrue(peer.transport.is_aborted)
        self.assertTrue(replies[0].is_error())
