"""Comparing placements on the same seeded workloads.

The decision code that ships runs against the engine model on a virtual
clock: two routers, the agents and engines of one deployment.
"""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import attrs

from sequoiawind import language, openai_format
from sequoiawind.commands import Command
from sequoiawind.lab import engine_model, policies, workload
from sequoiawind.lab.engine_model import EngineModel, EngineParameters
from sequoiawind.lab.rig import Rig, RigRouter, RigTarget, account_command
from sequoiawind.lab.workload import Burst, Deployment, Prompt, Workload
from sequoiawind.placer import Placer, ProbingPlacer
from sequoiawind.plan import CallerRequest
from sequoiawind.router import ActiveRequest
from sequoiawind.wire import Ended

SHIPPED: Final = "sequoiawind"
WARM_UP_S: Final = 20.0
DURATION_S: Final = 80.0
DRAIN_S: Final = 30.0
MODEL: Final = "model"


@attrs.frozen(kw_only=True)
class Scenario:
    """What happens during a run."""

    name: str
    shift_s: float = -1.0
    crash_s: float = -1.0
    restart_s: float = -1.0
    # Start and end of a burst in seconds; none if equal.
    burst_s: tuple[float, float] = (0.0, 0.0)


STEADY: Final = Scenario(name="steady")
SHIFT: Final = Scenario(name="shift", shift_s=50.0)
FAULTS: Final = Scenario(
    name="crash and restarts", crash_s=40.0, restart_s=60.0
)
BURST: Final = Scenario(name="burst", burst_s=(40.0, 60.0))
SCENARIOS: Final = (STEADY, SHIFT, FAULTS, BURST)


@attrs.define(kw_only=True, eq=False)
class MeasuredCaller:
    """One request of a run, measured."""

    prompt: Prompt
    clock: Any
    first_s: float = -1.0
    ended_s: float = -1.0
    usage: Any = None
    reason: str = ""
    chunks: list[bytes] = attrs.field(factory=list)

    def chunk(self, data: bytes) -> None:
        """Take a chunk."""
        if self.first_s < 0.0:
            self.first_s = self.clock.seconds() - self.prompt.time_s
        self.chunks.append(data)

    def ended(self, ended: Ended) -> None:
        """Take the end."""
        self.ended_s = self.clock.seconds()
        if ended.failure is not None:
            self.reason = ended.failure.reason.value
        else:
            self.usage = ended.usage


@attrs.frozen(kw_only=True)
class Outcome:
    """What a run measured after its warm-up."""

    policy: str
    deployment: str
    scenario: str
    seed: int
    requests: int
    answered: int
    wrong: int
    hit_rate: float
    recomputed_tokens: int
    first_p50_s: float
    first_p95_s: float
    first_p99_s: float
    # Answers whose first token came within the goal, a second.
    goodput_per_s: float
    # The same for requests sent during the burst; 0 without a burst.
    burst_goodput_per_s: float
    # Seconds after the shift until the hit rate is back; -1 without a shift.
    recovery_s: float
    refusals: dict[str, int]


