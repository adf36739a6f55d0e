"""Options of the sockets that carry requests.

A peer that has lost its power or its link sends nothing, not even a reset;
only these options and the callers' own time-outs detect it.
"""

import array
import fcntl
import socket
import termios
from typing import Any, Final

from twisted.internet import tcp

# The peer counts as unreachable once bytes stay unacknowledged for this long:
# three times the usual retransmission time-out of a link inside a region.
USER_TIMEOUT_MS: Final = 1_500
# Idle time before a probe, time between probes, and unanswered probes that
# end a connection; together they detect a dead peer within 3 s.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# Bytes that one read from a target takes.  A read may follow after the caller
# has been found to be slow, so it counts towards what is held for the caller.
READ_BYTES: Final = 32_768
# Send buffer of a caller's connection in the kernel, which doubles it.  It
# would otherwise grow to several megabytes for each slow caller.
CALLER_SEND_BUFFER_BYTES: Final = 65_536
# The same as `USER_TIMEOUT_MS` for callers: the kernel's default.  The option
# also ends connections whose receive window is nearly closed, so callers that
# read slowly but steadily.  `caller_output` ends those that take nothing.
CALLER_USER_TIMEOUT_MS: Final = 0


def configure_caller(transport: Any) -> None:
    """Set the options on the connection of a caller."""
    configure(transport, CALLER_USER_TIMEOUT_MS)
    transport.getHandle().setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, CALLER_SEND_BUFFER_BYTES
    )


def configure_target(transport: Any) -> None:
    """Set the options on the connection to a target."""
    configure(transport)
    transport.bufferSize = READ_BYTES


def configure(transport: Any, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Set the options on a connected transport."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, user_timeout_ms),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def has_unsent(transport: Any) -> bool:
    """Whether bytes written to a transport wait for its peer to read."""
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return False
    return bool(transport.dataBuffer or transport._tempDataLen)


def untaken_bytes(transport: Any) -> int:
    """Return how many written bytes the peer's system has not acknowledged.

    The kernel takes more from this process only once a third of its buffer is
    free, so the bytes held here alone would not show that a peer reads slowly.
    """
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return 0
    queued = array.array("i", [0])
    try:
        fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, queued)
    except OSError:
        return 0
    unsent = len(transport.dataBuffer) - transport.offset
    return unsent + transport._tempDataLen + queued[0]


def left_bytes(transport: Any) -> int:
    """Return how many written bytes a lost transport has not passed on."""
    if not isinstance(transport, tcp.Connection):
        return 0
    unsent = len(transport.dataBuffer) - transport.offset
    return unsent + transport._tempDataLen


def forget_unsent(transport: Any) -> None:
    """Free what a lost transport has not passed on.

    Lost transports stay in memory for a while.
    """
    if isinstance(transport, tcp.Connection) and not transport.connected:
        transport.dataBuffer = b""
        transport._tempDataBuffer = []
        transport.offset = transport._tempDataLen = 0


def unsent_bytes(transport: Any) -> int:
    """Return how many bytes written to a transport are held in this process."""
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return 0
    return len(transport.dataBuffer) + transport._tempDataLen


def hand_over(transport: Any) -> None:
    """Let the kernel take all that is unsent, up to its own limit.

    It delivers that also after the end of this process.
    """
    if not has_unsent(transport):
        return
    transport.getHandle().setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, untaken_bytes(transport)
    )
    # The event loop looks anew whether the socket takes more.
    transport.stopWriting()
    transport.startWriting()


def has_error(transport: Any) -> bool:
    """Whether an error, such as a reset, has arrived and was not read yet."""
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return False
    handle = transport.getHandle()
    return bool(handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def write_now(transport: Any, data: bytes) -> bool:
    """Write to a transport, without waiting for the event loop if possible.

    `transport.write` only buffers: the bytes leave in the loop's next turn,
    which takes three more system calls.  That matters for streams, which are
    passed on event by event.

    Returns:
      False if the connection was found to be lost.  The kernel tells a reset
      once: what reads next sees an ordinary end.
    """
    is_lost = False
    if (
        isinstance(transport, tcp.Connection)
        and transport.connected
        and not transport.disconnecting
        and not transport.dataBuffer
        and not transport._tempDataLen
    ):
        sent = transport.writeSomeData(data)
        if not isinstance(sent, int):
            is_lost = True
        elif sent > 0:
            data = data[sent:]
    if data:
        transport.write(data)
    return not is_lost
