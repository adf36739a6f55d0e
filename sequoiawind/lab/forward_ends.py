"""How the requests of the forwarding soak end: in time, and none is lost.

A router may abort an answer that it has begun to pass on only if the target
broke it off, or at its deadline.  The world knows what became of each run.
"""

from collections.abc import Callable, Sequence
from typing import Final

import attrs

from sequoiawind import invariants
from sequoiawind.lab.forward_callers import ForwardSoakCaller
from sequoiawind.lab.forward_runs import RunEnd, SimulatedRun
from sequoiawind.lab.forward_world import World
from sequoiawind.verdict import Failure, Reason

# How long after its deadline an answer may come, in seconds: a few iterations
# of the event loop.
DEADLINE_TOLERANCE_S: Final = 0.05
# What a configuration denies.
DENIALS: Final = frozenset({Reason.NO_ROUTE, Reason.UNAUTHENTICATED})


@attrs.define(kw_only=True, eq=False)
class Ends:
    """The ends of all requests of one run of the soak."""

    world: World
    # Whether a process was paused, by its name, at any time in an interval.
    was_paused: Callable[[str, float, float], bool]
    # What was lost while a target went on, and after a move, in words.
    lost: list[str] = attrs.field(factory=list)
    moved_in_vain: list[str] = attrs.field(factory=list)

    def aborted(self, caller: ForwardSoakCaller) -> None:
        """Note an answer that the router aborts now."""
        sound = self.sound_run(caller)
        if sound is None:
            self.world.counts["answers broken off"] += 1
            return
        is_moved = sound.end is RunEnd.MOVED
        lost = self.moved_in_vain if is_moved else self.lost
        lost.append(
            f"{self.describe(caller)}, not broken off by "
            f"{sound.target.entry.name}: {self.trace(caller)}"
        )

    def failed(self, caller: ForwardSoakCaller, failure: Failure) -> None:
        """Count failures in place of answers, and denials after acceptance."""
        if caller.is_accepted and failure.reason in DENIALS:
            self.world.counts["denied after acceptance"] += 1
        is_refusal = failure.reason is Reason.BLOCKED_PART
        if not is_refusal and self.sound_run(caller) is not None:
            self.world.counts["failures while a target went on"] += 1

    def sound_run(self, caller: ForwardSoakCaller) -> SimulatedRun | None:
        """Return a run that would have completed a request that ends now.

        What counts is the run that brought the last event, and the runs that
        were given up since: earlier ones had been replaced.

        Returns:
          The run, which its target has not broken off; None if there is none,
          or if the request ends for its deadline or a pause of the router.
        """
        now_s, name = self.world.clock.seconds(), caller.node.name
        arrived_s = caller.request.arrived_s
        if now_s >= caller.due_s - DEADLINE_TOLERANCE_S:
            return None
        if self.was_paused(name, arrived_s, now_s):
            return None
        runs = self.world.history[caller.request.request_id]
        last = max(runs, key=lambda run: run.event_s, default=None)
        event_s = last.event_s if last is not None else -1.0
        counted = [run for run in runs if run is last or run.ended_s > event_s]
        for run in counted:
            if run.goes_on:
                return run
        for run in counted:
            if run.end is RunEnd.MOVED and not has_begun_after(run, runs):
                return run
        return None

    def describe(self, caller: ForwardSoakCaller) -> str:
        """Return a request and its times."""
        return (
            f"{caller.request.request_id} {caller.request.path} "
            f"at {caller.node.name} "
            f"from {caller.request.arrived_s:.3f} "
            f"to {self.world.clock.seconds():.3f} s, due {caller.due_s:.3f} s"
        )

    def trace(self, caller: ForwardSoakCaller) -> str:
        """Return what became of the runs of a request."""
        return "; ".join(
            f"{run.target.entry.name} sent {run.sent_s:.3f}, "
            f"event {run.event} at {run.event_s:.3f}, "
            f"{run.end.value} at {run.ended_s:.3f}, "
            f"silent until {run.target.silent_until_s:.3f}"
            for run in self.world.history[caller.request.request_id]
        )

    def check_lost(self) -> None:
        """Check that no answer was aborted while its target went on."""
        invariants.check(
            not self.lost, "lost", f"{len(self.lost)}, {' | '.join(self.lost)}"
        )

    def check_moves(self) -> None:
        """Check that no answer was aborted because its run was moved."""
        lost = self.moved_in_vain
        invariants.check(
            not lost, "lost-by-move", f"{len(lost)}, {' | '.join(lost)}"
        )

    def check_ended(
        self,
        caller: ForwardSoakCaller,
        pauses: Sequence[tuple[str, float, float]],
    ) -> None:
        """Check that a request ended, and in time.

        Requests to a router that was killed meanwhile are exempt; a pause of
        the router extends the time.

        Args:
          caller: The request.
          pauses: Name, start and end of the pauses of processes, in seconds of
            the clock.
        """
        limit_s = caller.due_s + DEADLINE_TOLERANCE_S
        for name, since_s, until_s in sorted(pauses, key=lambda item: item[1]):
            is_meanwhile = caller.request.arrived_s <= until_s
            if name == caller.node.name and is_meanwhile and since_s <= limit_s:
                limit_s = max(limit_s, until_s + DEADLINE_TOLERANCE_S)
        is_killed = caller.node.epoch != caller.epoch
        if limit_s > self.world.clock.seconds() or is_killed:
            return
        invariants.check(
            0.0 <= caller.ended_s <= limit_s,
            "final-answer",
            f"request {caller.request.request_id} ended at {caller.ended_s}, "
            f"due {limit_s}",
        )


def has_begun_after(run: SimulatedRun, runs: Sequence[SimulatedRun]) -> bool:
    """Whether a later run of the same request began at its target."""
    later = runs[runs.index(run) + 1 :]
    return any(item.end is not RunEnd.REFUSED for item in later)
