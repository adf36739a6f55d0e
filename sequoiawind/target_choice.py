"""Choosing the target of a forwarded request.

The choice is a pure function of the router's state.  It handles three patterns
of load:

- Prompts with long shared prefixes.  They go to a home target, found by
  rendezvous hashing of the deepest shared part, so that all routers agree
  without exchanging messages; elsewhere they fetch cached parts from the home.
- A busy home.  The cost of waiting there is compared with that of recomputing
  or fetching the parts at another target.
- Changing weights.  A target whose weights are older than the request may run
  on is left out, and one that loads weights is not among the ready ones.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import attrs
from xxhash import xxh3_64_intdigest

from sequoiawind.fleet import TargetView
from sequoiawind.members import Members
from sequoiawind.prompt_cache import (
    HeldParts,
    Prompt,
    cache_salt,
    covered_parts,
)

# Cost of a request that is already running, in prompt tokens to prefill: as
# many as the target could prefill in the request's share of the batch's steps.
RUNNING_TOKENS: Final = 120
# Tokens assumed to be prefilled for a prompt of another router, until this
# router has sent prompts of its own: a prompt of common size.
DEFAULT_PREFILL_TOKENS: Final = 2_000
# Cost of fetching a cached token from another target or from the pool's cache
# store, relative to prefilling it: the links between targets are an order of
# magnitude faster.
FETCH_COST: Final = 0.1
CACHE_STORE_FETCH_COST: Final = 0.4
# Home targets of a prompt's shared part, preferred to the other targets.
HOME_COUNT: Final = 2
# Cost added to a prompt's second home, in prompt tokens, so that routers that
# know equally little of the targets agree on the first home.
SECOND_HOME_TOKENS: Final = 600
# Cost added to targets that are not homes, in prompt tokens: they lack the
# shared parts, and caching these evicts parts of their own prompts.
NON_HOME_TOKENS: Final = 1_500
# Cost added to targets that will load newer weights, in prompt tokens: their
# cached parts are soon lost, and their pending prefills delay the load.
OLD_WEIGHTS_TOKENS: Final = 6_000
# Cost added to targets whose agent has stopped reporting, in prompt tokens:
# their VM may be lost.
SILENT_AGENT_TOKENS: Final = 10_000
# Cost of a call to a plain service whose recent calls have all failed, in open
# requests per slot.
FAILING_COST: Final = 8.0


@attrs.frozen(kw_only=True)
class Chosen:
    """The target chosen for a request, and the parameters to send with it."""

    view: TargetView
    # Weights version that the target must have; None for plain services.
    version: int | None = None
    salt: str = ""
    # Estimated prompt tokens to prefill; fetched ones count at a discount.
    prefill_tokens: int = 0
    # Address of the target or cache store to fetch cached parts from, and of
    # the cache store that should store the prefilled parts; empty for none.
    source: str = ""
    cache_store: str = ""


@attrs.frozen(kw_only=True)
class Source:
    """Where a target may fetch a prompt's cached prefix."""

    address: str = ""
    # Number of the prompt's leading parts that the target holds after the
    # fetch, including those that it held before.
    parts: int = 0
    # Tokens to fetch.
    tokens: int = 0
    fetch_cost: float = FETCH_COST


@attrs.frozen(kw_only=True)
class CacheStore:
    """A store of cached prompt parts that a pool's targets share."""

    address: str
    held: HeldParts


