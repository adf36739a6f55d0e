"""Chooses the prefix that a prompt is placed by, and its number of holders.

A prefix that is too short overloads one target; one that is too long separates
prompts that could share cached blocks.  A router keeps decaying counts of the
prefixes that it has seen recently and splits by load: a prompt is placed by the
shallowest prefix whose share of the traffic one target can carry.  Shares,
unlike rates, are the same at every router, so routers agree without messages.
If even the deepest prefix of a prompt gets more than one target can carry, the
prompt is spread over several targets, the holders of the prefix.

The counts are a bounded cache: losing them costs cache hits, never
correctness.
"""

import math
from collections import OrderedDict

import attrs

from sequoiawind import defaults


@attrs.define(kw_only=True)
class PrefixCounter:
    """A decaying count of the prompts that began with one prefix."""

    count: float
    # When `count` was last updated, in seconds.
    updated_s: float
    # Whether the prefix has more load than one target can carry.
    is_split: bool = False
    # Number of targets that should hold the prefix.
    holders: int = 1


@attrs.frozen(kw_only=True)
class PlacementKey:
    """The prefix by which a prompt is placed."""

    key: int
    # Number of blocks in the prefix.
    depth: int
    # Number of targets among which prompts with this prefix are spread.
    holders: int


@attrs.define(kw_only=True)
class SharingTracker:
    """Counts prefixes and chooses placement keys."""

    # Time constant of the decay of the counts.
    window_s: float = defaults.SHARING_WINDOW_S
    # Share of one target's fair load that one prefix may have.
    split_share: float = defaults.SPLIT_SHARE
    # Share of a limit below which a split or a holder is withdrawn.
    hysteresis: float = defaults.SPLIT_HYSTERESIS
    # Prompts added to the total, so that the first few do not make a prefix
    # look overloaded.
    prior: float = defaults.SHARING_PRIOR
    max_holders: int = defaults.MAX_HOLDERS
    capacity: int = defaults.PREFIX_COUNTERS
    prefixes: OrderedDict[int, PrefixCounter] = attrs.field(factory=OrderedDict)
    # Counts all prompts.
    total: PrefixCounter = attrs.field(
        factory=lambda: PrefixCounter(count=0.0, updated_s=0.0)
    )

    def choose(
        self, chain: list[int], now_s: float, targets: int, account_seed: int
    ) -> PlacementKey:
        """Record a prompt and return the key to place it by.

        Args:
          chain: The prompt's prefix hashes.
          now_s: The time in seconds.
          targets: Number of targets among which prompts are placed.
          account_seed: Key for a prompt too short to have a whole block.

        Returns:
          The shallowest prefix that one target can carry; if there is none,
          the deepest prefix, with its number of holders.
        """
        if not chain:
            return PlacementKey(key=account_seed, depth=0, holders=1)
        self.record(chain, now_s)
        limit = self.split_share / max(1, targets)
        total = self.decayed(self.total, now_s) + self.prior
        deepest = 0
        for depth, key in enumerate(chain, 1):
            counter = self.prefixes[key]
            count = self.decayed(counter, now_s)
            if not self.update_split(counter, count / total, limit):
                return PlacementKey(key=key, depth=depth, holders=1)
            deepest = depth
        counter = self.prefixes[chain[deepest - 1]]
        share = self.decayed(counter, now_s) / total
        holders = self.update_holders(counter, share, limit)
        return PlacementKey(
            key=chain[deepest - 1], depth=deepest, holders=holders
        )

    def record(self, chain: list[int], now_s: float) -> None:
        """Count one prompt in the total and in each of its prefixes."""
        self.increment(self.total, now_s)
        for key in chain:
            counter = self.prefixes.get(key)
            if counter is None:
                self.prefixes[key] = PrefixCounter(count=1.0, updated_s=now_s)
                continue
            self.increment(counter, now_s)
            self.prefixes.move_to_end(key)
        while len(self.prefixes) > self.capacity:
            self.prefixes.popitem(last=False)

    def increment(self, counter: PrefixCounter, now_s: float) -> None:
        """Add one prompt to a counter."""
        counter.count = self.decayed(counter, now_s) + 1.0
        counter.updated_s = now_s

    def update_split(
        self, counter: PrefixCounter, share: float, limit: float
    ) -> bool:
        """Update and return whether a prefix has too much load for one target.

        Hysteresis keeps a share near the limit from moving the prefix back
        and forth, which would recompute it each time.
        """
        if counter.is_split:
            counter.is_split = share > limit * self.hysteresis
        else:
            counter.is_split = share > limit
        return counter.is_split

    def update_holders(
        self, counter: PrefixCounter, share: float, limit: float
    ) -> int:
        """Adjust the number of a prefix's holders to its share; return it."""
        wanted = min(self.max_holders, math.ceil(share / limit))
        if wanted > counter.holders:
            counter.holders = wanted
        elif share < limit * (counter.holders - 1) * self.hysteresis:
            counter.holders -= 1
        return max(1, counter.holders)

    def decayed(self, counter: PrefixCounter, now_s: float) -> float:
        """Return a count decayed to the current time."""
        age_s = max(0.0, now_s - counter.updated_s)
        return counter.count * math.exp(-age_s / self.window_s)
