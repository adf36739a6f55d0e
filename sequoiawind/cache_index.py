"""An agent's index of the blocks that its engine has cached.

The index follows the engine's cache events, which come late and with gaps.
It belongs to one incarnation of the engine: a restart empties it at once.  A
gap may have hidden evictions, so the index is refreshed from the engine's
own list; until then nothing is promised from it.
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
    """Consecutive events, as an engine gives them."""

    incarnation: str
    events: tuple[CacheEvent, ...] = ()


@attrs.frozen(kw_only=True)
class CacheList:
    """All blocks that an engine has cached, as of one event."""

    incarnation: str
    next_sequence: int
    blocks: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class Expectation:
    """A block that the engine is computing, or will be."""

    # When to stop counting on it, in seconds.
    until_s: float
    # The attempt that computes it.
    owner: str


@attrs.define(kw_only=True)
class CacheIndex:
    """The blocks believed to be cached."""

    incarnation: str = ""
    next_sequence: int = 0
    blocks: set[int] = attrs.field(factory=set)
    # Blocks of prompts under way.
    expected: dict[int, Expectation] = attrs.field(factory=dict)
    # Whether a gap has made the index unreliable.
    needs_resync: bool = False
    gaps: int = 0

    def apply(self, batch: CacheEvents) -> None:
        """Take in events; those known already are passed over."""
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
        """Forget everything: the engine has restarted empty."""
        self.incarnation = incarnation
        self.next_sequence = 0
        self.blocks = set()
        self.expected.clear()
        self.needs_resync = False

    def expect(self, chain: Iterable[int], until_s: float, owner: str) -> None:
        """Count on the blocks of a prompt that the engine is to compute.

        The first attempt that computes a block stays its owner.
        """
        for block in chain:
            if block not in self.blocks and block not in self.expected:
                self.expected[block] = Expectation(until_s=until_s, owner=owner)

    def owner_of(self, chain: Sequence[int], hits: int) -> str:
        """Return the attempt that computes the last block hit; or nothing."""
        if hits == 0 or chain[hits - 1] in self.blocks:
            return ""
        expectation = self.expected.get(chain[hits - 1])
        return expectation.owner if expectation else ""

    def hit_blocks(self, chain: Sequence[int], now_s: float) -> int:
        """Return how many leading blocks of a chain are cached."""
        for depth, block in enumerate(chain):
            if not self.has(block, now_s):
                return depth
        return len(chain)

    def has(self, block: int, now_s: float) -> bool:
        """Whether a block is cached, or will be soon."""
        if self.needs_resync:
            return False
        if block in self.blocks:
            return True
        expectation = self.expected.get(block)
        return expectation is not None and expectation.until_s >= now_s

    def forget_expected(self, now_s: float) -> None:
        """Drop expectations that have not come true."""
        late = [
            block
            for block, expectation in self.expected.items()
            if expectation.until_s < now_s
        ]
        for block in late:
            del self.expected[block]
