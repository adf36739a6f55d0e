"""The newest known facts about the fleet, numbered so that readers can resume.

Each entry has a stamp that its origin gives it.  An entry replaces another one
only if its stamp is greater, so the order and the number of the paths on which
entries arrive do not matter.  A reader names the last number that it received
and gets the entries that have changed since.
"""

import enum
from bisect import bisect_right
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any, Final

import attrs

from sequoiawind.ports import Clock

# Removed entries that are kept, so that readers that resume learn of them.
MAX_REMOVED: Final = 20_000
# Time without a newer entry after which one from another run of its origin
# replaces it whatever its stamp, in seconds: the origin's clock may have been
# set back before it started again.  Origins repeat such entries more often.
STAMP_LIFETIME_S: Final = 3.0


class Level(enum.IntEnum):
    """How far from its origin a process has learned a fact."""

    # From the target or the cache beside it.
    OWN = 0
    # From the store, or from the agents of its failure domain.
    DOMAIN = 1
    # From the agents of other failure domains, or not meant for those.
    ALL = 2


class Topic(enum.Enum):
    """What an entry is about."""

    STATUS = "status"
    OPERATOR = "operator"
    TARGET = "target"
    CRASH = "crash"
    CACHE = "cache"
    PART = "part"


# Topics with many entries, and how many bytes of them one reply has at most: it
# must arrive in time over a link of a few megabits a second.
BULK_TOPICS: Final = frozenset({Topic.CRASH, Topic.PART})
MAX_BULK_BYTES: Final = 65_536
# Replaced changes that are kept at least before the others are copied.
MIN_REPLACED: Final = 1_000
# What an entry takes in a reply beside its names and its value, in bytes.
ENTRY_BYTES: Final = 30
# Topics whose entries their origins repeat.
REPEATED_TOPICS: Final = frozenset({Topic.STATUS, Topic.CACHE})

# A topic and the names of what the entry is about.
Key = tuple[Any, ...]
# Compared as tuples; an origin's later stamps are greater.
Stamp = tuple[int, int]


@attrs.frozen(kw_only=True)
class FeedEntry:
    """A fact with its stamp; a value of None removes it."""

    key: Key
    stamp: Stamp
    value: Any
    level: Level
    # Readers that wait get it without delay.
    is_urgent: bool = False


@attrs.frozen(kw_only=True)
class StoredEntry:
    """An entry with its place in the table's order of changes."""

    number: int
    entry: FeedEntry
    # When it was stored, in seconds of the clock.
    changed_s: float


@attrs.frozen(kw_only=True)
class FeedChanges:
    """The entries that a reader lacks."""

    entries: list[FeedEntry]
    # The number to resume from.
    number: int
    # The entries are all there are: what is not among them does not exist.  The
    # bulk topics may go on in the following replies.
    is_whole: bool
    # Whether entries of the bulk topics were left out.
    has_more: bool = False


