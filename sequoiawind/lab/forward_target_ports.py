"""Access of the routers of a soak to the targets of the modelled platform."""

import attrs
from expression import Error, Result

from sequoiawind import timing
from sequoiawind.forward_ports import (
    CacheChanges,
    ForwardSink,
    MoveOrder,
    SendOrder,
)
from sequoiawind.lab.forward_runs import SimulatedRun
from sequoiawind.lab.forward_world import LATENCY_S, World
from sequoiawind.lab.memory_network import Node
from sequoiawind.verdict import Failure, Reason, not_run


@attrs.define(kw_only=True, eq=False)
class TargetPorts:
    """Access of one router to targets: its `ForwardPort` and `CachePort`."""

    world: World
    node: Node

    def send(self, order: SendOrder, sink: ForwardSink) -> SimulatedRun:
        """Send to the target up at the address, or else to the named one."""
        world = self.world
        target = world.target_at(order.target.address)
        receiver = target or world.targets[order.target.name]
        run = SimulatedRun(
            target=receiver,
            order=order,
            sink=sink,
            node=self.node,
            epoch=self.node.epoch,
            sent_s=world.clock.seconds(),
        )
        world.history[order.request.request_id].append(run)
        world.clock.callLater(LATENCY_S, receiver.arrive, run)
        return run

    async def reserve_move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Copy the memory of a run that goes on."""
        await timing.sleep(self.world.clock, LATENCY_S)
        return self.world.targets[order.source.name].reserve_move(order)

    async def move(
        self, order: MoveOrder, timeout_s: float
    ) -> Result[str, Failure]:
        """Stop a run and copy its memory to another target."""
        await timing.sleep(self.world.clock, LATENCY_S)
        return self.world.targets[order.source.name].move(order)

    def release_moved_run(self, moved_from: str) -> None:
        """Free the copied memory of a run that is not resumed."""
        for target in self.world.targets.values():
            target.memories.pop(moved_from, None)

    async def cache_changes(
        self, address: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[CacheChanges, Failure]:
        """Refuse, as a target that has too many watchers does."""
        await timing.sleep(self.world.clock, LATENCY_S)
        return Error(not_run(Reason.TARGET_BUSY))
