"""Prometheus metrics of the daemons."""

from collections.abc import Callable

import attrs
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from sequoiawind.staged_close import Bound
from sequoiawind.verdict import Reason

FIRST_CHUNK_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.7,
    1.1,
    2.0,
    4.0,
    8.0,
)


@attrs.define(kw_only=True)
class RouterMetrics:
    """Metrics of a router."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    requests: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    retries: Counter = attrs.field(init=False)
    claims: Counter = attrs.field(init=False)
    first_chunk: Histogram = attrs.field(init=False)
    prompt_tokens: Counter = attrs.field(init=False)
    cached_tokens: Counter = attrs.field(init=False)
    dropped_chunks: Counter = attrs.field(init=False)
    open_requests: Gauge = attrs.field(init=False)
    revision: Gauge = attrs.field(init=False)
    closes_at_bound: Counter = attrs.field(init=False)
    connection_ends: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics, with every reason's counter at zero."""
        registry = self.registry
        ProcessCollector(registry=registry)
        self.closes_at_bound = bound_counter(registry)
        self.connection_ends = end_counter(registry)
        self.requests = Counter(
            "sequoiawind_requests",
            "Requests ended, by kind and verdict.",
            ["kind", "verdict"],
            registry=registry,
        )
        self.refusals = Counter(
            "sequoiawind_refusals",
            "Requests ended without a whole answer, by reason.",
            ["reason"],
            registry=registry,
        )
        self.retries = Counter(
            "sequoiawind_retries",
            "Attempts that followed a failed one, by its reason.",
            ["reason"],
            registry=registry,
        )
        for reason in Reason:
            self.refusals.labels(reason.value)
            self.retries.labels(reason.value)
        self.claims = Counter(
            "sequoiawind_claim_steps",
            "Steps of claims of idempotency keys.",
            ["step"],
            registry=registry,
        )
        self.first_chunk = Histogram(
            "sequoiawind_first_chunk_seconds",
            "Time from a request's arrival to its first chunk.",
            ["kind"],
            buckets=FIRST_CHUNK_BUCKETS_S,
            registry=registry,
        )
        self.prompt_tokens = Counter(
            "sequoiawind_prompt_tokens",
            "Prompt tokens of answered requests.",
            registry=registry,
        )
        self.cached_tokens = Counter(
            "sequoiawind_cached_tokens",
            "Prompt tokens that engines had cached.",
            registry=registry,
        )
        self.dropped_chunks = Counter(
            "sequoiawind_dropped_chunks",
            "Chunks dropped: of other attempts, or repeated.",
            ["why"],
            registry=registry,
        )
        self.open_requests = Gauge(
            "sequoiawind_open_requests",
            "Requests under way.",
            registry=registry,
        )
        self.revision = Gauge(
            "sequoiawind_config_revision",
            "Revision of the configuration in force.",
            registry=registry,
        )


