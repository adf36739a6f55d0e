"""Choosing the targets of a request.

The first target in rendezvous order over the placement key is the home of a
prompt.  The home's agent, which knows the cached blocks and the length of the
queue, refuses if the cost there is over a limit.  The cost is the wait plus
`patience` (a field of the policy) times the time to compute the tokens that
are not cached.  After such a refusal the router probes the agents of the next
targets and takes the target with the lowest cost.  Targets whose agents do not
answer in time come last.
"""

import math
from collections.abc import Collection, Sequence
from functools import partial
from typing import Protocol

import attrs
from expression import Result
from twisted.internet.defer import Deferred, gatherResults
from xxhash import xxh3_64_intdigest

from sequoiawind import defaults, placement, prefix, timing
from sequoiawind.blackboard import Blackboard
from sequoiawind.exchange import Extend, Replan
from sequoiawind.placement import Candidate, Choice
from sequoiawind.plan import Plan
from sequoiawind.ports import Clock, ProbePort
from sequoiawind.verdict import Failure, Reason, not_run
from sequoiawind.wire import Probe, ProbeAnswer

ProbeResult = Result[ProbeAnswer, Failure]


@attrs.frozen(kw_only=True)
class Placed:
    """The targets that a request may be sent to, best first."""

    choices: list[Choice]
    # Returns the targets to try after the first has refused for wait or cost.
    replan: Replan | None = None
    # Returns further targets when all of these have been tried.
    extend: Extend | None = None
    # Number of blocks in the prefix that is the placement key, and of the
    # targets among which that prefix is spread; for `explain request`.
    depth: int = 0
    holders: int = 0


class Placer(Protocol):
    """Chooses the targets of requests."""

    def place(self, plan: Plan) -> Deferred[Placed]:
        """Return the targets of a request."""


