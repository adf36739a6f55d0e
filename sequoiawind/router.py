"""Handles a caller's request from its arrival to the end of its answer.

The router authenticates the caller, matches a route, enforces limits, claims
the idempotency key of a request that must not repeat, chooses the targets and
starts an exchange.  It does not depend on a transport: ``router_http`` submits
the requests and receives the chunks of the answers.
"""

import random
from collections.abc import Callable
from typing import Final

import attrs
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure as TwistedFailure

from sequoiawind import (
    claims,
    defaults,
    keys,
    messages,
    openai_format,
    tokens,
)
from sequoiawind.blackboard import Blackboard, RequestNote
from sequoiawind.claimant import Claimant
from sequoiawind.claims import Claim
from sequoiawind.exchange import CallerSink, Exchange, ExchangeContext
from sequoiawind.keys import CheckedKey, KeyLimits
from sequoiawind.placer import Placed, Placer
from sequoiawind.plan import CallerRequest, Plan
from sequoiawind.state import Account, Operator, Policy, Route
from sequoiawind.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from sequoiawind.wire import Attempt, Ended, Usage

LOGGER: Final = Logger()


@attrs.define(kw_only=True, eq=False)
class ActiveRequest:
    """A request in progress; receives the output of its exchange."""

    router: "Router"
    plan: Plan
    caller: CallerSink
    note: RequestNote
    claim: Claim | None = None
    exchange: Exchange | None = None
    is_cancelled: bool = False
    # Whether it has been ended as the process ends.
    is_shut_down: bool = False
    is_ended: bool = False

    def chunk(self, data: bytes) -> None:
        """Pass a chunk on to the caller; note when the first one arrived."""
        if self.note.first_chunk_s < 0.0:
            self.note.first_chunk_s = (
                self.router.exchange_context.clock.seconds()
            )
        self.caller.chunk(data)

    def ended(self, ended: Ended) -> None:
        """End the request after its exchange, closing its claim first."""
        if self.claim is None:
            self.finish(ended)
            return
        Deferred.fromCoroutine(self.close_claim(self.claim, ended))

    async def close_claim(self, claim: Claim, ended: Ended) -> None:
        """Record the outcome of a claimed action, then end the request."""
        claimant = self.router.claimant
        if ended.reply is not None:
            claimant.record_outcome(claim, ended.reply)
        elif ended.failure and ended.failure.verdict is Verdict.NOT_RUN:
            await claimant.release(claim)
        else:
            claimant.record_outcome(claim, None)
        self.finish(ended)

    def finish(self, ended: Ended) -> None:
        """Pass the end of the request to the caller, once."""
        if self.is_ended:
            return
        self.is_ended = True
        try:
            self.router.record_end(self, ended)
        finally:
            # A failure of the accounting must not withhold the answer.
            self.caller.ended(ended)

    def shut_down(self) -> None:
        """End the request, as the process ends."""
        self.is_shut_down = True
        if self.exchange is not None:
            self.exchange.end(Reason.SHUTTING_DOWN, messages.SHUTTING_DOWN)
            return
        self.ended(
            Ended(
                failure=not_run(
                    Reason.SHUTTING_DOWN,
                    messages.SHUTTING_DOWN,
                    defaults.MIN_RETRY_AFTER_S,
                )
            )
        )

    def cancel(self) -> None:
        """Cancel the request of a caller that has disconnected.

        An action that must not repeat continues, so that its outcome is
        recorded and a repeat of the request gets it.
        """
        self.is_cancelled = True
        if self.plan.is_idempotent and self.exchange is not None:
            self.exchange.cancel()


