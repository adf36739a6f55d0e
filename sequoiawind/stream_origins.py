"""Which software version began a stream.

Targets of several versions of their software may serve side by side in one
pool.  What two versions write does not fit together, so a stream that breaks
goes on only at a target of the version that began it.
"""

import attrs

from sequoiawind.forward_state import ForwardTarget


@attrs.frozen(kw_only=True)
class StreamOrigin:
    """Where a stream began."""

    pool: str
    # Version of the software of the target that sent the first event.
    software: str

    @classmethod
    def of(cls, target: ForwardTarget) -> "StreamOrigin":
        """Return the origin of a stream that a target begins."""
        return cls(pool=target.pool, software=target.software)


def may_continue(origin: StreamOrigin | None, target: ForwardTarget) -> bool:
    """Whether a stream may go on at a target.

    Args:
      origin: Where the stream began; None if it has not begun.
      target: The target.
    """
    return origin is None or origin == StreamOrigin.of(target)
