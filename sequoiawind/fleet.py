"""The targets that have registered, and which of them may get new work.

Entries that vanish while the store is away may only have lapsed: a target
that lives registers again soon after the store's return, and is judged then.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from sequoiawind import defaults
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.members import Members
from sequoiawind.wire import TargetStatus

# Time from the store's return until a missing entry counts as gone, in
# seconds: the platform promises that live targets are back within about two.
RETURN_GRACE_S: Final = 2.2
# A status of an agent that is older says nothing about its target's load.
STATUS_LIFETIME_S: Final = 1.2
# How long to avoid a target that shed a request, in seconds: about the time
# in which a target works off a full queue or loads weights.
SHED_PAUSE_S: Final = 0.25


@attrs.define(kw_only=True)
class TargetView:
    """What one router knows of one incarnation of a target."""

    target: ForwardTarget
    # The agent's last report, and when it came; None before the first.
    status: TargetStatus | None = None
    status_s: float = -1.0
    # Requests of this router under way there.
    open_requests: int = 0
    # Those whose answer has not begun, and the tokens that they have to read.
    unread_requests: int = 0
    unread_tokens: int = 0
    # New work goes elsewhere until then, in seconds of the clock.
    shed_until_s: float = -1.0
    # Weights version by model that its answers named; newer than `target`'s.
    seen_versions: dict[str, int] = attrs.field(factory=dict)

    def fresh_status(self, now_s: float) -> TargetStatus | None:
        """Return the agent's report unless it is too old."""
        if now_s - self.status_s > STATUS_LIFETIME_S:
            return None
        return self.status

    def takes_work(self, now_s: float, is_long: bool = False) -> bool:
        """Whether neither its agent nor itself has said otherwise lately.

        Args:
          now_s: The time.
          is_long: Whether the work may take long.
        """
        status = self.fresh_status(now_s)
        if status is not None:
            if status.is_loading or not status.is_reachable:
                return False
            if status.is_winding_down and is_long:
                return False
        return self.shed_until_s <= now_s

    def is_agent_silent(self, now_s: float) -> bool:
        """Whether an agent that was heard before is not heard any more."""
        return self.status is not None and self.fresh_status(now_s) is None

    def version(self, model: str) -> int:
        """Return the weights version that the target has of a model."""
        known = [self.target.versions.get(model, 0)]
        known.append(self.seen_versions.get(model, 0))
        if self.status is not None:
            known.append(self.status.versions.get(model, 0))
        return max(known)


@attrs.define(kw_only=True)
class Fleet:
    """The targets as one router sees them."""

    members: Members = attrs.field(factory=Members)
    views: dict[str, TargetView] = attrs.field(factory=dict)
    # Entries whose records are gone, and when each went.
    missing: dict[str, float] = attrs.field(factory=dict)
    # When the store last came back, in seconds of the clock.
    store_back_s: float = float("-inf")
    is_store_away: bool = False

    def put(self, target: ForwardTarget) -> bool:
        """Take an entry in; whether it begins a new incarnation."""
        self.missing.pop(target.name, None)
        known = self.views.get(target.name)
        if known and known.target.incarnation == target.incarnation:
            known.target = target
            return False
        if known is not None and known.target.born_ms > target.born_ms:
            return False
        self.views[target.name] = TargetView(target=target)
        self.members.health.pop(target.name, None)
        return True

    def remove(self, name: str, now_s: float) -> None:
        """Note that an entry's record is gone."""
        if name not in self.views:
            return
        self.missing.setdefault(name, now_s)
        self.judge(now_s)

    def store_lost(self) -> None:
        """Note that the store does not answer."""
        self.is_store_away = True

    def store_back(self, now_s: float) -> None:
        """Note that the store answers again."""
        self.is_store_away = False
        self.store_back_s = now_s

    def judge(self, now_s: float) -> None:
        """Drop missing entries, unless they may only have lapsed."""
        if self.is_store_away or now_s < self.judged_at_s:
            return
        for name in self.missing:
            self.views.pop(name, None)
            self.members.health.pop(name, None)
        self.missing.clear()

    @property
    def judged_at_s(self) -> float:
        """When missing entries count as gone, in seconds of the clock."""
        return self.store_back_s + RETURN_GRACE_S

    def usable(self, pool: str, now_s: float) -> list[TargetView]:
        """Return the targets of a pool that may get new work.

        Those that fail are left out, up to a set share of the pool.
        """
        self.judge(now_s)
        views = [
            view
            for view in newest_by_address(self.views.values(), pool)
            if not is_leaving(view)
        ]
        staying = self.members.without_ejected(
            [view.target for view in views], now_s
        )
        names = {target.name for target in staying}
        return [view for view in views if view.target.name in names]

    def ready(
        self, pool: str, now_s: float, is_long: bool = False
    ) -> list[TargetView]:
        """Return the usable targets that would not shed a request now.

        Long work goes to a target that is about to load only if all are.
        """
        usable = self.usable(pool, now_s)
        ready = [view for view in usable if view.takes_work(now_s, is_long)]
        if not ready and is_long:
            return [view for view in usable if view.takes_work(now_s)]
        return ready

    def shed(self, name: str, now_s: float) -> None:
        """Note that a target refused a request for want of room."""
        view = self.views.get(name)
        if view is not None:
            view.shed_until_s = now_s + SHED_PAUSE_S

    def heard(self, name: str, status: TargetStatus, now_s: float) -> None:
        """Take in what an agent reports of its target."""
        view = self.views.get(name)
        if view is None:
            return
        view.status = status
        view.status_s = now_s

    def failed(self, name: str, now_s: float, is_certain: bool) -> None:
        """Note a failure of a target; certain ones eject it at once."""
        health = self.members.of(name)
        if is_certain:
            least = defaults.EJECT_AFTER_FAILURES - 1
            health.failures = max(health.failures, least)
        self.members.failed(name, now_s)

    def routers(self, now_s: float) -> int:
        """Return the routers that the agents hear from; 0 if not known."""
        told = [
            status.routers
            for view in self.views.values()
            if (status := view.fresh_status(now_s)) is not None
        ]
        return max(told, default=0)


def newest_by_address(
    views: Iterable[TargetView], pool: str
) -> list[TargetView]:
    """Return a pool's targets without those that another has replaced.

    The entry of a target that crashed stays for a while; one that has started
    later at the same address shows that it is gone.
    """
    newest: dict[str, TargetView] = {}
    for view in views:
        if view.target.pool != pool:
            continue
        known = newest.get(view.target.address)
        if known is None or known.target.born_ms < view.target.born_ms:
            newest[view.target.address] = view
    return list(newest.values())


def is_leaving(view: TargetView) -> bool:
    """Whether a target drains, by its entry or by its agent."""
    if view.target.is_draining:
        return True
    return view.status is not None and view.status.is_draining
