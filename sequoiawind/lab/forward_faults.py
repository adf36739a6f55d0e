"""Fault injection for the soak of the forwarding: platform and processes."""

from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.lab.forward_checks import StatedLimit
from sequoiawind.lab.forward_config import ENGINE_POOLS
from sequoiawind.lab.forward_targets import SimulatedTarget
from sequoiawind.lab.forward_world import FaultRates

if TYPE_CHECKING:
    from sequoiawind.lab.forward_soak import ForwardSoak

# Time until the store entry of a crashed target expires, in seconds.
ENTRY_EXPIRY_S: Final = 3.0
RESTART_S: Final = 1.0


@attrs.define(kw_only=True, eq=False)
class ForwardFaults:
    """Injects random faults, which may overlap and recur."""

    soak: "ForwardSoak"
    # Process name, start and end of each pause, in seconds of the clock.
    pauses: list[tuple[str, float, float]] = attrs.field(factory=list)
    # Until when the last process is down, paused or starting.
    disturbed_until_s: float = 0.0
    is_healed: bool = False

    def inject(self) -> None:
        """Inject a random fault, unless `heal` has been called."""
        if self.is_healed:
            return
        name = self.soak.rng.choice(FAULTS)
        self.soak.world.counts[f"fault {name}"] += 1
        getattr(self, name)()

    def heal(self) -> None:
        """Inject no more faults, and undo those of the platform."""
        self.is_healed = True
        world = self.soak.world
        world.refused_nodes.clear()
        world.has_lost_records = False
        world.fault_rates = FaultRates(failed_moves=0.0)

    def random_delay_s(self, low_s: float, high_s: float) -> float:
        """Return a random delay in seconds."""
        return self.soak.rng.uniform(low_s, high_s)

    # Targets.

    def random_target(self) -> SimulatedTarget:
        """Return a random target that is up."""
        up = [item for item in self.soak.world.targets.values() if item.is_up]
        return self.soak.rng.choice(up)

    def crash_target(self) -> None:
        """Crash a target; another starts there, with the same or a new name."""
        self.crash(self.random_target())

    def crash_under_request(
        self, target: SimulatedTarget, request: ForwardRequest
    ) -> None:
        """Crash a target by a request; another starts there.

        After a crash by one of many repeats it has the same software version.
        """
        is_repeated = request.body in self.soak.world.crashing_bodies
        self.crash(target, target.entry.software if is_repeated else "")

    def crash(self, target: SimulatedTarget, software: str = "") -> None:
        """Crash a given target; another starts there.

        Args:
          target: The target.
          software: Software version of the other one; empty for the next.
        """
        target.crash()
        name = target.entry.name
        if self.soak.rng.random() < 0.5:
            name = f"{name.split('-')[0]}-{self.soak.targets_started}"
        self.soak.clock.callLater(
            self.random_delay_s(0.5, 3.0),
            self.restart_target,
            target,
            name,
            software,
        )
        if name != target.entry.name:
            self.soak.clock.callLater(ENTRY_EXPIRY_S, self.expire_entry, target)

    def restart_target(
        self, target: SimulatedTarget, name: str, software: str = ""
    ) -> None:
        """Start a target with a name, in place of one that has ended."""
        entry = target.entry
        self.soak.add_target(name, entry.pool, entry.address, software)

    def expire_entry(self, target: SimulatedTarget) -> None:
        """Delete the store entry of a target that has ended."""
        self.soak.world.write("targets", target.entry.name, None)

    def limit_target(self) -> None:
        """Let an engine state a limit for a while."""
        soak = self.soak
        target = self.random_target()
        if target.entry.pool not in ENGINE_POOLS:
            return
        limit = StatedLimit(
            limit_per_s=soak.rng.choice((0.0, 0.5, 1.0, 2.0)),
            since_s=soak.clock.seconds(),
        )
        target.limit = limit

        def end() -> None:
            if target.limit is limit:
                target.limit = None

        soak.clock.callLater(self.random_delay_s(4.0, 15.0), end)

    def silence_target(self) -> None:
        """Let a target's runs stand still for a while, and then go on.

        That is no fault of the target.
        """
        if self.is_healed:
            return
        self.soak.world.counts["silences"] += 1
        target = self.random_target()
        until_s = self.soak.clock.seconds() + self.random_delay_s(0.3, 2.5)
        target.silent_until_s = max(target.silent_until_s, until_s)

    def drain_target(self) -> None:
        """Drain a target, end it, and start another at its address."""
        target = self.random_target()
        target.entry = attrs.evolve(target.entry, is_draining=True)
        self.soak.world.write("targets", target.entry.name, target.entry)
        self.soak.clock.callLater(
            self.random_delay_s(2.5, 4.0), self.end_drain, target
        )

    def end_drain(self, target: SimulatedTarget) -> None:
        """End a target that has drained, and replace it."""
        if not target.is_up:
            return
        target.crash()
        self.expire_entry(target)
        name = f"{target.entry.name.split('-')[0]}-{self.soak.targets_started}"
        self.soak.clock.callLater(1.0, self.restart_target, target, name)

    # Processes.

    def kill_router(self) -> None:
        """Kill a router, and restart it later."""
        router = self.soak.rng.choice(
            list(self.soak.processes.routers.values())
        )
        if not router.node.is_up:
            return
        for forwarding in list(router.forwarder.open):
            # The connections of a killed router break, which stops its runs.
            for attempt in (forwarding.current, *forwarding.silence.kept):
                if attempt is not None and attempt.call is not None:
                    attempt.call.cancel()
        router.node.kill()
        self.disturb(RESTART_S)

        def restart() -> None:
            router.node.restart()
            self.soak.processes.start_router(router.node)

        self.soak.clock.callLater(RESTART_S, restart)

    def kill_agent(self) -> None:
        """Kill an agent, and restart it later."""
        address = self.soak.rng.choice(sorted(self.soak.processes.agents))
        node = self.soak.processes.agents[address].node
        if not node.is_up:
            return
        node.kill()
        self.disturb(RESTART_S)

        def restart() -> None:
            node.restart()
            self.soak.processes.start_agent(address)

        self.soak.clock.callLater(RESTART_S, restart)

    def pause_process(self) -> None:
        """Pause a router or agent for a random time."""
        soak = self.soak
        nodes = [item.node for item in soak.processes.routers.values()]
        nodes += [item.node for item in soak.processes.agents.values()]
        node = soak.rng.choice(nodes)
        if not node.is_up or node.is_paused:
            return
        now_s, pause_s = soak.clock.seconds(), self.random_delay_s(0.5, 7.0)
        self.pauses.append((node.name, now_s, now_s + pause_s))
        self.disturb(pause_s)
        node.pause()
        soak.clock.callLater(pause_s, node.resume)

    def disturb(self, time_s: float) -> None:
        """Note that a process is disturbed for some seconds."""
        until_s = self.soak.clock.seconds() + time_s
        self.disturbed_until_s = max(self.disturbed_until_s, until_s)

    def was_paused(self, name: str, begin_s: float, end_s: float) -> bool:
        """Whether a process was paused at any time in an interval."""
        return any(
            name == paused and begin_s <= until_s and since_s <= end_s
            for paused, since_s, until_s in self.pauses
        )

    # The store and the operator.

    def refuse_reads(self) -> None:
        """Make the store refuse reads of some or all processes for a while."""
        soak, world = self.soak, self.soak.world
        names = [item.node.name for item in soak.processes.routers.values()]
        names += [item.node.name for item in soak.processes.agents.values()]
        count = soak.rng.choice((1, 2, len(names)))
        chosen = set(soak.rng.sample(names, count))
        world.refused_nodes |= chosen

        def end() -> None:
            world.refused_nodes -= chosen

        soak.clock.callLater(self.random_delay_s(1.0, 9.0), end)

    def lose_records(self) -> None:
        """Make the store report all but the newest records as deleted."""
        world = self.soak.world
        world.has_lost_records = True

        def end() -> None:
            world.has_lost_records = False

        self.soak.clock.callLater(0.3, end)

    def revoke_key(self) -> None:
        """Revoke a random key."""
        self.soak.config.revoke_key()

    def revoke_while_refused(self) -> None:
        """Revoke a key while a router cannot read the store."""
        name = self.soak.rng.choice(sorted(self.soak.processes.routers))
        world = self.soak.world
        world.refused_nodes.add(name)
        self.soak.clock.callLater(0.3, self.revoke_key)
        self.soak.clock.callLater(9.0, world.refused_nodes.discard, name)

    def change_config(self) -> None:
        """Publish a configuration that differs in its revision alone."""
        self.soak.config.publish()

    def change_rules(self) -> None:
        """Publish a configuration that changes what is in force."""
        if not self.is_healed:
            self.soak.config.change()

    def name_weights(self) -> None:
        """Publish a newer weights version."""
        self.soak.name_weights()

    # Fault rates.

    def raise_fault_rates(self) -> None:
        """Raise the rates of lost, hung and failed answers and late orders."""
        world = self.soak.world
        world.fault_rates = FaultRates(
            lost=self.soak.rng.choice((0.0, 0.2)),
            hung=self.soak.rng.choice((0.0, 0.1)),
            failed=self.soak.rng.choice((0.0, 0.2)),
            busy=self.soak.rng.choice((0.0, 0.4)),
            late_orders=self.soak.rng.choice((0.0, 0.5)),
            failed_moves=self.soak.rng.choice((0.1, 0.6)),
        )

        def end() -> None:
            world.fault_rates = FaultRates()

        self.soak.clock.callLater(self.random_delay_s(2.0, 6.0), end)


FAULTS: Final = (
    "crash_target",
    "drain_target",
    "limit_target",
    "limit_target",
    "kill_router",
    "kill_agent",
    "pause_process",
    "refuse_reads",
    "lose_records",
    "revoke_key",
    "revoke_while_refused",
    "change_config",
    "name_weights",
    "name_weights",
    "name_weights",
    "raise_fault_rates",
)
