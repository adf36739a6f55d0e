"""Applies what a relay tells a router about the fleet."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

import attrs

from sequoiawind.cache_watcher import CacheWatcher
from sequoiawind.feed_messages import FeedReply, RecordItem
from sequoiawind.feed_table import Topic
from sequoiawind.fleet import Fleet
from sequoiawind.forward_readers import OperatorReader, TargetReader
from sequoiawind.freshness import suspended_clock_s
from sequoiawind.ports import Clock
from sequoiawind.record_follower import RecordReader
from sequoiawind.record_ports import KeyedRecord
from sequoiawind.store_era import StoreEra

# Age of the targets' entries at a relay, in seconds, up to which a target that
# it does not have is taken as removed.
WHOLE_TARGETS_AGE_S: Final = 3.0


@attrs.define(kw_only=True)
class FeedReader:
    """Passes the parts of each reply to the components that need them."""

    fleet: Fleet
    operator: OperatorReader
    targets: TargetReader
    crashes: RecordReader
    caches: CacheWatcher
    clock: Clock
    # Returns how many tokens a cache can hold.
    capacity_of: Callable[[str], int]
    # Called with a target's name after a change of its status.
    on_status: Callable[[str], None]
    # Returns the demand that this router has stated, in requests a second.
    own_demand_per_s: Callable[[], float] = attrs.field(default=lambda: 0.0)
    # Returns what this router has stated in the request for the reply.
    own_statement: Callable[[], Mapping[str, float]] = attrs.field(
        default=lambda: {}
    )
    # Called with the totals over all routers, this router's own statement as
    # they contain it, and when the request for them was sent, in seconds of
    # the age clock.  Not called for a reply without totals.
    on_totals: Callable[
        [Mapping[str, float], Mapping[str, float], float], None
    ] = attrs.field(default=lambda totals, stated, sent_s: None)
    age_clock: Callable[[], float] = suspended_clock_s
    era: StoreEra = attrs.field(factory=StoreEra)
    # Times as of which the operator's records and the targets' entries are
    # known, in seconds of the age clock.
    operator_as_of_s: float = float("-inf")
    targets_as_of_s: float = float("-inf")

    @property
    def operator_age_s(self) -> float:
        """Maximum age of the operator's records, in seconds."""
        return self.age_clock() - self.operator_as_of_s

    @property
    def targets_age_s(self) -> float:
        """Maximum age of the targets' entries, in seconds."""
        return self.age_clock() - self.targets_as_of_s

    def take(self, reply: FeedReply, sent_s: float) -> None:
        """Apply a reply.

        Args:
          reply: The reply.
          sent_s: When its request was sent, in seconds of the age clock.
        """
        self.era.seen(reply.store_era)
        self.take_records(reply, sent_s)
        self.note_ages(reply, sent_s)
        now_s = self.clock.seconds()
        self.fleet.set_routers(
            reply.routers,
            now_s,
            own_per_s=self.own_demand_per_s(),
            demand_per_s=reply.demand_per_s,
        )
        self.take_caches(reply)
        for item in reply.statuses:
            if item.status.target == item.target:
                self.fleet.record_status(item.target, item.status, now_s)
                self.on_status(item.target)
        if reply.has_totals:
            stated = self.own_statement()
            contained = {
                key: value
                for key, value in stated.items()
                if key in reply.totals
            }
            self.on_totals(reply.totals, contained, sent_s)

    def note_ages(self, reply: FeedReply, sent_s: float) -> None:
        """Record how old the relay's records are."""
        if reply.operator_age_s >= 0.0:
            self.operator_as_of_s = reply.operator_as_of_s(sent_s)
            self.operator.confirmed(self.operator_as_of_s)
        if reply.targets_age_s >= 0.0:
            self.targets_as_of_s = reply.targets_as_of_s(sent_s)
            self.targets.confirmed(self.targets_as_of_s)

    def take_records(self, reply: FeedReply, sent_s: float) -> None:
        """Apply the store's records."""
        operator = records_of(reply.records, Topic.OPERATOR)
        with self.operator.reading_from(reply.relay):
            if reply.is_whole:
                # The records may have been written long ago.
                self.operator.replaced(operator)
            else:
                for record in operator:
                    self.operator.changed(record)
        targets = records_of(reply.records, Topic.TARGET)
        if reply.is_whole and 0.0 <= reply.targets_age_s < WHOLE_TARGETS_AGE_S:
            as_of_s = reply.targets_as_of_s(sent_s)
            self.targets.replaced_as_of(targets, as_of_s)
        else:
            for record in targets:
                self.targets.changed(record)
        crashes = records_of(reply.records, Topic.CRASH)
        if reply.is_whole:
            self.crashes.replaced(crashes)
        else:
            for record in crashes:
                self.crashes.changed(record)

    def take_caches(self, reply: FeedReply) -> None:
        """Apply the changes of the caches."""
        if reply.is_whole:
            self.caches.clear()
        for cache in reply.caches:
            self.caches.set_generation(
                cache.cache,
                self.capacity_of(cache.cache),
                cache.generation,
                cache.is_alive,
            )
        for part in reply.parts:
            self.caches.part_changed(
                part.cache, part.stamp[0], part.salt, part.part, part.tokens
            )


def records_of(
    records: Sequence[RecordItem], topic: Topic
) -> list[KeyedRecord]:
    """Return the records of a topic."""
    return [
        KeyedRecord(key=item.key, value=item.value, stamp=item.stamp)
        for item in records
        if item.topic == topic.value
    ]
