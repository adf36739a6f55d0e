"""Base class of the forwarding router and agent programs.

Both follow the store's records and their own settings file; the subclasses
define how records and changed settings are applied.
"""

import random
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs
import structlog
from twisted.internet.defer import Deferred

from sequoiawind import event_loop, logs
from sequoiawind.blackboard import Blackboard
from sequoiawind.fleet import Fleet
from sequoiawind.freshness import suspended_clock_s
from sequoiawind.http1_client import Http1Client
from sequoiawind.options import (
    BoundsOptions,
    ForwardAgentSettings,
    ForwardRouterSettings,
)
from sequoiawind.platform.store import StoreClient
from sequoiawind.record_follower import RecordFollower, RecordReader
from sequoiawind.settings_follower import SettingsFollower

Logger = structlog.typing.FilteringBoundLogger
S = TypeVar("S", ForwardRouterSettings, ForwardAgentSettings)


@attrs.define(kw_only=True)
class ForwardProgram(Generic[S]):
    """The components that both programs have."""

    options: S
    log: Logger = attrs.field(init=False)
    random: "random.Random" = attrs.field(factory=random.Random)
    board: Blackboard = attrs.field(factory=Blackboard)
    fleet: Fleet = attrs.field(factory=Fleet)
    client: Http1Client = attrs.field(init=False)
    store: StoreClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        self.log = logs.get(self.options.node.name)
        self.client = self.make_client()
        self.store = StoreClient(client=self.client, address=self.options.store)

    def make_client(self) -> Http1Client:
        """Return the HTTP client for targets and the store."""
        return Http1Client(reactor=event_loop.reactor)

    def follow_records(
        self,
        topic: str,
        reader: RecordReader,
        wait_s: float,
        read_pause_s: float,
        age_clock: Callable[[], float] = suspended_clock_s,
    ) -> None:
        """Keep a reader up to date with a topic of the store.

        Args:
          topic: The topic.
          reader: Processes its records.
          wait_s: How long the store may wait for a change before it answers,
            in seconds.
          read_pause_s: Pause after each read that returned records, in
            seconds, so that the next read returns several changes.
          age_clock: Returns the time in seconds from which the records' age
            is computed.
        """
        follower = RecordFollower(
            topic=topic,
            port=self.store,
            reader=reader,
            clock=event_loop.reactor,
            random=self.random,
            wait_s=wait_s,
            read_pause_s=read_pause_s,
            age_clock=age_clock,
            log=self.log,
        )
        Deferred.fromCoroutine(follower.run())

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
        self.apply_bounds(options.bounds)

    def apply_bounds(self, bounds: BoundsOptions) -> None:
        """Apply changed bounds to the components."""
        raise NotImplementedError
