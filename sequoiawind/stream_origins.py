"""Which software version began a stream.

Targets of several versions of their software may serve side by side in one
pool.  What two versions write does not fit together, so a stream that breaks
goes on only at a target of the version that began it.  The version is unknown
while a target has started again and its new entry has not arrived.
"""

import attrs

from sequoiawind.forward_state import ForwardTarget
from sequoiawind.software_memory import software_key


@attrs.frozen(kw_only=True)
class StreamOrigin:
    """Where a stream began."""

    pool: str
    # Version of the software of the target that sent the first event; None if
    # unknown.
    software: str | None

    @classmethod
    def of(cls, target: ForwardTarget) -> "StreamOrigin":
        """Return the origin of a stream that a target begins."""
        pool, software = software_key(target)
        return cls(pool=pool, software=software)


def may_continue(origin: StreamOrigin | None, target: ForwardTarget) -> bool:
    """Whether a stream may go on at a target.

    It may not if the version of one of them is unknown.

    Args:
      origin: Where the stream began; None if it has not begun.
      target: The target.
    """
    if origin is None:
        return True
    return origin.software is not None and origin == StreamOrigin.of(target)
