"""The targets that a router's forwarded requests may be sent to.

Holds what the choices of a target share: the fleet, the targets' caches, the
named weights versions, and what is known of the targets' load.
"""

import random
from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind.allowed_weights import AllowedWeights
from sequoiawind.blackboard import Blackboard
from sequoiawind.cache_watcher import CacheWatcher
from sequoiawind.call_choice import choose_call
from sequoiawind.fleet import Fleet
from sequoiawind.forward_plan import ForwardPlan, Planner
from sequoiawind.forward_state import ForwardPool
from sequoiawind.home_order import HomeOrder
from sequoiawind.load.admission import Decision
from sequoiawind.load.controller import LoadController
from sequoiawind.load.probing import to_probe
from sequoiawind.ports import Clock
from sequoiawind.prompt_cache import cache_salt
from sequoiawind.spare_targets import SPARE_CANDIDATES, SpareLists
from sequoiawind.stream_origins import StreamOrigin, may_continue
from sequoiawind.target_choice import (
    DEFAULT_PREFILL_TOKENS,
    CacheStore,
    Chosen,
    PromptChooser,
    is_long_run,
)
from sequoiawind.target_probes import TargetProbes

if TYPE_CHECKING:
    from sequoiawind.forwarding import Forwarding

# Memory assumed for a target whose pool does not state it, in tokens.
DEFAULT_MEMORY_TOKENS: Final = 50_000


