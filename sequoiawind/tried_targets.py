"""The targets to which one request was sent, and which of them count.

A route bounds the number of targets at which a request may run.  A run that is
moved goes on as the same run, so it counts at its present target alone.

A router stops a run to move it, and then the destination may refuse it; or it
withdraws a begun stream that waits at a further target.  Nothing but the router
has ended that attempt, so the stream is not ended for want of further targets:
what proves not to have run it does not count, nor do the targets of the stopped
attempts, until another one goes on.
"""

import attrs

from sequoiawind.verdict import Failure, Reason, Verdict


@attrs.define(kw_only=True, eq=False)
class TriedTargets:
    """The targets of one request."""

    # Names of those at which it may have run, in the order of the attempts.
    names: list[str] = attrs.field(factory=list)
    # Names of those whose attempts this router has stopped since an attempt has
    # brought an event.
    stopped: list[str] = attrs.field(factory=list)

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
        return [name for name in self.names if name not in self.stopped]

    def sent(self, name: str) -> None:
        """Note that the request is sent to a target."""
        self.names.append(name)

    def moved(self, source: str) -> None:
        """Note that a run was stopped and copied; it goes on elsewhere."""
        self.names.remove(source)
        self.stop(source)

    def withdrawn(self, name: str) -> None:
        """Note that a begun stream was withdrawn while it waited somewhere."""
        self.stop(name)

    def stop(self, name: str) -> None:
        """Note a target whose attempt this router has stopped."""
        if name not in self.stopped:
            self.stopped.append(name)

    def went_on(self) -> None:
        """Note that an attempt has brought an event."""
        self.stopped.clear()

    def failed(self, name: str, failure: Failure, may_be_stopped: bool) -> None:
        """Note a failed attempt.

        Args:
          name: Its target.
          failure: Why it failed.
          may_be_stopped: Whether a move of its run may have stopped it.
        """
        if may_be_stopped:
            self.stop(name)
        elif failure.verdict is not Verdict.NOT_RUN:
            # Its target has broken it off.
            if name in self.stopped:
                self.stopped.remove(name)
        elif self.stopped or failure.reason is Reason.CONNECT_FAILED:
            self.names.remove(name)
            # Runs that went on nowhere else.
            self.names += [
                item for item in self.stopped if item not in self.names
            ]
