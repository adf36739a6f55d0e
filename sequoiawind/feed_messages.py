"""Messages of the feed: what a relay tells its readers about the fleet.

They are encoded as MessagePack, since they carry the operator's records as
bytes and many small entries.
"""

from collections.abc import Iterable
from typing import Final

import msgspec

from sequoiawind.feed_table import (
    FeedChanges,
    FeedEntry,
    Key,
    Level,
    Stamp,
    Topic,
)
from sequoiawind.wire import TargetStatus, WireError

FEED_PATH: Final = b"/agent/feed"
CONTENT_TYPE: Final = "application/msgpack"


class StatusItem(msgspec.Struct, array_like=True):
    """The status of a target."""

    target: str
    stamp: Stamp
    status: TargetStatus


class RecordItem(msgspec.Struct, array_like=True):
    """A record of the store; without a value, its key is removed."""

    topic: str
    key: str
    stamp: Stamp
    value: bytes | None


class CacheItem(msgspec.Struct, array_like=True):
    """The state of a cache; parts with another generation are void."""

    cache: str
    stamp: Stamp
    generation: int
    is_alive: bool


class PartItem(msgspec.Struct, array_like=True):
    """The tokens of a prompt part that a cache holds; 0 for none."""

    cache: str
    salt: str
    part: str
    stamp: Stamp
    tokens: int


class FeedReply(msgspec.Struct, array_like=True):
    """The changes since the reader's last request."""

    run: int
    number: int
    is_whole: bool
    # Name of the relay that answers.
    relay: str
    # Maximum age of the operator's records and of the targets' entries when
    # the reply was made, in seconds; negative if unknown.
    operator_age_s: float
    targets_age_s: float
    # Routers that read from this relay, and at level ALL from the others too.
    routers: int
    statuses: list[StatusItem] = []
    records: list[RecordItem] = []
    caches: list[CacheItem] = []
    parts: list[PartItem] = []
    # Demand of those routers, in requests a second.
    demand_per_s: float = 0.0
    # Whether the totals are known, and contain what the reader has stated in
    # its request; relays of earlier releases have none.
    has_totals: bool = False
    # For relays: the stamps of the statements in the totals, by router.
    counted: dict[str, int] = {}
    # Sums of what those routers have stated, by key.
    totals: dict[str, float] = {}
    # Whether the next request will be answered at once with further entries.
    has_more: bool = False
    # For how long the request was held before the reply was made, in seconds.
    held_s: float = 0.0
    # Greatest era of the store that the relay has seen; 0 if unknown.
    store_era: int = 0

    def operator_as_of_s(self, sent_s: float) -> float:
        """Return the time as of which the operator's records are known.

        Args:
          sent_s: When the request for this reply was sent, in seconds of the
            reader's clock.
        """
        return sent_s + self.held_s - self.operator_age_s

    def targets_as_of_s(self, sent_s: float) -> float:
        """Return the time as of which the targets' entries are known.

        That the request was held counts as age: with the bounds on leaving
        targets, routers would otherwise change between relay and store all the
        time.

        Args:
          sent_s: As for the operator's records.
        """
        return sent_s - self.targets_age_s


ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(FeedReply)


def encode(reply: FeedReply) -> bytes:
    """Return the encoding of a reply."""
    return ENCODER.encode(reply)


def decode(data: bytes) -> FeedReply:
    """Decode a reply.

    Raises:
      WireError: The data is no reply.
    """
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error


def add_entries(reply: FeedReply, changes: FeedChanges) -> None:
    """Add the entries of a table to a reply."""
    for entry in changes.entries:
        topic, *names = entry.key
        if topic is Topic.STATUS:
            reply.statuses.append(
                StatusItem(names[0], entry.stamp, entry.value)
            )
        elif topic is Topic.PART:
            reply.parts.append(
                PartItem(
                    names[0], names[1], names[2], entry.stamp, entry.value or 0
                )
            )
        elif topic is Topic.CACHE:
            reply.caches.append(CacheItem(names[0], entry.stamp, *entry.value))
        else:
            reply.records.append(
                RecordItem(topic.value, names[0], entry.stamp, entry.value)
            )


def entries_of(reply: FeedReply, level: Level) -> Iterable[FeedEntry]:
    """Return the entries of a reply, caches before their parts.

    Args:
      reply: The reply.
      level: The level that the entries get at the reader.
    """

    def entry(key: Key, stamp: Stamp, value: object) -> FeedEntry:
        return FeedEntry(key=key, stamp=stamp, value=value, level=level)

    known = {topic.value: topic for topic in Topic}
    for record in reply.records:
        # A relay of a newer release may have further topics.
        if record.topic in known:
            key = (known[record.topic], record.key)
            yield entry(key, record.stamp, record.value)
    for status in reply.statuses:
        yield entry((Topic.STATUS, status.target), status.stamp, status.status)
    for cache in reply.caches:
        value = (cache.generation, cache.is_alive)
        yield entry((Topic.CACHE, cache.cache), cache.stamp, value)
    for part in reply.parts:
        yield entry(
            (Topic.PART, part.cache, part.salt, part.part),
            part.stamp,
            part.tokens or None,
        )
