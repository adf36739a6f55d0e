"""The targets to which one request was sent, and which of them count.

A route bounds the number of targets at which a request may run.  A run that is
moved goes on as the same run, so it counts at its present target alone.

A router stops a run to move it, and then the destination may refuse it; or it
withdraws a begun stream that waits at a further target.  Nothing but the router
has ended that attempt, so the stream is not ended for want of further targets:
what proves not to have run it does not count, nor do the targets of the stopped
attempts, until another one goes on.
"""

from typing import Final

import attrs

from sequoiawind.verdict import Failure, Reason, Verdict

# Refusals of a stream that this router has stopped after which it pauses before
# it asks a further target; each of them takes a repeat that others may need.
FREE_REFUSALS: Final = 2
# The first of these pauses, in seconds; each further one is twice as long, up
# to the longest, which leaves time to go on before the caller gives up.
FIRST_PAUSE_S: Final = 0.25
LONGEST_PAUSE_S: Final = 2.0


@attrs.define(kw_only=True, eq=False)
class TriedTargets:
    """The targets of one request."""

    # Names of those at which it may have run, in the order of the attempts.
    names: list[str] = attrs.field(factory=list)
    # Names of those whose attempts this router has stopped since an attempt has
    # brought an event.
    stopped: list[str] = attrs.field(factory=list)
    # Refusals since then, and when a further target may be asked, in seconds of
    # the clock.
    refusals: int = 0
    ask_again_s: float = float("-inf")
    # Names of the targets from which runs were moved, by those to which.
    sources: dict[str, str] = attrs.field(factory=dict)
    # The target from which a run was moved, until the run is sent to the one to
    # which; empty if there is none.
    source: str = ""

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
        self.sources.pop(name, "")
        if self.source:
            self.sources[name], self.source = self.source, ""

    def moved(self, source: str) -> None:
        """Note that a run was stopped and copied; it goes on elsewhere."""
        self.names.remove(source)
        self.source = source
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
        self.refusals = 0
        self.ask_again_s = float("-inf")

    def failed(
        self, name: str, failure: Failure, may_be_stopped: bool, now_s: float
    ) -> None:
        """Note a failed attempt.

        Args:
          name: Its target.
          failure: Why it failed.
          may_be_stopped: Whether a move of its run may have stopped it.
          now_s: The time, in seconds of the clock.
        """
        if may_be_stopped:
            self.stop(name)
        elif failure.verdict is not Verdict.NOT_RUN:
            # Its target has broken it off.
            if name in self.stopped:
                self.stopped.remove(name)
        elif self.stopped or failure.reason is Reason.CONNECT_FAILED:
            self.names.remove(name)
            source = self.sources.pop(name, "")
            if source and source not in self.names:
                # The moved run went on nowhere.
                self.names.append(source)
            if self.stopped and failure.reason is not Reason.CONNECT_FAILED:
                self.refused(now_s)

    def refused(self, now_s: float) -> None:
        """Note a refusal of a stopped stream; pause after some of them."""
        self.refusals += 1
        doublings = self.refusals - FREE_REFUSALS
        if doublings >= 0:
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0**doublings)
            self.ask_again_s = now_s + pause_s
