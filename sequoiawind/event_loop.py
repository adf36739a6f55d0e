"""The event loop of a process and the backlog of its ports."""

from typing import Any, Final

from twisted.internet import reactor as default_reactor

# Connections that may wait to be accepted, for example after a load balancer
# switches over.
LISTEN_BACKLOG: Final = 1024

# The reactor's type cannot be expressed without a plugin for its interfaces.
reactor: Any = default_reactor
