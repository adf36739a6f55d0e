"""Asks the agents of a few targets for their present load before a choice."""

from collections.abc import Callable, Sequence
from typing import Final, Protocol

import attrs
from twisted.internet.defer import Deferred

from sequoiawind.fleet import Fleet
from sequoiawind.ports import Clock, Timer
from sequoiawind.wire import TargetStatus

# Time allowed for the answers, in seconds: a few round trips inside a region.
PROBE_TIMEOUT_S: Final = 0.025
# How long an agent that did not answer in time is not asked, in seconds.
AVOID_S: Final = 1.0


class ProbePort(Protocol):
    """Asks an agent for the present status of its target."""

    async def current_status(
        self, address: str, timeout_s: float
    ) -> TargetStatus | None:
        """Return the status; None if there was no valid answer in time."""


@attrs.define(kw_only=True, eq=False)
class Probe:
    """The questions for one request."""

    clock: Clock
    on_done: Callable[[], None]
    pending: int
    timer: Timer | None = None

    def answered(self) -> None:
        """Count an answer; the last one ends the probe."""
        self.pending -= 1
        if self.pending == 0:
            self.end()

    def end(self) -> None:
        """End the probe, once."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        on_done, self.on_done = self.on_done, lambda: None
        on_done()


@attrs.define(kw_only=True, eq=False)
class TargetProbes:
    """Asks agents, and keeps the answers in the fleet."""

    port: ProbePort
    fleet: Fleet
    clock: Clock
    # Times until which targets are not asked, in seconds of the clock.
    avoided_until_s: dict[str, float] = attrs.field(factory=dict)

    def may_ask(self, name: str) -> bool:
        """Whether a target's agent is known to answer."""
        view, now_s = self.fleet.views.get(name), self.clock.seconds()
        if view is None or view.fresh_status(now_s) is None:
            return False
        return self.avoided_until_s.get(name, now_s) <= now_s

    def ask(self, names: Sequence[str], on_done: Callable[[], None]) -> None:
        """Ask the agents of some targets.

        Args:
          names: The targets, at least one.
          on_done: Called once all have answered, or after `PROBE_TIMEOUT_S`.
        """
        probe = Probe(clock=self.clock, on_done=on_done, pending=len(names))
        probe.timer = self.clock.callLater(PROBE_TIMEOUT_S, probe.end)
        for name in names:
            Deferred.fromCoroutine(self.ask_one(name, probe))

    async def ask_one(self, name: str, probe: Probe) -> None:
        """Ask one agent and store its answer."""
        view = self.fleet.views.get(name)
        status = None
        if view is not None:
            status = await self.port.current_status(
                view.target.address, PROBE_TIMEOUT_S
            )
        now_s = self.clock.seconds()
        if status is not None and status.target == name:
            self.fleet.record_status(name, status, now_s)
        else:
            self.forget_avoided(now_s)
            self.avoided_until_s[name] = now_s + AVOID_S
        probe.answered()

    def forget_avoided(self, now_s: float) -> None:
        """Drop the targets that may be asked again."""
        for name, until_s in list(self.avoided_until_s.items()):
            if until_s <= now_s:
                del self.avoided_until_s[name]
