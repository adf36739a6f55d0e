"""Records of crashes, answers and tests, and their order.

The store may return from a copy that lacks the newest records.  They are
written again then, at other offsets, so a record tells the era in which it was
first written, and one that is written again its first offset.
"""

from collections import OrderedDict
from typing import Final

import attrs

from sequoiawind import wire
from sequoiawind.record_ports import KeyedRecord

# Records that are kept to be written again, at most, and for how long after
# they were first seen, in seconds: much longer than a copy of the store is old.
MAX_KEPT: Final = 1_000
KEPT_S: Final = 300.0
# Beginnings of the records' keys.
CRASH: Final = "crash"
ANSWER: Final = "answer"
TEST: Final = "test"

# Era and offset of a record when it was first written.
Order = tuple[int, int]


@attrs.frozen(kw_only=True)
class CrashBody:
    """A router's record of a crash."""

    # Time of writing, in milliseconds since the epoch.
    at_ms: int
    target: str
    born_ms: int
    # Digest, depth and whether it has answered before, of each part.
    suspects: list[tuple[str, int, bool]]
    # Era of the store in which it was first written; 0 if unknown.
    era: int = 0
    # Offset at which it was first written, if it is written again.
    first: int | None = None


@attrs.frozen(kw_only=True)
class PartBody:
    """A record of a complete answer with a part, or of a test of a part."""

    at_ms: int
    part: str
    # Which test of the part this is, from 1; 0 for an answer.
    number: int = 0
    # As for a crash.
    era: int = 0
    first: int | None = None


Body = CrashBody | PartBody


def decode_body(key: str, value: bytes) -> Body:
    """Decode a record.

    Raises:
      WireError: The value is no such record.
    """
    if key.partition("/")[0] == CRASH:
        return wire.decode(value, CrashBody)
    return wire.decode(value, PartBody)


def order_of(body: Body, stamp: tuple[int, int]) -> Order:
    """Return a record's place in the order of first writing.

    Args:
      body: The record.
      stamp: Era in which it was read, and its offset there.
    """
    era, offset = stamp
    return (body.era or era, offset if body.first is None else body.first)


def reading_order(record: KeyedRecord) -> Order:
    """Return the place of a record that may not be readable."""
    try:
        return order_of(
            decode_body(record.key, record.value or b""), record.stamp
        )
    except wire.WireError:
        return record.stamp


@attrs.define(kw_only=True)
class KeptRecord:
    """A record that may have to be written again."""

    body: Body
    order: Order
    # Greatest era in which the store was known to have it.
    era: int
    is_own: bool
    # When it was first seen, in seconds of the clock.
    seen_s: float

    def again(self) -> bytes:
        """Return the value to write again."""
        era, offset = self.order
        return wire.encode(attrs.evolve(self.body, era=era, first=offset))


@attrs.define(kw_only=True)
class KeptRecords:
    """The newest records of a router and of others, by key."""

    records: OrderedDict[str, KeptRecord] = attrs.field(factory=OrderedDict)

    def note(
        self, record: KeyedRecord, body: Body, now_s: float, is_own: bool
    ) -> None:
        """Note that the store has a record.

        Args:
          record: The record, with the era in which it was seen.
          body: What it holds.
          now_s: The time, in seconds of the clock.
          is_own: Whether this router has written it.
        """
        era, _ = record.stamp
        known = self.records.get(record.key)
        if known is not None and known.body.at_ms == body.at_ms:
            known.era = max(known.era, era)
            known.is_own |= is_own
            return
        order = order_of(body, record.stamp)
        if known is not None and known.order > order:
            return
        self.records[record.key] = KeptRecord(
            body=body,
            order=order,
            era=era,
            is_own=is_own,
            seen_s=now_s,
        )
        self.records.move_to_end(record.key)
        while len(self.records) > MAX_KEPT:
            self.records.popitem(last=False)

    def lost(
        self, era: int, now_s: float, own_only: bool
    ) -> dict[str, KeptRecord]:
        """Return the recent records that the store may have lost.

        Args:
          era: The store's era.
          now_s: The time, in seconds of the clock.
          own_only: Leave out those that other routers have written.
        """
        found = {
            key: item
            for key, item in self.records.items()
            if item.era < era
            and now_s - item.seen_s < KEPT_S
            and (item.is_own or not own_only)
        }
        return dict(sorted(found.items(), key=lambda pair: pair[1].order))
