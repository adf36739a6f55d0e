"""Routers and agents of the forwarding soak, with in-memory transports."""

import random
from typing import Any, Final, cast

import attrs
import structlog
from expression import Ok, Result
from twisted.internet.defer import Deferred

from sequoiawind import timing
from sequoiawind.allowed_weights import AllowedWeights
from sequoiawind.blackboard import Blackboard
from sequoiawind.cache_watcher import CacheWatcher
from sequoiawind.crash_registry import CrashRegistry
from sequoiawind.fleet import Fleet
from sequoiawind.forward_agent import ForwardAgent
from sequoiawind.forward_plan import Planner
from sequoiawind.forward_readers import (
    OperatorCodec,
    OperatorReader,
    TargetReader,
)
from sequoiawind.forward_state import ForwardState
from sequoiawind.forwarder import Forwarder
from sequoiawind.freshness import Freshness
from sequoiawind.lab.forward_checks import (
    REPEAT_ALLOWANCE,
    REPEAT_RATIO,
    REPEAT_WINDOW_S,
)
from sequoiawind.lab.forward_store import CRASHES, CrashStore, StorePort
from sequoiawind.lab.forward_target_ports import TargetPorts
from sequoiawind.lab.forward_world import MODEL, World
from sequoiawind.lab.memory_network import Node, NodeClock
from sequoiawind.lab.memory_origin_log import MemoryOriginLog
from sequoiawind.lab.memory_software_log import MemorySoftwareLog
from sequoiawind.origin_registry import OriginRegistry
from sequoiawind.record_follower import RecordFollower, RecordReader
from sequoiawind.repeat_window import RepeatWindow
from sequoiawind.rollout import NamedVersion
from sequoiawind.software_records import SoftwareRecords
from sequoiawind.status_watcher import (
    STATUS_WAIT_S,
    AgentClient,
    StatusWatcher,
)
from sequoiawind.weights_changes import WeightsChanges
from sequoiawind.wire import TargetStatus

WEIGHTS_S: Final = 6.0
STATUS_POLL_S: Final = 0.04


@attrs.define(kw_only=True, eq=False)
class MemoryAgentClient:
    """In-memory `AgentClient` of one process, a router or an agent."""

    processes: "Processes"
    node: Node
    clock: NodeClock

    async def status(
        self, address: str, after: int = -1
    ) -> TargetStatus | None:
        """Return an agent's status; None if the agent does not answer.

        Waits until the status is newer than `after`, at most `STATUS_WAIT_S`.
        """
        ends_s = self.clock.seconds() + STATUS_WAIT_S
        while True:
            await timing.sleep(self.clock, STATUS_POLL_S)
            found = self.processes.agents.get(address)
            if found is None or not found.node.is_up or found.node.is_paused:
                return None
            agent = found.agent
            if self.node.name.startswith("r"):
                agent.record_router_poll(self.node.name)
            is_over = self.clock.seconds() >= ends_s
            if agent.status.number > after or is_over:
                return agent.status


@attrs.define(kw_only=True, eq=False)
class SoakRouter:
    """A router process."""

    node: Node
    clock: NodeClock
    board: Blackboard
    fleet: Fleet
    forwarder: Forwarder
    # Newest configuration revision seen in force here; -1 for none.
    revision: int = -1


@attrs.define(kw_only=True, eq=False)
class SoakAgent:
    """An agent process."""

    node: Node
    agent: ForwardAgent


