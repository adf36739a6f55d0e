"""The registered targets, and which of them may get new work.

Entries that vanish while the store is unavailable may only have expired: a
live target registers again soon after the store has recovered.  So entries
missing after an outage are dropped only after a grace period.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from sequoiawind import defaults
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.members import Members
from sequoiawind.software_memory import SoftwareMemory
from sequoiawind.target_limit import TargetLimit
from sequoiawind.wire import TargetStatus

# Time from the store's recovery until missing entries are dropped, in seconds:
# the platform guarantees that live targets register again within about two.
RETURN_GRACE_S: Final = 2.2
# Age above which an agent's status is too old to indicate its target's load,
# in seconds.
STATUS_LIFETIME_S: Final = 1.6
# Number of incarnations whose notices are kept.
MAX_NOTICES: Final = 1_000
# Share of a target's limit that routers divide equally; the rest goes by their
# demand.
EQUAL_SHARE: Final = 0.2
# Age above which a relay's number of routers is too old, in seconds.
ROUTERS_LIFETIME_S: Final = 10.0
# How long to avoid a target that shed a request, in seconds: about the time
# in which a target drains a full queue or loads weights.
SHED_PAUSE_S: Final = 0.25


@attrs.define(kw_only=True)
class TargetNotice:
    """What an incarnation has stated in its answers to this router.

    It holds also if the incarnation's entry vanishes for a while.
    """

    is_leaving: bool = False
    # Time until which it wants nothing from this VM, in seconds of the clock.
    paused_until_s: float = -1.0
    # This router's part of the limit that it states; None if it states none.
    limit: TargetLimit | None = None


@attrs.define(kw_only=True)
class TargetView:
    """One router's state for one incarnation of a target."""

    target: ForwardTarget
    # The agent's last status, and when it arrived, in seconds of the clock;
    # None and negative before the first.
    status: TargetStatus | None = None
    status_s: float = -1.0
    # Requests of this router that are open at the target.
    open_requests: int = 0
    # The number of those whose answer has not begun, and their tokens to
    # prefill.
    pending_prefills: int = 0
    pending_prefill_tokens: int = 0
    # Time until which the target gets no new work, in seconds of the clock.
    shed_until_s: float = -1.0
    # When a part of an answer last arrived, in seconds of the clock.
    heard_s: float = float("-inf")
    # Whether it has refused a connection and not answered since.
    has_refused: bool = False
    # What the target has stated itself.
    notice: TargetNotice = attrs.field(factory=TargetNotice)
    # Newest weights version by model that its answers reported.
    seen_versions: dict[str, int] = attrs.field(factory=dict)
    # Latest start that an agent has stated for a target of this name, in
    # milliseconds since the epoch.
    stated_born_ms: int = 0

    def fresh_status(self, now_s: float) -> TargetStatus | None:
        """Return the agent's last status; None if it is too old."""
        if now_s - self.status_s > STATUS_LIFETIME_S:
            return None
        return self.status

    def takes_work(self, now_s: float, is_long: bool = False) -> bool:
        """Whether the target may get new work.

        It may unless its agent's fresh status rules that out or the target has
        shed a request within the last `SHED_PAUSE_S`.  A target that refused a
        connection gets one request at a time until it answers, and one that
        states a limit what this router's part of it leaves room for.

        Args:
          now_s: The time, in seconds of the clock.
          is_long: Whether the work may take long.
        """
        status = self.fresh_status(now_s)
        if status is not None:
            if status.is_loading or not status.is_reachable:
                return False
            if status.is_winding_down and is_long:
                return False
        if self.has_refused and self.open_requests:
            return False
        if max(self.shed_until_s, self.notice.paused_until_s) > now_s:
            return False
        limit = self.notice.limit
        return limit is None or limit.has_room(now_s)

    def has_queue(self, now_s: float) -> bool:
        """Whether requests wait at the target, by its agent's fresh status."""
        status = self.fresh_status(now_s)
        return status is not None and status.waiting > 0

    def count_request(self, now_s: float) -> bool:
        """Use room for a request; return whether the target's limit had any.

        Each request and each call to the target counts.
        """
        limit = self.notice.limit
        return limit is None or limit.take(now_s)

    def is_agent_silent(self, now_s: float) -> bool:
        """Whether the agent has reported, but its last status is too old."""
        return self.status is not None and self.fresh_status(now_s) is None

    def version(self, model: str) -> int:
        """Return the newest weights version known for a model; 0 if none."""
        known = [self.target.versions.get(model, 0)]
        known.append(self.seen_versions.get(model, 0))
        if self.status is not None:
            known.append(self.status.versions.get(model, 0))
        return max(known)