@attrs.define(kw_only=True, eq=False)
class ForwardPlacement:
    """Chooses the targets of forwarded requests."""

    board: Blackboard
    fleet: Fleet
    clock: Clock
    random: random.Random
    # This router's failure domain.
    domain: str
    planner: Planner
    weights: AllowedWeights
    caches: CacheWatcher
    load: LoadController = attrs.field(factory=LoadController)
    # None where targets are never asked before a choice.
    probes: TargetProbes | None = None
    # Moving average of the tokens that a prompt has to prefill.
    average_prefill_tokens: float = DEFAULT_PREFILL_TOKENS
    # By pool.
    homes: dict[str, HomeOrder] = attrs.field(factory=dict)
    spare: SpareLists = attrs.field(init=False)

    def choose(self, forwarding: "Forwarding") -> Chosen | None:
        """Return a target for a request; None if none is ready."""
        return next(iter(self.options(forwarding)), None)

    def options(self, forwarding: "Forwarding") -> list[Chosen]:
        """Return the targets that may take a request, the best first.

        They are those whose present load is known, if some were asked for it.
        """
        ranked = self.ranked(forwarding)
        asked = forwarding.probed
        probed = [item for item in ranked if item.view.target.name in asked]
        return probed or ranked

    def probe(self, forwarding: "Forwarding") -> bool:
        """Ask a few targets for their load before a prompt is sent.

        Returns:
          Whether that was done; `forwarding.next_target` is called then.
        """
        plan = forwarding.plan
        if self.probes is None or plan.request.prompt is None:
            return False
        if not self.load.is_active(plan.pool.name):
            return False
        ranked = [option.view.target.name for option in self.ranked(forwarding)]
        able = [name for name in ranked if self.probes.may_ask(name)]
        names = to_probe(able, forwarding.left_s, self.random)
        if not names:
            return False
        forwarding.probed = names
        self.probes.ask(names, forwarding.next_target)
        return True

    def decide(
        self, forwarding: "Forwarding", options: list[Chosen]
    ) -> Decision:
        """Return whether a request that no target has got is sent now."""
        return self.load.decide(
            forwarding.plan,
            options,
            forwarding.signature.whole,
            self.clock.seconds(),
        )

    def ranked(self, forwarding: "Forwarding") -> list[Chosen]:
        """Return the targets that may take a request, the best first."""
        plan = forwarding.plan
        now_s = self.clock.seconds()
        prompt = plan.request.prompt
        is_long = prompt is not None and is_long_run(prompt)
        if prompt is None or not plan.pool.models:
            ready = [
                view
                for view in self.fleet.ready(plan.pool.name, now_s, is_long)
                if view.target.name not in forwarding.tried.excluded
                and may_continue(forwarding.origin, view.target)
            ]
            pool = plan.pool.name
            factor = self.load.factor(pool, now_s)
            source = self.random if self.load.is_active(pool) else None
            call = choose_call(
                ready, self.fleet.members, self.domain, factor, source
            )
            return [call] if call is not None else []
        return self.chooser(plan, prompt.model, forwarding.origin).ranked(
            prompt,
            self.planner.cache_scope(plan),
            self.weights.oldest(prompt.model),
            self.weights.oldest(prompt.model, is_queued=True),
            is_long,
            forwarding.tried.excluded,
        )

    def chooser(
        self, plan: ForwardPlan, model: str, origin: StreamOrigin | None
    ) -> PromptChooser:
        """Return a chooser with the current state of a plan's pool.

        Args:
          plan: The plan.
          model: The model of its prompt.
          origin: Where the request's stream began; None if it has not begun.
        """
        now_s = self.clock.seconds()
        pool = self.fleet.pool(plan.pool.name, now_s)
        homes = self.homes.setdefault(plan.pool.name, HomeOrder())
        homes.set_members(pool.members)
        average = self.average_prefill_tokens
        spare = self.spare.targets(plan.pool.name, now_s, average)
        drawn = min(SPARE_CANDIDATES, len(spare.names))
        return PromptChooser(
            index=self.caches.index,
            homes=homes,
            pool=pool.usable
            if origin is None
            else {
                name: view
                for name, view in pool.usable.items()
                if may_continue(origin, view.target)
            },
            # Drawn at random, so that not all routers choose the same one.
            spare=self.random.sample(spare.names, drawn),
            cache_stores=self.cache_stores(),
            now_s=now_s,
            newest_version=self.weights.newest(model),
            average_prefill_tokens=self.average_prefill_tokens,
            factor=self.load.factor(plan.pool.name, now_s),
        )

    def move_destination(
        self, forwarding: "Forwarding", chosen: Chosen
    ) -> Chosen | None:
        """Return a target with the same weights to continue a run at.

        Returns:
          The ready target with the least backlog, without a salt; None if there
          is none, or if nothing may begin on these weights any more.
        """
        plan, prompt = forwarding.plan, forwarding.plan.request.prompt
        if prompt is None or chosen.version is None:
            return None
        if chosen.version < self.weights.oldest_begun(prompt.model):
            return None
        ready = self.fleet.ready(plan.pool.name, self.clock.seconds())
        able = [
            view
            for view in ready
            if view is not chosen.view
            and view.version(prompt.model) == chosen.version
            and may_continue(forwarding.origin, view.target)
        ]
        if not able:
            return None
        chooser = self.chooser(plan, prompt.model, forwarding.origin)
        backlog = chooser.backlog_tokens
        return Chosen(
            view=min(able, key=lambda view: (backlog(view), view.target.name)),
            version=chosen.version,
        )

    def salted(self, plan: ForwardPlan, chosen: Chosen) -> Chosen:
        """Return a choice with the salt that the configuration asks for now."""
        prompt = plan.request.prompt
        if prompt is None or chosen.version is None:
            return chosen
        scope = self.planner.cache_scope(plan)
        salt = cache_salt(scope, prompt.model, chosen.version)
        return attrs.evolve(chosen, salt=salt)

    def cache_stores(self) -> list[CacheStore]:
        """Return the cache stores that can be reached."""
        found = []
        for pool in self.board.state.pools.values():
            if not isinstance(pool, ForwardPool) or not pool.cache_store:
                continue
            memory = self.memory_of(pool.name)
            self.caches.watch(pool.name, pool.cache_store, memory)
            if self.caches.caches[pool.name].is_alive:
                found.append(
                    CacheStore(name=pool.name, address=pool.cache_store)
                )
        return found

    def memory_of(self, cache: str) -> int:
        """Return how many tokens a target or cache store can hold."""
        view = self.fleet.views.get(cache)
        name = view.target.pool if view is not None else cache
        pool = self.board.state.pools.get(name)
        if isinstance(pool, ForwardPool) and pool.memory_tokens:
            return pool.memory_tokens
        return DEFAULT_MEMORY_TOKENS

    def has_targets(self, forwarding: "Forwarding") -> bool:
        """Whether a request's pool has a usable target for it, ready or not.

        A stream that has begun needs another target of its software version.
        """
        origin, name = forwarding.origin, forwarding.plan.pool.name
        usable = self.fleet.pool(name, self.clock.seconds()).usable
        if origin is None:
            return bool(usable)
        return any(
            may_continue(origin, view.target)
            and view.target.name not in forwarding.tried.excluded
            for view in usable.values()
        )
