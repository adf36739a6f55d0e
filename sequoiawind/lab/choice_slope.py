"""Measures the cost of choosing a prompt's target as the pool grows.

The pool holds 500 prompts of three parts, the shared ones at two targets each.
"""

import random
import time
from collections.abc import Callable
from typing import Final

import attrs

from sequoiawind.fleet import TargetView
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.home_order import HomeOrder
from sequoiawind.load.target_pace import TargetPaces
from sequoiawind.prompt_cache import (
    HeldParts,
    PartIndex,
    Prompt,
    PromptPart,
    cache_salt,
)
from sequoiawind.target_choice import PromptChooser

POOL_SIZES: Final = (5, 22, 39, 78)
PROMPTS: Final = 500
HOLDERS: Final = 2
# Targets that a router offers as candidates for their little work.
SPARE: Final = 2
# Number of runs; the fastest counts.
REPEATS: Final = 5
# Samples of each target from which speeds are learned.
SAMPLES: Final = 30
MODEL: Final = "m"


def prompts() -> list[Prompt]:
    """Return the prompts that are placed."""
    return [
        Prompt(
            model=MODEL,
            tokens=9_000,
            max_tokens=20,
            parts=(
                PromptPart(id=f"a{number % 4}", tokens=2_500),
                PromptPart(id=f"b{number}", tokens=3_800),
                PromptPart(id=f"own{number}", tokens=2_700),
            ),
        )
        for number in range(PROMPTS)
    ]


def chooser(size: int) -> PromptChooser:
    """Return a chooser for a pool that holds the shared parts."""
    source = random.Random(1)
    index = PartIndex()
    salt = cache_salt("a", MODEL, 1)
    pool = {
        f"e{number}": TargetView(
            target=ForwardTarget(
                name=f"e{number}",
                pool="p",
                address=f"e{number}:80",
                versions={MODEL: 1},
            )
        )
        for number in range(size)
    }
    held = {
        name: HeldParts(capacity_tokens=10_000_000, name=name, index=index)
        for name in pool
    }
    for prompt in prompts():
        for name in source.sample(sorted(pool), HOLDERS):
            held[name].sent(salt, prompt.parts[:-1])
    homes = HomeOrder()
    homes.set_members(pool)
    return PromptChooser(
        index=index,
        homes=homes,
        pool=pool,
        spare=sorted(pool)[:SPARE],
        now_s=0.0,
    )


def paced_chooser(size: int) -> PromptChooser:
    """Return a chooser for targets whose speeds were learned and differ.

    One target in three is 1.6 times slower, and each has an open request.
    """
    paces = TargetPaces()
    now_s = 0.0
    plain = chooser(size)
    for _ in range(SAMPLES):
        now_s += 0.5
        for number, name in enumerate(plain.pool):
            sample = paces.sent("p", name, 2_000.0, now_s)
            taken_s = 0.16 * (1.6 if number % 3 == 0 else 1.0)
            paces.began(sample, now_s + taken_s)
    for name in plain.pool:
        paces.sent("p", name, 2_000.0, now_s)
    return attrs.evolve(
        plain,
        factor=lambda view: paces.factor("p", view.target.name, now_s),
    )


def refresh_us(size: int) -> float:
    """Return the mean time of computing a pool's factors, in microseconds."""
    paces = TargetPaces()
    for step in range(SAMPLES):
        for number in range(size):
            sample = paces.sent("p", f"e{number}", 2_000.0, 0.5 * step)
            paces.began(sample, 0.5 * step + 0.16)
    began = time.perf_counter()
    for step in range(PROMPTS):
        paces.factor("p", "e0", 0.5 * (SAMPLES + step))
    return (time.perf_counter() - began) / PROMPTS * 1e6


def choice_us(
    size: int, make: Callable[[int], PromptChooser] = chooser
) -> float:
    """Return the mean time of a choice, in microseconds."""
    choose, placed = make(size).choose, prompts()
    times: list[float] = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        for prompt in placed:
            choose(prompt, "a")
        times.append(time.perf_counter() - began)
    return min(times) / PROMPTS * 1e6
