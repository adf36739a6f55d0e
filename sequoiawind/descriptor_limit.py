"""The bound on open descriptors, at which connections of callers are closed.

A process without a free descriptor can neither accept a readiness check nor
reach a target, so callers' connections may use a part of them only.
"""

import resource
from typing import Final, Protocol

import attrs

# Share of the limit from which a new caller must take an idle one's place.
USED_SHARE: Final = 0.8


class IdleCloser(Protocol):
    """The connections of a server that may be closed."""

    def close_longest_idle(self) -> bool:
        """Close the longest idle connection; return whether there was one."""


@attrs.define(kw_only=True, eq=False)
class DescriptorLimit:
    """Decides whether a new connection of a caller is kept."""

    max_fds: int
    closed_idle: int = 0
    closed_new: int = 0

    @staticmethod
    def of(stated: int) -> "DescriptorLimit":
        """Return the limit that is stated, or the process' own if it is 0."""
        own, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return DescriptorLimit(max_fds=min(stated, own) if stated else own)

    def keeps(self, fd: int, callers: IdleCloser) -> bool:
        """Return whether a new connection is kept, closing an idle one for it.

        The system assigns the lowest free number, so all smaller ones are in
        use: the number itself tells how many are open at least.

        Args:
          fd: The descriptor of the new connection.
          callers: The connections of the server that accepted it.
        """
        if fd < USED_SHARE * self.max_fds:
            return True
        if callers.close_longest_idle():
            self.closed_idle += 1
            return True
        self.closed_new += 1
        return False
