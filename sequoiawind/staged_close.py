"""Closing connections whose peer may still be sending (RFC 9112, section 9.6).

If a socket is closed while received bytes are unread, or more arrive later, the
kernel sends a reset, and the peer's system may then discard an answer that the
peer has not read.  So only the sending side is closed at first.  What still
arrives is read and discarded, up to a bound, until the peer closes too.
"""

import enum
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import error
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from zope.interface import implementer

from sequoiawind import sockets
from sequoiawind.options import ClosingOptions
from sequoiawind.ports import Clock, Timer


class Bound(enum.Enum):
    """A bound at which a connection was ended before its peer closed it."""

    BYTES = "bytes"
    TIME = "time"


class CloseOutcome(enum.Enum):
    """How a close in stages has ended."""

    # The peer has closed too, after it could take all.
    PEER = "peer"
    # The peer has reset the connection, or is unreachable.
    RESET = "reset"
    # The connection was ended at a bound.
    BYTES = Bound.BYTES.value
    TIME = Bound.TIME.value
    # The peer has stopped to take what was written.
    UNTAKEN = "untaken"


@attrs.frozen(kw_only=True)
class CloseEnd:
    """The end of a close in stages."""

    outcome: CloseOutcome
    # Bytes that arrived meanwhile.
    discarded_bytes: int
    # Written bytes that the peer's system has not taken, as far as known.
    untaken_bytes: int


def ignore(bound: Bound) -> None:
    """Ignore a connection that ended at a bound."""


def ignore_end(end: CloseEnd) -> None:
    """Ignore the end of a close."""


@attrs.define(kw_only=True, eq=False)
class StagedCloser:
    """Closes connections in stages and owns them meanwhile."""

    clock: Clock
    options: ClosingOptions = attrs.field(factory=ClosingOptions)
    # Called for each connection that is ended at a bound.
    on_bound: Callable[[Bound], None] = attrs.field(default=ignore)
    # The connections that are being closed; each stays for `linger_s` at most
    # after its peer has taken something of the answer.
    connections: "set[StagedClose]" = attrs.field(factory=set)

    @property
    def is_idle(self) -> bool:
        """Whether the process may end without waiting for a close.

        All answers must have been sent, or have been waited for.
        """
        return not any(
            item.holds_stop or not item.is_taken for item in self.connections
        )

    def close(
        self,
        transport: Any,
        *,
        holds_stop: bool = True,
        on_end: Callable[[CloseEnd], None] = ignore_end,
    ) -> None:
        """Close a connection once what was written to it has been sent.

        Its protocol receives nothing more, not even `connectionLost`.

        Args:
          transport: The connection's transport.
          holds_stop: Whether the end of the process waits for the close.
          on_end: Called once with how the close has ended.
        """
        connection: Any = StagedClose(self, holds_stop, on_end)
        transport.protocol = connection
        connection.makeConnection(transport)


@implementer(IHalfCloseableProtocol)
class StagedClose(Protocol):
    """A connection whose sending side is closed; discards what arrives."""

    transport: Any

    def __init__(
        self,
        closer: StagedCloser,
        holds_stop: bool,
        on_end: Callable[[CloseEnd], None],
    ) -> None:
        """Store the owner, and whether the end of the process waits."""
        self.closer = closer
        self.holds_stop = holds_stop
        self.on_end: Callable[[CloseEnd], None] | None = on_end
        self.discarded_bytes = 0
        # Whether all data has been sent.
        self.is_sent = False
        # Bytes that the peer had not taken when the timer was started.
        self.untaken_bytes = 0
        self.timer: Timer | None = None

    @property
    def is_taken(self) -> bool:
        """Whether the peer's system has taken all data."""
        return self.is_sent and not sockets.untaken_bytes(self.transport)

    def connectionMade(self) -> None:  # noqa: N802
        """Close the sending side and start the timer."""
        self.closer.connections.add(self)
        self.start_timer()
        # Reading may have been paused.
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def start_timer(self) -> None:
        """Start the timer, and note how much the peer has yet to take."""
        closer = self.closer
        self.untaken_bytes = sockets.untaken_bytes(self.transport)
        self.timer = closer.clock.callLater(
            closer.options.linger_s, self.time_over
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Discard data; end the connection if it is too much."""
        self.discarded_bytes += len(data)
        if self.discarded_bytes > self.closer.options.linger_bytes:
            self.end(Bound.BYTES)

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Record that all data has been sent."""
        self.is_sent = True

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection, as the peer has done."""
        self.transport.loseConnection()

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        """Forget the connection."""
        is_clean = reason.check(error.ConnectionDone) is not None
        outcome = CloseOutcome.PEER if is_clean else CloseOutcome.RESET
        self.report(outcome, sockets.left_bytes(self.transport))
        self.forget()
        sockets.forget_unsent(self.transport)

    def time_over(self) -> None:
        """End the connection, unless its peer is still taking an answer."""
        if sockets.untaken_bytes(self.transport) < self.untaken_bytes:
            self.start_timer()
            return
        if self.is_sent:
            self.end(Bound.TIME)
            return
        # The peer has stopped to read.
        untaken_bytes = sockets.untaken_bytes(self.transport)
        self.report(CloseOutcome.UNTAKEN, untaken_bytes)
        self.forget()
        self.transport.loseConnection()

    def end(self, bound: Bound) -> None:
        """End the connection at a bound."""
        if self not in self.closer.connections:
            return
        untaken_bytes = sockets.untaken_bytes(self.transport)
        self.report(CloseOutcome(bound.value), untaken_bytes)
        self.forget()
        self.closer.on_bound(bound)
        self.transport.abortConnection()

    def report(self, outcome: CloseOutcome, untaken_bytes: int) -> None:
        """Report how the close has ended, once."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(
                CloseEnd(
                    outcome=outcome,
                    discarded_bytes=self.discarded_bytes,
                    untaken_bytes=untaken_bytes,
                )
            )

    def forget(self) -> None:
        """Stop the timer and leave the owner's connections."""
        self.closer.connections.discard(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
