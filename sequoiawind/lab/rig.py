"""Routers, agents and stand-ins in one process on a virtual clock.

The soak run, the experiments and the tests of whole sessions build on it.
Routers and agents are the real ones; only transports, log and targets are
stand-ins.
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

# The virtual epoch, so that times in keys look like real ones.
EPOCH_S: Final = 1_700_000_000.0

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class RigTarget:
    """A target to build."""

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
    """The log as one process reaches it: answers die with the process."""

    log: LogModel
    node: Node

    def append(
        self, stream: str, records: Sequence[str]
    ) -> Deferred[Result[int, Failure]]:
        """Append records."""
        return self.pass_on(self.log.append(stream, records))

    def read(
        self, stream: str, start: int, limit: int
    ) -> Deferred[Result[LogPage, Failure]]:
        """Read records."""
        return self.pass_on(self.log.read(stream, start, limit))

    def pass_on(self, answer: Deferred[T]) -> Deferred[T]:
        """Deliver an answer in this process."""
        done: Deferred[T] = Deferred()
        epoch = self.node.epoch

        def deliver(result: T) -> None:
            self.node.run(epoch, lambda: done.callback(result))

        answer.addCallback(deliver)
        return done


@attrs.define(kw_only=True)
class Rig:
    """All processes of a run."""

    seed: int
    parameters: EngineParameters = attrs.field(factory=EngineParameters)
    queue: Callable[[], FairQueue] = attrs.field(default=FairQueue)
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    source: random.Random = attrs.field(init=False)
    log: LogModel = attrs.field(init=False)
    weights: WeightStore = attrs.field(init=False)
    network: Network = attrs.field(init=False)
    agents: dict[str, RigAgent] = attrs.field(factory=dict)
    routers: list[RigRouter] = attrs.field(factory=list)
    router_count: int = 2
    # Makes the routers' placement; replaced by the experiments' baselines.
    make_placer: Callable[..., Placer] = attrs.field(default=ProbingPlacer)

    def __attrs_post_init__(self) -> None:
        """Make the clockwork that everything shares."""
        self.source = random.Random(self.seed)
        self.log = LogModel(
            clock=self.clock, random=self.source, epoch_s=EPOCH_S
        )
        self.weights = WeightStore(clock=self.clock)
        self.network = Network(clock=self.clock, random=self.source)

    def wall(self) -> float:
        """Return the virtual time since the epoch."""
        return EPOCH_S + self.clock.seconds()

    def configure(self, commands: list[Command]) -> None:
        """Put commands into the log directly."""
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
                random=self.source,
                parameters=self.parameters,
                weights=self.weights,
            )
        else:
            model = PlainModel(name=target.name, clock=self.clock)
        self.agents[target.name] = self.make_agent(node, model)

    def make_agent(
        self, node: Node, model: EngineModel | PlainModel
    ) -> RigAgent:
        """Start an agent process beside a target."""
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
            queue=self.queue(),
        )
        made = RigAgent(node=node, agent=agent, target=model, board=board)
        if isinstance(model, EngineModel):
            made.watcher = EngineWatcher(
                agent=agent,
                port=MemoryEnginePort(engine=model),
                clock=clock,
                random=self.source,
                board=board,
                slots=LoadSlots(log=self.node_log(node), target=model.name),
            )
            Deferred.fromCoroutine(made.watcher.run())
        made.follower = self.make_follower(node, board)
        made.follower.on_change = lambda: agent.follow_config(board.state)
        Deferred.fromCoroutine(made.follower.run())
        return made

    def make_follower(self, node: Node, board: Blackboard) -> ConfigFollower:
        """Return the configuration follower of a process."""
        return ConfigFollower(
            board=board,
            log=self.node_log(node),
            clock=NodeClock(clock=self.clock, node=node),
            random=self.source,
            wall=self.wall,
            retention_s=self.log.retention_s,
        )

    def node_log(self, node: Node) -> LogPort:
        """Return the log as a process reaches it."""
        return NodeLog(log=self.log, node=node)

    def add_router(self, name: str) -> RigRouter:
        """Start a router."""
        made = self.start_router(Node(name=name))
        self.routers.append(made)
        return made

    def start_router(self, node: Node) -> RigRouter:
        """Start a router process."""
        clock = NodeClock(clock=self.clock, node=node)
        board = Blackboard()
        board.phase.name = "serving"
        board.limits = AccountLimits(routers=self.router_count)
        port = MemoryPort(network=self.network, near=node, look_up=self.look_up)
        exchange_context = ExchangeContext(
            clock=clock,
            random=self.source,
            port=port,
            members=board.members,
            budgets=board.budgets,
        )
        claimant = Claimant(
            log=self.node_log(node),
            clock=clock,
            random=self.source,
            owner=f"{node.name}.{node.epoch}",
        )
        made = Router(
            board=board,
            exchange_context=exchange_context,
            placer=self.make_placer(board=board, clock=clock, port=port),
            claimant=claimant,
            random=self.source,
            wall=self.wall,
            key_limits=keys.limits_for(self.log.retention_s),
        )
        follower = self.make_follower(node, board)
        for peer in self.routers:
            if peer.node.is_up and not peer.node.is_paused:
                board.offer_config(peer.board.folded)
        Deferred.fromCoroutine(follower.run())
        return RigRouter(node=node, router=made, follower=follower, board=board)

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
        """Return the process and agent at an address."""
        made = self.agents[address]
        return made.node, made.agent

    def advance(self, until_s: float) -> None:
        """Run the clock, from one event to the next."""
        self.clock.advance_to(until_s)


def account_command(name: str, token: str, **fields: float) -> Create:
    """Return the command that creates a client account."""
    return Create(
        table="accounts",
        name=name,
        fields={"token_digest": tokens.token_digest(token), **fields},
    )
