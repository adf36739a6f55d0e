"""Measures the cost of choosing a prompt's target as the pool grows.

The pool holds 500 prompts of three parts, the shared ones at two targets each.
"""

import random
import time
from typing import Final

from sequoiawind.fleet import TargetView
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.home_order import HomeOrder
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
    salt = cache_salt("a", MODEL, 1, False)
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


def choice_us(size: int) -> float:
    """Return the mean time of a choice, in microseconds."""
    choose, placed = chooser(size).choose, prompts()
    times: list[float] = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        for prompt in placed:
            choose(prompt, "a", False)
        times.append(time.perf_counter() - began)
    return min(times) / PROMPTS * 1e6
