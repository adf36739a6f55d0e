"""Whether a request is sent, waits or is refused, by when it can be answered.

Answers the load of callers that together want more than a pool can do: what
cannot be answered in time is refused at once, so that targets do not work on
answers that come too late, and the least urgent requests are refused first.
"""

import enum
import random
from collections.abc import Sequence
from typing import Final

import attrs

from sequoiawind import messages
from sequoiawind.load.estimate import Estimate
from sequoiawind.load.estimate_error import EstimateError
from sequoiawind.load.overload import PoolOverload
from sequoiawind.load.return_times import ReturnTimes
from sequoiawind.verdict import Failure, Reason, not_run

# Shortest silence that callers of a stream accept, in seconds, and what they
# accept in objectives and in longest pauses of the route.
SILENCE_MIN_S: Final = 2.0
SILENCE_OBJECTIVES: Final = 4.0
SILENCE_PAUSES: Final = 8.0
# Greatest factors by which an estimate may exceed the deadline and the silence
# that the caller accepts, and the objective.  A wrong estimate must not refuse
# a single request; over the share of requests that miss, errors cancel out.
MAX_TOLERANCE: Final = 2.5
MAX_OBJECTIVE_TOLERANCE: Final = 1.25
# Open requests for each slot of a target from which on requests wait while
# there are no estimates.
OPEN_PER_SLOT: Final = 0.5


def longest_silence_s(objective_s: float, pause_s: float) -> float:
    """Return the longest silence that callers of a stream accept, in seconds.

    Args:
      objective_s: The route's latency objective, in seconds.
      pause_s: The longest pause of the route, in seconds; 0 if unset.
    """
    return max(
        SILENCE_MIN_S,
        SILENCE_OBJECTIVES * objective_s,
        SILENCE_PAUSES * pause_s,
    )


class Action(enum.Enum):
    """What to do with a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class Decision:
    """What to do with a request, and why it is refused if it is."""

    action: Action
    failure: Failure | None = None


ADMIT: Final = Decision(action=Action.ADMIT)
WAIT: Final = Decision(action=Action.WAIT)


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """What the decision about a request depends on."""

    pool: str
    account: str
    # 0 is the most urgent.
    priority: int
    # Until its deadline, and until its latency objective, in seconds.
    left_s: float
    objective_left_s: float
    # Until its caller gives up on the silence (`longest_silence_s`), in
    # seconds.
    silence_s: float
    is_stream: bool
    # Its cost, in any unit that is the same for the whole pool.
    work: float = 1.0
    # `RequestSignature.whole`; empty if unknown.
    signature: str = ""
    # Open requests per slot of the least loaded target.
    open_per_slot: float = 0.0

    @property
    def limit_s(self) -> float:
        """How soon an answer must begin to be of use, in seconds."""
        if self.is_stream:
            return min(self.left_s, self.silence_s)
        return self.left_s


@attrs.define(kw_only=True)
class PoolAdmission:
    """What is tracked of one pool."""

    overload: PoolOverload
    returns: ReturnTimes
    # By priority.
    errors: dict[int, EstimateError] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Admission:
    """Decides about the requests of one router.

    Only pools that are active are decided about; nothing is tracked of others.
    """

    random: random.Random
    pools: dict[str, PoolAdmission] = attrs.field(factory=dict)

    def set_active(self, pool: str, is_active: bool) -> None:
        """Begin or end to decide about a pool's requests."""
        if not is_active:
            self.pools.pop(pool, None)
        elif pool not in self.pools:
            self.pools[pool] = PoolAdmission(
                overload=PoolOverload(),
                returns=ReturnTimes(random=self.random),
            )

    def observed(
        self,
        estimate_s: float,
        actual_s: float,
        now_s: float,
        *,
        pool: str,
        priority: int,
    ) -> None:
        """Learn from an answer that began how wrong its estimate was.

        Args:
          estimate_s: The estimate when the request was sent, uncorrected.
          actual_s: The time from then to the first event or plain answer.
          now_s: The time, in seconds of the clock.
          pool: The request's pool.
          priority: The request's priority.
        """
        known = self.pools.get(pool)
        if known is not None:
            error = known.errors.setdefault(priority, EstimateError())
            error.add(estimate_s, actual_s, now_s)

    def decide(
        self,
        request: AdmissionRequest,
        options: Sequence[Estimate],
        now_s: float,
    ) -> Decision:
        """Return what to do with a request that has not been sent.

        Args:
          request: The request.
          options: The estimates of targets that may take it; empty if none is
            known.
          now_s: The time, in seconds of the clock.
        """
        pool = self.pools.get(request.pool)
        if pool is None:
            return ADMIT
        if not options:
            return ADMIT if request.open_per_slot < OPEN_PER_SLOT else WAIT
        best = min(options, key=lambda option: option.expected_s)
        error = pool.errors.setdefault(request.priority, EstimateError())
        expected_s = best.expected_s * error.correction(now_s)
        factor = max(1.0, best.error_factor, error.factor(now_s))
        reason = self.reason_to_refuse(pool, request, expected_s, factor, now_s)
        if reason is None:
            pool.returns.admitted.add(request.work, now_s)
            return ADMIT
        backlog_s = expected_s - max(0.0, request.objective_left_s)
        retry_after_s = pool.returns.give(
            request.signature, request.work, backlog_s, request.left_s, now_s
        )
        failure = not_run(reason, TEXTS[reason], retry_after_s)
        return Decision(action=Action.REFUSE, failure=failure)

    def reason_to_refuse(
        self,
        pool: PoolAdmission,
        request: AdmissionRequest,
        expected_s: float,
        error_factor: float,
        now_s: float,
    ) -> Reason | None:
        """Count a request; return why it is refused, None if it is not.

        Args:
          pool: What is tracked of its pool.
          request: The request.
          expected_s: When its answer is expected to begin, in seconds.
          error_factor: The usual error of that, as a factor.
          now_s: The time, in seconds of the clock.
        """
        misses: bool | None = None
        if request.objective_left_s > 0.0:
            tolerance = min(MAX_OBJECTIVE_TOLERANCE, error_factor)
            misses = expected_s > tolerance * request.objective_left_s
        overload = pool.overload
        share = overload.observe(
            request.account, request.priority, request.work, misses, now_s
        )
        is_expected = pool.returns.is_expected(request.signature, now_s)
        tolerance = min(MAX_TOLERANCE, error_factor)
        is_hopeless = expected_s > tolerance * request.limit_s
        overload.judged(request.priority, is_hopeless, now_s)
        if is_hopeless:
            return Reason.NO_TARGET_IN_TIME
        probability = overload.refusal(request.priority, share, now_s)
        if is_expected:
            # The work of its return was reckoned with.
            probability *= share.excess
        if self.random.random() < probability:
            return Reason.OVERLOADED
        return None


TEXTS: Final = {
    Reason.NO_TARGET_IN_TIME: messages.NO_TARGET_IN_TIME,
    Reason.OVERLOADED: messages.OVERLOADED,
}
