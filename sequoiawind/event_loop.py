"""The event loop of a process and the backlog of its ports."""

from typing import Any, Final

from twisted.internet import reactor as default_reactor

from sequoiawind.freshness import suspended_clock_s

# Connections that may wait to be accepted, for example after a load balancer
# switches over.
LISTEN_BACKLOG: Final = 1024

# The reactor's type cannot be expressed without a plugin for its interfaces.
reactor: Any = default_reactor
# Twisted's default is the time of day: a step back of it would stop all timers
# for as long, and a step ahead would end all time-outs at once.
reactor.seconds = suspended_clock_s
