"""Publishes in an agent's feed what it reads from the store and from caches."""

from collections.abc import Callable, Sequence
from typing import Final

import attrs
import structlog

from sequoiawind import supervise, timing
from sequoiawind.feed_messages import FeedReply
from sequoiawind.feed_reader import records_of
from sequoiawind.feed_relay import FeedRelay
from sequoiawind.feed_table import Level, Topic
from sequoiawind.fleet import Fleet
from sequoiawind.forward_ports import CacheChanges, CachePort
from sequoiawind.forward_readers import OperatorReader, TargetReader
from sequoiawind.ports import Clock
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.verdict import Failure, Reason

Logger = structlog.typing.FilteringBoundLogger

# How long a cache may wait for a change, in seconds (long poll).
WAIT_S: Final = 0.9
# Time allowed for a response, in seconds, in addition to the wait.
RESPONSE_MARGIN_S: Final = 0.5
# Pause between two requests, in seconds, so that one response carries several
# changes.
POLL_PAUSE_S: Final = 0.3
RETRY_S: Final = 0.5
# Interval at which the state of a cache is published again, in seconds.
REPEAT_S: Final = 1.0
# Pause after a cache has refused a request as it has watchers enough, in
# seconds.
BUSY_RETRY_S: Final = 5.0


@attrs.define(kw_only=True)
class RecordPublisher:
    """Passes the records of a topic to a reader, and publishes them."""

    reader: OperatorReader | TargetReader
    relay: FeedRelay
    topic: Topic

    def replaced(self, records: Sequence[KeyedRecord]) -> None:
        """Apply and publish the newest records."""
        self.reader.replaced(records)
        for record in records:
            self.publish(record)
        self.publish_removed()

    def changed(self, record: KeyedRecord) -> None:
        """Apply and publish a record."""
        self.reader.changed(record)
        self.publish(record)
        self.publish_removed()

    def take(self, reply: FeedReply) -> None:
        """Apply and publish the records that another process has sent."""
        for record in records_of(reply.records, self.topic):
            self.changed(record)

    def publish(self, record: KeyedRecord) -> None:
        """Publish a record that the reader has accepted."""
        raise NotImplementedError

    def publish_removed(self) -> None:
        """Publish what the reader has dropped."""

    def put(
        self, key: str, stamp: tuple[int, int], value: bytes | None
    ) -> None:
        """Publish a value, or the removal of a key."""
        self.relay.put(
            (self.topic, key), stamp, value, Level.DOMAIN, is_urgent=True
        )

    def confirmed(self, request_time_s: float) -> None:
        """Record the time as of which the records are known."""
        self.reader.confirmed(request_time_s)

    def store_lost(self, detail: str) -> None:
        """Pass on that the store is lost."""
        self.reader.store_lost(detail)

    def store_back(self) -> None:
        """Pass on that the store answers again."""
        self.reader.store_back()

    def store_rewound(self, era: int) -> None:
        """Pass on that the store has returned from an older copy."""
        self.reader.store_rewound(era)


@attrs.define(kw_only=True)
class OperatorPublisher(RecordPublisher):
    """Publishes the operator's records."""

    reader: OperatorReader
    topic: Topic = Topic.OPERATOR

    def take(self, reply: FeedReply) -> None:
        """Apply and publish the records that another process has sent."""
        with self.reader.reading_from(reply.relay):
            super().take(reply)

    def publish(self, record: KeyedRecord) -> None:
        """Publish a record, stamped with its revision or version.

        So a record from an old copy of the store replaces no newer one.
        """
        version = self.reader.read_versions.get(record.key)
        if record.value is not None and version is not None:
            self.put(record.key, (version, 0), record.value)

    def confirmed(self, request_time_s: float) -> None:
        """Record the time as of which the records are known."""
        self.reader.confirmed(request_time_s)
        if not self.reader.is_store_behind:
            self.relay.note_operator(request_time_s)


@attrs.define(kw_only=True)
class TargetPublisher(RecordPublisher):
    """Publishes the targets' entries."""

    reader: TargetReader
    topic: Topic = Topic.TARGET
    fleet: Fleet
    # Stamps of the published entries, by target.
    published: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def publish(self, record: KeyedRecord) -> None:
        """Publish an entry, unless it names no target or is an old one."""
        if record.value is None or record.key not in self.fleet.views:
            return
        if record.stamp >= self.published.get(record.key, record.stamp):
            self.published[record.key] = record.stamp
            self.put(record.key, record.stamp, record.value)

    def publish_removed(self) -> None:
        """Publish the removal of targets that the fleet has dropped.

        A target that registers again has a greater stamp than its removal.
        """
        for name in self.published.keys() - self.fleet.views.keys():
            era, offset = self.published.pop(name)
            self.relay.drop_target(name)
            self.put(name, (era, offset + 1), None)

    def confirmed(self, request_time_s: float) -> None:
        """Record the time as of which the entries are known."""
        self.reader.confirmed(request_time_s)
        self.relay.note_targets(request_time_s)
        self.publish_removed()


