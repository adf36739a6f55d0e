"""Choosing the target of a forwarded request.

The choice is a pure function of the router's state.  It handles five patterns
of load:

- Prompts with long shared prefixes.  They go to a home target, found by
  rendezvous hashing of the deepest shared part, so that all routers agree
  without exchanging messages; elsewhere they fetch cached parts from the home.
- A busy home.  The cost of waiting there is compared with that of recomputing
  or fetching the parts at another target.
- Changing weights.  A target whose weights are older than the request may run
  on is left out, and one that loads weights is not among the ready ones.
- Targets of unequal speed.  The work at a target is multiplied by its factor,
  its time for some work relative to the middle of its pool.
- Pools of many targets.  Only a few candidates are compared: the first homes,
  targets that hold the deepest shared part, and the least loaded targets.  So
  the time for a choice hardly grows with the pool.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final

import attrs
from xxhash import xxh3_64_intdigest

from sequoiawind.fleet import TargetView
from sequoiawind.home_order import HomeOrder
from sequoiawind.prompt_cache import PartIndex, Prompt, cache_salt

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
# Targets of each sort that are compared: the first in the home order, and those
# that hold the deepest shared part.
HOME_CANDIDATES: Final = 4
HOLDER_CANDIDATES: Final = 3
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
# Share of a router's average of tokens to prefill that costs a target nothing
# more if it is slow.  The same as if slow targets were cheaper by it: otherwise
# they would stand idle, since any faster one is better for each prompt alone.
# Of 0 to 2, this one evens out the use of targets in `lab.pace_model`.
SHARED_TOKENS: Final = 0.5
# How much more a prompt's own tokens to prefill count than the work before it,
# where speeds differ: long prompts go to fast targets and short ones to slow
# ones, behind which fewer then wait for long.  Chosen in the same way.
SIZE_WEIGHT: Final = 4.0
# Highest factor to which both apply.  Beyond it, a target has come to a halt or
# slowed down for a while, and no prompt should be drawn to it.
MAX_SHARED_FACTOR: Final = 1.8
# Longest answer of a run that a target still accepts while it winds down to
# load weights, in tokens: engines generate about as many in that time.
SHORT_RUN_TOKENS: Final = 64


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
    # Work of the target before the answer can begin: its pending work and
    # `prefill_tokens`, in prompt tokens; 1 for a call to a plain service.
    work_tokens: float = 0.0


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

    # Name in the index of parts.
    name: str
    address: str


@attrs.frozen(kw_only=True, eq=False)
class Holders:
    """Which caches hold the parts of one prompt under one salt."""

    prompt: Prompt
    salt: str
    # For each part, the tokens that each cache holds.
    tokens: tuple[Mapping[str, int], ...]
    # For each part, the targets of the pool that hold it completely.
    targets: tuple[frozenset[str], ...]

    def held_tokens(self, name: str) -> int:
        """Return how many tokens of the prompt's prefix a cache holds."""
        held = 0
        for part, tokens in zip(self.prompt.parts, self.tokens, strict=True):
            found = tokens.get(name, 0)
            held += min(found, part.tokens)
            if found < part.tokens:
                break
        return held

    def holds(self, name: str, place: int) -> bool:
        """Whether a cache holds the part at a place completely."""
        part = self.prompt.parts[place]
        return self.tokens[place].get(name, 0) >= part.tokens

    def leading_parts(self, *names: str) -> int:
        """Return how many leading parts are each held by one of the caches."""
        count = 0
        while count < len(self.tokens) and any(
            self.holds(name, count) for name in names
        ):
            count += 1
        return count

    def best_sources(self, name: str, start: int) -> tuple[frozenset[str], int]:
        """Return the other targets that complete the longest prefix.

        Args:
          name: The target that fetches; parts that it holds itself are not
            needed elsewhere.
          start: The number of leading parts that it holds.

        Returns:
          The targets, each of which completes the same number of leading
          parts, and that number; no targets if none holds the next part.
        """
        sources: frozenset[str] = frozenset()
        count = start
        while count < len(self.targets):
            if not self.holds(name, count):
                others = self.targets[count] - {name}
                common = sources & others if sources else others
                if not common:
                    break
                sources = common
            count += 1
        return sources, count


def equal_factor(view: TargetView) -> float:
    """Return the factor of a target if speeds are not known."""
    return 1.0