@attrs.define(kw_only=True)
class ProbingPlacer:
    """Places prompts by rendezvous order, probing other targets if needed."""

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
                for item in ranked[: defaults.MAX_UNPROBED_CHOICES]
            ],
            extend=partial(self.extend, plan, key),
        )

    def place_prompt(self, plan: Plan) -> Placed:
        """Place a prompt at its home, with other targets to fall back on."""
        now_s = self.clock.seconds()
        candidates = self.candidates(plan)
        salt = plan.cache_salt
        chain = prefix.chain(salt, plan.prompt_bytes)
        chosen = self.board.sharing.choose(
            chain, now_s, len(candidates), xxh3_64_intdigest(salt.encode())
        )
        holders = min(chosen.holders, plan.policy.max_holders)
        ranked = placement.rank(chosen.key, candidates)
        # If the home is the only candidate, it serves at any cost.
        max_cost_s = self.home_cost_limit_s(plan) if ranked[1:] else -1.0
        home = [
            Choice(
                candidate=item,
                max_first_s=plan.kind.max_first_s,
                max_cost_s=max_cost_s,
            )
            for item in ranked[:1]
        ]
        return Placed(
            choices=home + unprobed(plan, ranked[1:]),
            replan=partial(self.replan, plan, chain, ranked, holders),
            extend=partial(self.extend, plan, chosen.key),
            depth=chosen.depth,
            holders=holders,
        )

    def extend(
        self, plan: Plan, key: int, known: Collection[str]
    ) -> list[Choice]:
        """Return targets that are not known yet, as they are configured now."""
        candidates = [
            item for item in self.candidates(plan) if item.name not in known
        ]
        return unprobed(plan, placement.rank(key, candidates))

    def home_cost_limit_s(self, plan: Plan) -> float:
        """Return the cost above which a prompt's home refuses it, in seconds.

        The limit allows for computing the tokens of a usual question.  If the
        home would have to compute more, the prefix may be cached on another
        target, as after a restart of this router.
        """
        missing = min(plan.prompt_tokens, defaults.MAX_HOME_MISSING_TOKENS)
        compute_s = missing / defaults.PREFILL_TOKENS_PER_S
        return plan.policy.patience * compute_s + defaults.COST_SLACK_S

    def replan(
        self,
        plan: Plan,
        chain: list[int],
        ranked: list[Candidate],
        holders: int,
        home: Candidate,
        home_answer: ProbeAnswer,
    ) -> Deferred[list[Choice]]:
        """Return the targets for a prompt that its home has refused.

        The home is among them, at its own cost.
        """
        others = [item for item in ranked if item.name != home.name]
        count = max(self.probes, holders) - 1
        probing = self.probe_targets(plan, chain, others[:count])
        home_choice = self.choice(plan, home, Result.Ok(home_answer))

        def decide(choices: list[Choice]) -> list[Choice]:
            # The sort is stable: equal costs stay in rendezvous order.
            decided = [home_choice, *choices]
            decided.sort(key=cost_rank)
            return in_time(plan, decided) + unprobed(plan, others[count:])

        return probing.addCallback(decide)

    def probe_targets(
        self, plan: Plan, chain: list[int], probed: Sequence[Candidate]
    ) -> Deferred[list[Choice]]:
        """Probe targets in parallel and return them with their costs."""
        answers = gatherResults(
            [self.probe(plan, chain, item) for item in probed]
        )
        return answers.addCallback(
            lambda results: [
                self.choice(plan, candidate, answer)
                for candidate, answer in zip(probed, results, strict=True)
            ]
        )

    def probe(
        self, plan: Plan, chain: list[int], candidate: Candidate
    ) -> Deferred[ProbeResult]:
        """Probe one target's agent."""
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
        return answer.addErrback(failed_probe)

    def choice(
        self, plan: Plan, candidate: Candidate, answer: ProbeResult
    ) -> Choice:
        """Return a target with the cost computed from its probe's answer.

        The cost is infinite if the probe failed or the target is draining.
        """
        if answer.is_error() or answer.ok.load.draining:
            return Choice(
                candidate=candidate,
                max_first_s=defaults.BASE_WAIT_S,
                cost_s=float("inf"),
            )
        probe_answer = answer.ok
        self.board.members.update_load(probe_answer.load, self.clock.seconds())
        missing = max(0, plan.prompt_tokens - probe_answer.hit_tokens)
        compute_s = missing * probe_answer.prefill_token_s
        return Choice(
            candidate=candidate,
            # Leaves room for requests placed there since the answer.
            max_first_s=probe_answer.wait_s + compute_s + defaults.BASE_WAIT_S,
            cost_s=probe_answer.wait_s + plan.policy.patience * compute_s,
            is_idle=probe_answer.wait_s <= defaults.BASE_WAIT_S,
        )


def in_time(plan: Plan, choices: list[Choice]) -> list[Choice]:
    """Return the choices that can start in time or whose target is idle."""
    limit_s = plan.kind.max_first_s + defaults.BASE_WAIT_S
    return [
        choice
        for choice in choices
        if choice.max_first_s <= limit_s or choice.is_idle
    ]


def unprobed(plan: Plan, candidates: Sequence[Candidate]) -> list[Choice]:
    """Return choices for targets that are not probed, to try last."""
    return [
        Choice(candidate=item, max_first_s=plan.kind.max_first_s)
        for item in candidates[: defaults.MAX_UNPROBED_CHOICES]
    ]


def cost_rank(choice: Choice) -> float:
    """Return a cost in whole steps of `COST_STEP_S`; infinite if unknown."""
    if math.isinf(choice.cost_s):
        return choice.cost_s
    return choice.cost_s // defaults.COST_STEP_S


def failed_probe(failure: object) -> ProbeResult:
    """Return the result of a probe that failed or had no answer in time.

    All failures are treated alike: the target's state is unknown.
    """
    error: ProbeResult = Result.Error(
        not_run(Reason.START_TIMEOUT, "no answer to the probe")
    )
    return error