@attrs.define(kw_only=True)
class AgentMetrics:
    """Metrics of an agent."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    events: Counter = attrs.field(init=False)
    queued: Gauge = attrs.field(init=False)
    running: Gauge = attrs.field(init=False)
    blocks: Gauge = attrs.field(init=False)
    closes_at_bound: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        registry = self.registry
        ProcessCollector(registry=registry)
        self.closes_at_bound = bound_counter(registry)
        self.events = Counter(
            "sequoiawind_agent_events",
            "Attempts refused (by reason), resumed, cancelled; foreign chunks.",
            ["event"],
            registry=registry,
        )
        for reason in Reason:
            self.events.labels(f"refused_{reason.value}")
        self.queued = Gauge(
            "sequoiawind_agent_queued", "Attempts queued.", registry=registry
        )
        self.running = Gauge(
            "sequoiawind_agent_running",
            "Attempts at the target.",
            registry=registry,
        )
        self.blocks = Gauge(
            "sequoiawind_agent_cached_blocks",
            "Blocks in the cache index.",
            registry=registry,
        )


@attrs.define(kw_only=True)
class FeedMetrics:
    """Metrics of the feeds that a process reads."""

    registry: CollectorRegistry
    reads: Counter = attrs.field(init=False)
    received: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        self.reads = Counter(
            "sequoiawind_feed_reads",
            "Requests for the feed of another process, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.received = Counter(
            "sequoiawind_feed_bytes",
            "Size of the replies to them.",
            registry=self.registry,
        )

    def count(self, outcome: str, size: int) -> None:
        """Count a request.

        Args:
          outcome: Its outcome.
          size: Size of the reply, in bytes.
        """
        self.reads.labels(outcome).inc()
        self.received.inc(size)


@attrs.define(kw_only=True)
class ForwardMetrics:
    """Metrics of a router that forwards requests."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    requests: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    retries: Counter = attrs.field(init=False)
    first_chunk: Histogram = attrs.field(init=False)
    foreign_answers: Counter = attrs.field(init=False)
    moves: Counter = attrs.field(init=False)
    cut_answers: Counter = attrs.field(init=False)
    silences: Counter = attrs.field(init=False)
    connects: Counter = attrs.field(init=False)
    stalled_callers: Counter = attrs.field(init=False)
    connection_ends: Counter = attrs.field(init=False)
    feed: FeedMetrics = attrs.field(init=False)
    config_age: Gauge = attrs.field(init=False)
    revision: Gauge = attrs.field(init=False)
    open_requests: Gauge = attrs.field(init=False)
    closes_at_bound: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics, with every reason's counter at zero."""
        registry = self.registry
        ProcessCollector(registry=registry)
        self.closes_at_bound = bound_counter(registry)
        self.requests = Counter(
            "sequoiawind_requests",
            "Requests ended, by repeat rule and verdict.",
            ["kind", "verdict"],
            registry=registry,
        )
        self.refusals = reason_counter(
            "sequoiawind_refusals",
            "Requests ended without an answer, by reason.",
            registry,
        )
        self.retries = reason_counter(
            "sequoiawind_retries",
            "Attempts that followed a failed one, by its reason.",
            registry,
        )
        self.first_chunk = Histogram(
            "sequoiawind_first_chunk_seconds",
            "Time from a request's arrival to the beginning of its answer.",
            ["kind"],
            buckets=FIRST_CHUNK_BUCKETS_S,
            registry=registry,
        )
        self.foreign_answers = Counter(
            "sequoiawind_foreign_answers",
            "Answers of targets that belonged to another request.",
            registry=registry,
        )
        self.moves = Counter(
            "sequoiawind_stream_moves",
            "Streams moved to another target in their midst, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.cut_answers = Counter(
            "sequoiawind_cut_answers",
            "Answers that this router ended before their end, by the last"
            " failure and why no further attempt followed it.",
            ["reason", "not_retried"],
            registry=registry,
        )
        self.silences = Counter(
            "sequoiawind_silences",
            "Attempts whose targets fell silent, by what became of them.",
            ["outcome"],
            registry=registry,
        )
        self.connects = Counter(
            "sequoiawind_connects",
            "Connections opened to targets, agents and the store.",
            registry=registry,
        )
        self.stalled_callers = Counter(
            "sequoiawind_stalled_callers",
            "Callers ended because they took nothing of their answers.",
            registry=registry,
        )
        self.connection_ends = end_counter(registry)
        self.feed = FeedMetrics(registry=registry)
        self.config_age = Gauge(
            "sequoiawind_config_age_seconds",
            "Greatest possible age of the configuration.",
            registry=registry,
        )
        self.revision = Gauge(
            "sequoiawind_config_revision",
            "Version of the configuration in force.",
            registry=registry,
        )
        self.open_requests = Gauge(
            "sequoiawind_open_requests",
            "Requests under way.",
            registry=registry,
        )

    def set_gauge_functions(
        self,
        *,
        age_s: Callable[[], float],
        revision: Callable[[], float],
        open_requests: Callable[[], float],
    ) -> None:
        """Set the functions that are called for the gauges at each scrape."""
        self.config_age.set_function(age_s)
        self.revision.set_function(revision)
        self.open_requests.set_function(open_requests)


@attrs.define(kw_only=True)
class ForwardAgentMetrics:
    """Metrics of a forwarded target's agent."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    orders: Counter = attrs.field(init=False)
    feed: FeedMetrics = attrs.field(init=False)
    closes_at_bound: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        ProcessCollector(registry=self.registry)
        self.closes_at_bound = bound_counter(self.registry)
        self.feed = FeedMetrics(registry=self.registry)
        self.orders = Counter(
            "sequoiawind_weight_orders",
            "Orders to load weights, by outcome.",
            ["outcome"],
            registry=self.registry,
        )


def reason_counter(
    name: str, text: str, registry: CollectorRegistry
) -> Counter:
    """Return a counter labelled by reason, with each reason at zero."""
    counter = Counter(name, text, ["reason"], registry=registry)
    for reason in Reason:
        counter.labels(reason.value)
    return counter


def bound_counter(registry: CollectorRegistry) -> Counter:
    """Return a counter of closes at a bound, with each bound at zero."""
    counter = Counter(
        "sequoiawind_closes_at_bound",
        "Connections ended while the peer had not closed them, by bound.",
        ["bound"],
        registry=registry,
    )
    for bound in Bound:
        counter.labels(bound.value)
    return counter


def end_counter(registry: CollectorRegistry) -> Counter:
    """Return a counter of the ends of callers' connections."""
    return Counter(
        "sequoiawind_connection_ends",
        "Ends of callers' connections, by cause and what was being done with"
        " their request.",
        ["cause", "request_phase"],
        registry=registry,
    )


def count_bound(counter: Counter) -> Callable[[Bound], None]:
    """Return a function that counts a close at a bound."""
    return lambda bound: counter.labels(bound.value).inc()


def render(registry: CollectorRegistry) -> bytes:
    """Return all metrics in Prometheus' text format."""
    return generate_latest(registry)
