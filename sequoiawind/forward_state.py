"""Configuration of requests that are forwarded unchanged to their targets.

Extends the entries of ``state`` with settings that come from an operator's own
configuration file and have no counterpart in the product's commands.
"""

from collections.abc import Mapping
from functools import cached_property

import attrs

from sequoiawind import cache_scope
from sequoiawind.headers import CallerLimits
from sequoiawind.state import Account, Kind, Pool, Route, State, Target


@attrs.frozen(kw_only=True)
class LimitedAccount:
    """The rate limit of a client account, over all routers together."""

    name: str
    # In tokens or requests a second.
    rate_per_s: float
    # What may be used at once after a pause, in tokens or requests.
    burst: float
    # Cost of a request that specifies no tokens, in tokens.
    plain_cost: float = 0.0
    # Whether costs are counted in tokens; otherwise in requests.
    is_in_tokens: bool = True

    def cost(self, request_tokens: float | None) -> float:
        """Return the cost of a request.

        Args:
          request_tokens: Tokens of its prompt plus the maximum number of those
            of its answer; None if it specifies none.
        """
        if not self.is_in_tokens:
            return 1.0
        return self.plain_cost if request_tokens is None else request_tokens


@attrs.frozen(kw_only=True)
class ForwardAccount(Account):
    """A client account under one of its keys."""

    # 0 is the most urgent; None to use the priority of the route's kind.
    priority: int | None = None
    # None if its rate is not limited.
    limit: LimitedAccount | None = None


@attrs.frozen(kw_only=True)
class ForwardKind(Kind):
    """How the requests of one route may be repeated and timed."""

    # The answer is a stream of events.
    is_stream: bool = False
    # A broken stream may be resumed at another target.
    is_resumable: bool = False
    # Maximum number of targets to which one request is sent.
    max_targets: int = 1
    # Time after which the caller gets a final answer, in seconds.
    timeout_s: float = 60.0
    # Latency within which an answer has its full value to the caller, in
    # seconds.
    aim_s: float = 1.0
    # Longest pause between two events of a stream, in seconds; 0 if unset.
    pause_s: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.repeat == "idempotent" or self.is_resumable


@attrs.frozen(kw_only=True)
class PoolShare:
    """A pool's share of a route's requests."""

    pool: str
    weight: float


@attrs.frozen(kw_only=True)
class ForwardRoute(Route):
    """Sends requests of a host and path to one or several pools."""

    host: str = ""
    shares: tuple[PoolShare, ...] = ()
    # Callers need no key.
    is_public: bool = False

    def covers(self, path: str) -> bool:
        """Whether a path belongs to this route."""
        return path.startswith(self.path)


@attrs.frozen(kw_only=True)
class ForwardPool(Pool):
    """Targets that serve the same requests."""

    # Models whose weights the targets hold; empty for plain services.
    models: tuple[str, ...] = ()
    # Prompt tokens that one target can cache in memory; 0 if not stated.
    memory_tokens: int = 0
    # Whether its targets can copy the memory of runs to each other.
    has_moves: bool = False
    # Address of the cache store of prompts; empty for pools of targets.
    cache_store: str = ""


@attrs.frozen(kw_only=True)
class ForwardTarget(Target):
    """One incarnation of a target, as it registered itself."""

    # Address at which it serves, as host:port.
    address: str = ""
    # Start of this incarnation, in milliseconds since the epoch.
    born_ms: int = 0
    is_draining: bool = False
    # Version of its software, which is not that of its weights.  What targets
    # of different versions write does not fit together.
    software: str = ""
    # A later start of it is known, but not the entry of that start, so that the
    # version of its software is unknown.
    is_replaced: bool = False
    # Requests that it runs concurrently.
    slots: int = 1
    # Weights version by model.
    versions: Mapping[str, int] = attrs.field(factory=dict)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start time, which identify this incarnation."""
        return (self.name, self.born_ms)


@attrs.frozen(kw_only=True)
class ForwardState(State):
    """The configuration from one version of the operator's file."""

    limits: CallerLimits = attrs.field(factory=CallerLimits)
    # Whether requests on routes that are not public need a key, also while no
    # account has one.
    needs_keys: bool = True
    # Names of the client accounts that share no cached prompts, with keys or
    # without.
    isolated_accounts: frozenset[str] = frozenset()
    # Names of those whose rate is limited and that have no key now.
    limited_without_key: frozenset[str] = frozenset()

    @cached_property
    def shared_scope(self) -> str:
        """Scope of the cached prompts of accounts that are not isolated."""
        return cache_scope.shared_scope(self.isolated_accounts)

    def cache_scope_of(self, account: str) -> str:
        """Return the scope of an account's cached prompts."""
        if account in self.isolated_accounts:
            return cache_scope.account_scope(account)
        return self.shared_scope

    @cached_property
    def limited_accounts(self) -> frozenset[str]:
        """Names of the client accounts whose rate is limited."""
        with_key = {
            account.name
            for account in self.accounts.values()
            if isinstance(account, ForwardAccount) and account.limit
        }
        return self.limited_without_key | with_key

    @cached_property
    def resumable_pools(self) -> frozenset[str]:
        """Names of the pools whose broken streams callers may resume."""
        found: set[str] = set()
        for route in self.routes.values():
            kind = self.kinds.get(route.kind)
            if not isinstance(route, ForwardRoute):
                continue
            if isinstance(kind, ForwardKind) and kind.is_resumable:
                found |= {route.pool, *(share.pool for share in route.shares)}
        return frozenset(found)

    @cached_property
    def prompt_objectives_s(self) -> dict[str, float]:
        """Shortest latency objective of streams by pool of engines."""
        found: dict[str, float] = {}
        for route in self.routes.values():
            kind = self.kinds.get(route.kind)
            if not isinstance(route, ForwardRoute):
                continue
            if not isinstance(kind, ForwardKind) or not kind.is_stream:
                continue
            names = {route.pool, *(share.pool for share in route.shares)}
            for name in names:
                pool = self.pools.get(name)
                if isinstance(pool, ForwardPool) and pool.models:
                    found[name] = min(found.get(name, kind.aim_s), kind.aim_s)
        return found

    @cached_property
    def routes_by_host(self) -> dict[str, list[ForwardRoute]]:
        """Routes by host, those with the longest path first."""
        by_host: dict[str, list[ForwardRoute]] = {}
        for route in self.routes.values():
            if isinstance(route, ForwardRoute):
                by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path))
        return by_host

    def match(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of a request; None if there is none."""
        for route in self.routes_by_host.get(host, ()):
            if route.covers(path):
                return route
        return None
