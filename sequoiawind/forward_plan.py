"""What the configuration says of a request that is to be forwarded."""

import random
from typing import Final

import attrs
from expression import Error, Ok, Result

from sequoiawind import defaults, messages, tokens
from sequoiawind.blackboard import Blackboard
from sequoiawind.forward_state import (
    ForwardAccount,
    ForwardKind,
    ForwardPool,
    ForwardRoute,
    ForwardState,
)
from sequoiawind.freshness import Freshness
from sequoiawind.headers import Headers
from sequoiawind.prompt_cache import Prompt
from sequoiawind.verdict import Failure, Reason, not_run

# When to come back after a refusal that a configuration ends, in seconds:
# the usual time between two confirmations by the store.
CONFIG_RETRY_AFTER_S: Final = 0.5
ANYBODY: Final = ForwardAccount(name="")


@attrs.frozen(kw_only=True)
class ForwardRequest:
    """A caller's request, freed of the names on the wire."""

    # Id that the caller gave this attempt.
    request_id: str
    host: str
    # Path without the query.
    path: str
    method: bytes
    # Path and query as sent.
    target: bytes
    # Headers to pass on.
    headers: Headers
    body: bytes
    # The caller's key; empty if it sent none.
    key: str
    arrived_s: float
    # How long the caller will wait from `arrived_s` on; None if it did not say.
    deadline_s: float | None = None
    # None for calls to plain services.
    prompt: Prompt | None = None


@attrs.frozen(kw_only=True)
class ForwardPlan:
    """A request with what the configuration says about it."""

    request: ForwardRequest
    # Version of the configuration that says so.
    revision: int
    account: ForwardAccount
    route: ForwardRoute
    kind: ForwardKind
    pool: ForwardPool

    @property
    def priority(self) -> int:
        """The request's rank; 0 is the most urgent."""
        if self.account.priority is not None:
            return self.account.priority
        return self.kind.priority

    @property
    def ends_s(self) -> float:
        """When the caller is due a final answer, in seconds of the clock."""
        limit_s = self.kind.timeout_s
        if self.request.deadline_s is not None:
            limit_s = min(limit_s, self.request.deadline_s)
        return self.request.arrived_s + limit_s


@attrs.define(kw_only=True)
class Planner:
    """Matches requests with the configuration in force."""

    board: Blackboard
    freshness: Freshness
    random: random.Random

    def plan(self, request: ForwardRequest) -> Result[ForwardPlan, Failure]:
        """Return a request's plan, or why it is refused."""
        state = self.board.state
        if not isinstance(state, ForwardState):
            return Error(
                not_run(
                    Reason.NO_CONFIGURATION,
                    messages.NO_CONFIGURATION,
                    CONFIG_RETRY_AFTER_S,
                )
            )
        route = state.match(request.host, request.path)
        if route is None:
            return Error(self.denied(Reason.NO_ROUTE, messages.NO_ROUTE))
        account = self.account(request, route, state)
        if account.is_error():
            return Error(account.error)
        return self.planned(request, route, account.ok, state)

    def planned(
        self,
        request: ForwardRequest,
        route: ForwardRoute,
        account: ForwardAccount,
        state: ForwardState,
    ) -> Result[ForwardPlan, Failure]:
        """Return the plan of a request whose caller is known."""
        kind = state.kinds.get(route.kind)
        pool = state.pools.get(self.pool_name(route))
        if not isinstance(kind, ForwardKind) or not isinstance(
            pool, ForwardPool
        ):
            return Error(
                not_run(
                    Reason.NO_TARGET,
                    messages.NO_TARGET,
                    defaults.MIN_RETRY_AFTER_S,
                )
            )
        return Ok(
            ForwardPlan(
                request=request,
                revision=state.revision,
                account=account,
                route=route,
                kind=kind,
                pool=pool,
            )
        )

    def account(
        self, request: ForwardRequest, route: ForwardRoute, state: ForwardState
    ) -> Result[ForwardAccount, Failure]:
        """Return whom a request belongs to."""
        known = tokens.holder_of(request.key, self.board.accounts_by_digest)
        if route.is_public or not state.accounts:
            # A key that may be revoked by now names nobody.
            if isinstance(known, ForwardAccount) and self.trusts_keys:
                return Ok(known)
            return Ok(ANYBODY)
        if not isinstance(known, ForwardAccount):
            return Error(
                self.denied(Reason.UNAUTHENTICATED, messages.UNKNOWN_KEY)
            )
        if not self.trusts_keys:
            return Error(stale())
        return Ok(known)

    @property
    def trusts_keys(self) -> bool:
        """Whether a known key is surely not revoked for too long."""
        return self.freshness.may_trust_keys

    def denied(self, reason: Reason, text: str) -> Failure:
        """Return the refusal of what the configuration does not have.

        A configuration that may be out of date proves nothing.
        """
        if self.freshness.may_deny:
            return not_run(reason, text)
        return stale()

    def pool_name(self, route: ForwardRoute) -> str:
        """Return one of a route's pools, by their weights."""
        if len(route.shares) < 2:
            return route.pool
        weights = [share.weight for share in route.shares]
        if sum(weights) <= 0.0:
            return route.pool
        drawn = self.random.choices(route.shares, weights)[0]
        return drawn.pool


def stale() -> Failure:
    """Return the refusal of a request that a too old configuration allows."""
    return not_run(
        Reason.CONFIG_STALE, messages.CONFIG_STALE, CONFIG_RETRY_AFTER_S
    )


def urgency(plan: ForwardPlan) -> int:
    """Return how urgent a target should take a request; 0 goes first."""
    return max(0, min(9, plan.priority))
