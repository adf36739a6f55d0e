"""The memory of a process for bodies, heads and answers.

Each connection bounds what it holds, but many connections together may still
hold more than the process has.  One budget counts what all of them hold.
"""

from typing import Final, Protocol

import attrs

# Memory for a process whose settings state none, in bytes.
DEFAULT_BUDGET_BYTES: Final = 40_000_000
# Share of the memory in the settings; the rest is for the program itself, for
# objects around the counted bytes, and for copies that are made meanwhile.
MEMORY_SHARE: Final = 1 / 3
# Memory of the program itself, and the share of what is left beside it that the
# budget may be where memory is small.
PROGRAM_BYTES: Final = 48_000_000
SMALL_MEMORY_SHARE: Final = 0.4
BYTES_PER_MB: Final = 1_000_000
# Room for one body of the largest size that callers may send by default.
MIN_BUDGET_BYTES: Final = 10_000_000
# Shares of the budget up to which bodies are admitted.  Small ones may use more
# of it, so that neither large ones nor the answers of slow callers keep them
# out; what is left is for answers.
LARGE_BODY_SHARE: Final = 0.5
SMALL_BODY_SHARE: Final = 0.9
SMALL_BODY_BYTES: Final = 65_536
# Share of the budget above which the answers of all callers are held up as soon
# as something is unsent.
SCARCE_SHARE: Final = 0.5
# Share of the budget above which one large answer at a time is read on; what is
# left is for that one.
FULL_SHARE: Final = 0.65
# Time after which a caller may send a refused body again, in seconds: callers
# that read nothing are ended, and slow bodies time out, within a few seconds.
RETRY_AFTER_S: Final = 1.0


class WaitingAnswer(Protocol):
    """An answer that is not read from its target for want of memory."""

    def read_on(self) -> None:
        """Read it on, as there is memory again."""


@attrs.define(kw_only=True, eq=False)
class MemoryBudget:
    """Counts the bytes that a process holds, and admits bodies and answers."""

    limit_bytes: int = DEFAULT_BUDGET_BYTES
    held_bytes: int = 0
    # The most that was ever held.
    peak_bytes: int = 0
    # The large answer that is read although memory is short; None if it is not.
    reading: WaitingAnswer | None = None
    # Those that wait for memory, the first that came first.
    waiting: dict[WaitingAnswer, None] = attrs.field(factory=dict)

    @staticmethod
    def of(memory_mb: float | None) -> "MemoryBudget":
        """Return the budget of a process with so much memory, if stated."""
        if not memory_mb:
            return MemoryBudget()
        memory_bytes = memory_mb * BYTES_PER_MB
        beside = SMALL_MEMORY_SHARE * (memory_bytes - PROGRAM_BYTES)
        share = min(MEMORY_SHARE * memory_bytes, beside)
        return MemoryBudget(limit_bytes=int(max(MIN_BUDGET_BYTES, share)))

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
        if size < 0 and self.waiting:
            self.read_waiting()

    # Large answers, which are held whole.

    def may_read(self, answer: WaitingAnswer) -> bool:
        """Whether a large answer is read on; if not, it waits for memory."""
        if not self.is_full:
            return True
        if self.reading is None:
            self.reading = answer
        if self.reading is answer and self.held_bytes <= self.limit_bytes:
            return True
        self.waiting[answer] = None
        return False

    def ended(self, answer: WaitingAnswer) -> None:
        """Let the next answer be read, as one is held no longer."""
        self.waiting.pop(answer, None)
        if self.reading is answer:
            self.reading = next(iter(self.waiting), None)
            if self.reading is not None:
                del self.waiting[self.reading]
                self.reading.read_on()

    def read_waiting(self) -> None:
        """Read answers on, as memory is free again: all, or the one."""
        reading = self.reading
        if self.is_full:
            if reading in self.waiting and self.held_bytes <= self.limit_bytes:
                del self.waiting[reading]
                reading.read_on()
            return
        self.reading = None
        waiting, self.waiting = self.waiting, {}
        for answer in waiting:
            answer.read_on()

    @property
    def is_full(self) -> bool:
        """Whether large answers wait for each other."""
        return self.held_bytes > FULL_SHARE * self.limit_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether answers should be held up early."""
        return self.held_bytes > SCARCE_SHARE * self.limit_bytes
