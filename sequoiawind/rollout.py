"""When an agent orders its target to load newly named weights.

Prevents all targets of a pool from loading at the same time: a target takes no
work while it loads, and loads are slow when many run.  The targets take turns
in an order that every agent computes on its own.  A target begins when the one
a few places before it has loaded; its agent learns this by polling the agent of
that target.  Versions that are superseded meanwhile are skipped.

A target has to end its runs before it loads, and takes no work meanwhile.  So
it winds down first: for a while it takes short runs only.

Only the agent beside a target orders it to load, so there is one holder, and
its fencing number need not grow.  An order names the number of orders that the
target must have accepted, so a late order cannot undo a newer one.
"""

import enum
from collections.abc import Mapping, Sequence
from typing import Final, Protocol

import attrs
from expression import Result
from xxhash import xxh3_64_intdigest

from sequoiawind.verdict import Failure

# Constant, as an agent shares the VM of its target and is the only process
# that sends it orders; greater than the fencing numbers of leases, which
# routers may have used before there was an agent.
FENCING: Final = 2**30
# Minimum number of a pool's targets that load concurrently.
MIN_CONCURRENT_LOADS: Final = 2
# Time from one target's turn to the next's, in seconds: for its queue to empty,
# its runs to end and its weights to load.
TURN_S: Final = 1.5
# Share of the time allowed for new weights after which a target loads even if
# it is not its turn; the rest is for its queue, its runs and the load.
OVERDUE_SHARE: Final = 0.6
# Minimum and maximum time for which a target takes only short runs before it
# loads, in seconds.  Within these it waits for its long runs to end, but no
# longer, as the remaining ones can be moved.
WIND_DOWN_S: Final = 0.5
WIND_DOWN_CAP_S: Final = 0.6
# Events after which a run counts as long: engines generate about as many in
# `WIND_DOWN_S`.
LONG_RUN_EVENTS: Final = 24
# Maximum number of named versions kept for each model.
MAX_NAMED: Final = 16


@attrs.frozen(kw_only=True)
class TargetReport:
    """A target's report on its weights and load."""

    versions: Mapping[str, int]
    # The target is executing an order.
    is_busy: bool
    # Orders accepted since the target's start.
    orders: int
    waiting: int
    running: int
    # Events so far of each run past its prefill; None if unknown.
    runs: tuple[int, ...] | None
    used_tokens: int
    is_draining: bool
    born_ms: int
    # Requests a second that it takes from all routers together; None if it
    # states no limit.
    limit_per_s: float | None = None

    @property
    def reading(self) -> int:
        """Number of requests in prefill; 0 if unknown."""
        if self.runs is None:
            return 0
        return max(0, self.running - len(self.runs))

    @property
    def has_long_runs(self) -> bool:
        """Whether some run counts as long; if unknown, whether any runs."""
        if self.runs is None:
            return self.running > 0
        return any(events >= LONG_RUN_EVENTS for events in self.runs)


@attrs.frozen(kw_only=True)
class LoadOrder:
    """An order to load weights, from the agent named by `holder`."""

    model: str
    version: int
    holder: str
    fencing: int
    # The target refuses unless it has accepted exactly so many orders.
    after_orders: int


class OrderOutcome(enum.Enum):
    """A target's answer to an order."""

    ACCEPTED = "accepted"
    # The target already has these weights.
    HOLDS = "holds"
    REFUSED = "refused"


class TargetPort(Protocol):
    """Interface through which an agent queries and orders its target."""

    async def report(
        self, address: str, timeout_s: float
    ) -> Result[TargetReport, Failure]:
        """Return a target's report."""

    async def order(
        self, address: str, target: str, order: LoadOrder, timeout_s: float
    ) -> Result[OrderOutcome, Failure]:
        """Order a target to load weights."""


@attrs.frozen(kw_only=True)
class NamedVersion:
    """A weights version of a model, and when it was named."""

    version: int
    # In seconds of the clock.
    named_s: float


class Progress(enum.Enum):
    """How far another target is with new weights."""

    # Unavailable: it will not load soon, so the others do not wait for it.
    ABSENT = "absent"
    WAITING = "waiting"
    LOADING = "loading"
    LOADED = "loaded"


@attrs.frozen(kw_only=True)
class Due:
    """A version that a target has to load, and how soon."""

    version: int
    # The target may load now; if not, it only winds down.
    is_turn: bool = True
    # The target must load without winding down.
    is_overdue: bool = False


@attrs.frozen(kw_only=True)
class Turn:
    """A target's place in the order in which a pool loads weights."""

    # Targets that load one after another before it, the nearest first: it
    # begins when the nearest available one has loaded.  Empty for the first.
    predecessors: tuple[str, ...]


def turn(name: str, pool: Sequence[str], allowed_s: float) -> Turn:
    """Return a target's turn; every agent computes the same order.

    Args:
      name: The target.
      pool: Names of all targets that serve the model.
      allowed_s: Time within which all targets must have new weights.
    """
    ordered = sorted(
        {*pool, name}, key=lambda item: (xxh3_64_intdigest(item.encode()), item)
    )
    concurrent = concurrent_loads(len(ordered), allowed_s)
    rank = ordered.index(name)
    before = range(rank - concurrent, -1, -concurrent)
    return Turn(predecessors=tuple(ordered[place] for place in before))


def concurrent_loads(targets: int, allowed_s: float) -> int:
    """Return how many targets of a pool load concurrently.

    As few as the time allowed permits, so that most of the pool serves.
    """
    needed = targets * TURN_S / (OVERDUE_SHARE * allowed_s)
    return max(MIN_CONCURRENT_LOADS, round(needed))


def add_version(named: list[NamedVersion], item: NamedVersion) -> None:
    """Append a version if it is newer than those named before.

    Each version keeps its own time: a newer one does not extend the time
    allowed for an older one.
    """
    if not named or item.version > named[-1].version:
        named.append(item)
        del named[:-MAX_NAMED]


def turn_state(ahead: Sequence[Progress]) -> bool | None:
    """Return whether it is a target's turn; None if it is not to wind down yet.

    A target winds down once the nearest one before it is loading, or the
    second one before it has loaded or does not exist.  So it is ready when its
    turn comes, and most of the pool still takes long runs.

    Args:
      ahead: Progress of the targets before it, the nearest first.
    """
    present = [item for item in ahead if item is not Progress.ABSENT]
    if not present or present[0] is Progress.LOADED:
        return True
    is_next = present[0] is Progress.LOADING or len(present) < 2
    return False if is_next or present[1] is Progress.LOADED else None


def has_wound_down(report: TargetReport, waited_s: float) -> bool:
    """Whether a target may load after winding down for `waited_s`."""
    if report.running == 0 or waited_s >= WIND_DOWN_CAP_S:
        return True
    return waited_s >= WIND_DOWN_S and not report.has_long_runs


def lacking(
    has: int | None, named: Sequence[NamedVersion]
) -> list[NamedVersion]:
    """Return the named versions that a target lacks, the oldest first.

    Args:
      has: The target's version; None if it reports none of the model.
      named: The versions named for the model, the oldest first.
    """
    if has is None:
        return []
    return [item for item in named if item.version > has]


def is_overdue(
    lacked: Sequence[NamedVersion], allowed_s: float, now_s: float
) -> bool:
    """Whether a target must load without waiting for its turn.

    Args:
      lacked: The named versions that it lacks, the oldest first.
      allowed_s: Time within which all targets must have new weights.
      now_s: The time, in seconds of the clock.
    """
    return now_s >= lacked[0].named_s + OVERDUE_SHARE * allowed_s
