"""A queue model of routers that choose among engines of unequal speed.

The routers' production code chooses and learns; engines are queues on a virtual
clock.  An engine prefills one prompt after the other, slower the more answers
it generates, and begins an answer a fixed time after the prefill.  Measures
what the choice of targets makes of speeds, slow periods, errors and restarts.
"""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import attrs

from sequoiawind.fleet import Fleet, TargetView
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.home_order import HomeOrder
from sequoiawind.lab.pace_engine import (
    FIXED_S,
    GENERATE_TOKEN_S,
    PREFILL_DEVIATION,
    RUNNING_SLOWDOWN,
    ModelEngine,
)
from sequoiawind.load.target_pace import PaceSample, TargetPaces
from sequoiawind.prompt_cache import (
    HeldParts,
    PartIndex,
    Prompt,
    PromptPart,
    cache_salt,
)
from sequoiawind.spare_targets import SPARE_CANDIDATES, SpareLists
from sequoiawind.target_choice import Chosen, PromptChooser, equal_factor
from sequoiawind.wire import TargetStatus

POOL: Final = "llm"
MODEL: Final = "m"
ACCOUNT: Final = "a"
SPEEDS: Final = (0.6, 1.0, 1.6)
# Time between two statuses of an agent, which polls its engine as often,
# between two feed requests, and until any of them arrives, in seconds.
STATUS_EVERY_S: Final = 0.2
FEED_EVERY_S: Final = 0.5
DELAY_S: Final = 0.02
# Time in which a broken engine answers with an error, in seconds.
ERROR_S: Final = 0.005
CACHE_TOKENS: Final = 60_000
# Weight of a prompt in a router's average of tokens to prefill.
AVERAGE_WEIGHT: Final = 0.03


@attrs.frozen(kw_only=True)
class PaceScenario:
    """One run; times in seconds from its start."""

    seed: int = 1
    # Whether the choice uses the factors.
    has_pace: bool = True
    # Speeds of the engines, and how many there are of each.
    speeds: tuple[float, ...] = SPEEDS
    engines_per_speed: int = 4
    routers: int = 12
    # Prompts a second of all routers together.
    rate_per_s: float = 90.0
    duration_s: float = 60.0
    # The first part of the run, which is not measured.
    warm_up_s: float = 15.0
    has_slow_periods: bool = False
    # When all routers restart; negative if they do not.
    restart_s: float = -1.0
    # Share of requests that the first engine answers with a quick error.
    error_share: float = 0.0
    # Whether the routers exchange totals.
    has_totals: bool = True
    # Time between two statuses of an agent, in seconds.
    status_every_s: float = STATUS_EVERY_S


@attrs.define(kw_only=True, eq=False)
class Arrival:
    """A prompt on its way through a router and an engine."""

    router: "ModelRouter"
    prompt: Prompt
    arrived_s: float
    tried: list[str] = attrs.field(factory=list)
    chosen: Any = None
    sample: PaceSample | None = None
    generation: int = 0


@attrs.frozen(kw_only=True)
class Measured:
    """The first event of one answer."""

    engine: str
    arrived_s: float
    first_s: float
    prefill_tokens: float
    work_tokens: float
    # What was expected before the prompt was sent.
    expected_s: float


