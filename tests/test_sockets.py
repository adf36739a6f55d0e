"""Bytes leave at once and in order, also when the peer reads slowly."""

from testtools import TestCase
from twisted.internet import main, tcp

from sequoiawind import sockets


class SlowConnection(tcp.Connection):
    """A connection whose socket takes a few bytes at a time."""

    def __init__(self, takes: list[object]) -> None:
        self.connected = True
        self.disconnecting = False
        self.dataBuffer = b""
        self._tempDataBuffer: list[bytes] = []
        self._tempDataLen = 0
        # What each write returns: a number of bytes, or a lost connection.
        self.takes = takes
        self.sent = b""

    def writeSomeData(self, data: bytes) -> object:
        taken = self.takes.pop(0)
        if isinstance(taken, int):
            self.sent += data[:taken]
        return taken

    def write(self, data: bytes) -> None:
        self._tempDataBuffer.append(data)
        self._tempDataLen += len(data)

    @property
    def buffered(self) -> bytes:
        return b"".join(self._tempDataBuffer)


class WriteNowTest(TestCase):
    """`write_now` sends what the socket takes and buffers the rest."""

    def test_rest_is_buffered_and_what_follows_waits_behind_it(self) -> None:
        connection = SlowConnection([3, 2])
        sockets.write_now(connection, b"abc")
        sockets.write_now(connection, b"defg")
        sockets.write_now(connection, b"h")
        self.assertEqual(
            (b"abcde", b"fgh"), (connection.sent, connection.buffered)
        )

    def test_lost_or_closing_connection_is_left_to_the_event_loop(self) -> None:
        connection = SlowConnection([main.CONNECTION_LOST])
        sockets.write_now(connection, b"abc")
        self.assertEqual((b"", b"abc"), (connection.sent, connection.buffered))
        connection = SlowConnection([3])
        connection.disconnecting = True
        sockets.write_now(connection, b"abc")
        self.assertEqual((b"", b"abc"), (connection.sent, connection.buffered))
