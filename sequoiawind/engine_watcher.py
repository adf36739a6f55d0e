"""The agent's controller that follows its engine.

It feeds the cache index from the engine's events, asks for the whole list
after a gap, learns the engine's incarnation and weights version, and orders
the version that the configuration wants, fenced by the configuration's
revision.
"""

import random
from collections.abc import Callable

import attrs

from sequoiawind import defaults, timing
from sequoiawind.agent import Agent
from sequoiawind.blackboard import Blackboard
from sequoiawind.ports import Clock, EnginePort


@attrs.define(kw_only=True)
class EngineWatcher:
    """Keeps an agent's view of its engine current."""

    agent: Agent
    port: EnginePort
    clock: Clock
    random: random.Random
    board: Blackboard
    poll_s: float = defaults.EVENTS_POLL_S
    # Rounds between two reports of the engine.
    report_every: int = 10
    rounds: int = 0
    is_stopped: bool = False
    # Revision of the last order given.
    ordered: tuple[str, int] = ("", -1)
    # Whether this agent may load weights now; see `load_slots`.
    may_load: Callable[[], bool] = attrs.field(default=lambda: True)

    async def run(self) -> None:
        """Poll until stopped."""
        while not self.is_stopped:
            await self.round()
            pause_s = timing.jittered(self.poll_s, 0.1, self.random)
            await timing.sleep(self.clock, pause_s)

    async def round(self) -> None:
        """Do one round."""
        await self.follow_cache()
        if self.rounds % self.report_every == 0:
            await self.follow_version()
        self.rounds += 1

    async def follow_cache(self) -> None:
        """Take in new cache events, or the whole list after a gap."""
        index = self.agent.index
        if index.needs_resync:
            listed = await self.port.cache_list()
            if listed.is_ok():
                index.resync(listed.ok)
            return
        events = await self.port.events_after(index.next_sequence)
        if events.is_ok():
            index.apply(events.ok)

    async def follow_version(self) -> None:
        """Learn the engine's version, and order the one wanted."""
        report = await self.port.load()
        if report.is_error():
            return
        self.agent.version = report.ok.version
        wanted = self.wanted_version()
        if wanted is None or wanted == report.ok.version:
            return
        order = (wanted, self.board.state.revision)
        if not self.agent.is_idle() or not self.may_load():
            return
        if order != self.ordered:
            self.ordered = order
            await self.port.order_version(*order)

    def wanted_version(self) -> str | None:
        """Return the version the configuration wants; None if unknown."""
        state = self.board.state
        target = state.targets.get(self.agent.target)
        if target is None or target.pool not in state.pools:
            return None
        return state.pools[target.pool].version
