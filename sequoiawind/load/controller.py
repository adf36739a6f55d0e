"""The parts of load control that a router runs, asked at a few points.

Each part is None where the settings switch it off.  One that is on does nothing
for a pool until something calls for it: the configuration limits accounts,
which then compete for it, or wants its prompts answered sooner than a target's
status is old, or its targets are seen to differ in speed.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind.fleet import TargetView
from sequoiawind.forward_plan import ForwardPlan
from sequoiawind.forward_state import ForwardState
from sequoiawind.load.account_charge import AccountCharge
from sequoiawind.load.account_limits import AccountLimits
from sequoiawind.load.admission import (
    ADMIT,
    Admission,
    AdmissionRequest,
    Decision,
    longest_silence_s,
)
from sequoiawind.load.fair_order import FairOrder, WaitingItem
from sequoiawind.load.target_pace import PaceSample, TargetPaces
from sequoiawind.options import LoadOptions
from sequoiawind.target_choice import Chosen, equal_factor
from sequoiawind.verdict import Failure
from sequoiawind.waiting_requests import by_urgency

if TYPE_CHECKING:
    from sequoiawind.forwarding import Forwarding

# Options for a request whose estimates are compared by admission control; the
# others are more costly.
ESTIMATED_OPTIONS: Final = 3
# Work of generating a token, in prompt tokens to prefill: a step of a busy
# batch takes about as long as reading several tokens, shared by its runs.
GENERATED_TOKENS: Final = 8.0
# Age that a target's last status may have when a router chooses, in seconds:
# the agent's report, the relay and the threshold of publishing add up to it.
STATUS_AGE_S: Final = 0.4
# Part of a pool's targets that must differ from the middle for the pool to
# count as uneven, and their least number: a few may only be in trouble, or be
# found behind more work than others.
UNEVEN_SHARE: Final = 0.4
UNEVEN_TARGETS: Final = 3


@attrs.define(kw_only=True, eq=False)
class LoadController:
    """Decides about requests under load, by the parts that are on."""

    limits: AccountLimits | None = None
    paces: TargetPaces | None = None
    admission: Admission | None = None
    order: FairOrder | None = None
    # Whether the configuration limits any account.
    has_limited_accounts: bool = False
    # Pools whose prompts are to be answered sooner than a status is old.
    urgent_pools: frozenset[str] = frozenset()

    # What calls for the parts.

    def configured(self, state: ForwardState) -> None:
        """Adapt to a configuration."""
        self.has_limited_accounts = bool(state.limited_accounts)
        self.urgent_pools = frozenset(
            pool
            for pool, objective_s in state.prompt_objectives_s.items()
            if objective_s < STATUS_AGE_S
        )
        if self.limits is not None:
            self.limits.keep_only(state.limited_accounts)

    def is_active(self, pool: str) -> bool:
        """Whether the load of a pool calls for more than limits."""
        if self.has_limited_accounts or pool in self.urgent_pools:
            return True
        return self.paces is not None and self.paces.is_uneven(
            pool, UNEVEN_SHARE, UNEVEN_TARGETS
        )

    # Limits of accounts.

    def charge(
        self, plan: ForwardPlan, now_s: float
    ) -> AccountCharge | Failure | None:
        """Charge a request that has arrived to its account.

        Returns:
          The charge; None if the account has no limit; or why the request is
          refused.
        """
        limit = plan.account.limit
        if self.limits is None or limit is None:
            return None
        prompt = plan.request.prompt
        tokens = prompt.tokens + prompt.max_tokens if prompt else 0
        cost = limit.cost(tokens or None)
        refused = self.limits.admit(limit, cost, now_s)
        if refused is not None:
            return refused
        return AccountCharge(limits=self.limits, account=limit, cost=cost)

    # Speeds of targets.

    def factor(self, pool: str, now_s: float) -> Callable[[TargetView], float]:
        """Return a function for the factors of a pool's targets."""
        paces = self.paces
        if paces is None or not self.is_active(pool):
            return equal_factor
        return lambda view: paces.factor(pool, view.target.name, now_s)

    def sent(
        self, plan: ForwardPlan, chosen: Chosen, now_s: float
    ) -> PaceSample | None:
        """Note that a request is sent to a target."""
        if self.order is not None:
            work = request_work(plan, chosen)
            self.order.served(plan.account.name, plan.priority, work)
        if self.paces is None:
            return None
        return self.paces.sent(
            plan.pool.name, chosen.view.target.name, chosen.work_tokens, now_s
        )

    def began(
        self, plan: ForwardPlan, sample: PaceSample | None, now_s: float
    ) -> None:
        """Learn from a request whose answer has begun, or has come whole."""
        if sample is None or self.paces is None:
            return
        self.paces.began(sample, now_s)
        if self.admission is not None:
            self.admission.observed(
                sample.estimate_s,
                now_s - sample.sent_s,
                now_s,
                pool=plan.pool.name,
                priority=plan.priority,
            )

    def dropped(self, sample: PaceSample | None) -> None:
        """Discard the sample of an attempt without an answer."""
        if sample is not None and self.paces is not None:
            self.paces.dropped(sample)

    def forget_target(self, name: str) -> None:
        """Start anew with a target of which a new incarnation has begun."""
        if self.paces is not None:
            self.paces.forget(name)

    # Admission.

    def decide(
        self,
        plan: ForwardPlan,
        options: Sequence[Chosen],
        signature: str,
        now_s: float,
    ) -> Decision:
        """Return what to do with a request that no target has got.

        Args:
          plan: Its plan.
          options: The targets that may take it, the best first; at least one.
          signature: Identifies the request, should it come again.
          now_s: The time, in seconds of the clock.
        """
        pool, paces = plan.pool.name, self.paces
        if self.admission is None or paces is None:
            return ADMIT
        self.admission.set_active(pool, self.is_active(pool))
        if pool not in self.admission.pools:
            return ADMIT
        estimates = [
            paces.expected_s(
                pool, option.view.target.name, option.work_tokens, now_s
            )
            for option in options[:ESTIMATED_OPTIONS]
        ]
        kind, best = plan.kind, options[0]
        arrived_s = plan.request.arrived_s
        request = AdmissionRequest(
            pool=pool,
            account=plan.account.name,
            priority=plan.priority,
            left_s=plan.ends_s - now_s,
            objective_left_s=arrived_s + kind.aim_s - now_s,
            silence_s=longest_silence_s(kind.aim_s, kind.pause_s),
            is_stream=kind.is_stream,
            work=request_work(plan, best),
            signature=signature,
            open_per_slot=best.view.open_requests
            / max(1, best.view.target.slots),
        )
        known = [item for item in estimates if item.is_known]
        return self.admission.decide(request, known, now_s)

    # Waiting requests.

    def ordered(
        self, waiting: "list[Forwarding]", now_s: float
    ) -> "list[Forwarding]":
        """Return waiting requests in the order in which to serve them."""
        if self.order is None or not any(
            self.is_active(item.plan.pool.name) for item in waiting
        ):
            return by_urgency(waiting)
        items = [
            WaitingItem(
                request=item,
                account=item.plan.account.name,
                priority=item.plan.priority,
                arrived_s=item.plan.request.arrived_s,
                ends_s=item.plan.ends_s,
                work=request_work(item.plan),
            )
            for item in waiting
        ]
        return [item.request for item in self.order.ordered(items, now_s)]

    # Totals over all routers.

    def statement(self, now_s: float) -> dict[str, float]:
        """Return what this router states to the others."""
        stated: dict[str, float] = {}
        if self.limits is not None:
            stated.update(self.limits.statement(now_s))
        if self.paces is not None:
            stated.update(self.paces.statement(now_s, self.is_active))
        return stated

    def take_totals(
        self,
        totals: Mapping[str, float],
        stated: Mapping[str, float],
        as_of_s: float,
        now_s: float,
        routers: int,
    ) -> None:
        """Use the totals over all routers.

        Args:
          totals: The totals.
          stated: This router's statement that they contain.
          as_of_s: When they were requested, in seconds of the clock that
            includes suspended time.
          now_s: The time, in seconds of the clock.
          routers: Number of active routers; 0 if unknown.
        """
        if self.limits is not None:
            self.limits.note_routers(routers, now_s)
            self.limits.take_totals(totals, stated, as_of_s, now_s)
        if self.paces is not None:
            self.paces.take_totals(totals, stated, as_of_s)


def make_controller(
    options: LoadOptions,
    source: random.Random,
    age_clock: Callable[[], float],
    now_s: float,
) -> LoadController:
    """Return the parts of load control that the settings switch on.

    Args:
      options: The settings.
      source: Source of randomness.
      age_clock: Clock that includes suspended time, in seconds.
      now_s: When this router started, in seconds of the clock.
    """
    controller = LoadController()
    if options.account_limits:
        controller.limits = AccountLimits(
            age_clock=age_clock, random=source, started_s=now_s
        )
    if options.pace:
        controller.paces = TargetPaces()
    if options.admission:
        controller.admission = Admission(random=source)
    if options.fairness:
        controller.order = FairOrder()
    return controller


def request_work(plan: ForwardPlan, chosen: Chosen | None = None) -> float:
    """Return the work of a request, in prompt tokens; 1 for a plain call.

    Args:
      plan: Its plan.
      chosen: How it would be sent; None to count the whole prompt.
    """
    prompt = plan.request.prompt
    if prompt is None:
        return 1.0
    tokens = prompt.tokens if chosen is None else chosen.prefill_tokens
    return tokens + GENERATED_TOKENS * prompt.likely_tokens
