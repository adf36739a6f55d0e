"""The targets to which one request was sent, and which of them count.

A route bounds the number of targets at which a request may run.  A run that is
moved goes on as the same run, so it counts at its present target alone.

A router stops a run to move it, and then the destination may refuse it.
Nothing but the router has ended that run, so its stream is not ended for want
of further targets: what proves not to have run it does not count, and the
target of the stopped run may be asked again.
"""

import attrs

from sequoiawind.verdict import Failure, Reason, Verdict


@attrs.define(kw_only=True, eq=False)
class TriedTargets:
    """The targets of one request."""

    # Names of those that count, in the order in which they were tried.
    names: list[str] = attrs.field(factory=list)
    # The target whose run was stopped for a move, until another attempt brings
    # an event; empty if there is none.
    stopped: str = ""

    def __bool__(self) -> bool:
        """Whether any target counts as tried."""
        return bool(self.names)

    @property
    def count(self) -> int:
        """Number of targets at which the request may have run."""
        return len(self.names)

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
        # Nothing was sent to a target that could not be connected to.
        is_untried = failure.reason is Reason.CONNECT_FAILED
        if not is_untried and not (
            self.stopped and failure.verdict is Verdict.NOT_RUN
        ):
            return
        self.names.remove(name)
        if self.stopped and self.stopped not in self.names:
            # The run went on nowhere else, so it counts where it was stopped.
            self.names.append(self.stopped)
