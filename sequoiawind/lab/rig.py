"""Routers, agents and stand-ins in one process on a virtual clock.

Used by the soak run, the experiments and the tests of whole sessions.  The
code of routers and agents is the real one; only transports, log and targets
are stand-ins.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, TypeVar

import attrs
from expression import Result
from twisted.internet.defer import Deferred

from sequoiawind import config_fold, defaults, keys, tokens
from sequoiawind.admission import FairQueue
from sequoiawind.agent import Agent
from sequoiawind.blackboard import Blackboard
from sequoiawind.claimant import Claimant
from sequoiawind.commands import Command, Create
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.engine_watcher import EngineWatcher
from sequoiawind.exchange import ExchangeContext
from sequoiawind.lab.engine_model import EngineModel, EngineParameters
from sequoiawind.lab.log_model import LogModel
from sequoiawind.lab.memory_network import (
    MemoryEnginePort,
    MemoryPort,
    Network,
    Node,
    NodeClock,
)
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.lab.weight_store import WeightStore
from sequoiawind.limits import AccountLimits
from sequoiawind.load_slots import LoadSlots
from sequoiawind.placer import Placer, ProbingPlacer
from sequoiawind.ports import LogPage, LogPort, TargetPort
from sequoiawind.router import Router
from sequoiawind.verdict import Failure

# Unix time at which the virtual clock starts, in seconds, so that times in
# keys look like real ones.
EPOCH_S: Final = 1_700_000_000.0

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class RigTarget:
    """Parameters of a target to start."""

    name: str
    pool: str
    service: str = "engine"
    domain: str = ""


@attrs.define(kw_only=True, eq=False)
class RigAgent:
    """An agent process and its target."""

    node: Node
    agent: Agent
    target: EngineModel | PlainModel
    board: Blackboard
    watcher: EngineWatcher | None = None
    follower: ConfigFollower | None = None


@attrs.define(kw_only=True, eq=False)
class RigRouter:
    """A router process."""

    node: Node
    router: Router
    follower: ConfigFollower
    board: Blackboard


@attrs.define(kw_only=True)
class NodeLog:
    """Access of one process to the log.

    Answers are dropped if the process has been killed, and held back while it
    is paused.
    """

    log: LogModel
    node: Node

    def append(
        self, stream: str, records: Sequence[str]
    ) -> Deferred[Result[int, Failure]]:
        """Append records; return the offset of the first."""
        return self.receive(self.log.append(stream, records))

    def read(
        self, stream: str, start: int, limit: int
    ) -> Deferred[Result[LogPage, Failure]]:
        """Read up to `limit` records from an offset on."""
        return self.receive(self.log.read(stream, start, limit))

    def receive(self, answer: Deferred[T]) -> Deferred[T]:
        """Return a Deferred that delivers an answer in this process."""
        done: Deferred[T] = Deferred()
        epoch = self.node.epoch

        def deliver(result: T) -> None:
            self.node.run(epoch, lambda: done.callback(result))

        answer.addCallback(deliver)
        return done


@attrs.define(kw_only=True)
class Rig:
    """All processes of a run and what they share."""

    seed: int
    parameters: EngineParameters = attrs.field(factory=EngineParameters)
    # Makes each agent's queue of waiting requests.
    make_queue: Callable[[], FairQueue] = attrs.field(default=FairQueue)
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    rng: random.Random = attrs.field(init=False)
    log: LogModel = attrs.field(init=False)
    weights: WeightStore = attrs.field(init=False)
    network: Network = attrs.field(init=False)
    agents: dict[str, RigAgent] = attrs.field(factory=dict)
    routers: list[RigRouter] = attrs.field(factory=list)
    # Number of routers that the account limits of each router assume.
    router_count: int = 2
    # Makes each router's placer; the experiments replace it by baselines.
    make_placer: Callable[..., Placer] = attrs.field(default=ProbingPlacer)

    def __attrs_post_init__(self) -> None:
        """Create the shared log, weight store and network."""
        self.rng = random.Random(self.seed)
        self.log = LogModel(clock=self.clock, random=self.rng, epoch_s=EPOCH_S)
        self.weights = WeightStore(clock=self.clock)
        self.network = Network(clock=self.clock, random=self.rng)

    def wall(self) -> float:
        """Return the virtual time in seconds since the Unix epoch."""
        return EPOCH_S + self.clock.seconds()

    def configure(self, commands: list[Command]) -> None:
        """Append commands to the configuration stream without a router."""
        records = [
            config_fold.make_record(f"boot-{number}", "boot", command)
            for number, command in enumerate(commands)
        ]
        self.log.append_now(defaults.CONFIG_STREAM, records)

    def add_target(self, target: RigTarget) -> None:
        """Start a target and its agent."""
        node = Node(name=f"agent-{target.name}")
        model: EngineModel | PlainModel
        if target.service == "engine":
            model = EngineModel(
                name=target.name,
                clock=self.clock,
                random=self.rng,
                parameters=self.parameters,
                weights=self.weights,
            )
        else:
            model = PlainModel(name=target.name, clock=self.clock)
        self.agents[target.name] = self.make_agent(node, model)

    def make_agent(
        self, node: Node, model: EngineModel | PlainModel
    ) -> RigAgent:
        """Start the agent process of a target and return it."""
        clock = NodeClock(clock=self.clock, node=node)
        is_engine = isinstance(model, EngineModel)
        target_node = Node(name=model.name)
        port = MemoryPort(
            network=self.network,
            near=node,
            look_up=lambda address: (target_node, model),
        )
        board = Blackboard()
        board.phase.name = "serving"
        agent = Agent(
            target=model.name,
            address=model.name,
            port=port,
            clock=clock,
            service="engine" if is_engine else "plain",
            block_bytes=self.parameters.block_bytes,
            queue=self.make_queue(),
        )
        started = RigAgent(node=node, agent=agent, target=model, board=board)
        if isinstance(model, EngineModel):
            started.watcher = EngineWatcher(
                agent=agent,
                port=MemoryEnginePort(engine=model),
                clock=clock,
                random=self.rng,
                board=board,
                slots=LoadSlots(log=self.node_log(node), target=model.name),
            )
            Deferred.fromCoroutine(started.watcher.run())
        started.follower = self.make_follower(node, board)
        started.follower.on_change = lambda: agent.follow_config(board.state)
        Deferred.fromCoroutine(started.follower.run())
        return started

    def make_follower(self, node: Node, board: Blackboard) -> ConfigFollower:
        """Return a configuration follower for a process."""
        return ConfigFollower(
            board=board,
            log=self.node_log(node),
            clock=NodeClock(clock=self.clock, node=node),
            random=self.rng,
            wall=self.wall,
            retention_s=self.log.retention_s,
        )

    def node_log(self, node: Node) -> LogPort:
        """Return a process's access to the log."""
        return NodeLog(log=self.log, node=node)

    def add_router(self, name: str) -> RigRouter:
        """Start a router and add it to the rig."""
        router = self.start_router(Node(name=name))
        self.routers.append(router)
        return router

    def start_router(self, node: Node) -> RigRouter:
        """Start a router process and return it."""
        clock = NodeClock(clock=self.clock, node=node)
        board = Blackboard()
        board.phase.name = "serving"
        board.limits = AccountLimits(routers=self.router_count)
        port = MemoryPort(network=self.network, near=node, look_up=self.look_up)
        exchange_context = ExchangeContext(
            clock=clock,
            random=self.rng,
            port=port,
            members=board.members,
            budgets=board.budgets,
        )
        claimant = Claimant(
            log=self.node_log(node),
            clock=clock,
            random=self.rng,
            owner=f"{node.name}.{node.epoch}",
        )
        router = Router(
            board=board,
            exchange_context=exchange_context,
            placer=self.make_placer(board=board, clock=clock, port=port),
            claimant=claimant,
            random=self.rng,
            wall=self.wall,
            key_limits=keys.limits_for(self.log.retention_s),
        )
        follower = self.make_follower(node, board)
        for peer in self.routers:
            if peer.node.is_up and not peer.node.is_paused:
                board.offer_config(peer.board.folded)
        Deferred.fromCoroutine(follower.run())
        return RigRouter(
            node=node, router=router, follower=follower, board=board
        )

    def restart_router(self, number: int) -> None:
        """Replace a killed router process by a new one."""
        node = self.routers[number].node
        node.restart()
        self.routers[number] = self.start_router(node)

    def restart_agent(self, name: str) -> None:
        """Replace a killed agent process by a new one."""
        old = self.agents[name]
        old.node.restart()
        self.agents[name] = self.make_agent(old.node, old.target)

    def look_up(self, address: str) -> tuple[Node, TargetPort]:
        """Return the process and the agent at an address."""
        found = self.agents[address]
        return found.node, found.agent

    def advance_to(self, until_s: float) -> None:
        """Advance the virtual clock, running each event at its time."""
        self.clock.advance_to(until_s)


def account_command(name: str, token: str, **fields: float) -> Create:
    """Return the command that creates a client account."""
    return Create(
        table="accounts",
        name=name,
        fields={"token_digest": tokens.token_digest(token), **fields},
    )
