"""The event loop of a process, and how its ports listen."""

from typing import Any, Final

from twisted.internet import reactor as default_reactor

# Connections that may wait to be accepted, as after a balancer's switch.
LISTEN_BACKLOG: Final = 1024

# The reactor's type cannot be expressed without a plugin for its interfaces.
reactor: Any = default_reactor
