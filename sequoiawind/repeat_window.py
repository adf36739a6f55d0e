"""How many repeats a router may send to a pool in a sliding window.

All routers together may repeat a share of the pool's requests plus a fixed
allowance.  Each router limits itself to that share of the requests that it
received itself, and to an equal part of the allowance; a router that does not
know the number of routers assumes many, and so takes a small part.

Routers that have ended within the window have used their parts already.  So
the parts go by the highest number of routers in the window, and a router that
has just started, perhaps in place of another, has no part for one window.

Protects a pool all of whose targets shed or fail at the same time: without a
bound, every refusal doubles the arrivals there.
"""

from collections import deque
from typing import Final

import attrs

from sequoiawind import defaults

# Share of the bound that a router uses: its window and the one in which all
# repeats are measured begin at different times, and routers get uneven parts
# of the traffic.
USED_SHARE: Final = 0.7


@attrs.define(kw_only=True)
class SendTimes:
    """Times of one router's sends to one pool within the window."""

    first_s: deque[float] = attrs.field(factory=deque)
    repeats_s: deque[float] = attrs.field(factory=deque)


@attrs.define(kw_only=True)
class RepeatWindow:
    """Counts first attempts and repeats by pool."""

    # Repeats allowed for each first attempt in the window.
    ratio: float
    # Further repeats allowed in one window, for all routers together.
    allowance: float
    window_s: float
    # When this router started, in seconds of the clock.
    started_s: float = float("-inf")
    sends: dict[str, SendTimes] = attrs.field(factory=dict)
    # Numbers of routers with the time at which each was last stated, in seconds
    # of the clock; falling numbers in the order of time.
    stated: deque[tuple[float, int]] = attrs.field(factory=deque)

    def count_first(self, pool: str, now_s: float, routers: int = 0) -> None:
        """Count a request's first attempt.

        Args:
          pool: The pool.
          now_s: The time, in seconds of the clock.
          routers: Number of routers; 0 if unknown.
        """
        self.note_routers(routers, now_s)
        self.sends_of(pool, now_s).first_s.append(now_s)

    def try_repeat(self, pool: str, now_s: float, routers: int) -> bool:
        """Count a repeat if it is allowed; return whether it is.

        Args:
          pool: The pool.
          now_s: The time, in seconds of the clock.
          routers: Number of routers; 0 if unknown.
        """
        if not self.allows(pool, now_s, routers):
            return False
        self.sends_of(pool, now_s).repeats_s.append(now_s)
        return True

    def allows(self, pool: str, now_s: float, routers: int) -> bool:
        """Whether a repeat is allowed, without counting one.

        Args:
          pool: The pool.
          now_s: The time, in seconds of the clock.
          routers: Number of routers; 0 if unknown.
        """
        self.note_routers(routers, now_s)
        sends = self.sends_of(pool, now_s)
        bound = USED_SHARE * (
            self.ratio * len(sends.first_s)
            + self.allowance_part(now_s, is_known=routers > 0)
        )
        return len(sends.repeats_s) + 1 <= bound

    def give_back(self, pool: str, now_s: float) -> None:
        """Take the last repeat back, which was counted and not sent."""
        sends = self.sends_of(pool, now_s)
        if sends.repeats_s:
            sends.repeats_s.pop()

    def allowance_part(self, now_s: float, is_known: bool) -> float:
        """Return this router's part of the allowance, in repeats.

        Args:
          now_s: The time, in seconds of the clock.
          is_known: Whether the number of routers is known now.
        """
        if now_s - self.started_s < self.window_s:
            return 0.0
        routers = self.stated[0][1] if self.stated else 0
        if not is_known:
            routers = max(routers, defaults.ASSUMED_ROUTERS)
        return self.allowance / routers

    def note_routers(self, routers: int, now_s: float) -> None:
        """Record the number of routers, unless it is 0, for unknown."""
        if routers <= 0:
            return
        while self.stated and self.stated[-1][1] <= routers:
            self.stated.pop()
        self.stated.append((now_s, routers))
        while self.stated[0][0] <= now_s - self.window_s:
            self.stated.popleft()

    def sends_of(self, pool: str, now_s: float) -> SendTimes:
        """Return a pool's sends, without those before the window."""
        sends = self.sends.setdefault(pool, SendTimes())
        for times_s in (sends.first_s, sends.repeats_s):
            while times_s and times_s[0] <= now_s - self.window_s:
                times_s.popleft()
        return sends


@attrs.define(kw_only=True)
class AttemptCount:
    """How the attempts of one request are counted in a window."""

    window: RepeatWindow
    is_first_counted: bool = False
    # Whether an attempt has been counted that has reached no target yet.
    is_reserved: bool = False
    # The pool for which a repeat was counted in advance; empty if none was.
    held_pool: str = ""

    @property
    def is_counted(self) -> bool:
        """Whether the next attempt takes no repeat from the window."""
        is_held = self.is_reserved or bool(self.held_pool)
        return is_held or not self.is_first_counted

    def reserve(self, pool: str, now_s: float, routers: int) -> bool:
        """Count an attempt; return whether it is allowed.

        A first attempt always is.  An attempt that reached no target is kept
        for the next one.

        Args:
          pool: The pool.
          now_s: The time, in seconds of the clock.
          routers: Number of routers; 0 if unknown.
        """
        if self.is_reserved:
            return True
        if self.held_pool:
            self.held_pool = ""
            self.is_reserved = True
            return True
        if self.is_first_counted:
            self.is_reserved = self.window.try_repeat(pool, now_s, routers)
        else:
            self.is_first_counted = self.is_reserved = True
            self.window.count_first(pool, now_s, routers)
        return self.is_reserved

    def use(self) -> None:
        """Note that the attempt has reached a target."""
        self.is_reserved = False

    def hold(self, pool: str, now_s: float, routers: int) -> bool:
        """Count a repeat in advance, in case one becomes necessary.

        Args:
          pool: The pool.
          now_s: The time, in seconds of the clock.
          routers: Number of routers; 0 if unknown.

        Returns:
          Whether the repeat is allowed.
        """
        if not self.held_pool and self.window.try_repeat(pool, now_s, routers):
            self.held_pool = pool
        return bool(self.held_pool)

    def release(self, now_s: float) -> None:
        """Give a repeat back that was counted in advance and is not needed."""
        if self.held_pool:
            self.window.give_back(self.held_pool, now_s)
            self.held_pool = ""
