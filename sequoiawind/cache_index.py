"""An agent's index of the blocks that its engine has cached.

The index follows the engine's cache events, which may be late or missing.
It belongs to one incarnation of the engine: a restart empties it immediately.
Evictions may be among the missing events, so after a gap the index is replaced
by the engine's own list; until then it reports no hits.
"""

from collections.abc import Iterable, Sequence

import attrs


@attrs.frozen(kw_only=True)
class CacheEvent:
    """One change of an engine's cache."""

    # Consecutive within an incarnation, from 0.
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class CacheEvents:
    """A batch of consecutive events of an engine."""

    incarnation: str
    events: tuple[CacheEvent, ...] = ()


@attrs.frozen(kw_only=True)
class CacheList:
    """All blocks that an engine has cached, as of one event."""

    incarnation: str
    next_sequence: int
    blocks: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class ExpectedBlock:
    """A block that the engine is computing or is going to compute."""

    # Last time at which the block counts as a hit, in seconds.
    until_s: float
    # Id of the attempt that computes it.
    owner: str


@attrs.define(kw_only=True)
class CacheIndex:
    """The blocks believed to be cached."""

    incarnation: str = ""
    next_sequence: int = 0
    blocks: set[int] = attrs.field(factory=set)
    # Blocks that are being computed, or will be, for admitted prompts.
    expected: dict[int, ExpectedBlock] = attrs.field(factory=dict)
    # Whether a gap has made the index unreliable.
    needs_resync: bool = False
    gaps: int = 0

    def apply(self, batch: CacheEvents) -> None:
        """Apply a batch of events, skipping those already applied."""
        if batch.incarnation != self.incarnation:
            self.reset(batch.incarnation)
        for event in batch.events:
            if event.sequence < self.next_sequence:
                continue
            if event.sequence > self.next_sequence:
                self.gaps += 1
                self.needs_resync = True
            self.blocks.update(event.stored)
            self.blocks.difference_update(event.removed)
            for block in event.stored:
                self.expected.pop(block, None)
            self.next_sequence = event.sequence + 1

    def resync(self, listed: CacheList) -> None:
        """Replace the index by the engine's own list."""
        if listed.incarnation != self.incarnation:
            self.reset(listed.incarnation)
        self.blocks = set(listed.blocks)
        self.next_sequence = listed.next_sequence
        self.needs_resync = False

    def reset(self, incarnation: str) -> None:
        """Clear the index: the engine has restarted with an empty cache."""
        self.incarnation = incarnation
        self.next_sequence = 0
        self.blocks = set()
        self.expected.clear()
        self.needs_resync = False

    def expect(self, chain: Iterable[int], until_s: float, owner: str) -> None:
        """Record the blocks that the engine will compute for a prompt.

        They count as hits until `until_s`.  The first attempt to compute a
        block remains its owner.
        """
        for block in chain:
            if block not in self.blocks and block not in self.expected:
                self.expected[block] = ExpectedBlock(
                    until_s=until_s, owner=owner
                )

    def owner_of(self, chain: Sequence[int], hits: int) -> str:
        """Return the attempt computing the last hit block; empty if none."""
        if hits == 0 or chain[hits - 1] in self.blocks:
            return ""
        expected_block = self.expected.get(chain[hits - 1])
        return expected_block.owner if expected_block else ""

    def hit_blocks(self, chain: Sequence[int], now_s: float) -> int:
        """Return how many leading blocks of a chain are cached or expected."""
        for depth, block in enumerate(chain):
            if not self.has(block, now_s):
                return depth
        return len(chain)

    def has(self, block: int, now_s: float) -> bool:
        """Whether a block is cached, or expected to be soon."""
        if self.needs_resync:
            return False
        if block in self.blocks:
            return True
        expected_block = self.expected.get(block)
        return expected_block is not None and expected_block.until_s >= now_s

    def forget_expected(self, now_s: float) -> None:
        """Remove expected blocks that have not been stored in time."""
        expired = [
            block
            for block, expected_block in self.expected.items()
            if expected_block.until_s < now_s
        ]
        for block in expired:
            del self.expected[block]
