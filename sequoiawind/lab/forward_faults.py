"""Faults of the platform and of the processes, for the soak of forwarding."""

from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind.lab.forward_world import Luck, ModelTarget

if TYPE_CHECKING:
    from sequoiawind.lab.forward_soak import ForwardSoak

# Time after which the entry of a target that crashed lapses, in seconds.
LAPSE_S: Final = 3.0
RESTART_S: Final = 1.0


@attrs.define(kw_only=True, eq=False)
class ForwardFaults:
    """Injects faults at random, together and again."""

    soak: "ForwardSoak"
    # Name, begin and end of each pause of a process.
    pauses: list[tuple[str, float, float]] = attrs.field(factory=list)
    is_healed: bool = False

    def inject(self) -> None:
        """Inject some fault."""
        if self.is_healed:
            return
        name = self.soak.source.choice(FAULTS)
        self.soak.world.counts[f"fault {name}"] += 1
        getattr(self, name)()

    def heal(self) -> None:
        """End all faults."""
        self.is_healed = True
        world = self.soak.world
        world.turned_away.clear()
        world.forgets = False
        world.luck = Luck(stopped_moves=0.0)

    def later(self, low_s: float, high_s: float) -> float:
        """Return a random time."""
        return self.soak.source.uniform(low_s, high_s)

    # Targets.

    def some_target(self) -> ModelTarget:
        """Return a target that is up."""
        up = [item for item in self.soak.world.targets.values() if item.is_up]
        return self.soak.source.choice(up)

    def crash_target(self) -> None:
        """A target crashes, and starts again at its address."""
        target = self.some_target()
        target.crash()
        name = target.entry.name
        if self.soak.source.random() < 0.5:
            name = f"{name.split('-')[0]}-{self.soak.made}"
        self.soak.clock.callLater(
            self.later(0.5, 3.0), self.restart_target, target, name
        )
        if name != target.entry.name:
            self.soak.clock.callLater(LAPSE_S, self.lapse, target)

    def restart_target(self, target: ModelTarget, name: str) -> None:
        """Start a target anew."""
        entry = target.entry
        self.soak.add_target(name, entry.pool, entry.address)

    def lapse(self, target: ModelTarget) -> None:
        """Let the entry of a target that is gone lapse."""
        self.soak.world.write("targets", target.entry.name, None)

    def drain_target(self) -> None:
        """A target drains, ends, and another takes its address."""
        target = self.some_target()
        target.entry = attrs.evolve(target.entry, is_draining=True)
        self.soak.world.write("targets", target.entry.name, target.entry)
        self.soak.clock.callLater(self.later(2.5, 4.0), self.end_drain, target)

    def end_drain(self, target: ModelTarget) -> None:
        """A target that has drained ends."""
        if not target.is_up:
            return
        target.crash()
        self.lapse(target)
        name = f"{target.entry.name.split('-')[0]}-{self.soak.made}"
        self.soak.clock.callLater(1.0, self.restart_target, target, name)

    # Processes.

    def kill_router(self) -> None:
        """A router is killed and starts again."""
        router = self.soak.source.choice(
            list(self.soak.processes.routers.values())
        )
        if not router.node.is_up:
            return
        for forwarding in list(router.forwarder.open):
            if forwarding.current is not None and forwarding.current.call:
                forwarding.current.call.cancel()
        router.node.kill()

        def restart() -> None:
            router.node.restart()
            self.soak.processes.start_router(router.node)

        self.soak.clock.callLater(RESTART_S, restart)

    def kill_agent(self) -> None:
        """An agent is killed and starts again."""
        address = self.soak.source.choice(sorted(self.soak.processes.agents))
        node = self.soak.processes.agents[address].node
        if not node.is_up:
            return
        node.kill()

        def restart() -> None:
            node.restart()
            self.soak.processes.start_agent(address)

        self.soak.clock.callLater(RESTART_S, restart)

    def pause_process(self) -> None:
        """A process stands still for a while."""
        soak = self.soak
        nodes = [item.node for item in soak.processes.routers.values()]
        nodes += [item.node for item in soak.processes.agents.values()]
        node = soak.source.choice(nodes)
        if not node.is_up or node.is_paused:
            return
        now_s, pause_s = soak.clock.seconds(), self.later(0.5, 7.0)
        self.pauses.append((node.name, now_s, now_s + pause_s))
        node.pause()
        soak.clock.callLater(pause_s, node.resume)

    def was_paused(self, name: str, begin_s: float, end_s: float) -> bool:
        """Whether a process stood still in some of a time."""
        return any(
            name == paused and begin_s <= until_s and since_s <= end_s
            for paused, since_s, until_s in self.pauses
        )

    # The store and the operator.

    def turn_away(self) -> None:
        """The store turns some processes away."""
        soak, world = self.soak, self.soak.world
        names = [item.node.name for item in soak.processes.routers.values()]
        names += [item.node.name for item in soak.processes.agents.values()]
        count = soak.source.choice((1, 2, len(names)))
        chosen = set(soak.source.sample(names, count))
        world.turned_away |= chosen

        def end() -> None:
            world.turned_away -= chosen

        soak.clock.callLater(self.later(1.0, 9.0), end)

    def forget_history(self) -> None:
        """The store drops its history, but for the newest records."""
        world = self.soak.world
        world.forgets = True

        def end() -> None:
            world.forgets = False

        self.soak.clock.callLater(0.3, end)

    def revoke_key(self) -> None:
        """A key is taken away."""
        soak = self.soak
        if len(soak.keys) < 2:
            return
        key = soak.source.choice(sorted(soak.keys))
        soak.keys.discard(key)
        soak.write_config()
        soak.world.revoked_s[key] = soak.clock.seconds()

    def revoke_while_away(self) -> None:
        """A key is taken away while a router cannot hear of it."""
        name = self.soak.source.choice(sorted(self.soak.processes.routers))
        world = self.soak.world
        world.turned_away.add(name)
        self.soak.clock.callLater(0.3, self.revoke_key)
        self.soak.clock.callLater(9.0, world.turned_away.discard, name)

    def change_config(self) -> None:
        """A configuration that changes nothing but its revision."""
        self.soak.write_config()

    def name_weights(self) -> None:
        """Newer weights are named."""
        self.soak.name_weights()

    # Luck.

    def bad_luck(self) -> None:
        """Answers are lost, targets hang or fail, orders come late."""
        world = self.soak.world
        world.luck = Luck(
            lost=self.soak.source.choice((0.0, 0.2)),
            hung=self.soak.source.choice((0.0, 0.1)),
            failed=self.soak.source.choice((0.0, 0.2)),
            busy=self.soak.source.choice((0.0, 0.4)),
            late_orders=self.soak.source.choice((0.0, 0.5)),
            stopped_moves=self.soak.source.choice((0.1, 0.6)),
        )

        def end() -> None:
            world.luck = Luck()

        self.soak.clock.callLater(self.later(2.0, 6.0), end)


FAULTS: Final = (
    "crash_target",
    "drain_target",
    "kill_router",
    "kill_agent",
    "pause_process",
    "turn_away",
    "forget_history",
    "revoke_key",
    "revoke_while_away",
    "change_config",
    "name_weights",
    "name_weights",
    "bad_luck",
)
