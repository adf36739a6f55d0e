"""Adds up what routers state, at a relay.

A relay holds the latest statement of each router that reads from it, and the
tables that other relays have added up over theirs.  A router that changes its
relay is in two of these for a while.  Each table names the routers that it
contains with the stamps of their statements, so the older of two statements of
a router is recognised and taken out.
"""

from collections import OrderedDict
from collections.abc import Mapping
from itertools import islice
from typing import Final

import attrs

from sequoiawind.feed_statement import Statement, as_values, ranked
from sequoiawind.feed_table import Level

# Time without a request of a router, or a table of another relay, after which
# what it has stated is dropped, in seconds.
STATED_LIFETIME_S: Final = 5.0
# Keys of all totals at a relay; what exceeds them is not added up.
MAX_KEYS: Final = 16_384
# Entries of all statements that a relay holds, for 300 routers with 256 each,
# and the routers that a table names.
MAX_ENTRIES: Final = 100_000
MAX_ROUTERS: Final = 1_024
# Keys of a reply to a router: its own and as many others.  300 routers that
# ask three times a second get these in 0.3 Mbit/s each.
MAX_REPLY_KEYS: Final = 512
# How long a ranking of more keys than that is used, in seconds.
RANKING_LIFETIME_S: Final = 1.0


@attrs.define(kw_only=True)
class HeldStatement:
    """The latest statement of a router."""

    stamp: int
    units: Mapping[str, int]
    # When the router last asked, in seconds of the clock.
    heard_s: float


