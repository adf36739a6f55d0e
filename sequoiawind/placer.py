"""Choosing the targets of a request.

Rendezvous order over the placement key names the home of a prompt and a few
others.  The home's agent, who knows what is cached and how long the queue is,
refuses if serving there costs more than it should: the wait plus the time to
compute what is missing, weighted by the route's patience.  Then the router
asks the agents of the others as well and takes the cheapest.  Agents that do
not answer in time come last.
"""

import math
from collections.abc import Sequence
from functools import partial
from typing import Protocol

import attrs
from expression import Result
from twisted.internet.defer import Deferred, gatherResults
from xxhash import xxh3_64_intdigest

from sequoiawind import defaults, placement, prefix, timing
from sequoiawind.blackboard import Blackboard
from sequoiawind.exchange import Replan
from sequoiawind.placement import Candidate, Choice
from sequoiawind.plan import Plan
from sequoiawind.ports import Clock, ProbePort
from sequoiawind.verdict import Failure, Reason, not_run
from sequoiawind.wire import Probe, ProbeAnswer

ProbeResult = Result[ProbeAnswer, Failure]


@attrs.frozen(kw_only=True)
class Placed:
    """Where a request may go, best first."""

    choices: list[Choice]
    # Returns other targets after the first refused for its cost.
    replan: Replan | None = None
    # Blocks in the placement key, for `explain request`.
    depth: int = 0
    holders: int = 0


class Placer(Protocol):
    """Chooses the targets of requests."""

    def place(self, plan: Plan) -> Deferred[Placed]:
        """Return the targets of a request."""


