"""Model of routers that enforce the rate limit of one client account.

Routers state their demand to relays and get the totals back, with the delays of
the feed; messages may be lost, late or repeated, and routers may be cut off,
frozen or killed.  Run as a program, it prints what the cases give.
"""

import heapq
import random
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from sequoiawind.forward_state import LimitedAccount
from sequoiawind.load.account_limits import KEY_PREFIX, AccountLimits

ACCOUNT: Final = "a"
WINDOW_S: Final = 8.0
# Of the page: overshoot as a share, and allowed besides, in tokens.
OVERSHOOT: Final = 0.1
SLACK: Final = 110_000.0
# Cost of a request, in tokens.
MEAN_COST: Final = 9_200.0
MOST_COST: Final = 57_000.0
COST_SIGMA: Final = 0.8
# Time for which a relay holds a request for the feed, in seconds.
HOLD_S: Final = 0.5
# Age at which a relay knows the routers of other relays, in seconds.
RELAY_LAG_S: Final = 0.5
RELAYS: Final = 3
# Time after which relays drop the statement of a router, in seconds.
STATEMENT_LIFETIME_S: Final = 5.0
TRANSIT_S: Final = 0.01


@attrs.define(kw_only=True)
class ModelRouter:
    """One router with its times, in seconds of the model."""

    number: int
    limits: AccountLimits
    # The router does not run before this time.
    frozen_until_s: float = 0.0
    # Its messages are lost.
    is_cut_off: bool = False
    # Number of routers that it is told; None for the true one.
    told_routers: int | None = None
    # Rises with each start of its process.
    life: int = 0


@attrs.define(kw_only=True)
class Grant:
    """A request that ran."""

    time_s: float
    cost: float


