"""The requests of one router that wait for a target."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind.ports import Clock, Timer
from sequoiawind.target_choice import is_long_run

if TYPE_CHECKING:
    from sequoiawind.forwarding import Forwarding

# Interval at which waiting requests look for a target if no event makes them
# look earlier, in seconds.
WAITING_TICK_S: Final = 0.05


def by_urgency(waiting: "list[Forwarding]") -> "list[Forwarding]":
    """Return requests in the order of priority, then deadline."""
    return sorted(
        waiting, key=lambda item: (item.plan.priority, item.plan.ends_s)
    )


@attrs.define(kw_only=True, eq=False)
class WaitingRequests:
    """Requests that wait, served in the order of urgency."""

    clock: Clock
    # Returns the requests in the order in which to serve them.
    order: "Callable[[list[Forwarding]], list[Forwarding]]" = by_urgency
    items: "list[Forwarding]" = attrs.field(factory=list)
    timer: Timer | None = None

    def add(self, forwarding: "Forwarding") -> None:
        """Queue a request until a target is ready."""
        self.items.append(forwarding)
        if self.timer is None or not self.timer.active():
            self.timer = self.clock.callLater(WAITING_TICK_S, self.serve)

    def count(self, pool: str) -> int:
        """Return how many requests wait for a pool."""
        return sum(item.plan.pool.name == pool for item in self.items)

    def serve(self) -> None:
        """Retry waiting requests in their order, the most urgent ones first.

        Once no target was ready for a request, the others that may go to the
        same targets only check whether they may go on waiting.  A stream that
        this router has stopped costs nothing until a repeat is allowed.
        """
        waiting, self.items = self.items, []
        without_target: set[tuple[object, ...]] = set()
        without_repeat: set[str] = set()
        for forwarding in self.order(waiting):
            pool = forwarding.plan.pool.name
            if needs_repeat(forwarding):
                if pool not in without_repeat and not may_repeat(forwarding):
                    without_repeat.add(pool)
                if pool in without_repeat:
                    self.add(forwarding)
                    continue
            key = choice_key(forwarding)
            if key in without_target:
                forwarding.wait_longer()
                continue
            forwarding.next_target()
            if self.items and self.items[-1] is forwarding:
                without_target.add(key)


def needs_repeat(forwarding: "Forwarding") -> bool:
    """Whether a waiting request is a stopped stream that needs a repeat."""
    is_stopped = bool(forwarding.tried.stopped) and not forwarding.is_finished
    return is_stopped and not forwarding.attempts.is_counted


def may_repeat(forwarding: "Forwarding") -> bool:
    """Whether the window allows a request a repeat now."""
    now_s, pool = forwarding.now_s, forwarding.plan.pool.name
    routers = forwarding.forwarder.fleet.routers(now_s)
    return forwarding.attempts.window.allows(pool, now_s, routers)


def choice_key(forwarding: "Forwarding") -> tuple[object, ...]:
    """Return what determines whether a request finds a target."""
    plan = forwarding.plan
    prompt = plan.request.prompt
    model = prompt.model if prompt is not None else ""
    is_long = prompt is not None and is_long_run(prompt)
    origin = forwarding.origin
    return (
        plan.pool.name,
        model,
        is_long,
        origin,
        # One that waits for a repeat, or pauses, says nothing of the targets.
        forwarding.attempts.is_counted,
        forwarding.tried.ask_again_s,
        *forwarding.tried.excluded,
    )
