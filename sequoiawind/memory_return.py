"""Giving freed memory back to the system.

By default the C library keeps freed blocks for itself: each large block that is
freed raises the size up to which blocks come from its heap, and a heap shrinks
only from its end.  A process that has held many large bodies at once would stay
as large as it was, and a second crowd would find no room.
"""

import ctypes
from typing import Final

# Parameters of mallopt(3).
M_TRIM_THRESHOLD: Final = -1
M_MMAP_THRESHOLD: Final = -3
# Size from which a block is mapped by itself, so that it is given back when it
# is freed; above that of one read from a socket.
MAPPED_BYTES: Final = 131_072
# Free bytes at the end of the heap from which they are given back.
TRIM_BYTES: Final = 262_144


def give_back_early() -> bool:
    """Set the sizes; return whether the C library has taken them."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    is_mapped = mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    is_trimmed = mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
    return bool(is_mapped and is_trimmed)
