"""One router's model of the prompt parts that targets have cached.

A router tracks which parts it sent to which target, up to the target's memory.
An error in the model costs a recomputation, never a wrong answer: a target
finds cached parts only under the salt of their account, model and version.
"""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final

import attrs
from xxhash import xxh3_64_hexdigest


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt; other prompts may share it in their prefix."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """The parameters of a request to a model, without its text."""

    model: str
    # Tokens of the prompt, and the maximum number of tokens to generate.
    tokens: int
    max_tokens: int
    # The caller's estimate of the generated tokens; 0 if it gave none.
    expected_tokens: int = 0
    # In the prompt's order; the last is specific to the request or its session.
    parts: tuple[PromptPart, ...] = ()

    @property
    def likely_tokens(self) -> int:
        """Estimate of the generated tokens; at most `max_tokens`."""
        if not self.expected_tokens:
            return self.max_tokens
        return min(self.expected_tokens, self.max_tokens)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other prompts may share: all but the last."""
        return self.parts[:-1]

    @property
    def placement_key(self) -> str:
        """Id of the deepest part that other prompts share."""
        shared = self.shared_parts or self.parts
        return shared[-1].id if shared else ""


# Salt and id of a cached part.
PartKey = tuple[str, str]
NO_HOLDERS: Final[Mapping[str, int]] = {}


@attrs.define(kw_only=True)
class PartIndex:
    """Which caches hold which parts, so that holders need not be searched."""

    # Tokens of each part by the name of the target or cache store.
    holders: dict[PartKey, dict[str, int]] = attrs.field(factory=dict)

    def put(self, key: PartKey, name: str, tokens: int) -> None:
        """Record how many tokens of a part a cache holds; 0 for none."""
        if tokens > 0:
            self.holders.setdefault(key, {})[name] = tokens
            return
        found = self.holders.get(key)
        if found is not None:
            found.pop(name, None)
            if not found:
                del self.holders[key]

    def holders_of(self, salt: str, part: PromptPart) -> Mapping[str, int]:
        """Return the tokens of a part that each cache holds."""
        return self.holders.get((salt, part.id), NO_HOLDERS)


@attrs.define(kw_only=True)
class HeldParts:
    """The prompt parts cached by one incarnation of a target."""

    capacity_tokens: int
    # Name of the target or cache store in the index.
    name: str = ""
    index: PartIndex = attrs.field(factory=PartIndex)
    tokens: int = 0
    # Part tokens by (salt, part id), least recently used first.
    parts: OrderedDict[PartKey, int] = attrs.field(factory=OrderedDict)

    def sent(self, salt: str, parts: Sequence[PromptPart]) -> None:
        """Record a prompt that was sent to the target."""
        for part in parts:
            self.changed(salt, part.id, part.tokens)

    def changed(self, salt: str, part: str, tokens: int) -> None:
        """Record how many tokens of a part the target holds now.

        Evicts the least recently used parts beyond the capacity.
        """
        key = (salt, part)
        self.tokens += tokens - self.parts.pop(key, 0)
        if tokens > 0:
            self.parts[key] = tokens
        self.index.put(key, self.name, tokens)
        while self.tokens > self.capacity_tokens and self.parts:
            evicted, freed = self.parts.popitem(last=False)
            self.index.put(evicted, self.name, 0)
            self.tokens -= freed

    def clear(self) -> None:
        """Remove all parts, as after a restart of the target."""
        for key in self.parts:
            self.index.put(key, self.name, 0)
        self.parts.clear()
        self.tokens = 0

    def held_tokens(self, salt: str, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens of a prompt's prefix are held."""
        held = 0
        for part in parts:
            tokens = self.parts.get((salt, part.id), 0)
            held += min(tokens, part.tokens)
            if tokens < part.tokens:
                break
        return held

    def holds(self, salt: str, part: PromptPart) -> bool:
        """Whether a part is held completely."""
        return self.parts.get((salt, part.id), 0) >= part.tokens


def cache_salt(scope: str, model: str, version: int) -> str:
    """Return the salt under which a prompt's parts are cached.

    Parts are never shared between scopes, between models or between versions
    of the weights.

    Args:
      scope: Names the accounts that share parts; see `cache_scope`.
      model: The prompt's model.
      version: Version of the model's weights.
    """
    return xxh3_64_hexdigest(f"{model}\n{version}\n{scope}".encode())