@attrs.define(kw_only=True)
class ProbingPlacer:
    """The placement that ships."""

    board: Blackboard
    clock: Clock
    port: ProbePort
    probes: int = defaults.PROBES

    def place(self, plan: Plan) -> Deferred[Placed]:
        """Return the targets of a request."""
        done: Deferred[Placed] = Deferred()
        if plan.pool.service == "engine":
            done.callback(self.place_prompt(plan))
        else:
            done.callback(self.place_call(plan))
        return done

    def candidates(self, plan: Plan) -> list[Candidate]:
        """Return the targets that may get a request."""
        return self.board.members.candidates(
            self.board.state, plan.pool.name, self.clock.seconds()
        )

    def place_call(self, plan: Plan) -> Placed:
        """Place a call to a plain service: the shortest wait first."""
        candidates = self.candidates(plan)
        waits_s = self.board.members.waits_s(candidates, self.clock.seconds())
        key = xxh3_64_intdigest(plan.request.request_id.encode())
        ranked = placement.rank(key, candidates)
        ranked.sort(key=lambda item: waits_s.get(item.name, 0.0))
        return Placed(
            choices=[
                Choice(candidate=item, max_first_s=plan.kind.max_first_s)
                for item in ranked[: defaults.WALK_LENGTH]
            ]
        )

    def place_prompt(self, plan: Plan) -> Placed:
        """Place a prompt at its home, with others to ask if that is dear."""
        now_s = self.clock.seconds()
        candidates = self.candidates(plan)
        salt = plan.cache_salt
        chain = prefix.chain(salt, plan.prompt_bytes)
        chosen = self.board.sharing.choose(
            chain, now_s, len(candidates), xxh3_64_intdigest(salt.encode())
        )
        holders = min(chosen.holders, plan.policy.max_holders)
        ranked = placement.rank(chosen.key, candidates)
        # Without others to ask, the home serves at any cost.
        max_cost_s = self.fair_cost_s(plan) if ranked[1:] else -1.0
        home = [
            Choice(
                candidate=item,
                max_first_s=plan.kind.max_first_s,
                max_cost_s=max_cost_s,
            )
            for item in ranked[:1]
        ]
        return Placed(
            choices=home + unasked(plan, ranked[1:]),
            replan=partial(self.replan, plan, chain, ranked, holders),
            depth=chosen.depth,
            holders=holders,
        )

    def fair_cost_s(self, plan: Plan) -> float:
        """Return what a prompt may cost at its home without asking others.

        A home that lacks more than a usual question's tokens refuses: the
        prefix may be warm elsewhere, as after a restart of this router.
        """
        missing = min(plan.prompt_tokens, defaults.FAIR_MISSING_TOKENS)
        compute_s = missing / defaults.PREFILL_TOKENS_PER_S
        return plan.policy.patience * compute_s + defaults.COST_SLACK_S

    def replan(
        self,
        plan: Plan,
        chain: list[int],
        ranked: list[Candidate],
        holders: int,
        home: Candidate,
        told: ProbeAnswer,
    ) -> Deferred[list[Choice]]:
        """Return the targets of a prompt whose home refused for its cost."""
        others = [item for item in ranked if item.name != home.name]
        count = max(self.probes, holders) - 1
        asking = self.ask(plan, chain, others[:count])
        known = self.choice(plan, home, Result.Ok(told))

        def decide(choices: list[Choice]) -> list[Choice]:
            # The sort is stable: equal costs stay in rendezvous order.
            decided = [known, *choices]
            decided.sort(key=cost_rank)
            return in_time(plan, decided) + unasked(plan, others[count:])

        return asking.addCallback(decide)

    def ask(
        self, plan: Plan, chain: list[int], asked: Sequence[Candidate]
    ) -> Deferred[list[Choice]]:
        """Return the targets asked, with their costs."""
        answers = gatherResults(
            [self.probe(plan, chain, item) for item in asked]
        )
        return answers.addCallback(
            lambda told: [
                self.choice(plan, candidate, answer)
                for candidate, answer in zip(asked, told, strict=True)
            ]
        )

    def probe(
        self, plan: Plan, chain: list[int], candidate: Candidate
    ) -> Deferred[ProbeResult]:
        """Ask one target's agent."""
        probe = Probe(
            target=candidate.name,
            account=plan.account.name,
            priority=plan.kind.priority,
            weight=plan.account.weight,
            chain=chain,
            prompt_tokens=plan.prompt_tokens,
            max_tokens=plan.request.max_tokens,
        )
        answer = self.port.probe(candidate.address, probe)
        timing.with_timeout(answer, defaults.PROBE_TIMEOUT_S, self.clock)
        return answer.addErrback(no_answer)

    def choice(
        self, plan: Plan, candidate: Candidate, answer: ProbeResult
    ) -> Choice:
        """Return a target with its cost."""
        if answer.is_error() or answer.ok.load.draining:
            return Choice(
                candidate=candidate,
                max_first_s=defaults.BASE_WAIT_S,
                cost_s=float("inf"),
            )
        told = answer.ok
        self.board.members.report(told.load, self.clock.seconds())
        missing = max(0, plan.prompt_tokens - told.hit_tokens)
        compute_s = missing * told.prefill_token_s
        return Choice(
            candidate=candidate,
            # Others may have been placed there since the answer.
            max_first_s=told.wait_s + compute_s + defaults.BASE_WAIT_S,
            cost_s=told.wait_s + plan.policy.patience * compute_s,
            is_idle=told.wait_s <= defaults.BASE_WAIT_S,
        )


def in_time(plan: Plan, choices: list[Choice]) -> list[Choice]:
    """Leave out the targets that say they cannot start in time."""
    limit_s = plan.kind.max_first_s + defaults.BASE_WAIT_S
    return [
        choice
        for choice in choices
        if choice.max_first_s <= limit_s or choice.is_idle
    ]


def unasked(plan: Plan, candidates: Sequence[Candidate]) -> list[Choice]:
    """Return targets to try if those that were asked refuse."""
    return [
        Choice(candidate=item, max_first_s=plan.kind.max_first_s)
        for item in candidates[: defaults.WALK_LENGTH]
    ]


def cost_rank(choice: Choice) -> float:
    """Return a target's cost in steps; infinite if it is not known."""
    if math.isinf(choice.cost_s):
        return choice.cost_s
    return choice.cost_s // defaults.COST_STEP_S


def no_answer(failure: object) -> ProbeResult:
    """Return the result of a probe that failed or had no answer in time.

    Whatever broke it, the target's state is not known; that is all.
    """
    error: ProbeResult = Result.Error(
        not_run(Reason.START_TIMEOUT, "no answer to the probe")
    )
    return error
