"""Options of the sockets that carry requests.

A peer that has lost its power or its link sends nothing, not even a reset;
only these options and the callers' own time-outs detect it.
"""

import socket
from typing import Any, Final

# The peer counts as unreachable once bytes stay unacknowledged for this long:
# three times the usual retransmission time-out of a link inside a region.
USER_TIMEOUT_MS: Final = 1_500
# Idle time before a probe, time between probes, and unanswered probes that
# end a connection; together they detect a dead peer within 3 s.
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
