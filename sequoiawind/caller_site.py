"""The connections of all callers at one port, and what they share."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from sequoiawind.caller_output import StalledCaller, ignore_stalled
from sequoiawind.connection_ends import Cause, ConnectionEnd, ignore_end
from sequoiawind.descriptor_limit import DescriptorLimit
from sequoiawind.headers import CallerLimits
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.memory_budget import MemoryBudget
from sequoiawind.ports import Clock
from sequoiawind.staged_close import StagedCloser
from sequoiawind.verdict import Reason


class CallerSite(Factory):
    """Accepts callers and passes their requests to one handler."""

    noisy = False

    def __init__(
        self,
        *,
        clock: Clock,
        on_request: Callable[[HttpRequest, CallerConnection], None],
        limits: Callable[[], CallerLimits],
        on_refusal: Callable[[Reason], None],
        may_deny: Callable[[], bool] = lambda: True,
        closer: StagedCloser | None = None,
        on_stalled: Callable[[StalledCaller], None] = ignore_stalled,
        budget: MemoryBudget | None = None,
        descriptors: DescriptorLimit | None = None,
        on_end: Callable[[ConnectionEnd], None] = ignore_end,
    ) -> None:
        """Store the clock, the handler, the limits and the callbacks.

        `may_deny` returns whether the limits are current enough to refuse a
        request by them for good.
        `on_stalled` is called for each caller that is ended because it takes
        nothing of what is held for it, `on_end` when a connection ends and
        for what its close has lost.  The site makes a closer and
        a budget of its own if there is none to share.  It accepts any number
        of connections if there is no limit of descriptors.
        """
        self.clock = clock
        self.on_request = on_request
        self.limits = limits
        self.on_refusal = on_refusal
        self.may_deny = may_deny
        self.on_stalled = on_stalled
        self.descriptors = descriptors
        self.on_end = on_end
        self.budget = budget or MemoryBudget()
        self.closer = closer or StagedCloser(clock=clock)
        self.connections: set[CallerConnection] = set()
        # Whether each connection closes after its current answer.
        self.is_closing = False

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> CallerConnection | None:
        """Return the protocol for a new connection; None to close it."""
        if self.descriptors is not None and not self.descriptors.accepts():
            self.on_refusal(Reason.DESCRIPTORS)
            return None
        return CallerConnection(self)

    def keeps(self, transport: Any) -> bool:
        """Whether a new connection is kept, given the open descriptors."""
        limit = self.descriptors
        if limit is None:
            return True
        is_kept = limit.keeps(transport.fileno(), self)
        if limit.is_short:
            self.clock.callLater(0, limit.next_turn)
        return is_kept

    def has_room(self, other_connections: int) -> bool:
        """Whether a request may begin that may need a connection.

        Args:
          other_connections: Connections that are not those of callers.
        """
        callers = len(self.connections) + len(self.closer.connections)
        limit = self.descriptors
        return limit is None or limit.has_room(callers + other_connections)

    def close_longest_idle(self) -> bool:
        """Close the longest idle connection; return whether there was one."""
        idle = [item for item in self.connections if item.may_be_closed]
        if not idle:
            return False
        longest = min(idle, key=lambda item: item.idle_since_s)
        longest.close(Cause.DESCRIPTORS)
        return True

    def limits_changed(self) -> None:
        """Apply stricter limits to the idle connections."""
        for connection in list(self.connections):
            if connection.may_be_closed:
                connection.await_request()

    def refuse_unread(self) -> None:
        """Refuse the requests that have not arrived completely."""
        for connection in list(self.connections):
            if connection.arrived_s is not None:
                connection.refuse(Reason.SHUTTING_DOWN)

    def flush(self) -> None:
        """Take what targets have sent, although callers read slowly."""
        for connection in list(self.connections):
            if connection.is_answering:
                connection.output.flush()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            if connection.may_be_closed:
                connection.drain()
