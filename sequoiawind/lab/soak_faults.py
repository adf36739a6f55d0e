"""Fault injection for the soak run."""

import random
from collections.abc import Callable

import attrs

from sequoiawind.lab.engine_model import EngineModel, EngineParameters
from sequoiawind.lab.memory_network import ChunkFaults, Node
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.lab.rig import Rig, RigAgent
from sequoiawind.members import VmState


@attrs.define(kw_only=True)
class SoakFaults:
    """Injects random faults into a rig, and undoes them."""

    rig: Rig
    rng: random.Random
    # Called with the name of each fault that is injected.
    count: Callable[[str], None]

    def engines(self) -> list[str]:
        """Return the names of the engines."""
        return sorted(
            name
            for name, agent in self.rig.agents.items()
            if isinstance(agent.target, EngineModel)
        )

    def inject(self) -> None:
        """Inject a random fault, sometimes two at the same time."""
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
        for _ in range(self.rng.choice((1, 1, 2))):
            fault = self.rng.choice(faults)
            self.count(fault.__name__)
            fault()

    def undo_later(self, longest_s: float, undo: Callable[[], None]) -> None:
        """Undo a fault after a random time of at most `longest_s` seconds."""
        delay_s = self.rng.uniform(0.05, longest_s)
        self.rig.clock.callLater(delay_s, undo)

    def kill_router(self) -> None:
        """Kill a random router; a new process replaces it later."""
        self.kill_router_number(self.rng.randrange(len(self.rig.routers)))

    def kill_router_number(self, number: int) -> None:
        """Kill the router at an index; a new process replaces it later."""
        node = self.rig.routers[number].node
        if node.is_up:
            node.kill()
            self.undo_later(3.0, lambda: self.rig.restart_router(number))

    def kill_all_routers(self) -> None:
        """Kill all routers at the same time."""
        for number in range(len(self.rig.routers)):
            self.kill_router_number(number)

    def pause_router(self) -> None:
        """Pause a random router, sometimes for longer than every timeout."""
        self.pause(self.rng.choice(self.rig.routers).node)

    def pause(self, node: Node) -> None:
        """Pause a process that is running, and resume it later."""
        if node.is_up and not node.is_paused:
            epoch = node.epoch
            node.pause()

            def resume() -> None:
                if node.epoch == epoch and node.is_paused:
                    node.resume()

            self.undo_later(self.rng.choice((0.5, 5.0, 45.0)), resume)

    def random_agent(self) -> tuple[str, RigAgent]:
        """Return the target name of a random agent, and the agent."""
        name = self.rng.choice(sorted(self.rig.agents))
        return name, self.rig.agents[name]

    def kill_agent(self) -> None:
        """Kill a random agent; a new process replaces it later."""
        name, agent = self.random_agent()
        if agent.node.is_up:
            agent.node.kill()
            self.undo_later(3.0, lambda: self.rig.restart_agent(name))

    def pause_agent(self) -> None:
        """Pause a random agent."""
        self.pause(self.random_agent()[1].node)

    def random_engine(self) -> EngineModel:
        """Return the model of a random engine."""
        target = self.rig.agents[self.rng.choice(self.engines())].target
        assert isinstance(target, EngineModel)
        return target

    def plain_service(self) -> PlainModel:
        """Return the model of the plain service."""
        target = self.rig.agents["book"].target
        assert isinstance(target, PlainModel)
        return target

    def crash_engine(self) -> None:
        """Crash a random engine; it is down for a random time."""
        self.random_engine().crash(self.rng.choice((0.0, 0.5, 3.0)))

    def silence_engine(self) -> None:
        """Let a random engine yield nothing for a while, and then go on."""
        self.count("silence_engine")
        engine = self.random_engine()
        usual_s = EngineParameters().step_base_s
        silence_s = self.rng.choice((1.0, 3.0, 25.0))

        def set_step(step_s: float) -> None:
            engine.parameters = attrs.evolve(
                engine.parameters, step_base_s=step_s
            )

        # The step that is begun next lasts as long as the silence.
        set_step(silence_s)
        self.rig.clock.callLater(0.1, set_step, usual_s)

    def crash_plain(self) -> None:
        """Crash the plain service; it is down for a random time."""
        self.plain_service().crash(self.rng.choice((0.0, 0.5, 3.0)))

    def log_outage(self) -> None:
        """Make the log unavailable for a while."""
        self.rig.log.is_down = True
        self.undo_later(15.0, self.heal_log)

    def log_slow(self) -> None:
        """Raise the latency of the log for a while."""
        self.rig.log.latency_s = self.rng.uniform(0.1, 2.0)
        self.undo_later(10.0, self.heal_log)

    def log_loses_answers(self) -> None:
        """Lose answers of the log to appends that took effect."""
        self.rig.log.lost_answers = 0.5
        self.undo_later(10.0, self.heal_log)

    def heal_log(self) -> None:
        """Undo all faults of the log."""
        self.rig.log.is_down = False
        self.rig.log.latency_s = 0.002
        self.rig.log.lost_answers = 0.0

    def chunk_faults(self) -> None:
        """Lose, duplicate, reorder and misdeliver chunks; break connections."""
        self.rig.network.faults = ChunkFaults(
            lost=0.02,
            duplicated=0.05,
            reordered=0.05,
            foreign=0.05,
            broken=0.02,
        )
        self.undo_later(10.0, self.heal_chunks)

    def heal_chunks(self) -> None:
        """Undo the faults of chunk delivery."""
        self.rig.network.faults = ChunkFaults()

    def cut_connections(self) -> None:
        """Cut all connections of a random process."""
        node = self.rng.choice(
            [router.node for router in self.rig.routers]
            + [agent.node for agent in self.rig.agents.values()]
        )
        for connection in list(node.connections):
            connection.cut()

    def lose_events(self) -> None:
        """Make a random engine lose a share of its cache events."""
        engine = self.random_engine()
        engine.parameters = attrs.evolve(engine.parameters, event_loss=0.3)

    def wrong_vm_list(self) -> None:
        """Let the VM list show random VMs as leaving although they stay."""
        names = [f"vm-{name}" for name in self.rig.agents]
        wrong = self.rng.sample(names, self.rng.randint(1, len(names)))
        for router in self.rig.routers:
            router.board.members.vms = dict.fromkeys(wrong, VmState.LEAVING)
        self.undo_later(10.0, self.heal_vm_list)

    def heal_vm_list(self) -> None:
        """Clear the VM list of all routers."""
        for router in self.rig.routers:
            router.board.members.vms = {}

    def heal(self) -> None:
        """Undo the faults in effect, except for the loss of cache events.

        Killed agents and crashed targets recover by their own timers.
        """
        self.heal_log()
        self.heal_chunks()
        self.heal_vm_list()
        for number, router in enumerate(self.rig.routers):
            if not router.node.is_up:
                self.rig.restart_router(number)
            router.node.resume()
        for agent in self.rig.agents.values():
            agent.node.resume()