@attrs.define(kw_only=True)
class FeedTable:
    """The newest entry of each key, in the order in which they changed."""

    # Identifies this numbering; another process numbers anew.
    run: int
    clock: Clock
    number: int = 0
    entries: dict[Key, StoredEntry] = attrs.field(factory=dict)
    # Those of the other topics, the last changed one last.
    small: OrderedDict[Key, StoredEntry] = attrs.field(factory=OrderedDict)
    # Numbers and keys of the bulk topics' changes, with those that later ones
    # have replaced, so that a reader continues without a search.
    bulk_numbers: list[int] = attrs.field(factory=list)
    bulk_keys: list[Key] = attrs.field(factory=list)
    # Numbers of the last change and of the last urgent one, by level.
    newest: list[int] = attrs.field(factory=lambda: [0] * len(Level))
    newest_urgent: list[int] = attrs.field(factory=lambda: [0] * len(Level))
    # Numbers and keys of removed entries, the oldest first.
    removed: deque[tuple[int, Key]] = attrs.field(factory=deque)
    # Removals up to this number are no longer known.
    forgotten: int = 0

    def put(self, entry: FeedEntry) -> bool:
        """Store an entry; return False if it is not newer than the known."""
        known = self.entries.get(entry.key)
        if known is not None and not self.replaces(entry, known):
            return False
        self.number += 1
        stored = self.entries[entry.key] = StoredEntry(
            number=self.number, entry=entry, changed_s=self.clock.seconds()
        )
        if entry.key[0] in BULK_TOPICS:
            self.bulk_numbers.append(self.number)
            self.bulk_keys.append(entry.key)
            self.compact_bulk()
        else:
            self.small[entry.key] = stored
            self.small.move_to_end(entry.key)
        self.newest[entry.level] = self.number
        if entry.is_urgent:
            self.newest_urgent[entry.level] = self.number
        if entry.value is None:
            self.removed.append((self.number, entry.key))
            self.forget_removed()
        return True

    def replaces(self, entry: FeedEntry, known: StoredEntry) -> bool:
        """Whether an entry takes the place of the known one."""
        if entry.stamp > known.entry.stamp:
            return True
        if entry.key[0] not in REPEATED_TOPICS:
            return False
        age_s = self.clock.seconds() - known.changed_s
        return (
            entry.stamp[0] != known.entry.stamp[0] and age_s > STAMP_LIFETIME_S
        )

    def forget_removed(self) -> None:
        """Drop the oldest removed entries beyond `MAX_REMOVED`."""
        while len(self.removed) > MAX_REMOVED:
            number, key = self.removed.popleft()
            if key in self.entries and self.entries[key].number == number:
                self.discard([key])
                self.forgotten = number

    def compact_bulk(self) -> None:
        """Drop changes that were replaced, once most have been."""
        live = len(self.entries) - len(self.small)
        if len(self.bulk_keys) < 2 * live + MIN_REPLACED:
            return
        kept = [
            (number, key)
            for number, key in zip(
                self.bulk_numbers, self.bulk_keys, strict=True
            )
            if self.is_newest(key, number)
        ]
        self.bulk_numbers = [number for number, _ in kept]
        self.bulk_keys = [key for _, key in kept]

    def is_newest(self, key: Key, number: int) -> bool:
        """Whether the change with a number is the last one of its key."""
        stored = self.entries.get(key)
        return stored is not None and stored.number == number

    def discard(self, keys: list[Key]) -> None:
        """Drop entries that no reader needs to be told of."""
        for key in keys:
            self.entries.pop(key, None)
            self.small.pop(key, None)

    def has_news(self, after: int, level: Level) -> bool:
        """Whether entries of a level or below have changed since."""
        return max(self.newest[: level + 1]) > after

    def has_urgent_news(self, after: int, level: Level) -> bool:
        """Whether urgent entries of a level or below have changed since."""
        return max(self.newest_urgent[: level + 1]) > after

    def since(
        self,
        run: int,
        after: int,
        level: Level,
        topics: frozenset[Topic] = frozenset(Topic),
    ) -> FeedChanges:
        """Return the entries that have changed since a number, oldest first.

        All those of the other topics are returned, and of the bulk topics as
        many as one reply may have.

        Args:
          run: The numbering that the number belongs to.
          after: The last number that the reader has received.
          level: The highest level that the reader gets.
          topics: The topics that the reader gets.
        """
        is_whole = run != self.run or not self.forgotten <= after <= self.number
        start = -1 if is_whole else after

        def is_wanted(entry: FeedEntry) -> bool:
            if is_whole and entry.value is None:
                return False
            return entry.level <= level and entry.key[0] in topics

        found: list[StoredEntry] = []
        for stored in reversed(self.small.values()):
            if stored.number <= start:
                break
            if is_wanted(stored.entry):
                found.append(stored)
        bulk, has_more = self.bulk_since(start, is_wanted)
        found = sorted(found + bulk, key=lambda stored: stored.number)
        return FeedChanges(
            entries=[stored.entry for stored in found],
            number=bulk[-1].number if has_more else self.number,
            is_whole=is_whole,
            has_more=has_more,
        )

    def bulk_since(
        self, start: int, is_wanted: Callable[[FeedEntry], bool]
    ) -> tuple[list[StoredEntry], bool]:
        """Return the next entries of the bulk topics after a number.

        Returns:
          Up to `MAX_BULK_BYTES` of them, one at least, the oldest first; and
          whether there are more.
        """
        found: list[StoredEntry] = []
        size = 0
        first = bisect_right(self.bulk_numbers, start)
        for place in range(first, len(self.bulk_numbers)):
            key = self.bulk_keys[place]
            if not self.is_newest(key, self.bulk_numbers[place]):
                continue
            stored = self.entries[key]
            if not is_wanted(stored.entry):
                continue
            size += size_of(stored.entry)
            if size > MAX_BULK_BYTES and found:
                return found, True
            found.append(stored)
        return found, False


def size_of(entry: FeedEntry) -> int:
    """Return about how many bytes an entry takes in a reply."""
    _, *names = entry.key
    size = ENTRY_BYTES + sum(len(name) for name in names)
    return size + (len(entry.value) if isinstance(entry.value, bytes) else 0)