@attrs.define(kw_only=True)
class Source:
    """The table of another relay."""

    # The lowest level whose totals contain it.
    level: Level
    units: Mapping[str, int]
    # Stamps of the statements that it contains, by router.
    counted: Mapping[str, int]
    # When it arrived, in seconds of the clock.
    heard_s: float
    # Routers of which a newer statement is known elsewhere.
    moved: frozenset[str] = frozenset()
    # The part of it that the totals contain.
    included: Mapping[str, int] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class FeedSums:
    """The statements known to a relay, and their sums at each level."""

    # By router, the one that asked last at the end.
    held: OrderedDict[str, HeldStatement] = attrs.field(factory=OrderedDict)
    held_entries: int = 0
    # By the name of the feed that is read.
    sources: dict[str, Source] = attrs.field(factory=dict)
    # Feeds that have fallen silent after all their routers had moved.
    vacated: set[str] = attrs.field(factory=set)
    # Sums by level and key, in thousandths; each level contains those below.
    sums: dict[Level, dict[str, int]] = attrs.field(
        factory=lambda: {level: {} for level in Level}
    )
    # Keys of the largest totals, and when they were ranked, in seconds.
    ranking: list[str] = attrs.field(factory=list)
    ranked_s: float = float("-inf")

    def take_statement(
        self, router: str, statement: Statement, now_s: float
    ) -> None:
        """Hold the statement of a router, unless a newer one is known.

        A statement beyond the bounds is not held either.
        """
        known = self.held.get(router)
        if known is not None and statement.units:
            if statement.stamp < known.stamp:
                return
            if statement.stamp == known.stamp:
                known.heard_s = now_s
                self.held.move_to_end(router)
                return
        is_held = self.may_hold(router, statement)
        units = self.fitting(statement.units) if is_held else {}
        before = known.units if known is not None else {}
        self.held.pop(router, None)
        if is_held:
            self.held[router] = HeldStatement(
                stamp=statement.stamp, units=units, heard_s=now_s
            )
        self.held_entries += len(units) - len(before)
        changes = {key: units[key] - before.get(key, 0) for key in units}
        gone = {key: -before[key] for key in before if key not in units}
        self.add(changes | gone, Level.OWN)
        if is_held is (known is None):
            self.refresh()

    def may_hold(self, router: str, statement: Statement) -> bool:
        """Whether a statement is to be held, and there is room for it."""
        if not statement.units or any(
            source.counted.get(router, -1) > statement.stamp
            for source in self.sources.values()
        ):
            return False
        entries = self.held_entries + len(statement.units)
        is_known = router in self.held
        return entries <= MAX_ENTRIES and (
            is_known or len(self.held) < MAX_ROUTERS
        )

    def take_table(
        self,
        name: str,
        level: Level,
        units: Mapping[str, int],
        counted: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Replace the table of another relay.

        Args:
          name: Name of the feed that it was read from.
          level: The lowest level whose totals contain it.
          units: Its values, in thousandths.
          counted: Stamps of the statements in it, by router.
          now_s: The time, in seconds of the clock.
        """
        self.vacated.discard(name)
        known = self.sources.get(name)
        if not counted and known is not None and not known.counted:
            known.heard_s = now_s
            return
        self.drop_source(name)
        if not counted:
            # What is in a table without routers comes from none.
            units = {}
        self.sources[name] = Source(
            level=level,
            units=dict(islice(units.items(), MAX_KEYS)),
            counted=dict(islice(counted.items(), MAX_ROUTERS)),
            heard_s=now_s,
        )
        self.refresh()

    def keep_sources(self, names: set[str]) -> None:
        """Drop the tables of feeds that are no longer read."""
        for name in self.sources.keys() - names:
            self.drop_source(name)
            self.refresh()
        self.vacated &= names

    def expire(self, now_s: float) -> None:
        """Drop what was stated too long ago."""
        oldest_s = now_s - STATED_LIFETIME_S
        is_changed = False
        while self.held:
            router, held = next(iter(self.held.items()))
            if held.heard_s >= oldest_s:
                break
            self.drop(router)
            is_changed = True
        for name, source in list(self.sources.items()):
            if source.heard_s < oldest_s:
                if len(source.moved) == len(source.counted):
                    self.vacated.add(name)
                self.drop_source(name)
                is_changed = True
        if is_changed:
            self.refresh()

    def contains(self, router: str, statement: Statement | None) -> bool:
        """Whether the totals contain just this statement of a router."""
        if statement is None:
            return False
        held = self.held.get(router)
        if held is None:
            return not statement.units
        return held.stamp == statement.stamp

    def totals(self, level: Level, scale: float = 1.0) -> dict[str, float]:
        """Return the totals of a level.

        Args:
          level: The level.
          scale: Factor for what was stated in the failure domain, if some of
            its relays are not heard.
        """
        return as_values(self.scaled(self.sums[level], level, scale))

    def totals_for(
        self,
        router: str,
        statement: Statement,
        now_s: float,
        scale: float = 1.0,
    ) -> dict[str, float]:
        """Return the totals for a router: its own keys and the largest.

        Keys that it has stated but that found no room are left out, as these
        totals would not contain its own value.
        """
        sums = self.sums[Level.ALL]
        held = self.held.get(router)
        own = held.units if held is not None else {}
        if len(sums) > MAX_REPLY_KEYS:
            if now_s - self.ranked_s >= RANKING_LIFETIME_S:
                self.ranked_s = now_s
                self.ranking = ranked(sums, MAX_REPLY_KEYS)
            keys = dict.fromkeys((*own, *self.ranking))
            chosen = islice(
                (key for key in keys if key in sums), MAX_REPLY_KEYS
            )
            sums = {key: sums[key] for key in chosen}
        if len(own) < len(statement.units):
            refused = statement.units.keys() - own.keys()
            sums = {key: sums[key] for key in sums if key not in refused}
        return as_values(self.scaled(sums, Level.ALL, scale))

    def scaled(
        self, sums: Mapping[str, int], level: Level, scale: float
    ) -> Mapping[str, int]:
        """Scale the part of some sums that was stated in the domain."""
        if scale <= 1.0:
            return sums
        domain = self.sums[min(level, Level.DOMAIN)]
        return {
            key: value + round((scale - 1.0) * domain.get(key, 0))
            for key, value in sums.items()
        }

    def counted(self, level: Level) -> dict[str, int]:
        """Return the stamps of the statements in a level's totals."""
        found = {name: item.stamp for name, item in self.held.items()}
        for source in self.sources.values():
            if source.level <= level:
                # Those that were taken out must not be taken out again by the
                # reader.
                for name in source.counted.keys() - source.moved:
                    found[name] = source.counted[name]
        return found

    # Bookkeeping.

    def fitting(self, units: Mapping[str, int]) -> Mapping[str, int]:
        """Return the entries that the bound on keys leaves room for."""
        known = self.sums[Level.ALL]
        room = MAX_KEYS - len(known)
        if len(units) <= room:
            return units
        fitting = {key: units[key] for key in units if key in known}
        new = (key for key in units if key not in known)
        fitting.update((key, units[key]) for key in islice(new, room))
        return fitting

    def add(
        self, units: Mapping[str, int], lowest: Level, sign: int = 1
    ) -> None:
        """Add entries to the sums of a level and those above it."""
        for level, sums in self.sums.items():
            if level < lowest:
                continue
            for key, value in units.items():
                if not value:
                    continue
                total = sums.get(key, 0) + sign * value
                if total:
                    sums[key] = total
                else:
                    del sums[key]

    def drop(self, router: str) -> None:
        """Take the statement of a router out of the sums."""
        held = self.held.pop(router)
        self.held_entries -= len(held.units)
        self.add(held.units, Level.OWN, -1)

    def drop_source(self, name: str) -> None:
        """Take a table out of the sums."""
        source = self.sources.pop(name, None)
        if source is not None:
            self.add(source.included, source.level, -1)

    def refresh(self) -> None:
        """Find the routers that have moved, and take out what is older.

        Called when a router arrives or leaves, or a table changes.
        """
        newest: dict[str, int] = {}
        for source in self.sources.values():
            for name, stamp in source.counted.items():
                newest[name] = max(stamp, newest.get(name, -1))
        for name, stamp in newest.items():
            held = self.held.get(name)
            if held is None:
                continue
            if stamp > held.stamp:
                self.drop(name)
            else:
                newest[name] = held.stamp
        for source in self.sources.values():
            moved = frozenset(
                name
                for name, stamp in source.counted.items()
                if newest[name] > stamp
            )
            if moved != source.moved or not source.included:
                self.add(source.included, source.level, -1)
                source.moved = moved
                source.included = self.fitting(self.remaining(source))
                self.add(source.included, source.level)

    def remaining(self, source: Source) -> Mapping[str, int]:
        """Return a table without the routers that have moved.

        What a router has stated here stands for its share in the table.  The
        shares of those that another relay holds are unknown and are taken as
        equal; the relay that they have left takes them out itself once it has
        read of their move.
        """
        if not source.moved:
            return source.units
        left = len(source.counted) - len(source.moved)
        if left == 0:
            return {}
        units = dict(source.units)
        here = [name for name in source.moved if name in self.held]
        for name in here:
            for key, value in self.held[name].units.items():
                if key in units:
                    units[key] = max(0, units[key] - value)
        weight = left / (len(source.counted) - len(here))
        weighted = ((key, round(units[key] * weight)) for key in units)
        return {key: value for key, value in weighted if value}