@attrs.define(kw_only=True)
class CrashPublisher:
    """Publishes the records of crashes, which agents do not use themselves."""

    relay: FeedRelay

    def replaced(self, records: Sequence[KeyedRecord]) -> None:
        """Publish the newest records."""
        for record in records:
            self.changed(record)

    def changed(self, record: KeyedRecord) -> None:
        """Publish a record."""
        self.relay.put(
            (Topic.CRASH, record.key),
            record.stamp,
            record.value,
            Level.DOMAIN,
            is_urgent=True,
        )

    def take(self, reply: FeedReply) -> None:
        """Publish the records that another process has sent."""
        for record in records_of(reply.records, Topic.CRASH):
            self.changed(record)

    def confirmed(self, request_time_s: float) -> None:
        """Do nothing: these records have no bound on their age."""

    def store_lost(self, detail: str) -> None:
        """Do nothing: the other readers log it."""

    def store_back(self) -> None:
        """Do nothing: the other readers log it."""

    def store_rewound(self, era: int) -> None:
        """Do nothing: the other readers log it."""


@attrs.define(kw_only=True)
class CachePublisher:
    """Controller that publishes the changes of one cache."""

    address: str
    # Returns the name under which the cache is published; empty if unknown.
    name: Callable[[], str]
    level: Level
    port: CachePort
    relay: FeedRelay
    clock: Clock
    log: Logger
    # Identifies the parts since the cache was last known to be empty; greater
    # than those of an earlier process.
    generation: int
    # Whether the cache is to be read now.
    is_wanted: Callable[[], bool] = attrs.field(default=lambda: True)
    published_name: str = ""
    epoch: int | None = None
    next_number: int = 0
    # Number of the published changes.
    changes: int = 0
    # When the cache's state was last published, in seconds of the clock.
    repeated_s: float = float("-inf")
    is_alive: bool = False
    is_stopped: bool = False

    async def run(self) -> None:
        """Publish until the publisher is stopped."""
        await supervise.repeat(self.step, "cache", self.clock, self.log)

    async def step(self) -> bool:
        """Read the cache once, and pause; return False once stopped."""
        name = self.name()
        if not name or not self.is_wanted():
            self.epoch = None
            await timing.sleep(self.clock, RETRY_S)
            return not self.is_stopped
        result = await self.port.cache_changes(
            self.address, self.next_number, WAIT_S, WAIT_S + RESPONSE_MARGIN_S
        )
        if self.is_stopped:
            return False
        if result.is_ok():
            self.publish(name, result.ok)
            await timing.sleep(self.clock, POLL_PAUSE_S)
        else:
            await timing.sleep(self.clock, self.failed(name, result.error))
        return True

    def publish(self, name: str, update: CacheChanges) -> None:
        """Publish changes; after a restart or a gap, a new generation."""
        is_new = update.epoch != self.epoch or update.has_gap
        if is_new or name != self.published_name or not self.is_alive:
            self.begin_generation(name, is_alive=True)
        self.epoch = update.epoch
        self.next_number = update.next_number
        for change in update.changes:
            self.changes += 1
            self.relay.put(
                (Topic.PART, name, change.salt, change.part),
                (self.generation, self.changes),
                change.tokens or None,
                self.level,
            )
        if self.clock.seconds() - self.repeated_s >= REPEAT_S:
            self.publish_state()

    def publish_state(self) -> None:
        """Publish the cache's generation and whether it answers."""
        self.repeated_s = self.clock.seconds()
        self.changes += 1
        self.relay.put(
            (Topic.CACHE, self.published_name),
            (self.generation, self.changes),
            (self.generation, self.is_alive),
            self.level,
        )

    def begin_generation(self, name: str, is_alive: bool) -> None:
        """Publish that nothing is known to be in the cache."""
        self.relay.drop_cache(self.published_name or name)
        self.published_name = name
        self.generation += 1
        self.changes = 0
        self.is_alive = is_alive
        self.publish_state()
        self.log.info(
            "cache reachable" if is_alive else "cache lost",
            cache=name,
            generation=self.generation,
        )

    def failed(self, name: str, failure: Failure) -> float:
        """Record a failed request; return the pause before the next."""
        if failure.reason is Reason.TARGET_BUSY:
            return BUSY_RETRY_S
        self.epoch = None
        self.next_number = 0
        if self.is_alive:
            self.begin_generation(name, is_alive=False)
        return RETRY_S
