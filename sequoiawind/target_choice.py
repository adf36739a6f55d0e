"""Where a forwarded request goes: a pure function of what the router knows.

Answers three patterns of load.  Prompts that share long beginnings: they go to
a home by rendezvous order over the deepest shared part, so that all routers
agree without messages, and fetch from the home when they go elsewhere.  A home
that is busy: the cost of waiting there is weighed against recomputing or
fetching at the next.  Weights that change: a target that loads or has older
weights than the request may run on is left out.
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

# Cost of a running request ahead, in prompt tokens that could be read in the
# time of its share of the batch's steps.
RUNNING_TOKENS: Final = 120
# Tokens that a prompt of another router has to read, until this router has
# sent prompts of its own: a prompt of common size.
USUAL_TOKENS: Final = 2_000
# Cost of fetching a token from another target or from the keeper, relative to
# reading it: the links of targets are an order of magnitude faster.
FETCH_COST: Final = 0.1
KEEPER_FETCH_COST: Final = 0.4
# Homes of a prompt's shared part, which are weighed before the rest.
HOMES: Final = 2
# Cost added to a prompt's second home, in prompt tokens, so that routers that
# know as little as each other agree on the first.
SECOND_HOME_TOKENS: Final = 600
# Cost added to targets that are not homes, in prompt tokens: they lack the
# shared parts, and their own prompts are displaced.
STRANGER_TOKENS: Final = 1_500
# Cost added to targets that will load newer weights, in prompt tokens: what
# they read is soon lost, and what they have to read holds up the load.
OLD_WEIGHTS_TOKENS: Final = 6_000
# Cost added to targets whose agent has fallen silent: their VM may be lost.
SILENT_AGENT_TOKENS: Final = 10_000
# Cost of a call at a plain service whose recent calls have all failed, in
# calls under way.
FAILING_COST: Final = 8.0


@attrs.frozen(kw_only=True)
class Chosen:
    """A target for a request, and what to tell it."""

    view: TargetView
    # Weights version that the target must have; None for plain services.
    version: int | None = None
    salt: str = ""
    # Prompt tokens that the target is believed to lack.
    missing_tokens: int = 0
    # Address of a target or keeper to fetch cached parts from, and of the
    # keeper that should get what is read; empty for none.
    source: str = ""
    keeper: str = ""


@attrs.frozen(kw_only=True)
class Source:
    """Where a target may fetch the beginning of a prompt."""

    address: str = ""
    # Parts that the target has then, its own ones included.
    parts: int = 0
    # Tokens beyond those that the target holds itself.
    tokens: int = 0
    fetch_cost: float = FETCH_COST


@attrs.frozen(kw_only=True)
class Keeper:
    """A store of kept parts."""

    address: str
    held: HeldParts


@attrs.frozen(kw_only=True)
class PromptChooser:
    """Chooses targets for prompts."""

    # What each target holds, by its name.
    held: Mapping[str, HeldParts]
    # The pool's store of kept parts; None if there is none that answers.
    keeper: Keeper | None = None
    # Targets of the pool, also those that take no work now.
    pool: Sequence[TargetView]
    now_s: float
    # The newest weights version that was named; 0 if none was.
    newest_version: int = 0
    # Tokens that a prompt has to read, on the average of this router's.
    usual_tokens: float = USUAL_TOKENS

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
          ready: The targets that would take work.
          prompt: The prompt.
          account: Name of its client account.
          is_isolated: Whether the account shares no cached parts.
          oldest_version: Weights on which the request may still begin.
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
        """Return the names of a prompt's homes, first the one to prefer."""
        key = prompt.placement_key.encode()
        scored = sorted(
            self.pool,
            key=lambda view: (
                xxh3_64_intdigest(view.target.name.encode() + b"/" + key),
                view.target.name,
            ),
            reverse=True,
        )
        return [view.target.name for view in scored[:HOMES]]

    def option(
        self,
        view: TargetView,
        prompt: Prompt,
        account: str,
        is_isolated: bool,
        homes: Sequence[str],
    ) -> Chosen:
        """Return what sending a prompt to one target would mean."""
        version = view.version(prompt.model)
        salt = cache_salt(account, prompt.model, version, is_isolated)
        held = self.held_tokens(view.target.name, salt, prompt)
        source = self.source(view, salt, prompt, homes)
        gained = int(source.tokens * (1.0 - source.fetch_cost))
        return Chosen(
            view=view,
            version=version,
            salt=salt,
            missing_tokens=max(0, prompt.tokens - held - gained),
            source=source.address,
            keeper=self.keeper_address(salt, prompt, source),
        )

    def keeper_address(self, salt: str, prompt: Prompt, source: Source) -> str:
        """Return the keeper if it lacks a shared part that will be read."""
        keeper = self.keeper
        if keeper is None:
            return ""
        to_read = prompt.parts[source.parts : -1]
        if all(keeper.held.holds(salt, part) for part in to_read):
            return ""
        return keeper.address

    def held_tokens(self, name: str, salt: str, prompt: Prompt) -> int:
        """Return the tokens of a prompt that a target holds."""
        held = self.held.get(name)
        return held.held_tokens(salt, prompt.parts) if held else 0

    def source(
        self,
        view: TargetView,
        salt: str,
        prompt: Prompt,
        homes: Sequence[str],
    ) -> Source:
        """Return where a target should fetch what it lacks of a prompt.

        A source need not hold the parts that the target holds itself.
        """
        own = self.held.get(view.target.name) or HeldParts(capacity_tokens=0)
        parts = prompt.parts
        has = covered_parts(salt, parts, [own])
        best = Source(parts=has)
        # Between failure domains a move takes twice as long.
        near_first = sorted(
            self.pool,
            key=lambda other: other.target.domain != view.target.domain,
        )
        for other in near_first:
            held = self.held.get(other.target.name)
            if other is view or held is None:
                continue
            count = covered_parts(salt, parts, [own, held])
            if count > best.parts:
                best = Source(address=other.target.address, parts=count)
        if self.keeper is not None:
            count = covered_parts(salt, parts, [own, self.keeper.held])
            if count > best.parts:
                best = Source(
                    address=self.keeper.address,
                    parts=count,
                    fetch_cost=KEEPER_FETCH_COST,
                )
        if best.address:
            fetched = parts[has : best.parts]
            tokens = sum(part.tokens for part in fetched)
            return attrs.evolve(best, tokens=tokens)
        if has:
            return best
        # Another router may have sent the prompt's beginning to its home.
        for other in self.pool:
            if other is not view and other.target.name in homes:
                return Source(address=other.target.address)
        return best

    def cost(self, option: Chosen, homes: Sequence[str]) -> float:
        """Return what a target costs, in prompt tokens to read."""
        view = option.view
        cost = float(option.missing_tokens) + self.ahead(view)
        if option.version is not None and option.version < self.newest_version:
            cost += OLD_WEIGHTS_TOKENS
        if view.is_agent_silent(self.now_s):
            cost += SILENT_AGENT_TOKENS
        if view.target.name not in homes:
            return cost + STRANGER_TOKENS
        return cost + SECOND_HOME_TOKENS * homes.index(view.target.name)

    def ahead(self, view: TargetView) -> float:
        """Return the work ahead at a target, in prompt tokens to read.

        This router knows what its own prompts have to read; those that the
        target reports beyond them are other routers', of the usual size.
        """
        running, unread = view.open_requests, 0
        status = view.fresh_status(self.now_s)
        if status is not None:
            running = max(running, status.running)
            unread = status.reading + status.waiting - view.unread_requests
        return (
            view.unread_tokens
            + max(0, unread) * self.usual_tokens
            + running * RUNNING_TOKENS
        )


def choose_call(
    ready: Sequence[TargetView], members: Members, domain: str
) -> Chosen | None:
    """Return the target of a call to a plain service; None if none is ready.

    The fewest requests of this router by place, failures counted in; equal
    ones by failure domain, so that calls stay near where that costs nothing.
    """
    if not ready:
        return None

    def cost(view: TargetView) -> tuple[float, bool, str]:
        failing = members.of(view.target.name).failure_share
        load = view.open_requests / max(1, view.target.slots)
        return (
            round(load + FAILING_COST * failing, 2),
            view.target.domain != domain,
            view.target.name,
        )

    return Chosen(view=min(ready, key=cost))
