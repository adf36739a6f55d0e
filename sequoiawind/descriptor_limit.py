"""The bound on open descriptors, at which connections of callers are closed.

A process without a free descriptor can neither accept a readiness check nor
reach a target, so callers' connections may use a part of them only.
"""

import resource
from typing import Final, Protocol

import attrs

from sequoiawind import messages
from sequoiawind.verdict import Failure, Reason, not_run

# Share of the limit from which a new caller must take an idle one's place.
USED_SHARE: Final = 0.8
# Share of the limit up to which new requests of callers are begun, as each may
# need a connection to a target; the rest is for store, feed and agents.
REQUESTS_SHARE: Final = 0.9
# Time after which a caller may send a refused request again, in seconds: those
# that read nothing are ended within a few seconds.
RETRY_AFTER_S: Final = 1.0
# Descriptors of a process beside its connections: ports, event loop and files.
OTHER_FDS: Final = 24


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
    # Whether a caller had to be turned away, or to take another's place, in
    # this turn of the event loop.  What is closed frees its descriptor only in
    # the next one.
    is_short: bool = False

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
        self.is_short = True
        if callers.close_longest_idle():
            self.closed_idle += 1
            return True
        self.closed_new += 1
        return False

    def accepts(self) -> bool:
        """Whether a connection that waits is accepted in this turn."""
        if self.is_short:
            self.closed_new += 1
        return not self.is_short

    def next_turn(self) -> None:
        """Accept connections again."""
        self.is_short = False

    def has_room(self, connections: int) -> bool:
        """Whether a request may begin that may need another connection.

        Args:
          connections: How many the process has, to callers and to targets.
        """
        return connections + OTHER_FDS < REQUESTS_SHARE * self.max_fds


def no_descriptors() -> Failure:
    """Return the refusal of a request that may need a descriptor."""
    return not_run(Reason.DESCRIPTORS, messages.NO_DESCRIPTORS, RETRY_AFTER_S)
