"""Compares placement policies on identical seeded workloads.

The production code of two routers and of one deployment's agents runs against
engine models on a virtual clock.
"""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import attrs

from sequoiawind import language, openai_format
from sequoiawind.commands import Command
from sequoiawind.lab import baselines, engine_model, workload
from sequoiawind.lab.engine_model import EngineModel, EngineParameters
from sequoiawind.lab.rig import Rig, RigRouter, RigTarget, account_command
from sequoiawind.lab.workload import Burst, Deployment, Prompt, Workload
from sequoiawind.placer import Placer, ProbingPlacer
from sequoiawind.plan import CallerRequest
from sequoiawind.router import ActiveRequest
from sequoiawind.wire import Ended

PRODUCTION_POLICY: Final = "sequoiawind"
WARM_UP_S: Final = 20.0
DURATION_S: Final = 80.0
DRAIN_S: Final = 30.0
MODEL: Final = "model"


@attrs.frozen(kw_only=True)
class Scenario:
    """The events of a run: a workload shift, faults or a burst.

    Times are in seconds from the start of the workload; negative for an event
    that does not happen.
    """

    name: str
    # When the most requested dossiers change.
    shift_s: float = -1.0
    # When an engine crashes.
    crash_s: float = -1.0
    # When all routers are restarted.
    restart_s: float = -1.0
    # Start and end of a burst; there is none if they are equal.
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
    """The caller of one request; measures its answer."""

    prompt: Prompt
    clock: Any
    # Seconds from sending to the first chunk; negative before it arrives.
    first_s: float = -1.0
    # Virtual time of the end; negative before it.
    ended_s: float = -1.0
    usage: Any = None
    reason: str = ""
    chunks: list[bytes] = attrs.field(factory=list)

    def chunk(self, data: bytes) -> None:
        """Record a chunk and the time to the first one."""
        if self.first_s < 0.0:
            self.first_s = self.clock.seconds() - self.prompt.time_s
        self.chunks.append(data)

    def ended(self, ended: Ended) -> None:
        """Record the end and its failure or usage."""
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
    # Answers per second whose first token came within the goal.
    goodput_per_s: float
    # The same for requests sent during the burst; 0 without a burst.
    burst_goodput_per_s: float
    # Seconds after the shift until the hit rate is back; -1 without a shift.
    recovery_s: float
    refusals: dict[str, int]


@attrs.define(kw_only=True)
class Experiment:
    """One run of one policy on one workload."""

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
        """Return the factory of the policy's placer."""
        if self.policy == PRODUCTION_POLICY:
            return ProbingPlacer
        baseline = baselines.BASELINES[self.policy]
        return partial(baseline, engine_of=self.engine)

    def engine(self, name: str) -> EngineModel:
        """Return an engine by its name."""
        target = self.rig.agents[name].target
        assert isinstance(target, EngineModel)
        return target

    def commands(self) -> list[Command]:
        """Return the commands that configure the deployment."""
        commands: list[Command] = [
            account_command(
                f"{self.deployment.name}-{number}",
                f"{self.deployment.name}-{number}",
            )
            for number in range(self.deployment.accounts)
        ]
        shape = self.deployment
        commands += language.parse_commands(
            f"create kind kind with max_first_s = {shape.max_first_s}\n"
            f"create policy policy with patience = {self.patience}, "
            f"max_holders = {self.max_holders}\n"
            f"create pool pool with model = {MODEL}\n"
            f'create route route with path = "/v1", model = {MODEL}, '
            "pool = pool, kind = kind, policy = policy\n"
        )
        for number in range(shape.engines):
            commands += language.parse_commands(
                f"create target e{number} with pool = pool, agent = e{number}"
            )
        return commands

    def run(self) -> Outcome:
        """Run the workload and return what was measured."""
        traffic = Workload(
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
        # The workload starts at 2 s on the clock; `delayed` has clock times.
        self.rig.advance_to(2.0)
        for prompt in traffic.prompts():
            delayed = attrs.evolve(prompt, time_s=prompt.time_s + 2.0)
            self.rig.clock.callLater(
                prompt.time_s, self.send, delayed, balancer
            )
        self.schedule_faults()
        self.rig.advance_to(2.0 + DURATION_S + DRAIN_S)
        return self.measure()

    def schedule_faults(self) -> None:
        """Schedule the scenario's faults."""
        later = self.rig.clock.callLater
        if self.scenario.crash_s >= 0.0:
            later(self.scenario.crash_s, self.engine("e0").crash, 2.0)
        if self.scenario.restart_s >= 0.0:
            later(self.scenario.restart_s, self.restart_routers)

    def restart_routers(self) -> None:
        """Restart all routers at the same time."""
        for number, router in enumerate(list(self.rig.routers)):
            router.node.kill()
            self.rig.restart_router(number)

    def send(self, prompt: Prompt, balancer: random.Random) -> None:
        """Send a request through a randomly chosen router."""
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
        """Return the measurements of the requests sent after the warm-up."""
        measured = [
            caller
            for caller in self.callers
            if caller.prompt.time_s - 2.0 >= WARM_UP_S
        ]
        answered = [caller for caller in measured if caller.usage is not None]
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
            requests=len(measured),
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
                Counter(item.reason for item in measured if item.reason)
            ),
        )

    def burst_goodput(self, answered: list[MeasuredCaller]) -> float:
        """Return the goodput of the burst's requests, in answers per second."""
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
        """Return how long the hit rate took to recover, in seconds.

        It has recovered at the end of the first window of 2 s in which it is
        at least 0.9 of the rate in the 20 s before the shift.  A rate that
        does not recover counts as the rest of the run; without a shift the
        result is -1.
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
    """Return whether an answer differs from the one expected."""
    text = openai_format.joined_text(openai_format.TEXT_PATH, caller.chunks)
    expected = engine_model.expected_answer(
        caller.prompt.text, caller.prompt.answer_tokens
    )
    return text != expected


def hit_rate_between(
    callers: list[MeasuredCaller], start_s: float, end_s: float
) -> float:
    """Return the hit rate of the requests sent in a time span."""
    chosen = [
        caller.usage
        for caller in callers
        if start_s <= caller.prompt.time_s - 2.0 < end_s
    ]
    prompt_tokens = sum(usage.prompt_tokens for usage in chosen)
    cached = sum(usage.cached_tokens for usage in chosen)
    return float(cached / max(1, prompt_tokens))
