"""Controller of an agent that follows the agent's engine.

It updates the cache index from the engine's events, reads the whole list of
blocks after a gap, reads the engine's incarnation and weights version, and
orders the version that the configuration demands.  The fencing number of an
order is the configuration's revision.
"""

import random

import attrs

from sequoiawind import defaults, timing
from sequoiawind.agent import Agent
from sequoiawind.blackboard import Blackboard
from sequoiawind.load_slots import LoadSlots
from sequoiawind.ports import Clock, EnginePort
from sequoiawind.state import Pool


@attrs.define(kw_only=True)
class EngineWatcher:
    """Keeps an agent's view of its engine current."""

    agent: Agent
    port: EnginePort
    clock: Clock
    random: random.Random
    board: Blackboard
    slots: LoadSlots
    poll_s: float = defaults.EVENTS_POLL_S
    # Rounds between two reads of the engine's load report.
    report_every: int = 10
    rounds: int = 0
    is_stopped: bool = False
    # Version and revision of the last order.
    ordered: tuple[str, int] = ("", -1)
    # Whether this target may be in its pool's queue for loading.
    is_queued: bool = True

    async def run(self) -> None:
        """Poll until stopped."""
        while not self.is_stopped:
            await self.round()
            pause_s = timing.jittered(self.poll_s, 0.1, self.random)
            await timing.sleep(self.clock, pause_s)

    async def round(self) -> None:
        """Read the cache events; every `report_every` rounds, the version."""
        await self.follow_cache()
        if self.rounds % self.report_every == 0:
            await self.follow_version()
        self.rounds += 1

    async def follow_cache(self) -> None:
        """Apply new cache events, or the whole list after a gap."""
        index = self.agent.index
        if index.needs_resync:
            listed = await self.port.cache_list()
            if listed.is_ok():
                index.resync(listed.ok)
            return
        events = await self.port.events_from(index.next_sequence)
        if events.is_ok():
            index.apply(events.ok)

    async def follow_version(self) -> None:
        """Read the engine's version; order the pool's version if it differs."""
        report = await self.port.load()
        if report.is_error():
            return
        self.agent.version = report.ok.version
        pool = self.pool()
        if pool is None:
            return
        if pool.version == report.ok.version:
            await self.leave_queue(pool)
        elif self.agent.is_idle():
            await self.order(pool)

    async def leave_queue(self, pool: Pool) -> None:
        """Leave the pool's queue, which frees the slot of a completed load."""
        if self.is_queued:
            await self.slots.release(pool.name)
            self.is_queued = False

    async def order(self, pool: Pool) -> None:
        """Order the pool's version, if there is a slot for loading.

        The order is repeated until the engine reports the version.  Repeating
        it is harmless: an order to load what is being loaded changes nothing.
        A load ends the engine's work, so it is ordered only while the agent is
        idle; work that was admitted during the wait for a slot comes first.
        """
        self.is_queued = True
        state = self.board.state
        if not await self.slots.acquire(pool.name, state, pool.load_slots):
            return
        if not self.agent.is_idle():
            return
        self.ordered = (pool.version, state.revision)
        self.agent.is_ordering = True
        try:
            await self.port.order_version(*self.ordered)
        finally:
            self.agent.is_ordering = False

    def pool(self) -> Pool | None:
        """Return the pool of this target; None if it is not known."""
        state = self.board.state
        target = state.targets.get(self.agent.target)
        if target is None:
            return None
        return state.pools.get(target.pool)