@attrs.define(kw_only=True)
class LimitModel:
    """All routers, their relays and the callers of one account."""

    routers_count: int
    account: LimitedAccount
    seed: int = 1
    # Demand in tokens a second at a time.
    demand: Callable[[float], float]
    # Router that a request at a time reaches.
    place: Callable[[float, random.Random], int]
    # Part of the messages that are lost, and repeated.
    lost: float = 0.0
    repeated: float = 0.0
    # Shortest and longest additional delay of totals, in seconds.
    late_s: tuple[float, float] = (0.0, 0.0)
    # What happens to the routers: time and change.
    events: list[tuple[float, Callable[["LimitModel"], None]]] = attrs.field(
        factory=list
    )
    # Cost of each request; None for the usual distribution.
    cost: float | None = None
    now_s: float = 0.0
    rng: random.Random = attrs.field(init=False)
    routers: list[ModelRouter] = attrs.field(factory=list)
    granted: list[Grant] = attrs.field(factory=list)
    asked: list[Grant] = attrs.field(factory=list)
    # Statements at the relays: by router, the time and the demand.
    statements: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    # Sums by relay, with the past ones that the other relays know.
    sums: list[list[tuple[float, float]]] = attrs.field(factory=list)
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    count: int = 0

    def __attrs_post_init__(self) -> None:
        """Start the routers."""
        self.rng = random.Random(self.seed)
        self.sums = [[(0.0, 0.0)] for _ in range(RELAYS)]
        for number in range(self.routers_count):
            router = ModelRouter(number=number, limits=self.started(number))
            self.routers.append(router)
            self.begin_feed(router)

    def started(self, number: int) -> AccountLimits:
        """Return the limits of a router that has just started."""
        return AccountLimits(
            age_clock=lambda: self.now_s,
            random=random.Random(self.rng.random()),
            started_s=self.now_s,
        )

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self.count += 1
        heapq.heappush(self.queue, (time_s, self.count, action))

    # The feed.

    def begin_feed(self, router: ModelRouter) -> None:
        """Let a router that has started read the feed."""
        life = router.life
        first_s = self.now_s + self.rng.random() * HOLD_S
        self.at(first_s, lambda: self.ask(router, life))

    def ask(self, router: ModelRouter, life: int) -> None:
        """Send a router's statement; its reply comes when held."""
        if router.life != life:
            return
        if self.now_s < router.frozen_until_s:
            self.at(router.frozen_until_s, lambda: self.ask(router, life))
            return
        stated = router.limits.statement(self.now_s)
        sent_s = self.now_s
        self.at(sent_s + HOLD_S, lambda: self.ask(router, life))
        if router.is_cut_off or self.rng.random() < self.lost:
            return
        value = float(f"{stated.get(KEY_PREFIX + ACCOUNT, 0.0):.3g}")
        stated = {KEY_PREFIX + ACCOUNT: value}
        self.at(sent_s + TRANSIT_S, lambda: self.store(router.number, value))
        delay_s = HOLD_S - TRANSIT_S + self.rng.uniform(*self.late_s)
        for again in range(1 + (self.rng.random() < self.repeated)):
            self.at(
                sent_s + delay_s + again * self.rng.random(),
                lambda: self.reply(router, life, stated, sent_s),
            )

    def store(self, number: int, value: float) -> None:
        """Store a statement at the router's relay."""
        _, before = self.statements.get(number, (0.0, 0.0))
        self.statements[number] = (self.now_s, value)
        self.add(number, value - before)

    def add(self, number: int, change: float) -> None:
        """Change the sum of a relay."""
        history = self.sums[number % RELAYS]
        history.append((self.now_s, max(0.0, history[-1][1] + change)))
        while len(history) > 2 and history[1][0] < self.now_s - RELAY_LAG_S:
            history.pop(0)

    def expire(self) -> None:
        """Drop the statements of routers that have ended."""
        for number, (time_s, value) in list(self.statements.items()):
            if time_s < self.now_s - STATEMENT_LIFETIME_S:
                del self.statements[number]
                self.add(number, -value)

    def total(self, relay: int) -> float:
        """Return the total that a relay knows."""
        total = self.sums[relay][-1][1]
        for other, history in enumerate(self.sums):
            if other != relay:
                known = [
                    value
                    for time_s, value in history
                    if time_s <= self.now_s - RELAY_LAG_S
                ]
                total += known[-1] if known else 0.0
        return total

    def reply(
        self,
        router: ModelRouter,
        life: int,
        stated: Mapping[str, float],
        sent_s: float,
    ) -> None:
        """Deliver the totals as of now to a router."""
        if router.life != life or router.is_cut_off:
            return
        totals = {KEY_PREFIX + ACCOUNT: self.total(router.number % RELAYS)}
        if self.now_s < router.frozen_until_s:
            self.at(
                router.frozen_until_s,
                lambda: self.deliver(router, life, totals, stated, sent_s),
            )
            return
        self.deliver(router, life, totals, stated, sent_s)

    def deliver(
        self,
        router: ModelRouter,
        life: int,
        totals: Mapping[str, float],
        stated: Mapping[str, float],
        sent_s: float,
    ) -> None:
        """Let a router take totals."""
        if router.life != life:
            return
        told = router.told_routers
        count = self.routers_count if told is None else told
        router.limits.note_routers(count, self.now_s)
        router.limits.take_totals(totals, stated, sent_s, self.now_s)

    # Faults.

    def kill(self, numbers: Iterator[int] | range) -> None:
        """Kill routers and start them again."""
        for number in numbers:
            router = self.routers[number]
            router.life += 1
            router.limits = self.started(number)
            self.begin_feed(router)

    # Callers.

    def draw_cost(self) -> float:
        """Return the cost of a request."""
        if self.cost is not None:
            return self.cost
        mu = -COST_SIGMA * COST_SIGMA / 2.0
        drawn = MEAN_COST * self.rng.lognormvariate(mu, COST_SIGMA)
        return min(MOST_COST, drawn)

    def arrive(self) -> None:
        """Let a request arrive, and draw the time of the next."""
        demand = self.demand(self.now_s)
        mean = MEAN_COST if self.cost is None else self.cost
        step_s = 0.1
        if demand > 0.0:
            step_s = self.rng.expovariate(demand / mean)
        self.at(self.now_s + min(step_s, 30.0), self.arrive)
        if demand <= 0.0:
            return
        number = self.place(self.now_s, self.rng)
        router = self.routers[number]
        if self.now_s < router.frozen_until_s:
            return
        item = Grant(time_s=self.now_s, cost=self.draw_cost())
        self.asked.append(item)
        limits = router.limits
        if limits.admit(self.account, item.cost, self.now_s) is None:
            self.granted.append(item)

    def run(self, seconds: float) -> None:
        """Run the model up to a time."""
        self.at(0.001, self.arrive)
        for time_s, change in self.events:
            self.at(time_s, lambda change=change: change(self))  # type: ignore[misc]
        expired_s = 0.0
        while self.queue and self.queue[0][0] < seconds:
            self.now_s, _, action = heapq.heappop(self.queue)
            action()
            if self.now_s - expired_s > 0.5:
                expired_s = self.now_s
                self.expire()

    # Measured.

    def excess(self, since_s: float = 0.0, until_s: float = 1e9) -> float:
        """Return the most that ran in a window, as a part of the bound."""
        limit = self.account
        bound = limit.rate_per_s * WINDOW_S + limit.burst
        bound = bound * (1.0 + OVERSHOOT) + SLACK
        most, total, first = 0.0, 0.0, 0
        items = [g for g in self.granted if since_s <= g.time_s < until_s]
        for item in items:
            total += item.cost
            while items[first].time_s <= item.time_s - WINDOW_S:
                total -= items[first].cost
                first += 1
            most = max(most, total)
        return most / bound

    def served(self, since_s: float = 0.0, until_s: float = 1e9) -> float:
        """Return what was granted as a part of what one bucket would grant."""
        limit = self.account
        level, last_s, permitted = limit.burst, 0.0, 0.0
        for item in self.asked:
            level += (item.time_s - last_s) * limit.rate_per_s
            level, last_s = min(level, limit.burst), item.time_s
            if level >= 0.0:
                level -= item.cost
                if since_s <= item.time_s < until_s:
                    permitted += item.cost
        granted = sum(
            item.cost
            for item in self.granted
            if since_s <= item.time_s < until_s
        )
        return granted / permitted if permitted else 1.0


