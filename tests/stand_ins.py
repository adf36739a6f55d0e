"""Transports in memory for the HTTP/1.1 code."""

from typing import Any

import attrs
from twisted.internet.testing import MemoryReactorClock, StringTransport


class FakeSocket:
    """Takes socket options and forgets them."""

    def setsockopt(self, *options: int) -> None:
        """Forget an option."""


class FakeTransport(StringTransport):
    """A transport that the code may treat as TCP."""

    is_aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing."""

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Do nothing."""

    def getHandle(self) -> FakeSocket:
        """Return a socket."""
        return FakeSocket()

    def abortConnection(self) -> None:
        """Note the abort."""
        self.is_aborted = True
        self.disconnecting = True


@attrs.define(kw_only=True, eq=False)
class Peer:
    """The far end of a connection that the code opened."""

    protocol: Any
    transport: FakeTransport

    def sent(self) -> bytes:
        """Return what has arrived since the last call."""
        data: bytes = self.transport.value()
        self.transport.clear()
        return data


def accept(reactor: MemoryReactorClock) -> Peer:
    """Accept the connection that the code has opened last."""
    factory = reactor.tcpClients[-1][2]
    protocol = factory.buildProtocol(None)
    transport = FakeTransport()
    protocol.makeConnection(transport)
    return Peer(protocol=protocol, transport=transport)