@attrs.define(kw_only=True, eq=False)
class ModelRouter:
    """A router's state for the choice, of the production's classes."""

    rng: random.Random
    has_pace: bool
    fleet: Fleet
    paces: TargetPaces = attrs.field(factory=TargetPaces)
    spare: SpareLists = attrs.field(init=False)
    homes: HomeOrder = attrs.field(factory=HomeOrder)
    average_prefill_tokens: float = 2_000.0
    now_s: float = 0.0
    # Incremented by a restart, after which earlier requests are not counted.
    generation: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the lists of spare targets."""
        self.spare = SpareLists(fleet=self.fleet, factor=self.factor)
        self.homes.set_members(self.fleet.pool(POOL, 0.0).members)

    def factor(self, view: TargetView) -> float:
        """Return a target's factor."""
        if not self.has_pace:
            return equal_factor(view)
        return self.paces.factor(POOL, view.target.name, self.now_s)

    def choose(
        self, index: PartIndex, arrival: Arrival, now_s: float
    ) -> Chosen | None:
        """Choose an engine as the forwarder does."""
        self.now_s = now_s
        average = self.average_prefill_tokens
        spare = self.spare.targets(POOL, now_s, average)
        drawn = min(SPARE_CANDIDATES, len(spare.names))
        chooser = PromptChooser(
            index=index,
            homes=self.homes,
            pool=self.fleet.pool(POOL, now_s).usable,
            spare=self.rng.sample(spare.names, drawn),
            now_s=now_s,
            average_prefill_tokens=average,
            factor=self.factor,
        )
        return chooser.choose(arrival.prompt, ACCOUNT, excluded=arrival.tried)

    def restart(self) -> None:
        """Lose what was learned; the statuses come again at once."""
        self.paces = TargetPaces()
        self.spare.lists.clear()
        self.average_prefill_tokens = 2_000.0
        self.generation += 1
        for view in self.fleet.views.values():
            view.open_requests = view.pending_prefills = 0
            view.pending_prefill_tokens = 0