def anywhere(
    routers: int, reached: int
) -> Callable[[float, random.Random], int]:
    """Return the places of callers that reach some routers alike."""
    return lambda now_s, rng: rng.randrange(min(reached, routers))


def moving(
    routers: int, reached: int, seed: int = 1
) -> Callable[[float, random.Random], int]:
    """Return the places of callers that move to other routers each second."""

    def place(now_s: float, rng: random.Random) -> int:
        second = random.Random(seed * 1_000_003 + int(now_s))
        return rng.choice(second.sample(range(routers), min(reached, routers)))

    return place


def limited(rate_per_s: float) -> LimitedAccount:
    """Return an account with a burst of one second."""
    return LimitedAccount(
        name=ACCOUNT, rate_per_s=rate_per_s, burst=rate_per_s, plain_cost=100.0
    )


def main() -> None:
    """Print, by case, the most of the bound and the least and mean served."""
    for name, part, reached, is_moving in (
        ("0.9, at 11", 0.9, 11, False),
        ("2.0, at 11", 2.0, 11, False),
        ("2.0, at all", 2.0, 300, False),
        ("2.0, 11 move", 2.0, 11, True),
        ("2.0, 1 moves", 2.0, 1, True),
    ):
        for routers in (4, 30, 300):
            for rate in (29_000.0, 240_000.0):
                models = []
                for seed in (1, 2):
                    place = anywhere(routers, reached)
                    if is_moving:
                        few = min(reached, max(1, routers // 2))
                        place = moving(routers, few, seed)
                    model = LimitModel(
                        routers_count=routers,
                        account=limited(rate),
                        seed=seed,
                        demand=lambda _, demand=part * rate: demand,  # type: ignore[misc]
                        place=place,
                    )
                    model.run(60.0)
                    models.append(model)
                most = max(model.excess() for model in models)
                parts = [model.served(10.0) for model in models]
                mean = sum(parts) / len(parts)
                print(
                    f"| {name} | {routers} | {rate:.0f} | {most:.2f} "
                    f"| {min(parts):.2f} | {mean:.2f} |"
                )


if __name__ == "__main__":
    main()
