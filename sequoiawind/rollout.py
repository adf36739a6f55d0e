"""When an agent orders its target to load newly named weights.

Answers the pattern in which all targets of a pool reload at once: while one
loads it takes no work, and loads are slow when many run.  The targets take
turns in an order that every agent works out alone: one begins when the one a
few places before it is done, whose agent it asks.  Versions that are superseded
meanwhile are skipped.
A target that loads first ends its runs, and takes no work meanwhile.  So it
winds down before: for a while it takes short runs only.
Only the agent beside a target gives it orders, so there is one holder, and its
fencing number need not grow; the number of orders that the target has accepted
keeps a late order from undoing a newer one.
"""

import enum
from collections.abc import Mapping, Sequence
from typing import Final, Protocol

import attrs
from expression import Result
from xxhash import xxh3_64_intdigest

from sequoiawind.verdict import Failure

# The agent's VM is its target's own, so no other process ever orders there.
FENCING: Final = 1
# Targets of a pool that load at once, at least.
MIN_LOADS_AT_ONCE: Final = 2
# Time from one target's turn to the next's, in seconds: its queue and runs end,
# then it loads.
TURN_S: Final = 1.5
# Part of the time allowed for new weights after which a target loads although
# it is not its turn; the rest is for its queue, its runs and the load.
LAST_TURN_SHARE: Final = 0.6
# For how long a target takes short runs only before it loads, in seconds: until
# its long runs have ended, but no longer, as those that are left can move.
WIND_DOWN_S: Final = 0.5
WIND_DOWN_CAP_S: Final = 0.6
# Events that a run has made when it counts as long: engines make about as many
# in `WIND_DOWN_S`.
LONG_RUN_EVENTS: Final = 24
# Named versions of a model that are kept.
MAX_NAMED: Final = 16


@attrs.frozen(kw_only=True)
class TargetReport:
    """A target's report on itself."""

    versions: Mapping[str, int]
    # An order is being carried out.
    is_busy: bool
    # Orders that it has accepted since its start.
    orders: int
    waiting: int
    running: int
    # Events made so far by each run that has read its prompt; None if unknown.
    runs: tuple[int, ...] | None
    used_tokens: int
    is_draining: bool
    born_ms: int

    @property
    def reading(self) -> int:
        """Requests whose prompts are being read; 0 if unknown."""
        if self.runs is None:
            return 0
        return max(0, self.running - len(self.runs))

    @property
    def has_long_runs(self) -> bool:
        """Whether some run has gone on for long; unknown ones have."""
        if self.runs is None:
            return self.running > 0
        return any(made >= LONG_RUN_EVENTS for made in self.runs)


@attrs.frozen(kw_only=True)
class LoadOrder:
    """An order to load weights."""

    model: str
    version: int
    holder: str
    fencing: int
    # The target refuses unless it has accepted so many orders.
    after_orders: int


class OrderOutcome(enum.Enum):
    """A target's answer to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    REFUSED = "refused"


class TargetPort(Protocol):
    """What an agent asks of its target."""

    async def report(
        self, address: str, timeout_s: float
    ) -> Result[TargetReport, Failure]:
        """Return a target's report on itself."""

    async def order(
        self, address: str, target: str, order: LoadOrder, timeout_s: float
    ) -> Result[OrderOutcome, Failure]:
        """Order a target to load weights."""


@attrs.frozen(kw_only=True)
class NamedVersion:
    """A weights version of a model, and when it was named."""

    version: int
    named_s: float


class Progress(enum.Enum):
    """How far another target has come with new weights."""

    # It will not load soon: nobody waits for it.
    ABSENT = "absent"
    WAITING = "waiting"
    LOADING = "loading"
    LOADED = "loaded"


@attrs.frozen(kw_only=True)
class Due:
    """A version that a target has to load, and how soon."""

    version: int
    # It may load now; if not, it is the next after one that is loading.
    is_turn: bool = True
    # There is no time to wind down.
    is_overdue: bool = False


@attrs.frozen(kw_only=True)
class Turn:
    """A target's place in the order in which a pool loads weights."""

    # The targets before it in its file, the nearest first: it begins when the
    # nearest one that works has loaded.  Empty for the first ones.
    behind: tuple[str, ...]


def turn(name: str, pool: Sequence[str], allowed_s: float) -> Turn:
    """Return a target's turn; every agent works out the same order.

    Args:
      name: The target.
      pool: Names of all targets that serve the model.
      allowed_s: Time within which all targets must have new weights.
    """
    ordered = sorted(
        {*pool, name}, key=lambda item: (xxh3_64_intdigest(item.encode()), item)
    )
    at_once = loads_at_once(len(ordered), allowed_s)
    rank = ordered.index(name)
    before = range(rank - at_once, -1, -at_once)
    return Turn(behind=tuple(ordered[place] for place in before))


def loads_at_once(targets: int, allowed_s: float) -> int:
    """Return how many targets of a pool load at once.

    As few as keep the time allowed, so that most of the pool serves.
    """
    needed = targets * TURN_S / (LAST_TURN_SHARE * allowed_s)
    return max(MIN_LOADS_AT_ONCE, round(needed))


def add_version(named: list[NamedVersion], item: NamedVersion) -> None:
    """Note a version if it is newer than those named before.

    Each version keeps its own time: a newer one does not prolong it.
    """
    if not named or item.version > named[-1].version:
        named.append(item)
        del named[:-MAX_NAMED]


def stage(ahead: Sequence[Progress]) -> bool | None:
    """Return whether it is a target's turn; None if it need not prepare.

    A target prepares once the second before it has loaded, so that it is ready
    when its turn comes, and most of the pool still takes long runs.

    Args:
      ahead: How far those before it are, the nearest first.
    """
    present = [item for item in ahead if item is not Progress.ABSENT]
    if not present or present[0] is Progress.LOADED:
        return True
    is_next = present[0] is Progress.LOADING or len(present) < 2
    return False if is_next or present[1] is Progress.LOADED else None


def has_wound_down(report: TargetReport, waited_s: float) -> bool:
    """Whether a target that takes short runs only may load."""
    if report.running == 0 or waited_s >= WIND_DOWN_CAP_S:
        return True
    return waited_s >= WIND_DOWN_S and not report.has_long_runs


def lacking(
    has: int | None, named: Sequence[NamedVersion]
) -> list[NamedVersion]:
    """Return the named versions that a target lacks, the oldest first."""
    if has is None:
        return []
    return [item for item in named if item.version > has]


def is_overdue(
    lacked: Sequence[NamedVersion], allowed_s: float, now_s: float
) -> bool:
    """Whether a target must load without waiting for its turn."""
    return now_s >= lacked[0].named_s + LAST_TURN_SHARE * allowed_s
