"""The bound on what one connection may have parsed in a turn of the event loop.

A part of a body of a few bytes costs nearly as much time as one of many
thousands.  So what one read has brought may take long to handle, and other
connections get their turn before all of it is.
"""

from typing import Final

import attrs

# Small parts that are handled in a turn, and the size up to which a part is
# small, in bytes.
MAX_SMALL_PARTS: Final = 128
SMALL_PART_BYTES: Final = 512


@attrs.define(kw_only=True, eq=False)
class TurnLimit:
    """Counts the small parts that are handled in one turn."""

    small_parts: int = 0

    def begin(self) -> None:
        """Begin to handle parts in a new turn."""
        self.small_parts = 0

    def handled(self, size: int) -> None:
        """Count a part of a size, in bytes."""
        if size <= SMALL_PART_BYTES:
            self.small_parts += 1

    @property
    def is_reached(self) -> bool:
        """Whether the rest waits for the next turn."""
        return self.small_parts >= MAX_SMALL_PARTS
