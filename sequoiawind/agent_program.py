"""The components of an agent, and how they are connected.

``agent_daemon`` runs it as a process; tests run several in one process.
"""

import random
import time
from functools import partial
from typing import Any

import attrs
import structlog
from treq.client import HTTPClient
from twisted.internet.defer import Deferred

from sequoiawind import (
    agent_http,
    event_loop,
    http_client,
    http_ports,
    http_server,
    logs,
    metrics,
)
from sequoiawind.admission import FairQueue
from sequoiawind.agent import Agent
from sequoiawind.agent_http import AgentHttp
from sequoiawind.blackboard import Blackboard
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.engine_watcher import EngineWatcher
from sequoiawind.http1_client import Http1Client
from sequoiawind.http_client import JsonClient
from sequoiawind.http_ports import EngineControlPort
from sequoiawind.load_slots import LoadSlots
from sequoiawind.metrics import AgentMetrics
from sequoiawind.options import AgentSettings
from sequoiawind.peers import ConfigFetcher, PeerClient
from sequoiawind.staged_close import StagedCloser
from sequoiawind.target_ports import EngineHttpPort, PlainHttpPort
from sequoiawind.unsent_answers import UnsentAnswers

Logger = structlog.typing.FilteringBoundLogger


@attrs.define(kw_only=True)
class AgentProgram:
    """The components of one agent."""

    options: AgentSettings
    log: Logger = attrs.field(init=False)
    random: "random.Random" = attrs.field(factory=random.Random)
    client: HTTPClient = attrs.field(factory=http_client.make_client)
    target_client: Http1Client = attrs.field(
        factory=lambda: Http1Client(reactor=event_loop.reactor)
    )
    metrics: AgentMetrics = attrs.field(factory=AgentMetrics)
    board: Blackboard = attrs.field(factory=Blackboard)
    json: JsonClient = attrs.field(init=False)
    agent: Agent = attrs.field(init=False)
    unsent: UnsentAnswers = attrs.field(
        factory=lambda: UnsentAnswers(clock=event_loop.reactor)
    )
    # The listening port; None before `listen`.
    port: Any = None

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        self.log = logs.get(self.options.agent.name)
        self.json = JsonClient(
            client=self.client, secret=self.options.peers.secret
        )
        self.agent = self.make_agent()

    def make_agent(self) -> Agent:
        """Return the component that decides about attempts."""
        options = self.options.agent
        port: EngineHttpPort | PlainHttpPort
        if options.service == "engine":
            port = EngineHttpPort(client=self.target_client)
        else:
            port = PlainHttpPort(client=self.target_client)
        return Agent(
            target=options.target,
            address=str(options.target_address),
            port=port,
            clock=event_loop.reactor,
            service=options.service,
            checks_fencing=options.checks_fencing,
            queue=FairQueue(
                max_running=options.max_running,
                max_queue=options.max_queue,
                prefill_tokens_per_s=options.prefill_tokens_per_s,
            ),
            on_event=partial(agent_http.count_event, self.metrics),
        )

    def is_idle(self) -> bool:
        """Whether nothing is in progress and all answers have left."""
        return self.agent.may_stop() and self.unsent.is_empty

    def listen(self) -> None:
        """Open the listening port."""
        web = AgentHttp(
            agent=self.agent,
            board=self.board,
            metrics=self.metrics,
            secret=self.options.peers.secret,
            name=self.options.agent.name,
            domain=self.options.agent.failure_domain,
            unsent=self.unsent,
        )
        closer = StagedCloser(
            clock=event_loop.reactor,
            options=self.options.closing,
            on_bound=metrics.count_bound(self.metrics.closes_at_bound),
        )
        self.port = http_server.listen(
            web.app(), self.options.agent.listen, closer=closer
        )
        self.log.info("listening", port=self.port.getHost().port)

    def start(self) -> None:
        """Start the controllers."""
        follower = ConfigFollower(
            board=self.board,
            log=http_ports.log_port(self.client, self.options.platform.log),
            clock=event_loop.reactor,
            random=self.random,
            wall=time.time,
            retention_s=self.options.platform.log_retention_s,
            on_change=self.follow_config,
        )
        fetcher = ConfigFetcher(
            peers=PeerClient(json=self.json),
            board=self.board,
            clock=event_loop.reactor,
            addresses=self.options.peers.routers,
            on_found=self.follow_config,
        )
        controllers = [follower.run(), fetcher.run()]
        if self.options.agent.service == "engine":
            controllers.append(self.make_watcher().run())
        for controller in controllers:
            Deferred.fromCoroutine(controller)

    def make_watcher(self) -> EngineWatcher:
        """Return the controller that follows the engine's state."""
        return EngineWatcher(
            agent=self.agent,
            port=EngineControlPort(
                json=self.json, address=self.options.agent.target_address
            ),
            clock=event_loop.reactor,
            random=self.random,
            board=self.board,
            slots=LoadSlots(
                log=http_ports.log_port(self.client, self.options.platform.log),
                target=self.options.agent.target,
            ),
        )

    def follow_config(self) -> None:
        """Apply the current configuration to the agent."""
        self.agent.follow_config(self.board.state)
