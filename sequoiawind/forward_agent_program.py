"""The components of a forwarding agent, and how they are connected."""

from typing import Final
from urllib.parse import parse_qsl

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import event_loop, wire
from sequoiawind.forward_agent import ForwardAgent
from sequoiawind.forward_program import ForwardProgram
from sequoiawind.forward_readers import OperatorReader, TargetReader
from sequoiawind.http1_server import HttpRequest
from sequoiawind.metrics import ForwardAgentMetrics
from sequoiawind.options import (
    Address,
    BoundsOptions,
    ForwardAgentSettings,
)
from sequoiawind.pages import METRICS_PATH, Page, Pages, metrics_page
from sequoiawind.platform import codec, names
from sequoiawind.platform.engine import EngineClient
from sequoiawind.platform.targets import decode_target
from sequoiawind.status_watcher import STATUS_PATH, STATUS_WAIT_S, AgentClient

# How long the store may wait for a change before it answers, in seconds, and
# the pause after a change, so that one answer carries several.  An agent checks
# no API keys, but must learn of new weights soon, even if a connection stalls.
OPERATOR_WAIT_S: Final = 3.0
OPERATOR_READ_PAUSE_S: Final = 0.4
# The same for the targets; an agent uses them only to determine when it is its
# turn to order weights.
TARGETS_WAIT_S: Final = 8.0
TARGETS_READ_PAUSE_S: Final = 1.0
# Time allowed for another agent's answer, in seconds.
PEER_ANSWER_S: Final = 0.3


@attrs.define(kw_only=True)
class ForwardAgentProgram(ForwardProgram[ForwardAgentSettings]):
    """The components of one agent."""

    metrics: ForwardAgentMetrics = attrs.field(factory=ForwardAgentMetrics)
    agent: ForwardAgent = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        super().__attrs_post_init__()
        options = self.options
        self.agent = ForwardAgent(
            address=str(options.target),
            holder=options.node.name,
            port=EngineClient(client=self.client),
            clock=event_loop.reactor,
            fleet=self.fleet,
            log=self.log,
            peers=AgentClient(
                client=self.client,
                agent_port=options.node.agent_port,
                timeout_s=PEER_ANSWER_S,
                log=self.log,
            ),
            weights_s=options.bounds.weights_ms / 1000,
            on_order=lambda outcome: self.metrics.orders.labels(outcome).inc(),
        )

    def listen(self) -> None:
        """Open the ports for routers and for metrics."""
        node = self.options.node
        status = Page(content_type="application/json", body=self.status_body)
        metrics = metrics_page(self.metrics.registry)
        for port, path, page in (
            (node.agent_port, STATUS_PATH, status),
            (node.metrics_port, METRICS_PATH, metrics),
        ):
            pages = Pages(pages={path: page}, log=self.log)
            pages.listen(Address(host=node.ip, port=port))
        self.log.info("listening", port=node.agent_port)

    async def status_body(self, request: HttpRequest) -> bytes:
        """Return the target's status, encoded.

        Waits up to `STATUS_WAIT_S` for a status with a higher number than
        `after` in the query.
        """
        query = request.request_target.partition(b"?")[2].decode("latin-1")
        arguments = dict(parse_qsl(query))
        after = arguments.get("after", "-1")
        number = int(after) if after.lstrip("-").isdigit() else -1
        if arguments.get("router"):
            self.agent.record_router_poll(arguments["router"])
        return wire.encode(
            await self.agent.wait_for_status(number, STATUS_WAIT_S)
        )

    def apply_bounds(self, bounds: BoundsOptions) -> None:
        """Apply changed bounds to the agent."""
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
            clock=event_loop.reactor,
            log=self.log,
        )
        self.follow_records(
            names.OPERATOR_TOPIC,
            operator,
            OPERATOR_WAIT_S,
            OPERATOR_READ_PAUSE_S,
        )
        self.follow_records(
            names.TARGETS_TOPIC, targets, TARGETS_WAIT_S, TARGETS_READ_PAUSE_S
        )
        Deferred.fromCoroutine(self.agent.run())
