"""Which prefixes of recent prompts are shared, and how hot they are.

A router keeps decaying counts of the prefix hashes that it has seen lately.
From them it chooses the placement key, the deepest prefix that several
prompts shared, and the number of targets that should hold that prefix.  The
counts are a bounded cache: losing them costs cache hits, never correctness.
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
    shared_sightings: float = defaults.SHARED_SIGHTINGS
    hot_rate_per_s: float = defaults.HOT_RATE_PER_S
    hysteresis: float = defaults.HOT_HYSTERESIS
    max_holders: int = defaults.MAX_HOLDERS
    capacity: int = defaults.PREFIX_COUNTERS
    # Levels that hold more than this share of all prompts are too shallow.
    prefixes: OrderedDict[int, Sightings] = attrs.field(factory=OrderedDict)

    def choose(
        self, chain: list[int], now_s: float, account_seed: int
    ) -> PlacementKey:
        """Record a prompt and return the key to place it by.

        Args:
          chain: The prompt's prefix hashes.
          now_s: The time in seconds.
          account_seed: Key for a prompt too short to have a whole block.

        Returns:
          The deepest prefix that earlier prompts shared; a prompt that
          shares nothing is placed by its first blocks, so that the next
          one like it finds it.
        """
        if not chain:
            return PlacementKey(key=account_seed, depth=0, holders=1)
        depth = self.shared_depth(chain, now_s)
        self.record(chain, now_s)
        if depth == 0:
            depth = min(len(chain), defaults.FALLBACK_DEPTH_BLOCKS)
        key = chain[depth - 1]
        holders = self.update_holders(self.prefixes[key], now_s)
        return PlacementKey(key=key, depth=depth, holders=holders)

    def shared_depth(self, chain: list[int], now_s: float) -> int:
        """Return the number of leading blocks that recent prompts shared."""
        for depth in range(len(chain), 0, -1):
            seen = self.prefixes.get(chain[depth - 1])
            if seen and self.decayed(seen, now_s) >= self.shared_sightings - 1:
                return depth
        return 0

    def record(self, chain: list[int], now_s: float) -> None:
        """Count one prompt."""
        for key in chain:
            seen = self.prefixes.get(key)
            if seen is None:
                self.prefixes[key] = Sightings(count=1.0, updated_s=now_s)
                continue
            seen.count = self.decayed(seen, now_s) + 1.0
            seen.updated_s = now_s
            self.prefixes.move_to_end(key)
        while len(self.prefixes) > self.capacity:
            self.prefixes.popitem(last=False)

    def update_holders(self, seen: Sightings, now_s: float) -> int:
        """Widen or narrow a prefix by its rate and return its holders.

        Hysteresis keeps a rate near a threshold from moving the prefix back
        and forth, which would recompute it each time.
        """
        rate = self.decayed(seen, now_s) / self.window_s
        wanted = 1 + int(rate / self.hot_rate_per_s)
        if wanted > seen.holders:
            seen.holders = min(wanted, self.max_holders)
        elif rate < self.hot_rate_per_s * (seen.holders - 1) * self.hysteresis:
            seen.holders -= 1
        return seen.holders

    def decayed(self, seen: Sightings, now_s: float) -> float:
        """Return a count as of now."""
        age_s = max(0.0, now_s - seen.updated_s)
        return seen.count * math.exp(-age_s / self.window_s)
