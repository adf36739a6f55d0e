"""Choosing the targets of a request.

Rendezvous order over the placement key names a few targets; the router asks
their agents, who know what is cached and how long the queue is, and takes the
cheapest: the wait plus the time to compute what is missing, weighted by the
route's patience.  Agents that do not answer in time come last.
"""

from collections.abc import Sequence
from typing import Protocol

import attrs
from expression import Result
from twisted.internet.defer import Deferred, TimeoutError, gatherResults
from xxhash import xxh3_64_intdigest

from sequoiawind import defaults, placement, prefix, timing
from sequoiawind.blackboard import Blackboard
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
        if plan.pool.service == "engine":
            return Deferred.fromCoroutine(self.place_prompt(plan))
        done: Deferred[Placed] = Deferred()
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
                Choice(candidate=item, max_wait_s=plan.kind.max_wait_s)
                for item in ranked[: defaults.WALK_LENGTH]
            ]
        )

    async def place_prompt(self, plan: Plan) -> Placed:
        """Place a prompt where it costs least."""
        now_s = self.clock.seconds()
        candidates = self.candidates(plan)
        salt = plan.cache_salt
        chain = prefix.chain(salt, plan.request.prompt.encode())
        chosen = self.board.sharing.choose(
            chain, now_s, len(candidates), xxh3_64_intdigest(salt.encode())
        )
        holders = min(chosen.holders, plan.policy.max_holders)
        ranked = placement.rank(chosen.key, candidates)
        asked = ranked[: max(self.probes, holders)]
        choices = await self.ask(plan, chain, asked)
        rest = ranked[len(asked) : len(asked) + defaults.WALK_LENGTH]
        choices += [
            Choice(candidate=item, max_wait_s=defaults.BASE_WAIT_S)
            for item in rest
        ]
        return Placed(choices=choices, depth=chosen.depth, holders=holders)

    async def ask(
        self, plan: Plan, chain: list[int], asked: Sequence[Candidate]
    ) -> list[Choice]:
        """Return the targets asked, the cheapest first."""
        answers = await gatherResults(
            [self.probe(plan, chain, item) for item in asked]
        )
        choices = [
            self.choice(plan, candidate, answer)
            for candidate, answer in zip(asked, answers, strict=True)
        ]
        # The sort is stable: equal costs stay in rendezvous order.
        choices.sort(key=lambda item: item.cost_s // defaults.COST_STEP_S)
        return choices

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
            prompt_tokens=prefix.tokens(plan.request.prompt.encode()),
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
                max_wait_s=defaults.BASE_WAIT_S,
                cost_s=float("inf"),
            )
        told = answer.ok
        self.board.members.report(told.load, self.clock.seconds())
        prompt_tokens = prefix.tokens(plan.request.prompt.encode())
        missing = max(0, prompt_tokens - told.hit_tokens)
        compute_s = missing * told.prefill_token_s
        return Choice(
            candidate=candidate,
            # Others may have been placed there since the answer.
            max_wait_s=told.wait_s + defaults.BASE_WAIT_S,
            cost_s=told.wait_s + plan.policy.patience * compute_s,
        )


def no_answer(failure: object) -> ProbeResult:
    """Return the result of a probe that had no answer in time."""
    trap = getattr(failure, "trap", None)
    if trap is not None:
        trap(TimeoutError)
    error: ProbeResult = Result.Error(
        not_run(Reason.START_TIMEOUT, "no answer to the probe")
    )
    return error
