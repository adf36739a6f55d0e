"""Entries that another writer has left under the name of a target.

A target keeps its pool and address from its start to its end.  So an entry of
the same start that names others is not the target's own.  Entries like the
first one hold; others count only once there have been no more of these for a
while, should the first one have been the foreign one.
"""

from collections import OrderedDict
from typing import Final

import attrs

from sequoiawind.forward_state import ForwardTarget
from sequoiawind.ports import Clock

# Time after which entries that differ from the first one count, in seconds:
# more than the three heartbeats for which a silent target's entry stays.
CONTEST_S: Final = 4.0
# Targets whose first entries are kept.
MAX_TARGETS: Final = 10_000


@attrs.define(kw_only=True)
class TargetIdentity:
    """The pool and address of a target."""

    pool: str
    address: str
    # Since when entries have named others, in seconds of the clock; None if the
    # last one named these.
    contested_s: float | None = None

    def is_of(self, target: ForwardTarget) -> bool:
        """Whether an entry names this pool and address."""
        return (self.pool, self.address) == (target.pool, target.address)


@attrs.define(kw_only=True)
class TargetIdentities:
    """What the targets have named first, by name and start."""

    clock: Clock
    known: OrderedDict[tuple[str, int], TargetIdentity] = attrs.field(
        factory=OrderedDict
    )

    def is_own(self, target: ForwardTarget) -> bool:
        """Whether an entry is the target's own, as far as is known.

        Entries that state no start cannot be told apart, and count.
        """
        if not target.born_ms:
            return True
        identity = self.known.get(target.incarnation)
        if identity is None:
            self.put(target)
            return True
        if identity.is_of(target):
            identity.contested_s = None
            return True
        now_s = self.clock.seconds()
        if identity.contested_s is None:
            identity.contested_s = now_s
        if now_s - identity.contested_s < CONTEST_S:
            return False
        self.put(target)
        return True

    def put(self, target: ForwardTarget) -> None:
        """Note what a target names."""
        self.known[target.incarnation] = TargetIdentity(
            pool=target.pool, address=target.address
        )
        while len(self.known) > MAX_TARGETS:
            self.known.popitem(last=False)
