"""Puts the chunks of an answer in order.

Chunks may arrive late, out of order or twice, and an answer may be continued by
another target.  Only the next chunk is passed on; later ones wait, repeated
ones are dropped.
"""

import attrs

from sequoiawind import defaults, invariants
from sequoiawind.openai_format import DONE


@attrs.define(kw_only=True)
class ChunkOrder:
    """The chunks of one answer."""

    request_id: str = ""
    # Index of the chunk to pass on next.
    expected: int = 0
    # Chunks by index that arrived before an earlier one.
    early: dict[int, bytes] = attrs.field(factory=dict)
    # Chunks passed on, in order.
    passed: list[bytes] = attrs.field(factory=list)
    duplicates: int = 0
    is_whole: bool = False

    def take(self, index: int, data: bytes) -> list[bytes]:
        """Accept a chunk and return those to pass on now, in order."""
        if index < self.expected or index in self.early:
            self.duplicates += 1
            return []
        if index > self.expected:
            if len(self.early) < defaults.MAX_REORDERED_CHUNKS:
                self.early[index] = data
            return []
        ready = [self.pass_on(index, data)]
        while self.expected in self.early:
            data = self.early.pop(self.expected)
            ready.append(self.pass_on(self.expected, data))
        return ready

    def pass_on(self, index: int, data: bytes) -> bytes:
        """Record a chunk as passed on and return it."""
        invariants.next_chunk(len(self.passed), index, self.request_id)
        self.passed.append(data)
        self.expected = index + 1
        self.is_whole = data == DONE
        return data

    @property
    def arrived(self) -> int:
        """The number of chunks that have arrived, in order or not."""
        return self.expected + len(self.early)

    def forget_early(self) -> None:
        """Drop the waiting chunks; a new attempt starts at `expected`."""
        self.early.clear()
