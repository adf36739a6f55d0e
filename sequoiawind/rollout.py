"""When an agent orders its target to load newly named weights.

Answers the pattern in which all targets of a pool reload at once: while one
loads it takes no work, and loads are slow when many run.  The targets take
turns in small groups by rendezvous order, which every agent works out alone.
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
# Targets that load at once.
LOADS_AT_ONCE: Final = 2
# Pause between two groups, in seconds: about a drain and a load.
TURN_S: Final = 0.8
# Part of the time allowed for new weights by which the last group begins.
LAST_TURN_SHARE: Final = 0.4


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
    used_tokens: int
    is_draining: bool
    born_ms: int


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


def turn_s(
    name: str, model: str, version: int, pool: Sequence[str], allowed_s: float
) -> float:
    """Return how long a target waits for its turn, in seconds.

    Args:
      name: The target.
      model: The model whose weights are new.
      version: The weights version.
      pool: Names of all targets that serve the model.
      allowed_s: Time within which all targets must have the weights.
    """
    salt = f"{model}/{version}/".encode()
    ordered = sorted(
        {*pool, name},
        key=lambda item: (xxh3_64_intdigest(salt + item.encode()), item),
    )
    group = ordered.index(name) // LOADS_AT_ONCE
    groups = -(-len(ordered) // LOADS_AT_ONCE)
    step_s = min(TURN_S, LAST_TURN_SHARE * allowed_s / max(1, groups))
    return group * step_s


def wanted(
    report: TargetReport, newest: Mapping[str, int]
) -> tuple[str, int] | None:
    """Return a model and version that a target lacks; None if it has all."""
    for model, version in newest.items():
        if model in report.versions and report.versions[model] < version:
            return model, version
    return None
