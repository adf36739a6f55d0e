"""The targets as one process sees them: four sources joined.

The configuration says which targets exist and which an operator drains; the
platform's list says which VMs live or leave, late and at times wrongly;
answers carry the agents' own reports; and failed calls show what is dead.
"""

import enum
from collections.abc import Iterable, Mapping, Sequence

import attrs

from sequoiawind import defaults
from sequoiawind.placement import Candidate
from sequoiawind.state import State, Target
from sequoiawind.wire import LoadReport


class VmState(enum.Enum):
    """What the platform's list says of a VM."""

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
    """What calls to one target have shown."""

    failures: int = 0
    ejections: int = 0
    # New work goes elsewhere until then, in seconds of the clock.
    ejected_until_s: float = 0.0
    load: LoadReport = attrs.field(factory=LoadReport)
    # When `load` was received; negative if never.
    load_time_s: float = -1.0
    # Attempts of this process under way at the target.
    open_attempts: int = 0
    # Share of the recent attempts that failed, as a moving average.
    failure_share: float = 0.0

    def note_outcome(self, is_failure: bool) -> None:
        """Count an attempt into the moving average."""
        step = float(is_failure) - self.failure_share
        self.failure_share += step * defaults.FAILURE_SHARE_WEIGHT


@attrs.define(kw_only=True)
class Members:
    """The joined view of one process."""

    health: dict[str, Health] = attrs.field(factory=dict)
    vms: Mapping[str, VmState] = attrs.field(factory=dict)

    def of(self, target: str) -> Health:
        """Return what is known of a target."""
        if target not in self.health:
            self.health[target] = Health()
        return self.health[target]

    def report(self, load: LoadReport, now_s: float) -> None:
        """Take in a report that came with an answer."""
        health = self.of(load.target)
        health.load = load
        health.load_time_s = now_s

    def succeeded(self, target: str) -> None:
        """Note that a target served a request."""
        health = self.of(target)
        health.note_outcome(False)
        health.failures = 0
        health.ejections = 0
        health.ejected_until_s = 0.0

    def failed(self, target: str, now_s: float) -> None:
        """Note a failure of the target itself, and eject it after several.

        After the ejection one more failure ejects it again, for longer: the
        first request let through serves as the probe.
        """
        health = self.of(target)
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
        health = self.of(target.name)
        if not health.load.draining:
            return False
        # A report ages: the agent may have been replaced and be serving.
        age_s = now_s - health.load_time_s
        return age_s < defaults.LOAD_REPORT_LIFETIME_S

    def without_leaving(self, targets: list[Target]) -> list[Target]:
        """Leave out targets on leaving VMs, as far as the list is credible.

        A list that would take more than a set share of a pool is taken for
        wrong; the agents' own reports and failed calls then decide.
        """
        staying = [
            target
            for target in targets
            if self.vms.get(target.vm) is not VmState.LEAVING
        ]
        lost = len(targets) - len(staying)
        if lost > len(targets) * defaults.LIST_DISTRUST_SHARE:
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
            if self.of(target.name).ejected_until_s > now_s
        ]
        # Those whose ejection ends first are tried again first.
        ejected.sort(key=lambda item: -self.of(item.name).ejected_until_s)
        left_out = {target.name for target in ejected[:allowed]}
        return [item for item in targets if item.name not in left_out]

    def waits_s(
        self, candidates: Iterable[Candidate], now_s: float
    ) -> dict[str, float]:
        """Return the wait to expect at each candidate, in seconds.

        A report is worth less the older it is, and the attempts sent since
        are counted, so that a lagging report does not attract a herd.
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
        health = self.of(target.name)
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