@attrs.define(kw_only=True, eq=False)
class Processes:
    """The router and agent processes of one run."""

    world: World
    rng: random.Random
    log: Any = attrs.field(init=False)
    routers: dict[str, SoakRouter] = attrs.field(factory=dict)
    agents: dict[str, SoakAgent] = attrs.field(factory=dict)
    origin_log: MemoryOriginLog = attrs.field(factory=MemoryOriginLog)
    # The soak's store may delete entries of earlier targets.
    software_log: MemorySoftwareLog = attrs.field(
        factory=lambda: MemorySoftwareLog(past=None)
    )

    def __attrs_post_init__(self) -> None:
        """Create a logger whose output is discarded."""
        self.log = structlog.wrap_logger(structlog.PrintLogger(file=NULL_FILE))

    def follow(
        self, node: Node, topic: str, reader: RecordReader, wait_s: float
    ) -> None:
        """Start a follower that passes the records of a topic to a reader."""
        clock = NodeClock(clock=self.world.clock, node=node)
        follower = RecordFollower(
            topic=topic,
            port=StorePort(world=self.world, node=node.name, clock=clock),
            reader=reader,
            clock=clock,
            random=self.rng,
            wait_s=wait_s,
            age_clock=self.world.clock.seconds,
            log=self.log,
        )
        Deferred.fromCoroutine(follower.run())

    def codec(self) -> OperatorCodec:
        """Return the codec for records of the operator topic."""
        return OperatorCodec(
            config_key="config",
            weights_prefix="weights/",
            config=lambda data: cast(ForwardState, self.decode_object(data)),
            weights=lambda data: NamedWeights(
                version=cast(NamedVersion, self.decode_object(data)).version
            ),
        )

    def decode_object(self, data: bytes) -> object:
        """Return the object whose index a record holds."""
        return self.world.objects[int(data)]

    def decode_target(self, name: str, data: bytes) -> Result[Any, str]:
        """Return the target entry whose index a record holds."""
        return Ok(self.decode_object(data))

    def start_router(self, node: Node) -> None:
        """Start a router process."""
        clock = NodeClock(clock=self.world.clock, node=node)
        board, fleet = Blackboard(), Fleet(random=self.rng)
        freshness = Freshness(
            revoke_s=self.world.revoke_s,
            in_force_s=2.0,
            now=self.world.clock.seconds,
        )
        port = TargetPorts(world=self.world, node=node)
        store = CrashStore(world=self.world, node=node.name, clock=clock)
        forwarder = Forwarder(
            board=board,
            fleet=fleet,
            planner=Planner(board=board, freshness=freshness, random=self.rng),
            port=port,
            caches=CacheWatcher(
                port=port, clock=clock, random=self.rng, log=self.log
            ),
            origins=OriginRegistry(
                port=self.origin_log,
                software=SoftwareRecords(
                    port=self.software_log,
                    board=board,
                    fleet=fleet,
                    freshness=freshness,
                    clock=clock,
                    log=self.log,
                    random=self.rng,
                ),
                fleet=fleet,
                freshness=freshness,
                clock=clock,
                log=self.log,
            ),
            crashes=CrashRegistry(
                node=node.name,
                port=store,
                clock=clock,
                age_clock=self.world.clock.seconds,
                wall_ms=lambda: int(self.world.clock.seconds() * 1000),
                log=self.log,
            ),
            clock=clock,
            window=RepeatWindow(
                ratio=REPEAT_RATIO,
                allowance=REPEAT_ALLOWANCE,
                window_s=REPEAT_WINDOW_S,
                started_s=clock.seconds(),
            ),
            random=self.rng,
            domain="d1",
            weights=AllowedWeights(
                clock=clock,
                weights_s=WEIGHTS_S,
                settle_s=3.0,
            ),
        )
        router = SoakRouter(
            node=node,
            clock=clock,
            board=board,
            fleet=fleet,
            forwarder=forwarder,
        )
        self.routers[node.name] = router
        agents = MemoryAgentClient(processes=self, node=node, clock=clock)
        watcher = StatusWatcher(
            fleet=fleet,
            agents=cast(AgentClient, agents),
            clock=clock,
            random=self.rng,
            log=self.log,
            on_change=forwarder.status_changed,
        )
        operator = OperatorReader(
            board=board,
            codec=self.codec(),
            log=self.log,
            freshness=freshness,
            on_weights=WeightsChanges(forwarder=forwarder, clock=clock).named,
        )

        def changed() -> None:
            watcher.follow()
            forwarder.waiting.serve()

        targets = TargetReader(
            fleet=fleet,
            decode=self.decode_target,
            clock=clock,
            log=self.log,
            on_change=changed,
            on_software=forwarder.origins.targets_changed,
            on_incarnation=forwarder.incarnation_began,
        )
        self.follow(node, "operator", operator, 1.1)
        self.follow(node, "targets", targets, 1.4)
        self.follow(node, CRASHES, forwarder.crashes, 2.5)

    def start_agent(self, address: str) -> None:
        """Start the agent process at a target's address."""
        old = self.agents.get(address)
        node = old.node if old else Node(name=f"agent-{address}")
        clock = NodeClock(clock=self.world.clock, node=node)
        fleet = Fleet()
        # A `SimulatedTarget` passes each call to the target at the address of
        # the call, so any of them can be the port.
        any_target = next(iter(self.world.targets.values()))
        agent = ForwardAgent(
            address=address,
            holder=node.name,
            port=any_target,
            clock=clock,
            fleet=fleet,
            log=self.log,
            weights_s=WEIGHTS_S,
            peers=MemoryAgentClient(processes=self, node=node, clock=clock),
        )
        self.agents[address] = SoakAgent(node=node, agent=agent)
        operator = OperatorReader(
            board=Blackboard(),
            codec=self.codec(),
            log=self.log,
            on_weights=agent.weights_named,
        )
        targets = TargetReader(
            fleet=fleet, decode=self.decode_target, clock=clock, log=self.log
        )
        self.follow(node, "operator", operator, 3.0)
        self.follow(node, "targets", targets, 8.0)
        Deferred.fromCoroutine(agent.run())


@attrs.frozen(kw_only=True)
class NamedWeights:
    """Decoded record of a weights version that the operator named."""

    version: int
    model: str = MODEL


class NullFile:
    """A file that discards what is written to it."""

    def write(self, text: str) -> int:
        """Discard a text; return its length."""
        return len(text)

    def flush(self) -> None:
        """Do nothing."""


NULL_FILE: Final[Any] = NullFile()
