"""The components of a forwarding agent, and how they are connected."""

import time
from collections.abc import Callable
from functools import partial
from typing import Final
from urllib.parse import parse_qsl

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import event_loop, feed_statement, wire
from sequoiawind.feed_client import FeedClient, FeedQuery
from sequoiawind.feed_messages import CONTENT_TYPE, FEED_PATH, FeedReply
from sequoiawind.feed_publisher import (
    CachePublisher,
    CrashPublisher,
    OperatorPublisher,
    TargetPublisher,
)
from sequoiawind.feed_relay import FeedRelay
from sequoiawind.feed_table import FeedTable, Level, Topic
from sequoiawind.forward_agent import ForwardAgent
from sequoiawind.forward_program import ForwardProgram
from sequoiawind.forward_readers import OperatorReader, TargetReader
from sequoiawind.forward_state import ForwardPool
from sequoiawind.freshness import suspended_clock_s
from sequoiawind.http_request import HttpRequest
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
from sequoiawind.status_watcher import STATUS_PATH, STATUS_WAIT_S
from sequoiawind.wire import TargetStatus

# How long the store may wait for a change before it answers, in seconds, and
# the pause after a change, so that one answer carries several.  Relays pass the
# age of the records on, which the wait adds to.
RECORDS_WAIT_S: Final = 0.8
# The same for the operator's records, at most, as a share of the time in which
# a change must be in force: routers leave relays whose records are too old.
OPERATOR_WAIT_SHARE: Final = 0.18
RECORDS_READ_PAUSE_S: Final = 0.25
# The same wait for records of crashes, which have no bound on their age.
CRASHES_WAIT_S: Final = 2.5
# The pause while this agent is no relay: nothing that it does is urgent.
IDLE_READ_PAUSE_S: Final = 2.0
# Age of a relay's records from which an agent reads the store itself, in
# seconds.
COVERED_AGE_S: Final = 3.0
# Number of generations of a cache that one process can publish in a
# millisecond of its life: far more than there are.
GENERATIONS: Final = 1_000
# Time allowed for another agent's answer, in seconds.
PEER_ANSWER_S: Final = 0.3


