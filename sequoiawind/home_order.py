"""The order in which the targets of a pool are homes of a prompt.

Every router computes the same order by rendezvous hashing, without messages.
An order depends on the prompt's placement key and the names of the pool's
targets only, so it is kept until a target joins or leaves: a target that fails
or loads weights for a while is skipped, and the other homes stay.
"""

from collections.abc import Iterable
from typing import Final

import attrs
from xxhash import xxh3_64_intdigest

# Targets kept for each key: the homes, and those that take over where these
# take no work.
KEPT_HOMES: Final = 8
# Maximum number of keys kept.
MAX_KEYS: Final = 20_000


@attrs.define(kw_only=True)
class HomeOrder:
    """The home targets of one pool's prompts, by placement key."""

    names: frozenset[str] = frozenset()
    orders: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def set_members(self, names: Iterable[str]) -> None:
        """Use the given targets; the orders are kept if none has changed."""
        members = frozenset(names)
        if members != self.names:
            self.names = members
            self.orders.clear()

    def order(self, key: str) -> tuple[str, ...]:
        """Return the first `KEPT_HOMES` targets for a key, preferred first."""
        found = self.orders.get(key)
        if found is None:
            if len(self.orders) >= MAX_KEYS:
                self.orders.clear()
            suffix = b"/" + key.encode()
            scored = sorted(
                self.names,
                key=lambda name: (
                    xxh3_64_intdigest(name.encode() + suffix),
                    name,
                ),
                reverse=True,
            )
            found = self.orders[key] = tuple(scored[:KEPT_HOMES])
        return found