@attrs.frozen(kw_only=True)
class UsablePool:
    """A pool's targets that may get new work, kept until that changes."""

    # Names of the targets that are not leaving, failing ones included.
    members: frozenset[str]
    usable: Mapping[str, TargetView]
    # When an ejected target is let in again, in seconds of the clock.
    ends_s: float


@attrs.define(kw_only=True)
class Fleet:
    """The targets as one router sees them."""

    members: Members = attrs.field(factory=Members)
    views: dict[str, TargetView] = attrs.field(factory=dict)
    # Targets whose records were removed from the store: by name, the time of
    # the removal in seconds of the clock.
    missing: dict[str, float] = attrs.field(factory=dict)
    # When the store last recovered, in seconds of the clock.
    store_back_s: float = float("-inf")
    is_store_lost: bool = False
    # By pool; cleared whenever a target's entry, status or health changes in a
    # way that matters to it.
    pools: dict[str, UsablePool] = attrs.field(factory=dict)
    # Notices by incarnation, the oldest first.
    notices: OrderedDict[tuple[str, int], TargetNotice] = attrs.field(
        factory=OrderedDict
    )
    software: SoftwareMemory = attrs.field(factory=SoftwareMemory)
    # Number of active routers that a relay has stated, and when, in seconds of
    # the clock.
    stated_routers: int = 0
    stated_routers_s: float = float("-inf")
    # This router's part of the demand of all of them; negative if unknown.
    demand_share: float = -1.0
    random: "random.Random" = attrs.field(factory=random.Random)
    # Called with a target's entry and a later start, in milliseconds since the
    # epoch, if its agent states that before the entry arrives.
    on_restart: Callable[[ForwardTarget, int], None] = attrs.field(
        default=lambda target, born_ms: None
    )

    def put(self, target: ForwardTarget) -> bool:
        """Add or update an entry; return whether it is a new incarnation.

        An entry older than the known incarnation is ignored.
        """
        self.missing.pop(target.name, None)
        known = self.views.get(target.name)
        stated_ms = known.stated_born_ms if known is not None else 0
        if stated_ms > target.born_ms:
            target = attrs.evolve(target, is_replaced=True)
        if known is None or known.target != target:
            self.pools.clear()
        if known and known.target.incarnation == target.incarnation:
            self.software.note_gone(known.target)
            known.target = target
            return False
        if known is not None and known.target.born_ms > target.born_ms:
            return False
        if known is not None and not (
            known.target.is_replaced and stated_ms == target.born_ms
        ):
            self.software.note_gone(known.target)
        view = TargetView(target=target, stated_born_ms=stated_ms)
        self.views[target.name] = view
        view.notice = self.notices.get(target.incarnation, view.notice)
        self.members.health.pop(target.name, None)
        return True

    def remove(self, name: str, now_s: float) -> None:
        """Record that an entry has vanished; drop it if that is certain."""
        if name not in self.views:
            return
        self.missing.setdefault(name, now_s)
        self.drop_missing(now_s)

    def store_lost(self) -> None:
        """Record that the store does not answer."""
        self.is_store_lost = True

    def store_back(self, now_s: float) -> None:
        """Record that the store answers again."""
        self.is_store_lost = False
        self.store_back_s = now_s

    def drop_missing(self, now_s: float) -> None:
        """Drop missing entries, unless they may only have expired."""
        if self.is_store_lost or now_s < self.missing_dropped_at_s:
            return
        if self.missing:
            self.pools.clear()
        for name in self.missing:
            view = self.views.pop(name, None)
            if view is not None:
                self.software.note_gone(view.target)
            self.members.health.pop(name, None)
        self.missing.clear()

    def software_versions(
        self, pool: str, now_s: float
    ) -> frozenset[str | None]:
        """Return the software versions that serve a pool, or did lately.

        None stands for one that is unknown.
        """
        self.drop_missing(now_s)
        targets = [view.target for view in self.views.values()]
        return self.software.versions(pool, targets, now_s)

    @property
    def missing_dropped_at_s(self) -> float:
        """Earliest time to drop missing entries, in seconds of the clock."""
        return self.store_back_s + RETURN_GRACE_S

    def pool(self, name: str, now_s: float) -> UsablePool:
        """Return the targets of a pool that may get new work.

        Draining targets are left out, and failing ones up to a set share of
        the pool.
        """
        self.drop_missing(now_s)
        known = self.pools.get(name)
        if known is not None and now_s < known.ends_s:
            return known
        views = {
            view.target.name: view
            for view in newest_by_address(self.views.values(), name)
            if not is_leaving(view)
        }
        staying = self.members.without_ejected(
            [view.target for view in views.values()], now_s
        )
        ejections_s = [
            health.ejected_until_s
            for view_name in views
            if (health := self.members.health.get(view_name)) is not None
            and health.ejected_until_s > now_s
        ]
        found = UsablePool(
            members=frozenset(views),
            usable={target.name: views[target.name] for target in staying},
            ends_s=min(ejections_s, default=float("inf")),
        )
        self.pools[name] = found
        return found

    def usable(self, pool: str, now_s: float) -> list[TargetView]:
        """Return the targets of a pool that may get new work."""
        return list(self.pool(pool, now_s).usable.values())

    def ready(
        self, pool: str, now_s: float, is_long: bool = False
    ) -> list[TargetView]:
        """Return the usable targets that take a request now.

        Targets that wind down to load weights get long work only if there are
        no others.
        """
        usable = self.usable(pool, now_s)
        ready = [view for view in usable if view.takes_work(now_s, is_long)]
        if not ready and is_long:
            return [view for view in usable if view.takes_work(now_s)]
        return ready

    def shed(self, name: str, now_s: float) -> None:
        """Avoid a target for a while after it refused a request."""
        view = self.views.get(name)
        if view is not None:
            view.shed_until_s = now_s + SHED_PAUSE_S

    def record_status(
        self, name: str, status: TargetStatus, now_s: float
    ) -> None:
        """Store the status that an agent reports for its target."""
        view = self.views.get(name)
        if view is None:
            return
        was_leaving = is_leaving(view)
        stated_per_s = view.status.limit_per_s if view.status else None
        view.status = status
        view.status_s = now_s
        self.record_start(view, status.born_ms)
        if status.limit_per_s != stated_per_s:
            self.record_limit(view, status.limit_per_s, now_s)
        if view.notice.limit is not None:
            self.update_limits(now_s)
        if is_leaving(view) != was_leaving:
            self.pools.clear()

    def record_start(self, view: TargetView, born_ms: int) -> None:
        """Record the start that an agent states for its target.

        The target may have started again at another software version, which
        is unknown until the entry of that start arrives.
        """
        view.stated_born_ms = max(view.stated_born_ms, born_ms)
        target = view.target
        if target.is_replaced or view.stated_born_ms <= target.born_ms:
            return
        self.software.note_gone(target)
        view.target = attrs.evolve(target, is_replaced=True)
        self.on_restart(target, born_ms)

    def record_success(self, name: str) -> None:
        """Record a success of a target; it ends an ejection."""
        if self.members.health_of(name).ejected_until_s > 0.0:
            self.pools.clear()
        self.members.record_success(name)

    def record_notice(
        self, view: TargetView, is_leaving: bool, pause_s: float, now_s: float
    ) -> None:
        """Record what a target has stated in an answer.

        Args:
          view: The target.
          is_leaving: Whether it is leaving.
          pause_s: For how long it wants nothing from this VM, in seconds.
          now_s: The time, in seconds of the clock.
        """
        notice = view.notice
        notice.paused_until_s = max(notice.paused_until_s, now_s + pause_s)
        if is_leaving and not notice.is_leaving:
            notice.is_leaving = True
            self.pools.clear()
        self.keep_notice(view)

    def keep_notice(self, view: TargetView) -> None:
        """Keep what a target has stated, should its entry vanish."""
        self.notices[view.target.incarnation] = view.notice
        while len(self.notices) > MAX_NOTICES:
            self.notices.popitem(last=False)

    def record_limit(
        self, view: TargetView, limit_per_s: float | None, now_s: float
    ) -> bool:
        """Record the limit that a target states; return whether it is another.

        Args:
          view: The target.
          limit_per_s: Requests a second that it takes from all routers; None
            if it states no limit.
          now_s: The time, in seconds of the clock.
        """
        known = view.notice.limit
        if limit_per_s == (known.limit_per_s if known else None):
            return False
        if limit_per_s is None:
            view.notice.limit = None
            return True
        if known is not None:
            known.change(limit_per_s, known.share, now_s)
            return True
        view.notice.limit = TargetLimit.stated(
            limit_per_s, self.limit_share(now_s), self.random, now_s
        )
        self.keep_notice(view)
        return True

    def limit_share(self, now_s: float) -> float:
        """Return this router's part of limits, by its part of the demand.

        A small part is equal for all routers, so that each has some.
        """
        routers = self.routers(now_s)
        if not routers:
            routers = max(self.stated_routers, defaults.ASSUMED_ROUTERS)
        equal = 1.0 / routers
        if self.demand_share < 0.0:
            return equal
        return EQUAL_SHARE * equal + (1.0 - EQUAL_SHARE) * self.demand_share

    def update_limits(self, now_s: float) -> None:
        """Adapt this router's parts of limits to its part of the demand."""
        limits = [view.notice.limit for view in self.views.values()]
        share = self.limit_share(now_s) if any(limits) else 1.0
        for limit in limits:
            if limit is not None and limit.share != share:
                limit.change(limit.limit_per_s, share, now_s)

    def record_failure(self, name: str, now_s: float, is_certain: bool) -> None:
        """Count a failure of a target.

        Args:
          name: The target.
          now_s: The time, in seconds of the clock.
          is_certain: Eject the target immediately.
        """
        health = self.members.health_of(name)
        if is_certain:
            least = defaults.EJECT_AFTER_FAILURES - 1
            health.failures = max(health.failures, least)
        self.members.record_failure(name, now_s)
        if health.ejected_until_s > now_s:
            self.pools.clear()

    def set_routers(
        self,
        routers: int,
        now_s: float,
        own_per_s: float = 0.0,
        demand_per_s: float = 0.0,
    ) -> None:
        """Record the number of active routers that a relay states.

        Args:
          routers: The number.
          now_s: The time, in seconds of the clock.
          own_per_s: The demand that this router has stated, in requests a
            second.
          demand_per_s: The demand of all routers; 0 if unknown.
        """
        self.stated_routers = routers
        self.stated_routers_s = now_s
        self.demand_share = -1.0
        if demand_per_s > 0.0:
            self.demand_share = min(1.0, own_per_s / demand_per_s)
        self.update_limits(now_s)

    def routers(self, now_s: float) -> int:
        """Return the number of active routers; 0 if unknown.

        It is the highest number that a relay or an agent's fresh status states.
        """
        counts = [
            status.routers
            for view in self.views.values()
            if (status := view.fresh_status(now_s)) is not None
        ]
        if now_s - self.stated_routers_s < ROUTERS_LIFETIME_S:
            counts.append(self.stated_routers)
        return max(counts, default=0)


def newest_by_address(
    views: Iterable[TargetView], pool: str
) -> list[TargetView]:
    """Return a pool's targets, the newest one for each address.

    The entry of a crashed target stays until it expires; an entry with the
    same address and a later start shows that the crashed one does not run.
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
    """Whether a target, its entry or its agent says that it drains."""
    if view.target.is_draining or view.notice.is_leaving:
        return True
    return view.status is not None and view.status.is_draining