@attrs.define(kw_only=True)
class ForwardAgentProgram(ForwardProgram[ForwardAgentSettings]):
    """The components of one agent."""

    metrics: ForwardAgentMetrics = attrs.field(factory=ForwardAgentMetrics)
    agent: ForwardAgent = attrs.field(init=False)
    relay: FeedRelay = attrs.field(init=False)
    # Reads the store's records from a relay.
    feed: FeedClient = attrs.field(init=False)
    # Identifies this process's numbering; greater than that of an earlier one.
    run_id: int = attrs.field(factory=lambda: time.time_ns() // 1_000_000)
    # Number of the statuses that were published.
    statuses: int = 0
    # Publishers of the cache stores, by address.
    store_caches: dict[str, CachePublisher] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        super().__attrs_post_init__()
        self.closer = self.make_closer(self.metrics.closes_at_bound)
        options = self.options
        self.agent = ForwardAgent(
            address=str(options.target),
            holder=options.node.name,
            port=EngineClient(client=self.client),
            clock=event_loop.reactor,
            fleet=self.fleet,
            log=self.log,
            peers=self.make_agent_client(PEER_ANSWER_S),
            weights_s=options.bounds.weights_ms / 1000,
            lease_s=options.lease.lease_ms / 1000,
            on_order=lambda outcome: self.metrics.orders.labels(outcome).inc(),
            on_status=self.publish_status,
        )
        node = options.node
        host = options.target.host
        self.relay = FeedRelay(
            name=node.name,
            address=f"{host}:{node.agent_port}",
            agent_port=node.agent_port,
            domain=node.failure_domain,
            fleet=self.fleet,
            clock=event_loop.reactor,
            age_clock=suspended_clock_s,
            table=FeedTable(run=self.run_id, clock=event_loop.reactor),
            make_client=self.make_feed_client,
            era=self.store.era,
        )
        self.feed = self.make_feed_client(
            level=Level.DOMAIN,
            is_records_only=True,
            candidates=self.other_relays,
            on_reply=lambda reply, sent_s: self.relay.take_records(
                reply, sent_s
            ),
        )

    def publish_status(self, status: TargetStatus) -> None:
        """Publish the target's status in the feed."""
        if status.target:
            self.statuses += 1
            self.relay.put(
                (Topic.STATUS, status.target),
                (self.run_id, self.statuses),
                status,
            )

    def other_relays(self) -> list[str]:
        """Return the relays to read the store's records from.

        None if this agent relays itself, or is the first to be chosen.
        """
        relays = self.relays()
        if self.relay.is_asked_for(Level.DOMAIN):
            return []
        return [] if relays[:1] == [self.relay.address] else relays[:2]

    def read_pause_s(self) -> float:
        """Return the pause after a read of changed records, in seconds."""
        is_relay = self.relay.is_asked_for(Level.DOMAIN)
        return RECORDS_READ_PAUSE_S if is_relay else IDLE_READ_PAUSE_S

    def records_left_s(self, as_of_s: float | None) -> float:
        """Return for how much longer a relay's records are new enough."""
        if as_of_s is None:
            return 0.0
        age_s = suspended_clock_s() - as_of_s
        return min(self.feed.live_s, COVERED_AGE_S - age_s)

    def listen(self) -> None:
        """Open the ports for routers and for metrics."""
        node = self.options.node
        status = Page(content_type="application/json", body=self.status_body)
        metrics = metrics_page(self.metrics.registry)
        feed = Page(content_type=CONTENT_TYPE, body=self.feed_body)
        served = {STATUS_PATH: status, FEED_PATH: feed}
        for port, pages in (
            (node.agent_port, served),
            (node.metrics_port, {METRICS_PATH: metrics}),
        ):
            Pages(pages=pages, log=self.log, closer=self.closer).listen(
                Address(host=node.ip, port=port)
            )
        self.log.info("listening", port=node.agent_port)

    async def status_body(self, request: HttpRequest) -> bytes:
        """Return the target's status, encoded.

        With `now` in the query, it is the present one.  Otherwise waits
        up to `STATUS_WAIT_S` for a status with a higher number than `after`.
        """
        query = request.request_target.partition(b"?")[2].decode("latin-1")
        arguments = dict(parse_qsl(query))
        if arguments.get("now"):
            return wire.encode(await self.agent.current_status())
        after = arguments.get("after", "-1")
        number = int(after) if after.lstrip("-").isdigit() else -1
        if arguments.get("router"):
            self.agent.record_router_poll(arguments["router"])
        return wire.encode(
            await self.agent.wait_for_status(number, STATUS_WAIT_S)
        )

    async def feed_body(self, request: HttpRequest) -> bytes:
        """Return the reply to a request for the feed, encoded."""
        return await self.relay.serve(parse_query(request.request_target))

    def apply_bounds(self, bounds: BoundsOptions) -> None:
        """Apply changed bounds to the agent."""
        self.agent.weights_s = bounds.weights_ms / 1000

    def start(self) -> None:
        """Start the controllers."""
        operator = OperatorPublisher(
            reader=OperatorReader(
                board=self.board,
                codec=codec.OPERATOR,
                log=self.log,
                on_weights=self.agent.weights_named,
                on_config=self.follow_store_caches,
            ),
            relay=self.relay,
        )
        targets = TargetPublisher(
            reader=TargetReader(
                fleet=self.fleet,
                decode=decode_target,
                clock=event_loop.reactor,
                log=self.log,
            ),
            relay=self.relay,
            fleet=self.fleet,
        )

        crashes = CrashPublisher(relay=self.relay)

        def take_records(reply: FeedReply) -> None:
            targets.take(reply)
            operator.take(reply)
            crashes.take(reply)

        self.relay.on_records = take_records
        in_force_s = self.options.bounds.in_force_ms / 1000
        self.follow_records(
            names.OPERATOR_TOPIC,
            operator,
            min(RECORDS_WAIT_S, OPERATOR_WAIT_SHARE * in_force_s),
            self.read_pause_s,
            lambda: self.records_left_s(self.relay.operator_as_of_s),
        )
        self.follow_records(
            names.TARGETS_TOPIC,
            targets,
            RECORDS_WAIT_S,
            self.read_pause_s,
            lambda: self.records_left_s(self.relay.targets_as_of_s),
        )
        self.follow_records(
            names.CRASHES_TOPIC,
            crashes,
            CRASHES_WAIT_S,
            lambda: 0.0,
            lambda: self.records_left_s(self.relay.operator_as_of_s),
        )
        cache = self.make_cache_publisher(
            str(self.options.target), self.target_name, Level.OWN
        )
        for controller in (self.feed, cache, self.agent):
            Deferred.fromCoroutine(controller.run())

    def target_name(self) -> str:
        """Return the name of this agent's target; empty if it has none."""
        target = self.agent.target
        return target.name if target is not None else ""

    def make_cache_publisher(
        self, address: str, name: Callable[[], str], level: Level
    ) -> CachePublisher:
        """Return the controller that publishes the changes of a cache."""
        return CachePublisher(
            address=address,
            name=name,
            level=level,
            port=EngineClient(client=self.client),
            relay=self.relay,
            clock=event_loop.reactor,
            log=self.log,
            generation=self.run_id * GENERATIONS,
        )

    def follow_store_caches(self) -> None:
        """Publish the caches of the cache stores that are configured.

        Each relay reads them by itself, while routers read from it.
        """
        stores = {
            pool.cache_store: pool.name
            for pool in self.board.state.pools.values()
            if isinstance(pool, ForwardPool) and pool.cache_store
        }
        for address in self.store_caches.keys() - stores.keys():
            self.store_caches.pop(address).is_stopped = True
        for address in stores.keys() - self.store_caches.keys():
            publisher = self.make_cache_publisher(
                address, partial(str, stores[address]), Level.ALL
            )
            publisher.is_wanted = lambda: self.relay.is_asked_for(Level.ALL)
            self.store_caches[address] = publisher
            Deferred.fromCoroutine(publisher.run())


def parse_query(request_target: bytes) -> FeedQuery:
    """Return what a request for the feed asks for.

    Numbers that cannot be read ask for everything.
    """
    query = request_target.partition(b"?")[2].decode("latin-1")
    arguments = dict(parse_qsl(query))

    def number(name: str, default: int) -> int:
        text = arguments.get(name, "")
        digits = text.removeprefix("-")
        is_number = digits.isascii() and digits.isdigit()
        return int(text) if is_number else default

    return FeedQuery(
        reader=arguments.get("reader", ""),
        is_router=number("router", 0) == 1,
        run=number("run", 0),
        after=number("after", -1),
        level=Level(min(max(number("level", 0), Level.OWN), Level.ALL)),
        is_records_only=number("records", 0) == 1,
        demand_per_s=decimal(arguments.get("demand", "")),
        statement=feed_statement.decode(arguments.get("statement", "")),
        is_continuing=number("more", 0) == 1,
    )


def decimal(text: str) -> float:
    """Return a number that is not negative; 0 if the text is none."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0.0 <= value < float("inf") else 0.0