@attrs.frozen(kw_only=True)
class PromptChooser:
    """Chooses targets for prompts."""

    index: PartIndex
    homes: HomeOrder
    # The usable targets of the pool by name, including those that take no work
    # now.
    pool: Mapping[str, TargetView]
    # Names of targets with little pending work, as candidates beside the homes
    # and holders.
    spare: Sequence[str] = ()
    # The cache stores that answer.
    cache_stores: Sequence[CacheStore] = ()
    now_s: float
    # The newest weights version that was named; 0 if none was.
    newest_version: int = 0
    # Average of the tokens to prefill for a prompt of this router.
    average_prefill_tokens: float = DEFAULT_PREFILL_TOKENS
    # Returns a target's time for some work relative to the pool's middle.
    factor: Callable[[TargetView], float] = equal_factor

    def choose(
        self,
        prompt: Prompt,
        scope: str,
        oldest_version: int = 0,
        oldest_queued: int = 0,
        is_long: bool = False,
        excluded: Collection[str] = (),
    ) -> Chosen | None:
        """Return the cheapest target; None if none may take the prompt.

        The arguments are those of `ranked`.
        """
        options = self.ranked(
            prompt,
            scope,
            oldest_version,
            oldest_queued,
            is_long,
            excluded,
        )
        return options[0] if options else None

    def ranked(
        self,
        prompt: Prompt,
        scope: str,
        oldest_version: int = 0,
        oldest_queued: int = 0,
        is_long: bool = False,
        excluded: Collection[str] = (),
    ) -> list[Chosen]:
        """Return the targets that may take the prompt, the cheapest first.

        Args:
          prompt: The prompt.
          scope: The accounts with which it shares cached parts; see
            `cache_scope`.
          oldest_version: Oldest weights version that the request may use.
          oldest_queued: The same at targets where requests wait.
          is_long: Whether the answer may be long: targets that wind down to
            load weights get such prompts only if there are no others.
          excluded: Names of targets that must not be chosen.
        """

        def is_able(name: str, is_long: bool) -> bool:
            view = self.pool.get(name)
            if view is None or name in excluded:
                return False
            if not view.takes_work(self.now_s, is_long):
                return False
            version = view.version(prompt.model)
            if version < oldest_queued and view.has_queue(self.now_s):
                return False
            return version >= oldest_version

        known: dict[str, Holders] = {}

        def holders_for(view: TargetView) -> Holders:
            version = view.version(prompt.model)
            salt = cache_salt(scope, prompt.model, version)
            if salt not in known:
                known[salt] = self.holders(salt, prompt)
            return known[salt]

        order = [
            name
            for name in self.homes.order(prompt.placement_key)
            if name in self.pool
        ]
        names = self.candidates(order, holders_for, prompt)
        able = [name for name in names if is_able(name, is_long)]
        if not able:
            able = [name for name in self.pool if is_able(name, is_long)]
        if not able and is_long:
            able = [name for name in self.pool if is_able(name, False)]
        homes = order[:HOME_COUNT]
        options = [
            self.option(view, holders_for(view), homes)
            for view in map(self.pool.__getitem__, able)
        ]
        return sorted(options, key=lambda option: self.cost(option, homes))

    def candidates(
        self,
        order: Sequence[str],
        holders_for: Callable[[TargetView], Holders],
        prompt: Prompt,
    ) -> list[str]:
        """Return the names of the targets to compare, without repeats."""
        names = list(order[:HOME_CANDIDATES])
        if names and len(prompt.parts) > 1:
            holders = holders_for(self.pool[names[0]])
            deepest = holders.targets[len(prompt.parts) - 2]
            names += sorted(deepest)[:HOLDER_CANDIDATES]
        return list(dict.fromkeys((*names, *self.spare)))

    def holders(self, salt: str, prompt: Prompt) -> Holders:
        """Return which caches hold the parts of a prompt under a salt."""
        tokens = tuple(
            self.index.holders_of(salt, part) for part in prompt.parts
        )
        targets = tuple(
            frozenset(
                name
                for name, count in held.items()
                if count >= part.tokens and name in self.pool
            )
            for part, held in zip(prompt.parts, tokens, strict=True)
        )
        return Holders(prompt=prompt, salt=salt, tokens=tokens, targets=targets)

    def option(
        self, view: TargetView, holders: Holders, homes: Sequence[str]
    ) -> Chosen:
        """Return how a prompt would be sent to a given target."""
        prompt = holders.prompt
        held = holders.held_tokens(view.target.name)
        source = self.source(view, holders, homes)
        gained = int(source.tokens * (1.0 - source.fetch_cost))
        prefill_tokens = max(0, prompt.tokens - held - gained)
        backlog = backlog_tokens(view, self.now_s, self.average_prefill_tokens)
        return Chosen(
            view=view,
            version=view.version(prompt.model),
            salt=holders.salt,
            prefill_tokens=prefill_tokens,
            source=source.address,
            cache_store=self.cache_store_address(holders, source),
            work_tokens=float(prefill_tokens) + backlog,
        )

    def home_store(self, prompt: Prompt) -> CacheStore | None:
        """Return the cache store that keeps a prompt's parts.

        Each prompt has one, so that the stores together keep more prompts.
        """
        key = b"/" + prompt.placement_key.encode()
        return max(
            self.cache_stores,
            key=lambda store: xxh3_64_intdigest(store.name.encode() + key),
            default=None,
        )

    def cache_store_address(self, holders: Holders, source: Source) -> str:
        """Return the cache store's address if it lacks a part to prefill.

        The prompt's last part is not shared and does not count.
        """
        store = self.home_store(holders.prompt)
        if store is None:
            return ""
        to_prefill = range(source.parts, len(holders.prompt.parts) - 1)
        if all(holders.holds(store.name, place) for place in to_prefill):
            return ""
        return store.address

    def source(
        self, view: TargetView, holders: Holders, homes: Sequence[str]
    ) -> Source:
        """Return where a target should fetch cached parts that it lacks.

        A source need not hold the parts that the target holds itself.
        """
        name, parts = view.target.name, holders.prompt.parts
        local_count = holders.leading_parts(name)
        best = Source(parts=local_count)
        names, count = holders.best_sources(name, local_count)
        if names:
            # A transfer between failure domains takes twice as long.
            chosen = min(
                names,
                key=lambda other: (
                    self.pool[other].target.domain != view.target.domain,
                    other,
                ),
            )
            address = self.pool[chosen].target.address
            best = Source(address=address, parts=count)
        for store in self.cache_stores:
            count = holders.leading_parts(name, store.name)
            if count > best.parts:
                best = Source(
                    address=store.address,
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
        for home in homes:
            if home != name:
                return Source(address=self.pool[home].target.address)
        return best

    def cost(self, option: Chosen, homes: Sequence[str]) -> float:
        """Return an option's cost, in prompt tokens to prefill."""
        view = option.view
        factor = self.factor(view)
        cost = factor * option.work_tokens
        if factor <= MAX_SHARED_FACTOR:
            average = self.average_prefill_tokens
            cost += (factor - 1.0) * (
                SIZE_WEIGHT * (option.prefill_tokens - average)
                - SHARED_TOKENS * average
            )
        if option.version is not None and option.version < self.newest_version:
            cost += OLD_WEIGHTS_TOKENS
        if view.is_agent_silent(self.now_s):
            cost += SILENT_AGENT_TOKENS
        if view.target.name not in homes:
            return cost + NON_HOME_TOKENS
        return cost + SECOND_HOME_TOKENS * homes.index(view.target.name)

    def backlog_tokens(self, view: TargetView) -> float:
        """Return a target's pending work times its factor.

        The unit is a prompt token to prefill at the pool's middle.
        """
        return self.factor(view) * backlog_tokens(
            view, self.now_s, self.average_prefill_tokens
        )


def backlog_tokens(
    view: TargetView, now_s: float, average_prefill_tokens: float
) -> float:
    """Return a target's pending work, in prompt tokens to prefill.

    The prefills of this router's own prompts are known.  Further prompts that
    the target reports come from other routers and are assumed to need the
    average prefill.
    """
    running, others = view.open_requests, 0
    status = view.fresh_status(now_s)
    if status is not None:
        running = max(running, status.running)
        others = status.reading + status.waiting - view.pending_prefills
    return (
        view.pending_prefill_tokens
        + max(0, others) * average_prefill_tokens
        + running * RUNNING_TOKENS
    )


def is_long_run(prompt: Prompt) -> bool:
    """Whether a prompt's answer is likely to take long to generate."""
    return prompt.likely_tokens > SHORT_RUN_TOKENS
