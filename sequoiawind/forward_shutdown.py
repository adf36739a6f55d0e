"""The shutdown of a forwarding router, from SIGTERM to its end.

For a while after SIGTERM the router serves on, until the balancer has turned
away.  Then it accepts no more connections.  Requests that arrive late are taken
only if they end in time.  Before SIGKILL all that have not ended get their
final answer, and what callers have not read is left to the kernel.
"""

from collections.abc import Callable
from typing import Any, Final

import attrs
import structlog

from sequoiawind import event_loop, sockets
from sequoiawind.caller_site import CallerSite
from sequoiawind.daemon import work_time_s
from sequoiawind.forwarder import Forwarder
from sequoiawind.staged_close import StagedCloser

Logger = structlog.typing.FilteringBoundLogger

# Time after SIGTERM, in seconds, in which callers may still begin requests on
# their connections; the balancer stops using the router within two of its
# readiness checks.
LEAVE_S: Final = 3.0
# Time after SIGTERM, in seconds, in which requests are taken even if they may
# last longer than the process.  The platform expects a whole answer to those
# sent later than 3 s; the signal is handled some time after it was sent.
ANY_TIME_S: Final = 2.5
# `LEAVE_S` as a share of the time between SIGTERM and SIGKILL, where that is
# short; the rest is left for answers in progress.
LEAVE_SHARE: Final = 0.4


@attrs.define(kw_only=True)
class ForwardShutdown:
    """Ends the work of one router."""

    # Returns the time between SIGTERM and SIGKILL, in seconds.
    grace_s: Callable[[], float]
    forwarder: Forwarder
    site: CallerSite
    closer: StagedCloser
    log: Logger
    # Returns the time since SIGTERM, in seconds.
    since_signal_s: Callable[[], float] = attrs.field(default=lambda: 0.0)
    # The listening ports.
    ports: list[Any] = attrs.field(factory=list)

    @property
    def leave_s(self) -> float:
        """For how long requests are accepted after SIGTERM, in seconds."""
        return min(LEAVE_S, LEAVE_SHARE * self.grace_s())

    @property
    def work_s(self) -> float:
        """Time after SIGTERM at which all requests are ended, in seconds."""
        return work_time_s(self.grace_s())

    def leave(self) -> None:
        """Close each caller's connection after its next answer."""
        self.site.is_closing = True
        self.forwarder.is_stopping = True
        self.forwarder.origins.stop()
        self.forwarder.latest_end_s = self.latest_end_s

    def latest_end_s(self) -> float:
        """Return when work that is taken now ends, in seconds of the clock."""
        since_signal_s = self.since_signal_s()
        if since_signal_s < min(ANY_TIME_S, self.leave_s):
            return float("inf")
        now_s: float = event_loop.reactor.seconds()
        return now_s + self.work_s - since_signal_s

    def drain(self) -> None:
        """Accept no more connections and close the idle ones."""
        for port in self.ports:
            port.stopListening()
        self.site.close_idle()

    def end_requests(self) -> None:
        """Give all requests that have not ended their final answers."""
        self.log.warning(
            "requests ended by the shutdown",
            open_requests=self.forwarder.open_requests,
        )
        self.forwarder.end_all()
        self.site.refuse_unread()
        for connection in (*self.site.connections, *self.closer.connections):
            sockets.hand_over(connection.transport)

    def is_idle(self) -> bool:
        """Whether no request is in progress, and nothing is left after one."""
        if self.forwarder.open_requests or not self.closer.is_idle:
            return False
        if not self.forwarder.origins.is_idle:
            return False
        return all(item.is_idle for item in self.site.connections)
