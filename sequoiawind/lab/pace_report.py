"""Prints what the choice of targets makes of their speeds.

Run it by `python -m sequoiawind.lab.pace_report`; it takes about a minute.
"""

from typing import Final

import attrs

from sequoiawind.lab.pace_model import PaceModel, PaceScenario

SEEDS: Final = (1, 2, 3)
SPEEDS: Final = PaceScenario(rate_per_s=70.0)
EQUAL: Final = PaceScenario(
    speeds=(1.0,), engines_per_speed=12, rate_per_s=45.0
)
SCENARIOS: Final = (
    ("speeds", SPEEDS),
    ("speeds, status every 0.05 s", attrs.evolve(SPEEDS, status_every_s=0.05)),
    ("speeds, no totals", attrs.evolve(SPEEDS, has_totals=False)),
    (
        "speeds, slow periods",
        attrs.evolve(SPEEDS, has_slow_periods=True, rate_per_s=60.0),
    ),
    ("speeds, routers restart", attrs.evolve(SPEEDS, restart_s=30.0)),
    ("equal", EQUAL),
    (
        "equal, slow periods",
        attrs.evolve(EQUAL, has_slow_periods=True, rate_per_s=55.0),
    ),
)


def measure(scenario: PaceScenario) -> list[float]:
    """Return the means over the seeds.

    Returns:
      The utilisation by speed, the used share of the capacity, the p50 and p95
      of the time to the first event in seconds, and the shares of its variance
      that the prefill, the work and the estimate explain.
    """
    rows = []
    for seed in SEEDS:
        run = PaceModel(scenario=attrs.evolve(scenario, seed=seed)).run()
        rows.append(
            [
                *(run.utilisation(speed) for speed in run.scenario.speeds),
                run.capacity_used(),
                run.first_s(0.5),
                run.first_s(0.95),
                run.explained(lambda item: item.prefill_tokens),
                run.explained(lambda item: item.work_tokens),
                run.explained(lambda item: item.expected_s),
            ]
        )
    return [sum(column) / len(SEEDS) for column in zip(*rows, strict=True)]


def main() -> None:
    """Print one line for each scenario, without and with speeds."""
    for label, scenario in SCENARIOS:
        for has_pace in (False, True):
            found = measure(attrs.evolve(scenario, has_pace=has_pace))
            figures = " ".join(f"{value:.3f}" for value in found)
            print(f"{label}; {'pace' if has_pace else 'blind'}: {figures}")


if __name__ == "__main__":
    main()
