"""The targets to which one request was sent, and which of them count.

A route bounds the number of targets at which a request may run.  A run that is
moved goes on as the same run, so it counts at its present target alone.

A router stops a run to move it, and then the destination may refuse it; or it
withdraws a begun stream that waits at a further target.  Nothing but the router
has ended that attempt, so the stream is not ended for want of further targets:
what proves not to have run it does not count, nor does the target of the
stopped attempt, until another one goes on or breaks off.
"""

import attrs

from sequoiawind.verdict import Failure, Reason, Verdict


@attrs.define(kw_only=True, eq=False)
class TriedTargets:
    """The targets of one request."""

    # Names of those at which it may have run, in the order of the attempts.
    names: list[str] = attrs.field(factory=list)
    # The target whose attempt this router has stopped; empty if there is none,
    # or once another attempt has brought an event or was broken off.
    stopped: str = ""

    def __bool__(self) -> bool:
        """Whether any target counts as tried."""
        return bool(self.names)

    @property
    def count(self) -> int:
        """Number of targets that count against the bound of the route."""
        return len(set(self.excluded))

    @property
    def excluded(self) -> list[str]:
        """Names of the targets that are not asked again."""
        return [name for name in self.names if name != self.stopped]

    def sent(self, name: str) -> None:
        """Note that the request is sent to a target."""
        self.names.append(name)

    def moved(self, source: str) -> None:
        """Note that a run was stopped and copied; it goes on elsewhere."""
        self.names.remove(source)
        self.stopped = source

    def withdrawn(self, name: str) -> None:
        """Note that a begun stream was withdrawn while it waited somewhere."""
        self.stopped = name

    def went_on(self) -> None:
        """Note that an attempt has brought an event."""
        self.stopped = ""

    def failed(self, name: str, failure: Failure, may_be_stopped: bool) -> None:
        """Note a failed attempt.

        Args:
          name: Its target.
          failure: Why it failed.
          may_be_stopped: Whether a move of its run may have stopped it.
        """
        if may_be_stopped:
            self.stopped = name
        elif failure.verdict is not Verdict.NOT_RUN:
            self.stopped = ""
        elif self.stopped or failure.reason is Reason.CONNECT_FAILED:
            self.names.remove(name)
            if self.stopped and self.stopped not in self.names:
                # The run went on nowhere else.
                self.names.append(self.stopped)
