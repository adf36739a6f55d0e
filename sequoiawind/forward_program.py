"""Base class of the forwarding router and agent programs.

Both follow the store's records and their own settings file; the subclasses
define how records and changed settings are applied.
"""

import random
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

import attrs
import structlog
from prometheus_client import Counter
from twisted.internet.defer import Deferred

from sequoiawind import event_loop, logs, metrics
from sequoiawind.blackboard import Blackboard
from sequoiawind.feed_client import FeedClient, HttpFeedPort
from sequoiawind.feed_cover import FeedCover
from sequoiawind.fleet import Fleet
from sequoiawind.freshness import suspended_clock_s
from sequoiawind.http1_client import Http1Client
from sequoiawind.options import (
    BoundsOptions,
    ClosingOptions,
    ForwardAgentSettings,
    ForwardRouterSettings,
)
from sequoiawind.platform.store import StoreClient
from sequoiawind.record_follower import RecordFollower, RecordReader
from sequoiawind.relay_choice import agent_address, relays_for
from sequoiawind.settings_follower import SettingsFollower
from sequoiawind.staged_close import StagedCloser
from sequoiawind.status_watcher import AgentClient

Logger = structlog.typing.FilteringBoundLogger
S = TypeVar("S", ForwardRouterSettings, ForwardAgentSettings)

# How long the list of relays is used before it is made anew, in seconds.
RELAYS_LIFETIME_S: Final = 0.5
# Longest time for which a connection that is being closed may hold up the end
# of the process, as a share of the time between SIGTERM and SIGKILL.
LINGER_SHARE: Final = 0.4


@attrs.define(kw_only=True)
class ForwardProgram(Generic[S]):
    """The components that both programs have."""

    options: S
    metrics: metrics.ForwardMetrics | metrics.ForwardAgentMetrics
    log: Logger = attrs.field(init=False)
    random: "random.Random" = attrs.field(factory=random.Random)
    board: Blackboard = attrs.field(factory=Blackboard)
    fleet: Fleet = attrs.field(factory=Fleet)
    client: Http1Client = attrs.field(init=False)
    store: StoreClient = attrs.field(init=False)
    # Closes the connections that were made to this process.
    closer: StagedCloser = attrs.field(init=False)
    known_relays: list[str] = attrs.field(factory=list)
    # When that list was made, in seconds of the clock.
    relays_made_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        self.log = logs.get(self.options.node.name)
        self.client = self.make_client()
        self.store = StoreClient(client=self.client, address=self.options.store)

    def make_client(self) -> Http1Client:
        """Return the HTTP client for targets and the store."""
        return Http1Client(reactor=event_loop.reactor)

    def make_closer(self, counter: Counter) -> StagedCloser:
        """Return the closer of connections, with a counter for its bounds."""
        return StagedCloser(
            clock=event_loop.reactor,
            options=self.closing_options(),
            on_bound=metrics.count_bound(counter),
        )

    def closing_options(self) -> ClosingOptions:
        """Return the bounds on closes that leave time for the shutdown."""
        closing = self.options.closing
        longest_s = LINGER_SHARE * self.options.bounds.grace_s
        return attrs.evolve(closing, linger_s=min(closing.linger_s, longest_s))

    def follow_records(
        self,
        topic: str,
        reader: RecordReader,
        wait_s: float,
        read_pause_s: Callable[[], float],
        covered_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Keep a reader up to date with a topic of the store.

        Args:
          topic: The topic.
          reader: Processes its records.
          wait_s: How long the store may wait for a change before it answers,
            in seconds.
          read_pause_s: Returns the pause after a read that returned records, in
            seconds, so that the next read returns several changes.
          covered_s: Returns for how much longer another process provides the
            records, in seconds.
        """
        follower = RecordFollower(
            topic=topic,
            port=self.store,
            reader=reader,
            clock=event_loop.reactor,
            random=self.random,
            wait_s=wait_s,
            read_pause_s=read_pause_s,
            age_clock=suspended_clock_s,
            cover=FeedCover(clock=event_loop.reactor, left_s=covered_s),
            log=self.log,
        )
        Deferred.fromCoroutine(follower.run())

    def make_feed_client(self, **fields: Any) -> FeedClient:
        """Return a client for the feed of other processes."""
        return FeedClient(
            reader=self.options.node.name,
            port=HttpFeedPort(
                client=self.client,
                log=self.log,
                on_read=self.metrics.feed.count,
            ),
            clock=event_loop.reactor,
            age_clock=suspended_clock_s,
            random=self.random,
            log=self.log,
            **fields,
        )

    def relays(self) -> list[str]:
        """Return the addresses of relays to read from, preferred ones first.

        The list is made anew at most once in `RELAYS_LIFETIME_S`.
        """
        now_s = event_loop.reactor.seconds()
        if now_s - self.relays_made_s >= RELAYS_LIFETIME_S:
            self.relays_made_s = now_s
            node = self.options.node
            targets = [view.target for view in self.fleet.views.values()]
            self.known_relays = [
                agent_address(target, node.agent_port)
                for target in relays_for(
                    node.name, node.failure_domain, targets
                )
            ]
        return self.known_relays

    def forget_relays(self) -> None:
        """Make the list of relays anew at its next use."""
        self.relays_made_s = float("-inf")

    def make_agent_client(
        self, timeout_s: float, router: str = ""
    ) -> AgentClient:
        """Return the client for the agents' statuses.

        Args:
          timeout_s: Time allowed for an answer, in seconds.
          router: Name of this process, if it is a router.
        """
        return AgentClient(
            router=router,
            client=self.client,
            agent_port=self.options.node.agent_port,
            timeout_s=timeout_s,
            log=self.log,
        )

    def settings_follower(self, file: str) -> SettingsFollower[S]:
        """Return the controller that follows the settings file."""
        return SettingsFollower(
            file=file,
            kind=type(self.options),
            clock=event_loop.reactor,
            log=self.log,
            on_change=self.apply_settings,
        )

    def apply_settings(self, options: S) -> None:
        """Apply changed bounds; other changes need a restart."""
        changed = attrs.evolve(self.options, bounds=options.bounds)
        self.log.info(
            "settings reloaded",
            bounds_changed=changed != self.options,
            restart_needed=options != changed,
        )
        self.options = changed
        self.closer.options = self.closing_options()
        self.apply_bounds(options.bounds)

    def apply_bounds(self, bounds: BoundsOptions) -> None:
        """Apply changed bounds to the components."""
        raise NotImplementedError
