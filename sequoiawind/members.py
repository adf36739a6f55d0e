"""One process's view of the targets, combined from four sources.

The configuration lists the targets and those that an operator drains.  The
platform's list says which VMs are live or leaving, with a delay and at times
wrongly.  Answers carry load reports of the agents.  Failed calls show which
targets are down.
"""

import enum
from collections.abc import Iterable, Mapping, Sequence

import attrs

from sequoiawind import defaults
from sequoiawind.placement import Candidate
from sequoiawind.state import State, Target
from sequoiawind.wire import LoadReport


class VmState(enum.Enum):
    """A VM's state in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetState(enum.Enum):
    """A target's state in the operators' language."""

    RUNNING = "running"
    WARM = "warm"
    DRAINING = "draining"
    STUCK = "stuck"


@attrs.define(kw_only=True)
class Health:
    """The health and load of one target, as calls to it have shown."""

    # Failures in a row, and ejections since the last success.
    failures: int = 0
    ejections: int = 0
    # The target gets no new work until then, in seconds of the clock.
    ejected_until_s: float = 0.0
    load: LoadReport = attrs.field(factory=LoadReport)
    # When `load` was received, in seconds of the clock; negative if never.
    load_time_s: float = -1.0
    # Attempts of this process in progress at the target.
    open_attempts: int = 0
    # Share of the recent attempts that failed, as a moving average.
    failure_share: float = 0.0

    def note_outcome(self, is_failure: bool) -> None:
        """Update `failure_share` with the outcome of an attempt."""
        step = float(is_failure) - self.failure_share
        self.failure_share += step * defaults.FAILURE_SHARE_WEIGHT


@attrs.define(kw_only=True)
class Members:
    """The combined view of all targets."""

    health: dict[str, Health] = attrs.field(factory=dict)
    vms: Mapping[str, VmState] = attrs.field(factory=dict)

    def health_of(self, target: str) -> Health:
        """Return the health of a target; a new one if it is not known yet."""
        if target not in self.health:
            self.health[target] = Health()
        return self.health[target]

    def update_load(self, load: LoadReport, now_s: float) -> None:
        """Store a load report that came with an answer."""
        health = self.health_of(load.target)
        health.load = load
        health.load_time_s = now_s

    def record_success(self, target: str) -> None:
        """Record a success; it clears failures and ends an ejection."""
        health = self.health_of(target)
        health.note_outcome(False)
        health.failures = 0
        health.ejections = 0
        health.ejected_until_s = 0.0

    def record_failure(self, target: str, now_s: float) -> None:
        """Record a failure of the target itself; several in a row eject it.

        After the ejection a single failure ejects the target again, for
        longer: the first request let through serves as the probe.
        """
        health = self.health_of(target)
        health.note_outcome(True)
        health.failures += 1
        if health.failures < defaults.EJECT_AFTER_FAILURES:
            return
        pause_s = defaults.EJECT_BASE_S * 2 ** min(health.ejections, 8)
        health.ejected_until_s = now_s + min(pause_s, defaults.EJECT_CAP_S)
        health.ejections += 1
        health.failures = defaults.EJECT_AFTER_FAILURES - 1

    def candidates(
        self, state: State, pool: str, now_s: float
    ) -> list[Candidate]:
        """Return the targets of a pool that may get new work."""
        admitted = [
            target
            for target in state.targets.values()
            if target.pool == pool and not self.is_draining(target, now_s)
        ]
        listed = self.without_leaving(admitted)
        healthy = self.without_ejected(listed, now_s)
        return [as_candidate(target) for target in healthy]

    def is_draining(self, target: Target, now_s: float) -> bool:
        """Whether an operator or the target's own agent drains it."""
        if target.drained:
            return True
        health = self.health_of(target.name)
        if not health.load.draining:
            return False
        # Ignore an old report: the agent may have been replaced and be serving.
        age_s = now_s - health.load_time_s
        return age_s < defaults.LOAD_REPORT_LIFETIME_S

    def without_leaving(self, targets: list[Target]) -> list[Target]:
        """Leave out targets on leaving VMs, unless the list seems wrong.

        A list that would remove more than a set share of a pool is ignored;
        then only the agents' own reports and failed calls count.
        """
        staying = [
            target
            for target in targets
            if self.vms.get(target.vm) is not VmState.LEAVING
        ]
        removed = len(targets) - len(staying)
        if removed > len(targets) * defaults.MAX_LEAVING_SHARE:
            return targets
        return staying

    def without_ejected(
        self, targets: Sequence[Target], now_s: float
    ) -> list[Target]:
        """Leave out ejected targets, up to a set share of the pool."""
        allowed = int(len(targets) * defaults.MAX_EJECTED_SHARE)
        ejected = [
            target
            for target in targets
            if self.health_of(target.name).ejected_until_s > now_s
        ]
        # Beyond that share, those whose ejection ends first stay in.
        ejected.sort(
            key=lambda item: -self.health_of(item.name).ejected_until_s
        )
        left_out = {target.name for target in ejected[:allowed]}
        return [item for item in targets if item.name not in left_out]

    def waits_s(
        self, candidates: Iterable[Candidate], now_s: float
    ) -> dict[str, float]:
        """Return the expected wait at each candidate, in seconds.

        A report that is too old is ignored.  Each open attempt of this process
        adds a millisecond, so that a lagging report does not draw all requests
        to one target.  Candidates without a health record are left out.
        """
        waits: dict[str, float] = {}
        for candidate in candidates:
            health = self.health.get(candidate.name)
            if health is None:
                continue
            wait_s = 0.001 * health.open_attempts
            age_s = now_s - health.load_time_s
            if age_s < defaults.LOAD_REPORT_LIFETIME_S:
                wait_s += health.load.wait_s
            waits[candidate.name] = wait_s
        return waits

    def state_of(self, target: Target, now_s: float) -> TargetState:
        """Return a target's state in the operators' language."""
        health = self.health_of(target.name)
        leaving = self.vms.get(target.vm) is VmState.LEAVING
        if leaving or self.is_draining(target, now_s):
            return TargetState.DRAINING
        if health.ejected_until_s > now_s:
            return TargetState.STUCK
        if health.load.running:
            return TargetState.RUNNING
        return TargetState.WARM


def as_candidate(target: Target) -> Candidate:
    """Return a target as placement sees it."""
    return Candidate(
        name=target.name, address=target.agent, domain=target.domain
    )
