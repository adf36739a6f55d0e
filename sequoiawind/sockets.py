"""Options of the sockets that carry requests.

A peer that has lost its power or its link answers nothing, not even a reset;
only these options and the callers' own time-outs show it.
"""

import socket
from typing import Any, Final

# Unacknowledged bytes for this long mean that the peer cannot be reached.
# Three times the usual retransmission time-out of a link inside a region.
USER_TIMEOUT_MS: Final = 1_500
# Idle time before a probe, time between probes, and probes without answer
# that end a connection: found out within 3 s in all.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2


def configure(transport: Any) -> None:
    """Set the options on a connected transport."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
