"""When a relay gives totals over all routers, and over which relays.

A relay that has just begun lacks the statements of routers that have not asked
it yet.  Totals without them would let the first routers take too large a part
of what all share, so none are given until they can be whole.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from sequoiawind.feed_client import FeedQuery
from sequoiawind.feed_messages import FeedReply
from sequoiawind.feed_statement import as_units
from sequoiawind.feed_sums import STATED_LIFETIME_S, FeedSums
from sequoiawind.feed_table import Level

# Time without a request for a level after which a relay takes its routers to
# have left, and the time for which it then gives no totals, in seconds.  When a
# relay ends, its routers find another one within 0.85 s of each other.
SETTLED_GAP_S: Final = 1.5
SETTLING_S: Final = 1.0
# How much longer it waits for the totals of each other failure domain, in
# seconds.
OTHERS_WAIT_S: Final = 4.0


@attrs.define(kw_only=True)
class RelayTotals:
    """The totals that one relay gives to its readers."""

    # When the process began, in seconds of the clock.
    began_s: float
    sums: FeedSums = attrs.field(factory=FeedSums)
    # When the totals of each level begin to be whole, in seconds of the clock.
    settled_s: dict[Level, float] = attrs.field(factory=dict)
    # The other failure domains that are read.
    domains: set[str] = attrs.field(factory=set)
    # Other agents that are in use as relays of the failure domain, and whether
    # this one is.
    relays: list[str] = attrs.field(factory=list)
    is_in_use: bool = True
    # When each agent of the domain last replied, in seconds of the clock.
    heard_s: dict[str, float] = attrs.field(factory=dict)

    def note_begin(self, level: Level, now_s: float) -> None:
        """Note that a level begins to be asked for, also after a gap."""
        if level is Level.OWN:
            return
        # Routers ask for level ALL; while they arrive, the level below is not
        # whole either.
        for settling in (Level.DOMAIN, level):
            self.settled_s[settling] = now_s + SETTLING_S

    def set_feeds(
        self, names: set[str], domains: set[str], relays: Iterable[str]
    ) -> None:
        """Set which feeds are read.

        Args:
          names: Names of all.
          domains: The names of those that are another failure domain's.
          relays: Addresses of the relays in use in the own failure domain.
        """
        self.domains = domains
        in_use = list(relays)
        self.relays = [address for address in in_use if address in names]
        self.is_in_use = len(self.relays) < len(in_use)
        for name in self.heard_s.keys() - names:
            del self.heard_s[name]
        self.sums.keep_sources(names)

    def take(
        self, reply: FeedReply, source: str, at_level: Level, now_s: float
    ) -> None:
        """Use what routers have stated to another relay.

        Args:
          reply: Its reply.
          source: Name of its feed.
          at_level: The lowest level whose totals contain its table.
          now_s: The time, in seconds of the clock.
        """
        if at_level is Level.DOMAIN:
            self.heard_s[source] = now_s
        if reply.has_totals:
            units = as_units(reply.totals)
            self.sums.take_table(source, at_level, units, reply.counted, now_s)

    def add_to(self, reply: FeedReply, query: FeedQuery, now_s: float) -> None:
        """Add the totals to a reply, if they are whole."""
        self.sums.expire(now_s)
        if query.is_records_only or not self.is_settled(query.level, now_s):
            return
        scale = self.scale(query.level, now_s)
        if not query.is_router:
            reply.has_totals = True
            reply.counted = self.sums.counted(query.level)
            reply.totals = self.sums.totals(query.level, scale)
        elif query.statement is not None and self.sums.contains(
            query.reader, query.statement
        ):
            reply.has_totals = True
            reply.totals = self.sums.totals_for(
                query.reader, query.statement, now_s, scale
            )

    def is_settled(self, level: Level, now_s: float) -> bool:
        """Whether the totals of a level can be taken as whole."""
        settled_s = max(
            self.began_s + SETTLING_S, self.settled_s.get(level, self.began_s)
        )
        if level is not Level.ALL or now_s >= settled_s + OTHERS_WAIT_S:
            return now_s >= settled_s
        return now_s >= settled_s and self.domains <= self.sums.sources.keys()

    def scale(self, level: Level, now_s: float) -> float:
        """Return the factor for relays of the domain that are not heard.

        Those are taken to have as much stated as the others.
        """
        relays = len(self.relays) + self.is_in_use
        if level is Level.OWN or relays < 2:
            return 1.0
        oldest_s = now_s - STATED_LIFETIME_S
        heard = self.is_in_use + sum(
            self.heard_s.get(address, oldest_s) > oldest_s
            or address in self.sums.vacated
            for address in self.relays
        )
        return relays / max(1, heard)
