"""Seeded workloads like those of the two deployments.

Prompts consist of nested levels: an account's instructions, a station's or
vessel's dossier, a case, and a unique question.  Account, dossier and case
are drawn from Zipf distributions; the most requested dossiers can change
during the run.
"""

import itertools
import random
from collections.abc import Iterator
from typing import Final

import attrs

from sequoiawind import defaults


@attrs.frozen(kw_only=True)
class Deployment:
    """The shape of one deployment's traffic."""

    name: str
    engines: int
    rate_per_s: float
    # Numbers of accounts, dossiers of an account, and cases of a dossier.
    accounts: int = 8
    dossiers: int = 12
    cases: int = 6
    # Tokens of each level of a prompt.
    account_tokens: int = 2048
    dossier_tokens: int = 4096
    case_tokens: int = 2048
    question_tokens: int = 128
    answer_tokens: int = 48
    # Longest time to the first token for which a request is admitted, and the
    # goal for that time, in seconds.
    max_first_s: float = 1.0
    first_token_goal_s: float = 1.1
    # Factor by which a burst multiplies the rate.
    burst_factor: float = 6.0
    # Zipf exponents of accounts, dossiers and cases.
    account_skew: float = 1.0
    dossier_skew: float = 1.0
    case_skew: float = 0.8


NORDLYS: Final = Deployment(name="nordlys", engines=5, rate_per_s=16.0)
PETRA: Final = Deployment(
    name="petra",
    engines=9,
    rate_per_s=30.0,
    dossiers=20,
    dossier_tokens=6144,
    case_tokens=1024,
    answer_tokens=32,
    max_first_s=5.0,
    burst_factor=3.5,
    first_token_goal_s=6.0,
)
DEPLOYMENTS: Final = {"nordlys": NORDLYS, "petra": PETRA}


@attrs.frozen(kw_only=True)
class Prompt:
    """One request of a workload."""

    number: int
    # When it is sent, in seconds from the start.
    time_s: float
    account: str
    text: str
    answer_tokens: int


@attrs.frozen(kw_only=True)
class Burst:
    """A time span in which the rate is multiplied by a factor."""

    start_s: float
    end_s: float
    factor: float


@attrs.define(kw_only=True)
class Workload:
    """Generates the requests of one run."""

    deployment: Deployment
    seed: int
    duration_s: float
    # When the most requested dossiers change; never if negative.
    shift_s: float = -1.0
    burst: Burst | None = None

    def prompts(self) -> Iterator[Prompt]:
        """Yield the requests in order of time, as a Poisson process."""
        source = random.Random(f"{self.deployment.name}-{self.seed}")
        time_s = 0.0
        for number in itertools.count():
            time_s += source.expovariate(self.rate_at(time_s))
            if time_s >= self.duration_s:
                return
            yield self.draw(source, number, time_s)

    def rate_at(self, time_s: float) -> float:
        """Return the rate at a time, in requests per second."""
        rate = self.deployment.rate_per_s
        if self.burst is None:
            return rate
        if self.burst.start_s <= time_s < self.burst.end_s:
            return rate * self.burst.factor
        return rate

    def draw(self, source: random.Random, number: int, time_s: float) -> Prompt:
        """Return a random request."""
        shape = self.deployment
        account = zipf(source, shape.accounts, shape.account_skew)
        dossier = zipf(source, shape.dossiers, shape.dossier_skew)
        if 0.0 <= self.shift_s <= time_s:
            dossier = (dossier + shape.dossiers // 2) % shape.dossiers
        case = zipf(source, shape.cases, shape.case_skew)
        name = f"{shape.name}-{account}"
        # The seed is part of the text: each seed gives other hashes, so that
        # no policy's result depends on one lucky set of them.
        title = f"{name} {self.seed}"
        text = "".join(
            (
                level(f"{title} instructions", shape.account_tokens),
                level(f"{title} dossier {dossier}", shape.dossier_tokens),
                level(f"{title} case {dossier}.{case}", shape.case_tokens),
                level(f"question {self.seed}.{number}", shape.question_tokens),
            )
        )
        return Prompt(
            number=number,
            time_s=time_s,
            account=name,
            text=text,
            answer_tokens=shape.answer_tokens,
        )


def zipf(source: random.Random, count: int, skew: float) -> int:
    """Draw n from 0 to count - 1 with weights of 1 / (n + 1) ** skew."""
    weights = [1.0 / (rank + 1) ** skew for rank in range(count)]
    return source.choices(range(count), weights)[0]


def level(title: str, tokens: int) -> str:
    """Return the text of one level of a prompt, `tokens` tokens long."""
    size = tokens * defaults.BYTES_PER_TOKEN
    unit = f"{title}; "
    return (unit * (size // len(unit) + 1))[:size]


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of values at a share; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
