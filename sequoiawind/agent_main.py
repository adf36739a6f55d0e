"""The program `sequoiawind-agent`: builds an agent from its settings."""

import random
import time
from functools import partial

import structlog
from treq.client import HTTPClient
from twisted.internet.defer import Deferred

from sequoiawind import (
    agent_http,
    command_line,
    http_client,
    http_ports,
    http_server,
    logs,
    settings,
)
from sequoiawind.admission import FairQueue
from sequoiawind.agent import Agent
from sequoiawind.agent_http import AgentHttp
from sequoiawind.blackboard import Blackboard
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.daemon import Daemon
from sequoiawind.engine_watcher import EngineWatcher
from sequoiawind.http_client import JsonClient
from sequoiawind.http_ports import (
    EngineControlPort,
    EngineHttpPort,
    PlainHttpPort,
)
from sequoiawind.metrics import AgentMetrics
from sequoiawind.options import AgentSettings
from sequoiawind.peers import ConfigSeeker, PeerClient

PURPOSE = "Admit, queue and pass on the requests for one target."


def main() -> None:
    """Run the program."""
    parser = command_line.daemon_parser("sequoiawind-agent", PURPOSE)
    args = parser.parse_args()
    loaded = settings.load(args.settings, AgentSettings)
    options = command_line.settings_or_exit(loaded)
    if not args.check_settings:
        run(options)


def run(options: AgentSettings) -> None:
    """Run an agent until it has stopped."""
    logs.configure(options.logs)
    log = logs.get(options.agent.name)
    reactor = http_server.reactor
    source = random.Random()
    client = http_client.make_client()
    board = Blackboard()
    agent_metrics = AgentMetrics()
    agent = make_agent(options, client, agent_metrics, log)
    json_client = JsonClient(client=client, secret=options.peers.secret)
    follower = ConfigFollower(
        board=board,
        log=http_ports.log_port(client, options.platform.log),
        clock=reactor,
        random=source,
        wall=time.time,
        retention_s=options.platform.log_retention_s,
    )
    web = AgentHttp(
        agent=agent,
        board=board,
        metrics=agent_metrics,
        secret=options.peers.secret,
        name=options.agent.name,
        domain=options.agent.failure_domain,
    )
    http_server.listen(web.app(), options.agent.listen)
    daemon = Daemon(
        phase=board.phase,
        is_idle=agent.is_idle,
        on_leaving=lambda: agent.drain("the agent is shutting down"),
    )
    seeker = ConfigSeeker(
        peers=PeerClient(json=json_client),
        board=board,
        clock=reactor,
        addresses=options.peers.routers,
    )
    controllers = [follower.run(), seeker.run()]
    if options.agent.service == "engine":
        watcher = EngineWatcher(
            agent=agent,
            port=EngineControlPort(
                json=json_client, address=options.agent.target_address
            ),
            clock=reactor,
            random=source,
            board=board,
        )
        controllers.append(watcher.run())
    with daemon:
        log.info("listening", address=str(options.agent.listen))
        # An agent needs no configuration to serve its target.
        daemon.ready()
        for controller in controllers:
            Deferred.fromCoroutine(controller)
        daemon.run()
    log.info("stopped")


def make_agent(
    options: AgentSettings,
    client: HTTPClient,
    agent_metrics: AgentMetrics,
    log: structlog.typing.FilteringBoundLogger,
) -> Agent:
    """Return the agent of a target."""
    port: EngineHttpPort | PlainHttpPort
    if options.agent.service == "engine":
        port = EngineHttpPort(client=client)
    else:
        port = PlainHttpPort(client=client)
    return Agent(
        target=options.agent.target,
        address=str(options.agent.target_address),
        port=port,
        clock=http_server.reactor,
        service=options.agent.service,
        queue=FairQueue(
            max_running=options.agent.max_running,
            max_queue=options.agent.max_queue,
            prefill_tokens_per_s=options.agent.prefill_tokens_per_s,
        ),
        on_event=partial(agent_http.count_event, agent_metrics),
    )
