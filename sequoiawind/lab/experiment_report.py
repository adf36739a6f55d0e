"""Runs experiments over policies, scenarios and seeds, and writes reports.

A report is a Markdown table, all outcomes as JSON lines, and a plot.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import fmean
from typing import Final

import attrs

from sequoiawind import wire
from sequoiawind.lab import baselines, workload
from sequoiawind.lab.experiment import (
    PRODUCTION_POLICY,
    SCENARIOS,
    Experiment,
    Outcome,
    Scenario,
)

POLICIES: Final = (*baselines.BASELINES, PRODUCTION_POLICY)
# Deployment, scenario and policy.
Group = tuple[str, str, str]


@attrs.frozen(kw_only=True)
class Job:
    """The parameters of one run."""

    policy: str
    deployment: str
    scenario: Scenario
    seed: int
    patience: float


@attrs.frozen(kw_only=True)
class Column:
    """A column of the report's table."""

    title: str
    value: Callable[[Outcome], float]
    template: str = "{:.3f}"


COLUMNS: Final = (
    Column(title="requests", value=lambda o: o.requests, template="{:.0f}"),
    Column(title="answered", value=lambda o: o.answered, template="{:.0f}"),
    Column(title="hit rate", value=lambda o: o.hit_rate),
    Column(
        title="recomputed k",
        value=lambda o: o.recomputed_tokens / 1000.0,
        template="{:.0f}",
    ),
    Column(title="p50 s", value=lambda o: o.first_p50_s),
    Column(title="p95 s", value=lambda o: o.first_p95_s),
    Column(title="p99 s", value=lambda o: o.first_p99_s),
    Column(
        title="goodput/s", value=lambda o: o.goodput_per_s, template="{:.1f}"
    ),
    Column(
        title="in burst/s",
        value=lambda o: o.burst_goodput_per_s,
        template="{:.1f}",
    ),
    Column(title="recovery s", value=lambda o: o.recovery_s, template="{:.1f}"),
    Column(title="wrong", value=lambda o: o.wrong, template="{:.0f}"),
)


def make_jobs(seeds: int, patience: dict[str, float]) -> list[Job]:
    """Return the jobs of a full comparison.

    Args:
      seeds: The number of seeds for each policy and scenario.
      patience: The patience of each deployment's policy.
    """
    return [
        Job(
            policy=policy,
            deployment=deployment,
            scenario=scenario,
            seed=seed,
            patience=patience[deployment],
        )
        for deployment in workload.DEPLOYMENTS
        for scenario in SCENARIOS
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]


def run_job(job: Job) -> Outcome:
    """Run one experiment."""
    experiment = Experiment(
        policy=job.policy,
        deployment=workload.DEPLOYMENTS[job.deployment],
        scenario=job.scenario,
        seed=job.seed,
        patience=job.patience,
    )
    return experiment.run()


def run_jobs(jobs: Sequence[Job], workers: int) -> list[Outcome]:
    """Run jobs in worker processes; return their outcomes in job order."""
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_job, jobs))


def grouped(outcomes: Iterable[Outcome]) -> dict[Group, list[Outcome]]:
    """Return the outcomes by deployment, scenario and policy."""
    groups: dict[Group, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        key = (outcome.deployment, outcome.scenario, outcome.policy)
        groups[key].append(outcome)
    return dict(groups)


def table(outcomes: Sequence[Outcome]) -> str:
    """Return the mean of each group as a Markdown table."""
    titles = ["deployment", "scenario", "policy"]
    titles += [column.title for column in COLUMNS]
    lines = ["| " + " | ".join(titles) + " |"]
    lines.append("|" + "---|" * len(titles))
    for key, group in grouped(outcomes).items():
        cells = list(key)
        for column in COLUMNS:
            mean = fmean(column.value(outcome) for outcome in group)
            cells.append(column.template.format(mean))
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def write(outcomes: Sequence[Outcome], folder: Path, command: str) -> None:
    """Write the table, the JSON lines and the plot into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    seeds = len({outcome.seed for outcome in outcomes})
    text = (
        f"# Placement compared\n\nCommand: `{command}`. Mean of {seeds} "
        "seeds; measured after 20 s of warm-up.\n\n" + table(outcomes) + "\n"
    )
    (folder / "placement.md").write_text(text, encoding="utf-8")
    lines = [wire.encode(outcome).decode() for outcome in outcomes]
    (folder / "placement.jsonl").write_text(
        "\n".join(lines) + "\n", encoding="utf-8"
    )
    plot(outcomes, folder / "placement.png")


def plot(outcomes: Sequence[Outcome], file: Path) -> None:
    """Plot the hit rate against the p99 of the time to the first token."""
    # Imported here: the library is slow to import and needed only for this.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4.5))
    for axis, deployment in zip(axes, workload.DEPLOYMENTS, strict=True):
        for (name, scenario, policy), group in grouped(outcomes).items():
            if name != deployment or scenario != "steady":
                continue
            axis.scatter(
                fmean(outcome.hit_rate for outcome in group),
                fmean(outcome.first_p99_s for outcome in group),
                label=policy,
            )
        axis.set_title(f"{deployment}, steady")
        axis.set_xlabel("prefix hit rate")
        axis.set_ylabel("p99 time to first token, s")
        axis.set_yscale("log")
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(file, dpi=90)