@attrs.define(kw_only=True)
class Router:
    """Accepts requests; shared by all connections of a process."""

    board: Blackboard
    exchange_context: ExchangeContext
    placer: Placer
    claimant: Claimant
    random: random.Random
    # Returns the time since the epoch in seconds.
    wall: Callable[[], float]
    key_limits: KeyLimits = attrs.field(factory=KeyLimits)
    # Requests that have not ended, in the order of arrival.
    open: "dict[ActiveRequest, None]" = attrs.field(factory=dict)
    # Called with the note and end of each request, for metrics and logs.
    on_end: Callable[[RequestNote, Ended], None] = attrs.field(
        default=lambda note, ended: None
    )
    # Called with each refusal, and with the failure of each request that failed
    # after it was accepted.
    on_refusal: Callable[[Failure], None] = attrs.field(
        default=lambda failure: None
    )

    def submit(
        self, request: CallerRequest, caller: CallerSink
    ) -> Result[ActiveRequest, Failure]:
        """Start a request, or return why it is refused.

        A refusal is final: the request has not run and will not run.
        """
        planned = self.plan(request)
        if planned.is_error():
            self.on_refusal(planned.error)
            return Error(planned.error)
        plan = planned.ok
        now_s = self.exchange_context.clock.seconds()
        refusal = self.board.limits.admit(plan.account, now_s)
        if refusal is not None:
            self.on_refusal(refusal)
            return Error(refusal)
        active_request = ActiveRequest(
            router=self,
            plan=plan,
            caller=caller,
            note=RequestNote(
                request_id=request.request_id,
                account=plan.account.name,
                route=plan.route.name,
                kind=plan.kind.name,
                began_s=now_s,
            ),
        )
        self.open[active_request] = None
        self.board.note_request(active_request.note)
        if plan.is_idempotent:
            self.start(active_request)
        else:
            claiming = Deferred.fromCoroutine(
                self.claim_and_start(active_request)
            )
            claiming.addErrback(self.fail_request, active_request)
        return Ok(active_request)

    def plan(self, request: CallerRequest) -> Result[Plan, Failure]:
        """Authenticate and route a request; return its plan or a refusal."""
        if self.board.phase.is_closed:
            return Error(
                not_run(Reason.SHUTTING_DOWN, messages.SHUTTING_DOWN, 1.0)
            )
        if self.board.folded.next_offset == 0:
            return Error(
                not_run(Reason.NO_CONFIGURATION, messages.NO_CONFIGURATION, 1.0)
            )
        account = self.authenticate(request.token)
        if account is None:
            return Error(
                not_run(Reason.UNAUTHENTICATED, messages.UNAUTHENTICATED)
            )
        state = self.board.state
        route = self.match(request)
        kind = state.kinds.get(route.kind) if route else None
        pool = state.pools.get(route.pool) if route else None
        if route is None or kind is None or pool is None:
            return Error(not_run(Reason.NO_ROUTE, messages.NO_ROUTE))
        if kind.repeat == "never":
            key = self.check_key(request)
            if key.is_error():
                return Error(key.error)
        policy = state.policies.get(route.policy) or Policy(name="default")
        return Ok(
            Plan(
                request=request,
                account=account,
                route=route,
                kind=kind,
                pool=pool,
                policy=policy,
            )
        )

    def check_key(self, request: CallerRequest) -> Result[CheckedKey, Failure]:
        """Check the idempotency key of a request."""
        return keys.check_key(
            request.idempotency_key, self.wall(), self.key_limits
        )

    def authenticate(self, token: str) -> Account | None:
        """Return the account of a bearer token, or None if it is unknown."""
        return tokens.holder_of(token, self.board.accounts_by_digest)

    def authenticate_operator(self, token: str) -> Operator | None:
        """Return the operator of a bearer token, or None if it is unknown."""
        return tokens.holder_of(token, self.board.operators_by_digest)

    def match(self, request: CallerRequest) -> Route | None:
        """Return the matching route with the longest path, if there is one."""
        matching = [
            route
            for route in self.board.state.routes.values()
            if path_matches(route.path, request.path)
            and (not route.model or route.model == request.model)
        ]
        if not matching:
            return None
        return max(matching, key=lambda item: (len(item.path), item.name))

    @property
    def open_requests(self) -> int:
        """Number of requests that have not ended."""
        return len(self.open)

    def end_all(self) -> None:
        """End all requests, as the process ends."""
        for active_request in list(self.open):
            active_request.shut_down()

    async def claim_and_start(self, active_request: ActiveRequest) -> None:
        """Claim a request's key; start the request if the claim wins."""
        request = active_request.plan.request
        checked = self.check_key(request)
        if checked.is_error():
            active_request.finish(Ended(failure=checked.error))
            return
        claim = self.claimant.make_claim(
            f"{active_request.plan.account.name}/{checked.ok.text}",
            claims.request_digest(request.method, request.path, request.body),
            active_request.plan.kind.name,
            request.request_id,
            checked.ok.valid_until_s,
        )
        won = await self.claimant.acquire(claim)
        if won.is_error():
            active_request.finish(Ended(failure=won.error))
            return
        if won.ok is not None:
            active_request.note.state = "repeated"
            active_request.finish(Ended(reply=won.ok))
            return
        if active_request.is_ended:
            # The process is shutting down, and has said that nothing was run.
            await self.claimant.release(claim)
            return
        active_request.claim = claim
        self.start(active_request)

    def start(self, active_request: ActiveRequest) -> None:
        """Place a request, then start its exchange."""
        placing = self.placer.place(active_request.plan)
        placing.addCallback(self.start_exchange, active_request)
        placing.addErrback(self.fail_request, active_request)

    def start_exchange(
        self, placed: Placed, active_request: ActiveRequest
    ) -> None:
        """Start the exchange of a request that has been placed."""
        if active_request.is_shut_down:
            return
        active_request.note.depth_blocks = placed.depth
        active_request.note.holders = placed.holders
        if active_request.is_cancelled and active_request.plan.is_idempotent:
            cancelled = not_run(Reason.CANCELLED, messages.CANCELLED)
            active_request.ended(Ended(failure=cancelled))
            return
        exchange = self.make_exchange(active_request, placed)
        active_request.exchange = exchange
        active_request.note.targets_tried = exchange.targets_tried
        exchange.start()

    def fail_request(
        self, failure: TwistedFailure, active_request: ActiveRequest
    ) -> None:
        """End a request after an unexpected exception in this process."""
        LOGGER.failure("request ended by an internal error", failure)
        internal_error = may_have_run(
            Reason.INTERNAL_ERROR,
            messages.INTERNAL_ERROR,
            defaults.MIN_RETRY_AFTER_S,
        )
        active_request.ended(Ended(failure=internal_error))

    def make_exchange(
        self, active_request: ActiveRequest, placed: Placed
    ) -> Exchange:
        """Return the exchange of a request."""
        plan = active_request.plan
        timeout_s = defaults.CHUNK_TIMEOUT_S
        if plan.pool.service != "engine":
            timeout_s = plan.kind.deadline_s
        return Exchange(
            clock=self.exchange_context.clock,
            context=self.exchange_context,
            caller=active_request,
            template=self.template(plan),
            is_idempotent=plan.is_idempotent,
            choices=placed.choices,
            replan=placed.replan,
            extend=placed.extend,
            max_first_s=plan.kind.max_first_s,
            chunk_timeout_s=timeout_s,
        )

    def template(self, plan: Plan) -> Attempt:
        """Return an attempt with the fields that all attempts share."""
        request = plan.request
        is_engine = plan.pool.service == "engine"
        return Attempt(
            attempt_id="",
            request_id=request.request_id,
            account=plan.account.name,
            kind=plan.kind.name,
            target="",
            priority=plan.kind.priority,
            weight=plan.account.weight,
            patience=plan.policy.patience,
            deadline_s=plan.kind.deadline_s,
            model=plan.pool.model,
            version=plan.pool.version,
            cache_salt=plan.cache_salt,
            prompt=request.prompt if is_engine else "",
            max_tokens=request.max_tokens if is_engine else 0,
            method="" if is_engine else request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            idempotency_key=request.idempotency_key or "",
        )

    def record_end(self, active_request: ActiveRequest, ended: Ended) -> None:
        """Release a request's limits and record how it ended."""
        self.open.pop(active_request, None)
        self.board.limits.release(active_request.plan.account.name)
        note = active_request.note
        note.ended_s = self.exchange_context.clock.seconds()
        if active_request.exchange is not None:
            if active_request.exchange.current is not None:
                note.attempt_id = (
                    active_request.exchange.current.attempt.attempt_id
                )
            note.foreign_chunks = active_request.exchange.foreign_chunks
            note.repeated_chunks = active_request.exchange.order.duplicates
        if (
            active_request.exchange is not None
            and active_request.exchange.order.passed
        ):
            usage = usage_of(active_request.exchange.order.passed)
            note.prompt_tokens = usage.prompt_tokens
            note.cached_tokens = usage.cached_tokens
        if ended.failure is None:
            note.verdict = Verdict.DONE.value
        else:
            note.verdict = ended.failure.verdict.value
            note.reason = ended.failure.reason.value
            self.on_refusal(ended.failure)
        if note.state == "running":
            note.state = "ended"
        self.on_end(note, ended)


def path_matches(route_path: str, path: str) -> bool:
    """Whether a request's path is a route's path or lies below it."""
    if not route_path:
        return False
    return path == route_path or path.startswith(route_path.rstrip("/") + "/")


def usage_of(chunks: list[bytes]) -> Usage:
    """Return the usage in an answer's last two chunks, or an empty one."""
    for data in reversed(chunks[-2:]):
        try:
            usage = openai_format.usage_of(data)
        except openai_format.FormatError as error:
            # The caller's answer says so too; here only the counts are lost.
            LOGGER.warn("usage not counted: {error}", error=error)
            continue
        if usage is not None:
            return usage
    return Usage()
