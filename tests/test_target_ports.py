"""Broken and endless answers of targets, behind the OpenAI interface."""

import contextlib
import socket
import struct
import threading
from typing import Any

import attrs
from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from sequoiawind import event_loop, wire
from sequoiawind.http1_client import Http1Client
from sequoiawind.target_ports import EngineHttpPort, PlainHttpPort
from sequoiawind.verdict import Verdict
from sequoiawind.wire import Attempt, Ended, LoadReport
from tests import live
from tests.stand_ins import accept

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
FIRST = b'id: a1:0\ndata: {"choices": []}\n\n'
LAST = b"id: a1:1\ndata: [DONE]\n\n"
# Sent at most by a target whose answer does not end: more than any bound.
ENDLESS_BYTES = 96 * 1024 * 1024
WAIT_TIMEOUT_S = 60.0
READ_BYTES = 65_536
# Closing a socket with this option resets its connection.
LINGER_NONE = struct.pack("ii", 1, 0)


@attrs.define(kw_only=True, eq=False)
class RawTarget:
    """Sends given bytes as the answer to one request, then ends or repeats."""

    answer: bytes
    # Repeated until the other side closes the connection.
    piece: bytes = b""
    is_reset: bool = False
    # How many bytes were sent in all.
    sent: int = 0
    listener: socket.socket = attrs.field(factory=socket.socket)
    thread: threading.Thread = attrs.field(init=False)

    def __enter__(self) -> "RawTarget":
        """Start to serve on a free port."""
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Wait for the end of the connection."""
        self.thread.join(WAIT_TIMEOUT_S)
        self.listener.close()

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def serve(self) -> None:
        """Answer one request."""
        connection, _ = self.listener.accept()
        with connection, contextlib.suppress(ConnectionError):
            data = b""
            while not data.endswith(b"}"):
                data += connection.recv(READ_BYTES)
            connection.sendall(self.answer)
            self.sent = len(self.answer)
            while self.piece and self.sent < ENDLESS_BYTES:
                connection.sendall(self.piece)
                self.sent += len(self.piece)
            if self.is_reset:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
                )


@attrs.define(kw_only=True, eq=False)
class RecordingSink:
    """Records the end of an attempt."""

    ends: list[Ended] = attrs.field(factory=list)
    has_ended: threading.Event = attrs.field(factory=threading.Event)

    def started(self, load: LoadReport) -> None:
        """Ignore the start."""

    def chunk(self, attempt_id: str, index: int, data: bytes) -> None:
        """Ignore a chunk."""

    def ended(self, ended: Ended) -> None:
        """Record the end."""
        self.ends.append(ended)
        self.has_ended.set()


ATTEMPT = Attempt(
    attempt_id="a1",
    request_id="q1",
    account="a",
    kind="k",
    target="t",
    path="/v1/chat/completions",
    method="POST",
    body="{}",
)


def open_port(service: str, client: Http1Client) -> Any:
    """Return an agent's port to a target of a service."""
    if service == "engine":
        return EngineHttpPort(client=client)
    return PlainHttpPort(client=client)


class TargetPortTest(TestCase):
    """How attempts at an engine and at a plain service end."""

    def run_attempt(self, service: str, target: RawTarget) -> Ended:
        """Run an attempt; return its end."""
        live.start_reactor_thread()
        sink = RecordingSink()
        port = open_port(service, Http1Client(reactor=event_loop.reactor))
        with target:
            live.in_reactor(port.open, target.address, ATTEMPT, sink)
            self.assertTrue(sink.has_ended.wait(WAIT_TIMEOUT_S))
        (ended,) = sink.ends
        return ended

    def check_failed(self, ended: Ended, case: object) -> None:
        """Check that an attempt has failed and may have run."""
        assert ended.failure is not None, case
        self.assertEqual(Verdict.MAY_HAVE_RUN, ended.failure.verdict, case)

    def test_close_delimited_answer_is_complete_unless_it_is_reset(
        self,
    ) -> None:
        for is_reset in (False, True):
            target = RawTarget(answer=HEAD + b"part", is_reset=is_reset)
            ended = self.run_attempt("plain", target)
            if is_reset:
                self.check_failed(ended, ended)
            else:
                assert ended.reply is not None, ended
                self.assertEqual(200, ended.reply.status)

    def test_close_delimited_stream_is_complete_with_its_last_event(
        self,
    ) -> None:
        for body, is_whole in (
            (FIRST + LAST, True),
            (FIRST, False),
            (FIRST + LAST[:-2], False),
            (FIRST + b"id: a1:1\nda", False),
            (b"", False),
        ):
            ended = self.run_attempt("engine", RawTarget(answer=HEAD + body))
            self.assertEqual(is_whole, ended.failure is None, (body, ended))

    def test_endless_answer_is_broken_off(self) -> None:
        for service in ("plain", "engine"):
            for answer, piece in (
                (b"HTTP/1.1 200 OK\r\n", b"x: " + b"y" * 1000 + b"\r\n"),
                (b"HTTP/1.1 200 OK\r\nx: ", b"y" * 1000),
                (HEAD, b"z" * 1000),
                (b"HTTP/1.1 500 No\r\n\r\n", b"z" * 1000),
            ):
                target = RawTarget(answer=answer, piece=piece * 64)
                ended = self.run_attempt(service, target)
                case = (service, answer)
                self.check_failed(ended, case)
                self.assertTrue(target.sent < ENDLESS_BYTES, case)

    def test_late_copy_of_another_answer_is_not_taken(self) -> None:
        # A target sends an answer twice, the copy on a connection in use again.
        for service in ("plain", "engine"):
            reactor = MemoryReactorClock()
            sink = RecordingSink()
            port = open_port(service, Http1Client(reactor=reactor))
            port.open("10.0.0.1:80", ATTEMPT, sink)
            peer = accept(reactor)
            self.assertIn(b"\r\nx-attempt-id: a1\r\n", peer.take_sent())
            answer = (
                b"HTTP/1.1 500 No\r\nx-attempt-id: %s\r\n"
                b"content-length: 2\r\n\r\n%s"
            )
            peer.protocol.dataReceived(answer % (b"a0", b"no"))
            self.assertEqual([], sink.ends, service)
            peer.protocol.dataReceived(answer % (b"a1", b"ok"))
            (ended,) = sink.ends
            if ended.reply is not None:
                self.assertEqual(wire.encode_body(b"ok"), ended.reply.body)
            else:
                assert ended.failure is not None
                self.assertIn("ok", ended.failure.detail)