@attrs.define(kw_only=True, eq=False)
class PaceModel:
    """One run of the model."""

    scenario: PaceScenario
    rng: random.Random = attrs.field(init=False)
    now_s: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    count: int = 0
    index: PartIndex = attrs.field(factory=PartIndex)
    caches: dict[str, HeldParts] = attrs.field(factory=dict)
    engines: dict[str, ModelEngine] = attrs.field(factory=dict)
    routers: list[ModelRouter] = attrs.field(factory=list)
    statements: dict[int, dict[str, float]] = attrs.field(factory=dict)
    measured: list[Measured] = attrs.field(factory=list)
    # Factors of the first engine as the first router knows them, with times.
    factors: list[tuple[float, float]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Build engines and routers."""
        scenario = self.scenario
        self.rng = random.Random(scenario.seed)
        for speed in scenario.speeds:
            for _ in range(scenario.engines_per_speed):
                name = f"e{len(self.engines)}"
                self.engines[name] = ModelEngine(
                    name=name,
                    speed=speed,
                    rng=random.Random(f"{name}-{scenario.seed}"),
                    has_slow_periods=scenario.has_slow_periods,
                )
                self.caches[name] = HeldParts(
                    capacity_tokens=CACHE_TOKENS, name=name, index=self.index
                )
        for number in range(scenario.routers):
            fleet = Fleet()
            for name in self.engines:
                fleet.put(
                    ForwardTarget(
                        name=name,
                        pool=POOL,
                        address=f"{name}:80",
                        versions={MODEL: 1},
                    )
                )
            self.routers.append(
                ModelRouter(
                    rng=random.Random(f"r{number}-{scenario.seed}"),
                    has_pace=scenario.has_pace,
                    fleet=fleet,
                )
            )

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self.count += 1
        heapq.heappush(self.events, (time_s, self.count, action))

    def run(self) -> "PaceModel":
        """Run the scenario."""
        scenario = self.scenario
        self.at(0.0, self.arrive)
        for place, name in enumerate(self.engines):
            offset_s = scenario.status_every_s * place / len(self.engines)
            self.at(offset_s, partial(self.publish, name))
        for number in range(scenario.routers if scenario.has_totals else 0):
            offset_s = FEED_EVERY_S * number / scenario.routers
            self.at(offset_s, partial(self.feed, number))
        if scenario.restart_s >= 0.0:
            self.at(scenario.restart_s, self.restart)
        while self.events and self.events[0][0] < scenario.duration_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        return self

    def restart(self) -> None:
        """Restart all routers at the same time."""
        self.statements.clear()
        for router in self.routers:
            router.restart()

    # Messages.

    def publish(self, name: str) -> None:
        """Send an engine's status to all routers."""
        engine = self.engines[name]
        status = TargetStatus(
            target=name,
            waiting=len(engine.queue),
            running=engine.running + int(engine.current is not None),
            reading=int(engine.current is not None),
        )

        def arrive() -> None:
            for router in self.routers:
                router.fleet.record_status(name, status, self.now_s)

        self.at(self.now_s + DELAY_S, arrive)
        again_s = self.now_s + self.scenario.status_every_s
        self.at(again_s, partial(self.publish, name))

    def feed(self, number: int) -> None:
        """Exchange totals for a router."""
        router, sent_s = self.routers[number], self.now_s
        paces = router.paces
        stated = {
            key: float(f"{value:.3g}")
            for key, value in paces.statement(sent_s).items()
        }
        self.statements[number] = stated
        totals: dict[str, float] = {}
        for statement in self.statements.values():
            for key, value in statement.items():
                totals[key] = totals.get(key, 0.0) + value
        self.at(
            sent_s + DELAY_S, lambda: paces.take_totals(totals, stated, sent_s)
        )
        self.at(sent_s + FEED_EVERY_S, lambda: self.feed(number))
        if number == 0:
            first = next(iter(self.engines))
            factor = paces.factor(POOL, first, sent_s)
            self.factors.append((sent_s, factor))

    # Requests.

    def make_prompt(self) -> Prompt:
        """Return a random prompt with shared parts."""
        first = int(4 * self.rng.random() ** 2)
        second = int(200 * self.rng.random() ** 2)
        own = min(12_000, int(self.rng.lognormvariate(7.2, 0.8)))
        answer = min(600, int(self.rng.lognormvariate(3.9, 1.0)) + 1)
        parts = (
            PromptPart(id=f"a{first}", tokens=2_500),
            PromptPart(id=f"a{first}b{second}", tokens=1_500),
            PromptPart(id=f"own{self.count}", tokens=own),
        )
        return Prompt(
            model=MODEL,
            tokens=sum(part.tokens for part in parts),
            max_tokens=answer,
            parts=parts,
        )

    def arrive(self) -> None:
        """A prompt arrives at a random router."""
        gap_s = self.rng.expovariate(self.scenario.rate_per_s)
        self.at(self.now_s + gap_s, self.arrive)
        router = self.rng.choice(self.routers)
        self.send(
            Arrival(
                router=router,
                prompt=self.make_prompt(),
                arrived_s=self.now_s,
            )
        )

    def send(self, arrival: Arrival) -> None:
        """Send a prompt to the engine that its router chooses."""
        router = arrival.router
        chosen = router.choose(self.index, arrival, self.now_s)
        if chosen is None:
            return
        name = chosen.view.target.name
        router.average_prefill_tokens += AVERAGE_WEIGHT * (
            chosen.prefill_tokens - router.average_prefill_tokens
        )
        arrival.chosen, arrival.generation = chosen, router.generation
        arrival.sample = router.paces.sent(
            POOL, name, chosen.work_tokens, self.now_s
        )
        view = chosen.view
        view.open_requests += 1
        view.pending_prefills += 1
        view.pending_prefill_tokens += chosen.prefill_tokens
        is_broken = name == next(iter(self.engines)) and (
            self.rng.random() < self.scenario.error_share
        )
        if is_broken:
            self.at(self.now_s + ERROR_S, lambda: self.failed(arrival))
            return
        salt = cache_salt(ACCOUNT, MODEL, 1)
        self.caches[name].sent(salt, arrival.prompt.parts)
        engine = self.engines[name]
        engine.queue.append(arrival)
        if engine.current is None:
            self.start_prefill(engine)

    def failed(self, arrival: Arrival) -> None:
        """An engine answered with an error; another one is tried."""
        assert arrival.sample is not None
        arrival.router.paces.dropped(arrival.sample)
        self.release(arrival, is_begun=False)
        arrival.tried.append(arrival.chosen.view.target.name)
        self.send(arrival)

    def start_prefill(self, engine: ModelEngine) -> None:
        """Begin the next prefill of an engine."""
        arrival = engine.current = engine.queue.popleft()
        deviation = engine.rng.lognormvariate(0.0, PREFILL_DEVIATION)
        tokens = arrival.chosen.prefill_tokens * deviation
        ends_s = engine.prefill_end_s(tokens, self.now_s)
        engine.busy.append((self.now_s, ends_s))
        self.at(ends_s, lambda: self.end_prefill(engine, arrival))

    def end_prefill(self, engine: ModelEngine, arrival: Arrival) -> None:
        """End a prefill; the answer begins after the fixed time."""
        engine.current = None
        engine.running += 1
        self.at(self.now_s + FIXED_S, lambda: self.began(arrival))
        slowdown = 1.0 + RUNNING_SLOWDOWN * engine.running
        tokens = arrival.prompt.max_tokens
        seconds = tokens * GENERATE_TOKEN_S * slowdown / engine.speed
        self.at(self.now_s + seconds, lambda: self.end(engine, arrival))
        if engine.queue:
            self.start_prefill(engine)

    def began(self, arrival: Arrival) -> None:
        """The first event of an answer arrives."""
        sample, chosen = arrival.sample, arrival.chosen
        assert sample is not None
        self.measured.append(
            Measured(
                engine=sample.target,
                arrived_s=arrival.arrived_s,
                first_s=self.now_s - arrival.arrived_s,
                prefill_tokens=chosen.prefill_tokens,
                work_tokens=sample.work_tokens,
                expected_s=sample.estimate_s,
            )
        )
        if arrival.generation != arrival.router.generation:
            return
        arrival.router.paces.began(sample, self.now_s)
        view = chosen.view
        view.pending_prefills -= 1
        view.pending_prefill_tokens -= chosen.prefill_tokens

    def end(self, engine: ModelEngine, arrival: Arrival) -> None:
        """An answer ends; it has begun unless it is very short."""
        engine.running -= 1
        self.release(arrival, is_begun=True)

    def release(self, arrival: Arrival, is_begun: bool) -> None:
        """Remove a request from its router's counts."""
        if arrival.generation != arrival.router.generation:
            return
        view = arrival.chosen.view
        view.open_requests -= 1
        if not is_begun:
            view.pending_prefills -= 1
            view.pending_prefill_tokens -= arrival.chosen.prefill_tokens

    # Measurements.

    def utilisation(self, speed: float) -> float:
        """Return the mean utilisation of the engines of a speed."""
        span_s = self.scenario.warm_up_s, self.scenario.duration_s
        found = [
            engine.utilisation(*span_s)
            for engine in self.engines.values()
            if engine.speed == speed
        ]
        return sum(found) / len(found)

    def capacity_used(self) -> float:
        """Return the share of the pool's capacity that was used."""
        speeds = self.scenario.speeds
        used = sum(speed * self.utilisation(speed) for speed in speeds)
        return used / sum(speeds)

    def first_s(
        self,
        quantile: float,
        start_s: float | None = None,
        end_s: float = float("inf"),
    ) -> float:
        """Return a quantile of the time to the first event, in seconds.

        Args:
          quantile: The quantile.
          start_s: Begin of the span of arrivals; None for the warm-up's end.
          end_s: End of the span of arrivals.
        """
        if start_s is None:
            start_s = self.scenario.warm_up_s
        found = sorted(
            item.first_s
            for item in self.measured
            if start_s <= item.arrived_s < end_s
        )
        return found[min(len(found) - 1, int(quantile * len(found)))]

    def explained(self, value: Callable[[Measured], float]) -> float:
        """Return the share of the variance of first events a value explains.

        Args:
          value: Returns the value of a request that is compared linearly with
            its time to the first event.
        """
        items = [
            item
            for item in self.measured
            if item.arrived_s >= self.scenario.warm_up_s
        ]
        x = [value(item) for item in items]
        y = [item.first_s for item in items]
        mean_x, mean_y = sum(x) / len(x), sum(y) / len(y)
        xy = sum((a - mean_x) * (b - mean_y) for a, b in zip(x, y, strict=True))
        xx = sum((item - mean_x) ** 2 for item in x)
        yy = sum((item - mean_y) ** 2 for item in y)
        return xy * xy / max(xx * yy, 1e-12)
