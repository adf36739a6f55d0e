"""Baseline placements that the shipped one is compared with.

Each baseline replaces only the choice of targets: a subclass of ``Router``
orders the candidates differently, and everything else is the real code.  The
oracle sees every engine's cache, which no real router can.
"""

import itertools
from collections.abc import Callable, Iterator
from typing import Final

import attrs
from xxhash import xxh3_64_intdigest

from sequoiawind import defaults, placement, prefix
from sequoiawind.engine_model import EngineModel
from sequoiawind.exchange import Exchange
from sequoiawind.placement import Candidate
from sequoiawind.router import Handling, Router

# The first level of the workloads' prompts, in placement blocks.
FIRST_LEVEL_BLOCKS: Final = 8


@attrs.define(kw_only=True)
class BaselineRouter(Router):
    """Orders the candidates by `order` instead of the shipped placement."""

    turn: Iterator[int] = attrs.field(factory=itertools.count)
    # Finds an engine by its name; for the oracle.
    engine_of: Callable[[str], EngineModel] | None = None

    def order(
        self, handling: Handling, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates in the order in which to try them."""
        raise NotImplementedError

    def make_exchange(self, handling: Handling) -> Exchange:
        """Choose the targets of a request by the baseline."""
        exchange = super().make_exchange(handling)
        now_s = self.around.clock.seconds()
        candidates = self.board.members.candidates(
            self.board.state, handling.plan.pool.name, now_s
        )
        exchange.candidates = self.order(handling, candidates)
        # Baselines queue where they place; they do not spill early.
        exchange.holders = len(exchange.candidates)
        exchange.home_wait_s = handling.plan.kind.max_wait_s
        return exchange

    def loads(self, candidates: list[Candidate]) -> dict[str, float]:
        """Return the wait to expect at each candidate."""
        now_s = self.around.clock.seconds()
        return self.board.members.waits_s(candidates, now_s)


class RoundRobin(BaselineRouter):
    """Takes the targets in turn."""

    def order(
        self, handling: Handling, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates from the next in turn on."""
        start = next(self.turn) % max(1, len(candidates))
        return candidates[start:] + candidates[:start]


class LeastLoaded(BaselineRouter):
    """Takes the target with the shortest wait."""

    def order(
        self, handling: Handling, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates by their waits."""
        waits_s = self.loads(candidates)
        start = next(self.turn) % max(1, len(candidates))
        turned = candidates[start:] + candidates[:start]
        return sorted(turned, key=lambda item: waits_s.get(item.name, 0.0))


class WholePromptHash(BaselineRouter):
    """Hashes the whole prompt."""

    def order(
        self, handling: Handling, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates in rendezvous order of the prompt."""
        text = handling.plan.request.prompt.encode()
        return placement.rank(xxh3_64_intdigest(text), candidates)


class FirstLevelHash(BaselineRouter):
    """Hashes the account and the first level of the prompt."""

    def order(
        self, handling: Handling, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates in rendezvous order of the first level."""
        size = FIRST_LEVEL_BLOCKS * defaults.PLACEMENT_BLOCK_BYTES
        text = handling.plan.request.prompt.encode()[:size]
        key = xxh3_64_intdigest(handling.plan.account.name.encode() + text)
        return placement.rank(key, candidates)


class Oracle(BaselineRouter):
    """Sees every cache: takes the target that would yield first.

    The time to the first token is the agent's own estimate of the wait plus
    the time to compute what the engine has not cached.
    """

    def order(
        self, handling: Handling, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the candidates by the time to the first token."""
        salt = prefix.cache_salt(
            handling.plan.account.name,
            handling.plan.pool.model,
            "",
            handling.plan.pool.version,
        )
        text = handling.plan.request.prompt.encode()
        return sorted(
            candidates, key=lambda item: self.cost_s(item.name, salt, text)
        )

    def cost_s(self, name: str, salt: str, text: bytes) -> float:
        """Return the time to the first token at an engine, in seconds."""
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
        own = prefix.tokens(text) - cached
        ahead = sum(item.prefill_left for item in engine.batch)
        waiting = sum(item.prompt_tokens for item in engine.waiting)
        tokens = own + ahead + waiting
        return tokens / defaults.PREFILL_TOKENS_PER_S


BASELINES: Final[dict[str, type[Router]]] = {
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "whole-prompt-hash": WholePromptHash,
    "first-level-hash": FirstLevelHash,
    "oracle": Oracle,
}
