"""Which weights versions new requests may use, by what operators have named."""

from typing import Final

import attrs

from sequoiawind import rollout
from sequoiawind.ports import Clock
from sequoiawind.rollout import NamedVersion

# Share of the time allowed for new weights after which a request may no longer
# begin on older ones; the rest is for its transfer to the target.
OLD_WEIGHTS_SHARE: Final = 0.75
# The same share at a target where requests wait, for the time in its queue.
QUEUED_SHARE: Final = 0.5
# Share of the time after which a request that has not begun on older weights is
# withdrawn; the rest is for the news of the weights on its way to the router.
WITHDRAW_SHARE: Final = 0.9
# Share of the grace period after a router's start for which it accepts older
# weights; the rest is for queues at the targets.
SETTLE_SHARE: Final = 0.6


@attrs.define(kw_only=True)
class AllowedWeights:
    """The weights versions that one router knows to be named."""

    clock: Clock
    # Time within which all targets must have newer weights, in seconds.
    weights_s: float
    # Grace period after a router's start in which that bound does not hold, in
    # seconds.
    settle_s: float
    # Weights versions by model, in the order in which operators named them.
    named: dict[str, list[NamedVersion]] = attrs.field(factory=dict)

    def newest(self, model: str) -> int:
        """Return the newest weights version that was named; 0 if none was."""
        named = self.named.get(model)
        return named[-1].version if named else 0

    def oldest(self, model: str, is_queued: bool = False) -> int:
        """Return the oldest weights version that a new request may use.

        Args:
          model: The model.
          is_queued: Whether requests wait at the target.
        """
        return self.oldest_after(
            model, QUEUED_SHARE if is_queued else OLD_WEIGHTS_SHARE
        )

    def oldest_begun(self, model: str) -> int:
        """Return the oldest version on which a waiting request may begin."""
        return self.oldest_after(model, WITHDRAW_SHARE)

    def oldest_after(self, model: str, share: float) -> int:
        """Return the newest version named more than a share of the time ago."""
        now_s = self.clock.seconds()
        return max(
            (
                item.version
                for item in self.named.get(model, ())
                if item.named_s + self.weights_s * share <= now_s
            ),
            default=0,
        )

    def next_withdrawal_s(self) -> float | None:
        """Return when `oldest_begun` rises next, in seconds; None if never."""
        now_s = self.clock.seconds()
        due_s = [
            item.named_s + self.weights_s * WITHDRAW_SHARE
            for named in self.named.values()
            for item in named
        ]
        return min(
            (at_s - now_s for at_s in due_s if at_s > now_s), default=None
        )

    def replaced_for_s(self, model: str, version: int) -> float:
        """Return since when newer weights than a version are named.

        Returns:
          The time in seconds; -1 if the version is the newest one.
        """
        newer = [
            item.named_s
            for item in self.named.get(model, ())
            if item.version > version
        ]
        return self.clock.seconds() - min(newer) if newer else -1.0

    def version_named(self, model: str, version: int, is_late: bool) -> None:
        """Record that an operator has named newer weights.

        Args:
          model: The model.
          version: Its new weights version.
          is_late: Whether it may have been named long ago, as it was found by
            reading all records after a start or a failure of the store.
        """
        named_s = self.clock.seconds()
        if is_late:
            allowed_s = self.weights_s * OLD_WEIGHTS_SHARE
            named_s -= max(0.0, allowed_s - self.settle_s * SETTLE_SHARE)
        rollout.add_version(
            self.named.setdefault(model, []),
            NamedVersion(version=version, named_s=named_s),
        )
