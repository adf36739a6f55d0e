"""Which prefix a prompt is placed by, and how widely that prefix is held.

Too shallow a prefix makes one target hot; too deep a one loses what prompts
share.  A router keeps decaying counts of the prefixes it has seen lately and
splits by load: a prompt is placed by the shallowest prefix whose share of the
traffic one target can carry.  Shares, unlike rates, are the same at every
router, so routers agree without messages.  A prompt whose deepest shared
prefix is still too hot is spread over several holders.

The counts are a bounded cache: losing them costs cache hits, never
correctness.
"""

import math
from collections import OrderedDict

import attrs

from sequoiawind import defaults


@attrs.define(kw_only=True)
class Sightings:
    """A decaying count of the prompts that contained one prefix."""

    count: float
    # When `count` was last brought up to date, in seconds.
    updated_s: float
    # Whether the prefix is too hot for one target.
    is_split: bool = False
    # Targets that should hold the prefix.
    holders: int = 1


@attrs.frozen(kw_only=True)
class PlacementKey:
    """The prefix by which a prompt is placed."""

    key: int
    # Blocks in the prefix.
    depth: int
    # Targets among which prompts with this prefix are spread.
    holders: int


@attrs.define(kw_only=True)
class SharingTracker:
    """Counts prefixes and chooses placement keys."""

    window_s: float = defaults.SHARING_WINDOW_S
    # Share of one target's fair load that one prefix may have.
    split_share: float = defaults.SPLIT_SHARE
    hysteresis: float = defaults.SPLIT_HYSTERESIS
    # Prompts assumed beside those seen, so that the first few look cold.
    prior: float = defaults.SHARING_PRIOR
    max_holders: int = defaults.MAX_HOLDERS
    capacity: int = defaults.PREFIX_COUNTERS
    prefixes: OrderedDict[int, Sightings] = attrs.field(factory=OrderedDict)
    # All prompts.
    total: Sightings = attrs.field(
        factory=lambda: Sightings(count=0.0, updated_s=0.0)
    )

    def choose(
        self, chain: list[int], now_s: float, targets: int, account_seed: int
    ) -> PlacementKey:
        """Record a prompt and return the key to place it by.

        Args:
          chain: The prompt's prefix hashes.
          now_s: The time in seconds.
          targets: Targets among which prompts are placed.
          account_seed: Key for a prompt too short to have a whole block.

        Returns:
          The shallowest prefix that one target can carry; else the deepest
          prefix that several prompts shared, with several holders.
        """
        if not chain:
            return PlacementKey(key=account_seed, depth=0, holders=1)
        self.record(chain, now_s)
        limit = self.split_share / max(1, targets)
        total = self.decayed(self.total, now_s) + self.prior
        deepest = 0
        for depth, key in enumerate(chain, 1):
            seen = self.prefixes[key]
            count = self.decayed(seen, now_s)
            if not self.update_split(seen, count / total, limit):
                return PlacementKey(key=key, depth=depth, holders=1)
            deepest = depth
        seen = self.prefixes[chain[deepest - 1]]
        share = self.decayed(seen, now_s) / total
        holders = self.update_holders(seen, share, limit)
        return PlacementKey(
            key=chain[deepest - 1], depth=deepest, holders=holders
        )

    def record(self, chain: list[int], now_s: float) -> None:
        """Count one prompt."""
        self.add(self.total, now_s)
        for key in chain:
            seen = self.prefixes.get(key)
            if seen is None:
                self.prefixes[key] = Sightings(count=1.0, updated_s=now_s)
                continue
            self.add(seen, now_s)
            self.prefixes.move_to_end(key)
        while len(self.prefixes) > self.capacity:
            self.prefixes.popitem(last=False)

    def add(self, seen: Sightings, now_s: float) -> None:
        """Count one prompt in one counter."""
        seen.count = self.decayed(seen, now_s) + 1.0
        seen.updated_s = now_s

    def update_split(self, seen: Sightings, share: float, limit: float) -> bool:
        """Return whether a prefix is too hot for one target.

        Hysteresis keeps a share near the limit from moving the prefix back
        and forth, which would recompute it each time.
        """
        if seen.is_split:
            seen.is_split = share > limit * self.hysteresis
        else:
            seen.is_split = share > limit
        return seen.is_split

    def update_holders(
        self, seen: Sightings, share: float, limit: float
    ) -> int:
        """Widen or narrow a prefix by its share and return its holders."""
        wanted = min(self.max_holders, math.ceil(share / limit))
        if wanted > seen.holders:
            seen.holders = wanted
        elif share < limit * (seen.holders - 1) * self.hysteresis:
            seen.holders -= 1
        return max(1, seen.holders)

    def decayed(self, seen: Sightings, now_s: float) -> float:
        """Return a count as of now."""
        age_s = max(0.0, now_s - seen.updated_s)
        return seen.count * math.exp(-age_s / self.window_s)
