"""A forwarding agent put together: decisions, transports, controllers."""

from typing import Any, Final

import attrs
import klein
from twisted.internet.defer import Deferred
from twisted.web import server

from sequoiawind import (
    http_client,
    http_server,
    metrics,
    status_watcher,
    wire,
)
from sequoiawind.forward_agent import ForwardAgent
from sequoiawind.forward_program import ForwardProgram
from sequoiawind.forward_readers import OperatorReader, TargetReader
from sequoiawind.http_client import JsonClient
from sequoiawind.metrics import ForwardAgentMetrics
from sequoiawind.options import (
    Address,
    BoundsOptions,
    ForwardAgentSettings,
)
from sequoiawind.platform import codec, names
from sequoiawind.platform.engine import EngineClient
from sequoiawind.platform.targets import decode_target
from sequoiawind.status_watcher import AgentClient

# For how long the store waits for a change before it answers, in seconds, and
# the pause after a change, so that one answer carries several.  An agent checks
# no keys; it has to hear of weights soon, even if a connection falls silent.
OPERATOR_WAIT_S: Final = 3.0
OPERATOR_PACE_S: Final = 0.4
# The same of the targets: an agent needs them for its turn only.
TARGETS_WAIT_S: Final = 8.0
TARGETS_PACE_S: Final = 1.0
# Time for another agent's answer, in seconds.
PEER_ANSWER_S: Final = 0.3


@attrs.define(kw_only=True)
class ForwardAgentProgram(ForwardProgram[ForwardAgentSettings]):
    """All parts of one agent."""

    metrics: ForwardAgentMetrics = attrs.field(factory=ForwardAgentMetrics)
    agent: ForwardAgent = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        super().__attrs_post_init__()
        options = self.options
        self.agent = ForwardAgent(
            address=str(options.target),
            holder=options.node.name,
            port=EngineClient(client=self.client),
            clock=http_server.reactor,
            fleet=self.fleet,
            log=self.log,
            peers=AgentClient(
                json=JsonClient(
                    client=http_client.make_client(), timeout_s=PEER_ANSWER_S
                ),
                agent_port=options.node.agent_port,
            ),
            weights_s=options.bounds.weights_ms / 1000,
            on_order=lambda outcome: self.metrics.orders.labels(outcome).inc(),
        )

    def listen(self) -> None:
        """Open the ports for routers and for metrics."""
        node = self.options.node
        for port, app in (
            (node.agent_port, self.app()),
            (node.metrics_port, metrics.app(self.metrics.registry)),
        ):
            http_server.listen(app, Address(host=node.ip, port=port))
        self.log.info("listening", port=node.agent_port)

    def app(self) -> klein.Klein:
        """Return the interface for routers."""
        app = klein.Klein()

        @app.route(status_watcher.STATUS_PATH, methods=["GET"])
        async def status(request: server.Request) -> bytes:
            return await self.answer_status(request)

        return app

    async def answer_status(self, request: server.Request) -> bytes:
        """Answer a router once there is news."""
        arguments: Any = request.args
        after = arguments.get(b"after", [b"-1"])[0]
        router = arguments.get(b"router", [b""])[0].decode("latin-1")
        number = int(after) if after.lstrip(b"-").isdigit() else -1
        if router:
            self.agent.heard_from(router)
        told = await self.agent.newer(number, status_watcher.STATUS_WAIT_S)
        return http_server.json_reply(request, wire.encode(told))

    def take_bounds(self, bounds: BoundsOptions) -> None:
        """Put new bounds in force."""
        self.agent.weights_s = bounds.weights_ms / 1000

    def start(self) -> None:
        """Start the controllers."""
        operator = OperatorReader(
            board=self.board,
            codec=codec.OPERATOR,
            log=self.log,
            on_weights=self.agent.weights_named,
        )
        targets = TargetReader(
            fleet=self.fleet,
            decode=decode_target,
            clock=http_server.reactor,
            log=self.log,
        )
        self.follow_records(
            names.OPERATOR_TOPIC, operator, OPERATOR_WAIT_S, OPERATOR_PACE_S
        )
        self.follow_records(
            names.TARGETS_TOPIC, targets, TARGETS_WAIT_S, TARGETS_PACE_S
        )
        Deferred.fromCoroutine(self.agent.run())
