"""Baseline placements for comparison with the production placement.

Each baseline replaces only the choice of targets; everything else is
production code.  The oracle reads every engine's cache, which no real router
can.
"""

import itertools
from collections.abc import Callable, Iterator
from typing import Final

import attrs
from twisted.internet.defer import Deferred
from xxhash import xxh3_64_intdigest

from sequoiawind import defaults, placement, prefix
from sequoiawind.blackboard import Blackboard
from sequoiawind.lab.engine_model import EngineModel
from sequoiawind.placement import Candidate, Choice
from sequoiawind.placer import Placed
from sequoiawind.plan import Plan
from sequoiawind.ports import Clock, ProbePort

# Length of the first level of the workloads' prompts, in placement blocks.
FIRST_LEVEL_BLOCKS: Final = 8


@attrs.define(kw_only=True)
class BaselinePlacer:
    """A placer that tries the candidates in the order given by `order`."""

    board: Blackboard
    clock: Clock
    # Unused: baselines do not probe agents.
    port: ProbePort
    # Counts up, to start each request at another candidate.
    rotation: Iterator[int] = attrs.field(factory=itertools.count)
    # Returns an engine by its name; used by the oracle.
    engine_of: Callable[[str], EngineModel] | None = None

    def order(self, plan: Plan, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in the order in which to try them."""
        raise NotImplementedError

    def place(self, plan: Plan) -> Deferred[Placed]:
        """Return the targets of a request in the baseline's order.

        A choice has no cost limit: the request queues at its target, which
        does not refuse it because another target would cost less.
        """
        candidates = self.board.members.candidates(
            self.board.state, plan.pool.name, self.clock.seconds()
        )
        choices = [
            Choice(candidate=item, max_first_s=plan.kind.max_first_s)
            for item in self.order(plan, candidates)
        ]
        done: Deferred[Placed] = Deferred()
        done.callback(Placed(choices=choices[: defaults.MAX_UNPROBED_CHOICES]))
        return done

    def expected_waits_s(self, candidates: list[Candidate]) -> dict[str, float]:
        """Return the expected wait at each candidate, in seconds."""
        now_s = self.clock.seconds()
        return self.board.members.waits_s(candidates, now_s)


class RoundRobin(BaselinePlacer):
    """Round robin over the targets."""

    def order(self, plan: Plan, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates, starting from the next one in rotation."""
        start = next(self.rotation) % max(1, len(candidates))
        return candidates[start:] + candidates[:start]


class LeastLoaded(BaselinePlacer):
    """Chooses the target with the shortest expected wait."""

    def order(self, plan: Plan, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by their waits; equal ones take turns."""
        waits_s = self.expected_waits_s(candidates)
        start = next(self.rotation) % max(1, len(candidates))
        rotated = candidates[start:] + candidates[:start]
        return sorted(rotated, key=lambda item: waits_s.get(item.name, 0.0))


class WholePromptHash(BaselinePlacer):
    """Rendezvous hashing by the whole prompt."""

    def order(self, plan: Plan, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in rendezvous order of the prompt."""
        text = plan.prompt_bytes
        return placement.rank(xxh3_64_intdigest(text), candidates)


class FirstLevelHash(BaselinePlacer):
    """Rendezvous hashing by the account and the prompt's first level."""

    def order(self, plan: Plan, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in rendezvous order of the first level."""
        size = FIRST_LEVEL_BLOCKS * defaults.PLACEMENT_BLOCK_BYTES
        text = plan.prompt_bytes[:size]
        key = xxh3_64_intdigest(plan.account.name.encode() + text)
        return placement.rank(key, candidates)


class Oracle(BaselinePlacer):
    """Reads every engine's cache and chooses the target of least cost.

    The cost is that of the production placement: the wait, plus the time to
    compute the tokens that the engine has not cached, weighted by the patience
    of the route's policy.
    """

    def order(self, plan: Plan, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by their cost."""
        salt = plan.cache_salt
        text = plan.prompt_bytes
        patience = plan.policy.patience
        return sorted(
            candidates,
            key=lambda item: self.cost_s(item.name, salt, text, patience),
        )

    def cost_s(
        self, name: str, salt: str, text: bytes, patience: float
    ) -> float:
        """Return the cost of a prompt at an engine, in seconds."""
        assert self.engine_of is not None
        engine = self.engine_of(name)
        size = engine.parameters.block_bytes
        chain = prefix.chain(salt, text, size, len(text))
        hits = next(
            (
                depth
                for depth, block in enumerate(chain)
                if block not in engine.cache
            ),
            len(chain),
        )
        cached = hits * size // defaults.BYTES_PER_TOKEN
        uncached = prefix.count_tokens(text) - cached
        running = sum(item.prefill_left for item in engine.batch)
        waiting = sum(item.prompt_tokens for item in engine.waiting)
        tokens = patience * uncached + running + waiting
        return tokens / defaults.PREFILL_TOKENS_PER_S


BASELINES: Final[dict[str, type[BaselinePlacer]]] = {
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "whole-prompt-hash": WholePromptHash,
    "first-level-hash": FirstLevelHash,
    "oracle": Oracle,
}
