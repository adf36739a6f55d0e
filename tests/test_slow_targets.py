"""Large bodies to targets that read slowly, on real sockets."""

import socket
import time
from typing import Any

import attrs
from testtools import TestCase

from sequoiawind import defaults, event_loop, sockets
from sequoiawind.http1_client import Http1Client, HttpCall
from tests import live
from tests.slow_peers import HOST, WAIT_TIMEOUT_S, wait_until
from tests.test_http1_client import REQUEST, RecordingSink

BODY = bytes(range(256)) * (defaults.MAX_BODY_BYTES // 256)
ANSWER = b"HTTP/1.1 200 OK\r\nx-id: q1\r\ncontent-length: 3\r\n\r\nnew"
FOREIGN = b"HTTP/1.1 200 OK\r\nx-id: q0\r\ncontent-length: 3\r\n\r\nold"
# The stated bound on what is held for one connection.
MAX_HELD_BYTES = 256 * 1024


class SlowTargetTest(TestCase):
    """One call with a large body to a target that does not read at first."""

    def setUp(self) -> None:
        super().setUp()
        live.start_reactor_thread()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        listener.bind((HOST, 0))
        listener.listen()
        self.addCleanup(listener.close)
        self.client = Http1Client(reactor=event_loop.reactor)
        self.sink = RecordingSink()
        self.address = f"{HOST}:{listener.getsockname()[1]}"
        self.call: HttpCall = live.in_reactor(
            self.client.call,
            self.address,
            attrs.evolve(REQUEST, body=BODY),
            self.sink,
        )
        self.target, _ = listener.accept()
        self.target.settimeout(WAIT_TIMEOUT_S)
        self.addCleanup(self.target.close)

    def connection(self) -> Any:
        """Return the connection of the call."""
        wait_until(lambda: self.call.connection is not None)
        return self.call.connection

    def read_body(self) -> bytes:
        """Return the body that the target gets."""
        received = bytearray()
        while (end := received.find(b"\r\n\r\n")) < 0 or (
            len(received) < end + 4 + len(BODY)
        ):
            data = self.target.recv(65_536)
            self.assertNotEqual(b"", data)
            received += data
        return bytes(received[end + 4 :])

    def test_body_is_written_no_faster_than_the_target_reads(self) -> None:
        """Guards against copies of bodies for targets that read slowly."""
        connection = self.connection()
        largest = 0
        ends_s = time.monotonic() + 0.5
        while time.monotonic() < ends_s:
            unsent = live.in_reactor(sockets.unsent_bytes, connection.transport)
            largest = max(largest, unsent)
        self.assertTrue(0 < largest <= MAX_HELD_BYTES, largest)
        self.assertEqual(BODY, self.read_body())
        self.target.sendall(ANSWER)
        self.assertTrue(wait_until(lambda: self.sink.is_done))
        # The connection serves the next call.
        self.assertIs(
            connection, live.in_reactor(self.client.pop_idle, self.address)
        )

    def test_foreign_answer_amid_the_body_is_skipped(self) -> None:
        """Guards against a body that is framed anew, or sent twice."""
        self.connection()
        self.target.sendall(FOREIGN)
        self.assertEqual(BODY, self.read_body())
        self.target.sendall(ANSWER)
        self.assertTrue(wait_until(lambda: self.sink.is_done))
        self.assertEqual(b"new", self.sink.body)

    def test_early_answer_ends_the_connection(self) -> None:
        """Guards against a request that begins amid the rest of a body."""
        connection = self.connection()
        self.target.sendall(ANSWER)
        self.assertTrue(wait_until(lambda: self.sink.is_done))
        self.assertIsNone(live.in_reactor(self.client.pop_idle, self.address))
        self.assertTrue(wait_until(lambda: not connection.transport.connected))
