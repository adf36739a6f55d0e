"""The memory of a process for bodies, heads and answers.

Each connection bounds what it holds, but many connections together may still
hold more than the process has.  One budget counts what all of them hold.
"""

from typing import Final

import attrs

# Memory for a process whose settings state none, in bytes.
DEFAULT_BUDGET_BYTES: Final = 40_000_000
# Share of the memory in the settings; the rest is for the program itself, for
# objects around the counted bytes, and for copies that are made meanwhile.
MEMORY_SHARE: Final = 1 / 3
BYTES_PER_MB: Final = 1_000_000
# Shares of the budget up to which bodies are admitted.  Small ones may use more
# of it, so that neither large ones nor the answers of slow callers keep them
# out; what is left is for answers.
LARGE_BODY_SHARE: Final = 0.5
SMALL_BODY_SHARE: Final = 0.9
SMALL_BODY_BYTES: Final = 65_536
# Share of the budget above which the answers of all callers are held up as soon
# as something is unsent.
SCARCE_SHARE: Final = 0.5
# Time after which a caller may send a refused body again, in seconds: callers
# that read nothing are ended, and slow bodies time out, within a few seconds.
RETRY_AFTER_S: Final = 1.0


@attrs.define(kw_only=True, eq=False)
class MemoryBudget:
    """Counts the bytes that a process holds, and admits bodies."""

    limit_bytes: int = DEFAULT_BUDGET_BYTES
    held_bytes: int = 0
    # The most that was ever held.
    peak_bytes: int = 0

    @staticmethod
    def of(memory_mb: float | None) -> "MemoryBudget":
        """Return the budget of a process with so much memory, if stated."""
        if not memory_mb:
            return MemoryBudget()
        share = MEMORY_SHARE * memory_mb * BYTES_PER_MB
        return MemoryBudget(limit_bytes=int(share))

    def reserve(self, size: int) -> bool:
        """Count a body if it fits; return whether it does."""
        is_small = size <= SMALL_BODY_BYTES
        share = SMALL_BODY_SHARE if is_small else LARGE_BODY_SHARE
        if size and self.held_bytes + size > share * self.limit_bytes:
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Count bytes that are held already; negative ones are free again."""
        self.held_bytes += size
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes

    def add_answer(self, size: int) -> bool:
        """Count a part of an answer if it fits; return whether it does."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.add(size)
        return True

    @property
    def is_scarce(self) -> bool:
        """Whether answers should be held up early."""
        return self.held_bytes > SCARCE_SHARE * self.limit_bytes
