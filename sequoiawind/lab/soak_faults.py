"""The faults of the soak run."""

import random
from collections.abc import Callable

import attrs

from sequoiawind.lab.engine_model import EngineModel
from sequoiawind.lab.memory_network import ChunkFaults, Node
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.lab.rig import Rig, RigAgent
from sequoiawind.members import VmState


@attrs.define(kw_only=True)
class SoakFaults:
    """Injects faults into a rig, and undoes them."""

    rig: Rig
    source: random.Random
    # Called with the name of each fault.
    count: Callable[[str], None]

    def engines(self) -> list[str]:
        """Return the names of the engines."""
        return sorted(
            name
            for name, made in self.rig.agents.items()
            if isinstance(made.target, EngineModel)
        )

    def inject(self) -> None:
        """Inject a fault, at times two together."""
        faults: tuple[Callable[[], None], ...] = (
            self.kill_router,
            self.kill_all_routers,
            self.pause_router,
            self.kill_agent,
            self.pause_agent,
            self.crash_engine,
            self.crash_plain,
            self.log_outage,
            self.log_slow,
            self.log_loses_answers,
            self.chunk_faults,
            self.cut_connections,
            self.lose_events,
            self.wrong_vm_list,
        )
        for _ in range(self.source.choice((1, 1, 2))):
            fault = self.source.choice(faults)
            self.count(fault.__name__)
            fault()

    def for_a_while(self, longest_s: float, undo: Callable[[], None]) -> None:
        """Undo a fault after a random time."""
        pause_s = self.source.uniform(0.05, longest_s)
        self.rig.clock.callLater(pause_s, undo)

    def kill_router(self) -> None:
        """Kill a router; another process replaces it."""
        self.kill_router_number(self.source.randrange(len(self.rig.routers)))

    def kill_router_number(self, number: int) -> None:
        """Kill one router."""
        node = self.rig.routers[number].node
        if node.is_up:
            node.kill()
            self.for_a_while(3.0, lambda: self.rig.restart_router(number))

    def kill_all_routers(self) -> None:
        """Kill all routers together."""
        for number in range(len(self.rig.routers)):
            self.kill_router_number(number)

    def pause_router(self) -> None:
        """Pause a router, at times past every timeout."""
        self.pause(self.source.choice(self.rig.routers).node)

    def pause(self, node: Node) -> None:
        """Pause a process."""
        if node.is_up and not node.is_paused:
            epoch = node.epoch
            node.pause()

            def resume() -> None:
                if node.epoch == epoch and node.is_paused:
                    node.resume()

            self.for_a_while(self.source.choice((0.5, 5.0, 45.0)), resume)

    def some_agent(self) -> tuple[str, RigAgent]:
        """Return an agent."""
        name = self.source.choice(sorted(self.rig.agents))
        return name, self.rig.agents[name]

    def kill_agent(self) -> None:
        """Kill an agent; another process replaces it."""
        name, made = self.some_agent()
        if made.node.is_up:
            made.node.kill()
            self.for_a_while(3.0, lambda: self.rig.restart_agent(name))

    def pause_agent(self) -> None:
        """Pause an agent."""
        self.pause(self.some_agent()[1].node)

    def engine(self) -> EngineModel:
        """Return an engine."""
        target = self.rig.agents[self.source.choice(self.engines())].target
        assert isinstance(target, EngineModel)
        return target

    def plain(self) -> PlainModel:
        """Return the plain service."""
        target = self.rig.agents["book"].target
        assert isinstance(target, PlainModel)
        return target

    def crash_engine(self) -> None:
        """Crash an engine."""
        self.engine().crash(self.source.choice((0.0, 0.5, 3.0)))

    def crash_plain(self) -> None:
        """Crash the plain service."""
        self.plain().crash(self.source.choice((0.0, 0.5, 3.0)))

    def log_outage(self) -> None:
        """Take the log down."""
        self.rig.log.is_down = True
        self.for_a_while(15.0, self.heal_log)

    def log_slow(self) -> None:
        """Make the log slow."""
        self.rig.log.latency_s = self.source.uniform(0.1, 2.0)
        self.for_a_while(10.0, self.heal_log)

    def log_loses_answers(self) -> None:
        """Let the log lose answers after the write."""
        self.rig.log.lost_answers = 0.5
        self.for_a_while(10.0, self.heal_log)

    def heal_log(self) -> None:
        """Undo all faults of the log."""
        self.rig.log.is_down = False
        self.rig.log.latency_s = 0.002
        self.rig.log.lost_answers = 0.0

    def chunk_faults(self) -> None:
        """Let chunks be lost, doubled, crossed, or reach others."""
        self.rig.network.faults = ChunkFaults(
            lost=0.02, doubled=0.05, crossed=0.05, foreign=0.05, broken=0.02
        )
        self.for_a_while(10.0, self.heal_chunks)

    def heal_chunks(self) -> None:
        """Undo the faults of chunks."""
        self.rig.network.faults = ChunkFaults()

    def cut_connections(self) -> None:
        """Cut all connections of a process."""
        node = self.source.choice(
            [router.node for router in self.rig.routers]
            + [made.node for made in self.rig.agents.values()]
        )
        for connection in list(node.connections):
            connection.cut()

    def lose_events(self) -> None:
        """Let an engine lose cache events."""
        engine = self.engine()
        engine.parameters = attrs.evolve(engine.parameters, event_loss=0.3)

    def wrong_vm_list(self) -> None:
        """Let the list say that VMs leave which do not."""
        names = [f"vm-{name}" for name in self.rig.agents]
        wrong = self.source.sample(names, self.source.randint(1, len(names)))
        for router in self.rig.routers:
            router.board.members.vms = dict.fromkeys(wrong, VmState.LEAVING)
        self.for_a_while(10.0, self.heal_vm_list)

    def heal_vm_list(self) -> None:
        """Let the list say nothing."""
        for router in self.rig.routers:
            router.board.members.vms = {}

    def heal(self) -> None:
        """Undo all faults."""
        self.heal_log()
        self.heal_chunks()
        self.heal_vm_list()
        for number, router in enumerate(self.rig.routers):
            if not router.node.is_up:
                self.rig.restart_router(number)
            router.node.resume()
        for made in self.rig.agents.values():
            made.node.resume()
