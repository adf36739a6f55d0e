"""The configuration as operators have set it, an immutable value.

A :class:`State` has one mapping for each table, from names to entries.  It is
never changed in place: ``config_fold`` builds a new state for each accepted
command.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from sequoiawind import defaults


@attrs.frozen(kw_only=True)
class Account:
    """A client account."""

    name: str
    # SHA-256 of the bearer token, in hexadecimal.
    token_digest: str = ""
    # Share of a target under contention, relative to other accounts.
    weight: float = 1.0
    # Limits over all routers: requests per second, and open requests.
    rate_per_s: float = 1000.0
    concurrency: int = 1000


@attrs.frozen(kw_only=True)
class Operator:
    """A person or program that runs queries or commands."""

    name: str
    token_digest: str = ""
    # "viewer" may run queries; "operator" may also run commands.
    role: str = "viewer"


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request: its priority and whether it may be repeated."""

    name: str
    # A larger priority gets a larger share of a target; only in `ForwardKind`,
    # 0 is the most urgent.
    priority: int = 5
    # "idempotent" or "never".
    repeat: str = "idempotent"
    deadline_s: float = defaults.REQUEST_DEADLINE_S
    # A request is admitted only if its time to the first token, or its wait
    # at a plain service, is at most this, in seconds.
    max_first_s: float = defaults.MAX_FIRST_S


@attrs.frozen(kw_only=True)
class Pool:
    """Targets that serve the same requests."""

    name: str
    # "engine" or "plain".
    service: str = "engine"
    model: str = ""
    # Weights version that the pool's targets should serve.
    version: str = ""
    # Greatest number of concurrent weight loads.
    load_slots: int = 2


@attrs.frozen(kw_only=True)
class Target:
    """A model engine or plain service, reached through its agent."""

    name: str
    pool: str = ""
    # Address of the agent, as host:port.
    agent: str = ""
    # Failure domain.
    domain: str = ""
    # Name in the platform's list of VMs.
    vm: str = ""
    # Reason why an operator drained the target; empty while admitted.
    drained: str = ""


@attrs.frozen(kw_only=True)
class Policy:
    """How a route weighs latency against recomputation."""

    name: str
    # Wait accepted for a warm target, as a multiple of the time that
    # recomputing the missed prefix elsewhere would take.
    patience: float = defaults.PATIENCE
    # Greatest number of targets over which one prefix is spread.
    max_holders: int = defaults.MAX_HOLDERS


@attrs.frozen(kw_only=True)
class Route:
    """Maps requests by path, and by model if set, to a pool."""

    name: str
    # Covers the paths below it, too.
    path: str = ""
    model: str = ""
    pool: str = ""
    kind: str = ""
    policy: str = ""


Entry = Account | Operator | Kind | Pool | Target | Policy | Route

TABLES: Final[Mapping[str, type[Entry]]] = {
    "accounts": Account,
    "operators": Operator,
    "kinds": Kind,
    "pools": Pool,
    "targets": Target,
    "policies": Policy,
    "routes": Route,
}

# Fields that refer to an entry of another table: by table and field, the
# name of the other table.
REFERENCES: Final[Mapping[str, Mapping[str, str]]] = {
    "targets": {"pool": "pools"},
    "routes": {"pool": "pools", "kind": "kinds", "policy": "policies"},
}

# Fields that accept only some values, by table and field.
CHOICES: Final[Mapping[tuple[str, str], frozenset[str]]] = {
    ("operators", "role"): frozenset({"viewer", "operator"}),
    ("kinds", "repeat"): frozenset({"idempotent", "never"}),
    ("pools", "service"): frozenset({"engine", "plain"}),
}


@attrs.frozen(kw_only=True)
class State:
    """The configuration as of one offset of its stream."""

    # Offset of the last record that changed the state; -1 before the first.
    revision: int = -1
    accounts: Mapping[str, Account] = attrs.field(factory=dict)
    operators: Mapping[str, Operator] = attrs.field(factory=dict)
    kinds: Mapping[str, Kind] = attrs.field(factory=dict)
    pools: Mapping[str, Pool] = attrs.field(factory=dict)
    targets: Mapping[str, Target] = attrs.field(factory=dict)
    policies: Mapping[str, Policy] = attrs.field(factory=dict)
    routes: Mapping[str, Route] = attrs.field(factory=dict)

    def table(self, name: str) -> Mapping[str, Entry]:
        """Return a table by its name.

        Raises:
          KeyError: There is no such table.
        """
        if name not in TABLES:
            raise KeyError(name)
        table: Mapping[str, Entry] = getattr(self, name)
        return table