@attrs.define(kw_only=True)
class Experiment:
    """One run of one policy."""

    policy: str
    deployment: Deployment
    scenario: Scenario
    seed: int
    patience: float = 1.0
    max_holders: int = 4
    parameters: EngineParameters = attrs.field(factory=EngineParameters)
    rig: Rig = attrs.field(init=False)
    callers: list[MeasuredCaller] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Build the deployment."""
        self.rig = Rig(
            seed=self.seed,
            parameters=self.parameters,
            make_placer=self.placer_factory(),
        )
        self.rig.configure(self.commands())
        for number in range(self.deployment.engines):
            self.rig.add_target(RigTarget(name=f"e{number}", pool="pool"))
        for number in range(self.rig.router_count):
            self.rig.add_router(f"r{number}")

    def placer_factory(self) -> Callable[..., Placer]:
        """Return what makes the policy's placement."""
        if self.policy == SHIPPED:
            return ProbingPlacer
        kind = policies.BASELINES[self.policy]
        return partial(kind, engine_of=self.engine)

    def engine(self, name: str) -> EngineModel:
        """Return an engine."""
        target = self.rig.agents[name].target
        assert isinstance(target, EngineModel)
        return target

    def commands(self) -> list[Command]:
        """Return the configuration."""
        made: list[Command] = [
            account_command(
                f"{self.deployment.name}-{number}",
                f"{self.deployment.name}-{number}",
            )
            for number in range(self.deployment.accounts)
        ]
        shape = self.deployment
        made += language.parse_commands(
            f"create kind kind with max_first_s = {shape.max_first_s}\n"
            f"create policy policy with patience = {self.patience}, "
            f"max_holders = {self.max_holders}\n"
            f"create pool pool with model = {MODEL}\n"
            f'create route route with path = "/v1", model = {MODEL}, '
            "pool = pool, kind = kind, policy = policy\n"
        )
        for number in range(shape.engines):
            made += language.parse_commands(
                f"create target e{number} with pool = pool, agent = e{number}"
            )
        return made

    def run(self) -> Outcome:
        """Run and measure."""
        drawn = Workload(
            deployment=self.deployment,
            seed=self.seed,
            duration_s=DURATION_S,
            shift_s=self.scenario.shift_s,
            burst=Burst(
                start_s=self.scenario.burst_s[0],
                end_s=self.scenario.burst_s[1],
                factor=self.deployment.burst_factor,
            ),
        )
        balancer = random.Random(f"balancer-{self.seed}")
        self.rig.advance(2.0)
        for prompt in drawn.prompts():
            late = attrs.evolve(prompt, time_s=prompt.time_s + 2.0)
            self.rig.clock.callLater(prompt.time_s, self.send, late, balancer)
        self.schedule_faults()
        self.rig.advance(2.0 + DURATION_S + DRAIN_S)
        return self.measure()

    def schedule_faults(self) -> None:
        """Schedule the scenario's faults."""
        later = self.rig.clock.callLater
        if self.scenario.crash_s >= 0.0:
            later(self.scenario.crash_s, self.engine("e0").crash, 2.0)
        if self.scenario.restart_s >= 0.0:
            later(self.scenario.restart_s, self.restart_routers)

    def restart_routers(self) -> None:
        """Restart all routers together."""
        for number, router in enumerate(list(self.rig.routers)):
            router.node.kill()
            self.rig.restart_router(number)

    def send(self, prompt: Prompt, balancer: random.Random) -> None:
        """Send a request through a router that the balancer chooses."""
        chosen: RigRouter = balancer.choice(self.rig.routers)
        caller = MeasuredCaller(prompt=prompt, clock=self.rig.clock)
        self.callers.append(caller)
        request = CallerRequest(
            request_id=f"q{prompt.number}",
            token=prompt.account,
            path=openai_format.TEXT_PATH,
            model=MODEL,
            prompt=prompt.text,
            max_tokens=prompt.answer_tokens,
        )
        result: Any = chosen.router.submit(request, caller)
        if result.is_error():
            caller.ended(Ended(failure=result.error))
        elif not isinstance(result.ok, ActiveRequest):
            raise TypeError(type(result.ok).__name__)

    def measure(self) -> Outcome:
        """Return what was measured after the warm-up."""
        counted = [
            caller
            for caller in self.callers
            if caller.prompt.time_s - 2.0 >= WARM_UP_S
        ]
        answered = [caller for caller in counted if caller.usage is not None]
        waits = [caller.first_s for caller in answered]
        prompt_tokens = sum(item.usage.prompt_tokens for item in answered)
        cached = sum(item.usage.cached_tokens for item in answered)
        goal_s = self.deployment.first_token_goal_s
        in_time = sum(1 for wait_s in waits if wait_s <= goal_s)
        return Outcome(
            policy=self.policy,
            deployment=self.deployment.name,
            scenario=self.scenario.name,
            seed=self.seed,
            requests=len(counted),
            answered=len(answered),
            wrong=sum(1 for item in answered if is_wrong(item)),
            hit_rate=cached / max(1, prompt_tokens),
            recomputed_tokens=prompt_tokens - cached,
            first_p50_s=workload.quantile(waits, 0.5),
            first_p95_s=workload.quantile(waits, 0.95),
            first_p99_s=workload.quantile(waits, 0.99),
            goodput_per_s=in_time / (DURATION_S - WARM_UP_S),
            burst_goodput_per_s=self.burst_goodput(answered),
            recovery_s=self.recovery_s(answered),
            refusals=dict(
                Counter(item.reason for item in counted if item.reason)
            ),
        )

    def burst_goodput(self, answered: list[MeasuredCaller]) -> float:
        """Return the answers in time, a second, of the burst's requests."""
        start_s, end_s = self.scenario.burst_s
        if start_s == end_s:
            return 0.0
        in_time = sum(
            1
            for caller in answered
            if start_s <= caller.prompt.time_s - 2.0 < end_s
            and caller.first_s <= self.deployment.first_token_goal_s
        )
        return in_time / (end_s - start_s)

    def recovery_s(self, answered: list[MeasuredCaller]) -> float:
        """Return how long after the shift the hit rate was back.

        The rate is back at the end of the first two seconds in which it is
        0.9 of what it was in the 20 s before.
        """
        shift_s = self.scenario.shift_s
        if shift_s < 0.0:
            return -1.0
        before = hit_rate_between(answered, shift_s - 20.0, shift_s)
        window_s = 2.0
        start_s = shift_s
        while start_s + window_s <= DURATION_S:
            rate = hit_rate_between(answered, start_s, start_s + window_s)
            if rate >= 0.9 * before:
                return start_s + window_s - shift_s
            start_s += 1.0
        return DURATION_S - shift_s


def is_wrong(caller: MeasuredCaller) -> bool:
    """Whether an answer is not that of its prompt."""
    text = openai_format.joined_text(openai_format.TEXT_PATH, caller.chunks)
    expected = engine_model.expected_answer(
        caller.prompt.text, caller.prompt.answer_tokens
    )
    return text != expected


def hit_rate_between(
    callers: list[MeasuredCaller], start_s: float, end_s: float
) -> float:
    """Return the hit rate of the requests sent in a time."""
    chosen = [
        caller.usage
        for caller in callers
        if start_s <= caller.prompt.time_s - 2.0 < end_s
    ]
    prompt_tokens = sum(usage.prompt_tokens for usage in chosen)
    cached = sum(usage.cached_tokens for usage in chosen)
    return float(cached / max(1, prompt_tokens))
