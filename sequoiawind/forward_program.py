"""What the forwarding router and its agent have in common as programs.

Both follow the store's records and their own settings file; what they do with
them differs.
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
    """The parts that both programs have."""

    options: S
    log: Logger = attrs.field(init=False)
    random: "random.Random" = attrs.field(factory=random.Random)
    board: Blackboard = attrs.field(factory=Blackboard)
    fleet: Fleet = attrs.field(factory=Fleet)
    client: Http1Client = attrs.field(init=False)
    store: StoreClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        self.log = logs.get(self.options.node.name)
        self.client = self.make_client()
        self.store = StoreClient(client=self.client, address=self.options.store)

    def make_client(self) -> Http1Client:
        """Return the client of targets and store."""
        return Http1Client(reactor=event_loop.reactor)

    def follow_records(
        self,
        topic: str,
        reader: RecordReader,
        wait_s: float,
        pace_s: float,
        age_clock: Callable[[], float] = suspended_clock_s,
    ) -> None:
        """Keep a reader up to date with a topic of the store.

        Args:
          topic: The topic.
          reader: Takes in its records.
          wait_s: For how long the store is asked to wait for a change.
          pace_s: Pause after a change, so that one answer carries several.
          age_clock: The clock by which the reader knows its records' age.
        """
        follower = RecordFollower(
            topic=topic,
            port=self.store,
            reader=reader,
            clock=event_loop.reactor,
            random=self.random,
            wait_s=wait_s,
            pace_s=pace_s,
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
            on_change=self.follow_settings,
        )

    def follow_settings(self, options: S) -> None:
        """Take over new bounds; addresses need a restart."""
        changed = attrs.evolve(self.options, bounds=options.bounds)
        self.log.info(
            "settings read again",
            bounds_changed=changed != self.options,
            restart_needed=options != changed,
        )
        self.options = changed
        self.take_bounds(options.bounds)

    def take_bounds(self, bounds: BoundsOptions) -> None:
        """Put new bounds in force."""
        raise NotImplementedError
