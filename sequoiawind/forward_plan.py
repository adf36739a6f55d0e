"""Matching forwarded requests with the configuration.

A plan holds a request with its account, route, kind and pool.
"""

import random
from typing import Final

import attrs
from expression import Error, Ok, Result

from sequoiawind import cache_scope, defaults, messages, tokens
from sequoiawind.blackboard import Blackboard
from sequoiawind.caller_output import AnswerFlow
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

ANONYMOUS: Final = ForwardAccount(name="")


@attrs.frozen(kw_only=True)
class ForwardRequest:
    """A caller's request, independent of its wire format."""

    # Id that the caller assigned to this attempt.
    request_id: str
    host: str
    # Path without the query.
    path: str
    method: bytes
    # Path and query as sent.
    request_target: bytes
    # Headers to pass on.
    headers: Headers
    body: bytes
    # The caller's API key; empty if it sent none.
    key: str
    # When its first byte arrived, and its last one, in seconds of the clock.
    arrived_s: float
    read_s: float
    # How long the caller waits after `read_s`, in seconds; None if unstated.
    deadline_s: float | None = None
    # Id of the last event that the caller has of a stream that it resumes;
    # empty if it has none.
    last_event_id: str = ""
    # Id of the request that brought the first event of that stream; empty if
    # the caller does not name it.
    resumes: str = ""
    # None for calls to plain services.
    prompt: Prompt | None = None
    # The way of the answer to the caller; None if it holds nothing up.
    flow: AnswerFlow | None = attrs.field(default=None, eq=False, repr=False)


@attrs.frozen(kw_only=True)
class ForwardPlan:
    """A request with the configuration entries that apply to it."""

    request: ForwardRequest
    # Revision of the configuration.
    revision: int
    account: ForwardAccount
    route: ForwardRoute
    kind: ForwardKind
    pool: ForwardPool

    @property
    def priority(self) -> int:
        """The request's priority; 0 is the most urgent."""
        if self.account.priority is not None:
            return self.account.priority
        return self.kind.priority

    @property
    def ends_s(self) -> float:
        """The request's deadline, in seconds of the clock."""
        limit_s = self.kind.timeout_s
        if self.request.deadline_s is not None:
            limit_s = min(limit_s, self.request.deadline_s)
        return self.request.read_s + limit_s


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
                    defaults.CONFIG_RETRY_AFTER_S,
                )
            )
        route = state.match(request.host, request.path)
        if route is None:
            return Error(self.denial(Reason.NO_ROUTE, messages.NO_ROUTE))
        account = self.account(request, route, state)
        if account.is_error():
            return Error(account.error)
        return self.planned(request, route, account.ok, state)

    def renew(
        self, plan: ForwardPlan, has_begun: bool
    ) -> Result[ForwardPlan, Failure]:
        """Return the plan of a request that a target has got, or a refusal.

        The request was accepted, so it keeps its kind and, if its
        route or pool has gone since, these too.  Its key must still be good,
        and it may not be repeated if a newer configuration forbids that.

        Args:
          plan: The request's plan so far.
          has_begun: Whether the caller has a part of the answer, which only
            targets of the same pool may continue.
        """
        planned = self.plan(plan.request)
        if planned.is_error():
            account = self.known_account(plan)
            if account is None:
                return planned
            revision = self.board.state.revision
            return Ok(attrs.evolve(plan, revision=revision, account=account))
        new = planned.ok
        kind = plan.kind
        if not new.kind.may_repeat:
            kind = attrs.evolve(kind, repeat="never", is_resumable=False)
        pool = plan.pool if has_begun else new.pool
        return Ok(attrs.evolve(new, kind=kind, pool=pool))

    def known_account(self, plan: ForwardPlan) -> ForwardAccount | None:
        """Return the account of an accepted request, as it is configured now.

        Returns:
          The account; None if the request needs a key now, and has none that
          is good.
        """
        if not plan.account.name and not self.needs_key(plan):
            return plan.account
        known = tokens.holder_of(
            plan.request.key, self.board.accounts_by_digest
        )
        if isinstance(known, ForwardAccount) and self.trusts_keys:
            return known
        return None

    def needs_key(self, plan: ForwardPlan) -> bool:
        """Whether an accepted request would need a key if it came now.

        A route that has been removed since counts as it was.
        """
        state, request = self.board.state, plan.request
        if not isinstance(state, ForwardState):
            return True
        route = state.match(request.host, request.path) or plan.route
        return state.needs_keys and not route.is_public

    def cache_scope(self, plan: ForwardPlan) -> str:
        """Return the scope in which a request may use and cache parts now.

        It follows from the configuration in force and not from the plan, which
        may be older.
        """
        state, name = self.board.state, plan.account.name
        if not isinstance(state, ForwardState):
            return cache_scope.key_scope(plan.request.key)
        if name:
            return state.cache_scope_of(name)
        if self.trusts_keys and not (plan.request.key and state.needs_keys):
            return state.shared_scope
        # The key may be that of an isolated account, or the configuration may
        # not know yet which accounts are.
        return cache_scope.key_scope(plan.request.key)

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
        """Return the client account of a request, or why it is refused."""
        known = tokens.holder_of(request.key, self.board.accounts_by_digest)
        if route.is_public or not state.needs_keys:
            # A key that may have been revoked counts as no key.
            if isinstance(known, ForwardAccount) and self.trusts_keys:
                return Ok(known)
            return Ok(ANONYMOUS)
        if not isinstance(known, ForwardAccount):
            return Error(
                self.denial(Reason.UNAUTHENTICATED, messages.UNKNOWN_API_KEY)
            )
        if not self.trusts_keys:
            return Error(stale_configuration())
        return Ok(known)

    @property
    def trusts_keys(self) -> bool:
        """Whether known keys are current enough to be trusted.

        True if none can have been revoked for longer than allowed.
        """
        return self.freshness.may_trust_keys

    def denial(self, reason: Reason, text: str) -> Failure:
        """Return the refusal for a route or key that is not configured.

        If the configuration may be out of date, the entry may have been added
        since, so the refusal says that the configuration is stale.
        """
        if self.freshness.may_deny:
            return not_run(reason, text)
        return stale_configuration()

    def pool_name(self, route: ForwardRoute) -> str:
        """Return a route's pool; of several, one drawn by their weights."""
        if len(route.shares) < 2:
            return route.pool
        weights = [share.weight for share in route.shares]
        if sum(weights) <= 0.0:
            return route.pool
        drawn = self.random.choices(route.shares, weights)[0]
        return drawn.pool


def stale_configuration() -> Failure:
    """Return the refusal of a request because the configuration is too old."""
    return not_run(
        Reason.CONFIG_STALE,
        messages.CONFIG_STALE,
        defaults.CONFIG_RETRY_AFTER_S,
    )


def urgency(plan: ForwardPlan) -> int:
    """Return the urgency to send to a target: 0 goes first, 9 last."""
    return max(0, min(9, plan.priority))
