"""The limits on callers' requests while configurations change.

A caller keeps to the limits of a configuration that may be in force when it
sends.  That is the newest one, and for a while each one that it has replaced:
the operator may not have been told yet that the newer one is accepted.  So the
least strict of them hold.
"""

from collections import deque
from collections.abc import Callable

import attrs

from sequoiawind.headers import CallerLimits
from sequoiawind.ports import Clock


@attrs.frozen(kw_only=True)
class ReplacedLimits:
    """The limits of a replaced configuration that may still be in force."""

    limits: CallerLimits
    # In seconds of the clock.
    ends_s: float


@attrs.define(kw_only=True, eq=False)
class LimitsInForce:
    """The least strict limits of the configurations that may be in force."""

    clock: Clock
    # Returns the time within which a configuration must be in force, in
    # seconds.
    in_force_s: Callable[[], float]
    # Called when limits have ended.
    on_end: Callable[[], None] = attrs.field(default=lambda: None)
    # None before the first configuration.
    newest: CallerLimits | None = None
    replaced: list[ReplacedLimits] = attrs.field(factory=list)

    def put(self, limits: CallerLimits) -> None:
        """Put the limits of a newer configuration in force."""
        old, self.newest = self.newest, limits
        if old is None or old == limits:
            return
        delay_s = self.in_force_s()
        ends_s = self.clock.seconds() + delay_s
        self.replaced.append(ReplacedLimits(limits=old, ends_s=ends_s))
        self.clock.callLater(delay_s, self.end_replaced)

    def end_replaced(self) -> None:
        """Drop the limits that can be in force no longer."""
        now_s = self.clock.seconds()
        self.replaced = [item for item in self.replaced if item.ends_s > now_s]
        self.on_end()

    def current(self) -> CallerLimits:
        """Return the limits that hold now."""
        limits = self.newest or CallerLimits()
        for item in self.replaced:
            limits = limits.relaxed(item.limits)
        return limits


@attrs.define(kw_only=True, eq=False)
class RequestLimits:
    """The limits on the request that a connection reads.

    A request may be sent slowly, or long before it is read, behind another one;
    it keeps to the limits when its first byte arrived.
    """

    in_force: Callable[[], CallerLimits]
    at_begin: CallerLimits | None = None
    # Bytes that have arrived on the connection.
    received_bytes: int = 0
    # Limits when bytes arrived, and the number of bytes up to the last of them,
    # the oldest first.
    arrivals: deque[tuple[int, CallerLimits]] = attrs.field(factory=deque)

    def received(self, size: int) -> None:
        """Note the limits as bytes arrive."""
        self.received_bytes += size
        limits = self.in_force()
        if self.arrivals and self.arrivals[-1][1] == limits:
            self.arrivals.pop()
        self.arrivals.append((self.received_bytes, limits))

    def begin(self, unread_bytes: int) -> None:
        """Note the limits when a request's first byte arrived.

        Args:
          unread_bytes: Bytes of it, and of those behind it, that have arrived.
        """
        first = self.received_bytes - unread_bytes
        while self.arrivals and self.arrivals[0][0] <= first:
            self.arrivals.popleft()
        self.at_begin = (
            self.arrivals[0][1] if self.arrivals else self.in_force()
        )

    def current(self) -> CallerLimits:
        """Return the limits on the request: the least strict so far."""
        limits = self.in_force()
        return limits.relaxed(self.at_begin) if self.at_begin else limits
