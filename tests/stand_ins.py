"""In-memory transports for tests of the HTTP/1.1 code."""

from typing import Any

import attrs
from twisted.internet.testing import MemoryReactorClock, StringTransport


class FakeSocket:
    """A socket that ignores the options set on it."""

    def setsockopt(self, *options: int) -> None:
        """Ignore an option."""


class FakeTransport(StringTransport):
    """A transport with the TCP methods that the code calls."""

    is_aborted = False
    # Whether the sending side has been closed.
    is_half_closed = False
    # Whether the far end reads nothing, so that data stays unsent.
    is_stalled = False
    # Set by code that hands the connection to another protocol.
    protocol: Any = None

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing."""

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Do nothing."""

    def getHandle(self) -> FakeSocket:
        """Return a socket on which options can be set."""
        return FakeSocket()

    def loseWriteConnection(self) -> None:
        """Close the sending side; tell the protocol once all data is sent."""
        self.is_half_closed = True
        if not self.is_stalled:
            self.protocol.writeConnectionLost()

    def abortConnection(self) -> None:
        """Record the abort."""
        self.is_aborted = True
        self.disconnecting = True


@attrs.define(kw_only=True, eq=False)
class Peer:
    """The far end of a connection that the code opened."""

    protocol: Any
    transport: FakeTransport

    def take_sent(self) -> bytes:
        """Return the bytes that the code has sent since the last call."""
        data: bytes = self.transport.value()
        self.transport.clear()
        return data


def accept(reactor: MemoryReactorClock) -> Peer:
    """Accept the connection that the code opened last."""
    factory = reactor.tcpClients[-1][2]
    protocol = factory.buildProtocol(None)
    transport = FakeTransport()
    protocol.makeConnection(transport)
    return Peer(protocol=protocol, transport=transport)