@attrs.frozen(kw_only=True)
class PromptChooser:
    """Chooses targets for prompts."""

    # Cached parts of each target, by target name.
    held: Mapping[str, HeldParts]
    # The pool's cache store; None if there is none that answers.
    cache_store: CacheStore | None = None
    # Targets of the pool, including those that take no work now.
    pool: Sequence[TargetView]
    now_s: float
    # The newest weights version that was named; 0 if none was.
    newest_version: int = 0
    # Average of the tokens to prefill for a prompt of this router.
    average_prefill_tokens: float = DEFAULT_PREFILL_TOKENS

    def choose(
        self,
        ready: Sequence[TargetView],
        prompt: Prompt,
        account: str,
        is_isolated: bool,
        oldest_version: int,
    ) -> Chosen | None:
        """Return the cheapest target; None if none may take the prompt.

        Args:
          ready: The targets that take work.
          prompt: The prompt.
          account: Name of its client account.
          is_isolated: Whether the account shares no cached parts.
          oldest_version: Oldest weights version that the request may use.
        """
        able = [
            view
            for view in ready
            if view.version(prompt.model) >= oldest_version
        ]
        if not able:
            return None
        homes = self.homes(prompt)
        options = [
            self.option(view, prompt, account, is_isolated, homes)
            for view in able
        ]
        return min(options, key=lambda option: self.cost(option, homes))

    def homes(self, prompt: Prompt) -> list[str]:
        """Return the names of a prompt's home targets, preferred one first."""
        key = prompt.placement_key.encode()
        scored = sorted(
            self.pool,
            key=lambda view: (
                xxh3_64_intdigest(view.target.name.encode() + b"/" + key),
                view.target.name,
            ),
            reverse=True,
        )
        return [view.target.name for view in scored[:HOME_COUNT]]

    def option(
        self,
        view: TargetView,
        prompt: Prompt,
        account: str,
        is_isolated: bool,
        homes: Sequence[str],
    ) -> Chosen:
        """Return how a prompt would be sent to a given target."""
        version = view.version(prompt.model)
        salt = cache_salt(account, prompt.model, version, is_isolated)
        held = self.held_tokens(view.target.name, salt, prompt)
        source = self.source(view, salt, prompt, homes)
        gained = int(source.tokens * (1.0 - source.fetch_cost))
        return Chosen(
            view=view,
            version=version,
            salt=salt,
            prefill_tokens=max(0, prompt.tokens - held - gained),
            source=source.address,
            cache_store=self.cache_store_address(salt, prompt, source),
        )

    def cache_store_address(
        self, salt: str, prompt: Prompt, source: Source
    ) -> str:
        """Return the cache store's address if it lacks a part to prefill.

        The prompt's last part is not shared and does not count.
        """
        cache_store = self.cache_store
        if cache_store is None:
            return ""
        to_prefill = prompt.parts[source.parts : -1]
        if all(cache_store.held.holds(salt, part) for part in to_prefill):
            return ""
        return cache_store.address

    def held_tokens(self, name: str, salt: str, prompt: Prompt) -> int:
        """Return how many tokens of a prompt's prefix a target holds."""
        held = self.held.get(name)
        return held.held_tokens(salt, prompt.parts) if held else 0

    def source(
        self,
        view: TargetView,
        salt: str,
        prompt: Prompt,
        homes: Sequence[str],
    ) -> Source:
        """Return where a target should fetch cached parts that it lacks.

        A source need not hold the parts that the target holds itself.
        """
        local = self.held.get(view.target.name) or HeldParts(capacity_tokens=0)
        parts = prompt.parts
        local_count = covered_parts(salt, parts, [local])
        best = Source(parts=local_count)
        # A transfer between failure domains takes twice as long.
        near_first = sorted(
            self.pool,
            key=lambda other: other.target.domain != view.target.domain,
        )
        for other in near_first:
            held = self.held.get(other.target.name)
            if other is view or held is None:
                continue
            count = covered_parts(salt, parts, [local, held])
            if count > best.parts:
                best = Source(address=other.target.address, parts=count)
        if self.cache_store is not None:
            count = covered_parts(salt, parts, [local, self.cache_store.held])
            if count > best.parts:
                best = Source(
                    address=self.cache_store.address,
                    parts=count,
                    fetch_cost=CACHE_STORE_FETCH_COST,
                )
        if best.address:
            fetched = parts[local_count : best.parts]
            tokens = sum(part.tokens for part in fetched)
            return attrs.evolve(best, tokens=tokens)
        if local_count:
            return best
        # No cache is known to hold the first part, but another router may have
        # sent the prompt's prefix to its home.
        for other in self.pool:
            if other is not view and other.target.name in homes:
                return Source(address=other.target.address)
        return best

    def cost(self, option: Chosen, homes: Sequence[str]) -> float:
        """Return an option's cost, in prompt tokens to prefill."""
        view = option.view
        cost = float(option.prefill_tokens) + self.backlog_tokens(view)
        if option.version is not None and option.version < self.newest_version:
            cost += OLD_WEIGHTS_TOKENS
        if view.is_agent_silent(self.now_s):
            cost += SILENT_AGENT_TOKENS
        if view.target.name not in homes:
            return cost + NON_HOME_TOKENS
        return cost + SECOND_HOME_TOKENS * homes.index(view.target.name)

    def backlog_tokens(self, view: TargetView) -> float:
        """Return a target's pending work, in prompt tokens to prefill.

        The prefills of this router's own prompts are known.  Further prompts
        that the target reports come from other routers and are assumed to
        need the average prefill.
        """
        running, others = view.open_requests, 0
        status = view.fresh_status(self.now_s)
        if status is not None:
            running = max(running, status.running)
            others = status.reading + status.waiting - view.pending_prefills
        return (
            view.pending_prefill_tokens
            + max(0, others) * self.average_prefill_tokens
            + running * RUNNING_TOKENS
        )


def choose_call(
    ready: Sequence[TargetView], members: Members, domain: str
) -> Chosen | None:
    """Return the target of a call to a plain service; None if none is ready.

    Takes the target with the fewest open requests of this router per slot,
    plus a penalty for recent failures.  Ties go to this router's failure
    domain, so that calls stay near where that costs nothing.
    """
    if not ready:
        return None

    def cost(view: TargetView) -> tuple[float, bool, str]:
        failing = members.health_of(view.target.name).failure_share
        load = view.open_requests / max(1, view.target.slots)
        return (
            round(load + FAILING_COST * failing, 2),
            view.target.domain != domain,
            view.target.name,
        )

    return Chosen(view=min(ready, key=cost))
