"""Which software versions serve the pools, or did lately."""

from collections.abc import Iterable
from typing import Final

import attrs

from sequoiawind.forward_state import ForwardTarget

# How long a pool remembers the software versions of targets that are gone, in
# seconds: longer than callers try to resume a stream.
SOFTWARE_MEMORY_S: Final = 30.0

# A pool and a software version, None for an unknown one.
SoftwareKey = tuple[str, str | None]


@attrs.define(kw_only=True)
class SoftwareMemory:
    """The software versions of a fleet's targets, and of those lately gone."""

    # When targets of a pool and software version were last known, in seconds of
    # the clock, and those of targets that have gone since.
    seen_s: dict[SoftwareKey, float] = attrs.field(factory=dict)
    gone: set[SoftwareKey] = attrs.field(factory=set)

    def note_gone(self, target: ForwardTarget) -> None:
        """Note that a target no longer serves at its version."""
        self.gone.add(software_key(target))

    def versions(
        self, pool: str, targets: Iterable[ForwardTarget], now_s: float
    ) -> frozenset[str | None]:
        """Return the versions that serve a pool, or did lately.

        Those of targets that are gone count for `SOFTWARE_MEMORY_S`.  None
        stands for a version that is unknown.

        Args:
          pool: The pool.
          targets: All targets that there are now.
          now_s: The time, in seconds of the clock.
        """
        serving = {software_key(target) for target in targets}
        # An unknown version is remembered only if it did not become known.
        known = {key for key in serving if key[1] is not None}
        self.seen_s.update(dict.fromkeys(known | self.gone, now_s))
        self.gone.clear()
        for key in list(self.seen_s):
            if now_s - self.seen_s[key] > SOFTWARE_MEMORY_S:
                del self.seen_s[key]
        return frozenset(
            software
            for name, software in serving | self.seen_s.keys()
            if name == pool
        )


def software_key(target: ForwardTarget) -> SoftwareKey:
    """Return a target's pool and the version of its software."""
    return (target.pool, None if target.is_replaced else target.software)
