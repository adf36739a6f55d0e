"""The program `sequoiawind-load`: load, benchmarks, experiments and soak."""

import argparse
import sys
from pathlib import Path
from typing import Any, Final

import attrs
from twisted.internet.defer import Deferred

from sequoiawind import command_line, event_loop, http_client
from sequoiawind.lab import (
    experiment_report,
    forward_mutants,
    forward_soak,
    http_bench,
    mutants,
    slopes,
    soak,
    workload,
)
from sequoiawind.lab.http_load import LoadRun

PURPOSE: Final = "Load routers, compare policies, and search for faults."

# Patience of each deployment's policy.
PATIENCE: Final = {"nordlys": 4.0, "petra": 8.0}


def main() -> None:
    """Run the action that the command line names."""
    args = make_parser().parse_args()
    if args.action == "run":
        sys.exit(run_load(args))
    if args.action == "bench":
        bench = http_bench.Bench(
            router=args.router,
            engines=args.engine,
            agents=args.agent,
            model=args.model,
        )
        print("\n".join(run_in_reactor(bench.run())))
    if args.action == "experiment":
        run_experiment(args)
    if args.action == "slopes":
        print(slopes.report())
    if args.action == "soak":
        sys.exit(run_soak(args))
    if args.action == "mutants":
        sys.exit(run_mutants())


def make_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = command_line.parser("sequoiawind-load", PURPOSE)
    actions = parser.add_subparsers(dest="action", required=True)
    run = actions.add_parser("run", help="send a workload to routers")
    run.add_argument("--router", action="append", required=True)
    run.add_argument(
        "--deployment", choices=sorted(workload.DEPLOYMENTS), required=True
    )
    run.add_argument("--model", required=True)
    run.add_argument("--rate", type=float, help="requests per second")
    run.add_argument("--seconds", type=float, default=10.0)
    run.add_argument("--seed", type=int, default=1)
    bench = actions.add_parser("bench", help="measure added time and relaying")
    bench.add_argument("--router", required=True)
    bench.add_argument("--engine", action="append", required=True)
    bench.add_argument("--agent", action="append", required=True)
    bench.add_argument("--model", required=True)
    soak_parser = actions.add_parser(
        "soak", help="run real code under random faults on a virtual clock"
    )
    soak_parser.add_argument("--seed", type=int, default=1)
    soak_parser.add_argument("--seeds", type=int, default=1)
    actions.add_parser(
        "mutants", help="check that the soak detects each mutant"
    )
    experiment = actions.add_parser(
        "experiment", help="compare placements on the same workloads"
    )
    experiment.add_argument("--seeds", type=int, default=10)
    experiment.add_argument("--workers", type=int, default=6)
    experiment.add_argument("--out", default="docs/measurements")
    actions.add_parser("slopes", help="measure how costs grow with size")
    return parser


def run_experiment(args: argparse.Namespace) -> None:
    """Compare placements and write the report."""
    jobs = experiment_report.make_jobs(args.seeds, PATIENCE)
    outcomes = experiment_report.run_jobs(jobs, args.workers)
    command = f"sequoiawind-load experiment --seeds {args.seeds}"
    experiment_report.write(outcomes, Path(args.out), command)
    print(experiment_report.table(outcomes))


def run_soak(args: argparse.Namespace) -> int:
    """Run the soak with a range of seeds and print the violations.

    Returns:
      The exit code: 1 if any seed found a violation.
    """
    failed_seeds = 0
    for seed in range(args.seed, args.seed + args.seeds):
        violations, counts = soak.run_seed(seed)
        forward_violations, forward_counts = forward_soak.run_seed(seed)
        violations = violations + forward_violations
        counts = {**counts, **forward_counts}
        totals = ", ".join(f"{key} {counts[key]}" for key in sorted(counts))
        print(f"seed {seed}: {len(violations)} violations; {totals}")
        for violation in violations:
            print(f"  {violation}")
        failed_seeds += bool(violations)
    return 1 if failed_seeds else 0


def run_mutants() -> int:
    """Run the soak against each mutant and print which were detected.

    Returns:
      The exit code: 1 if any mutant was not detected.
    """
    missed = 0
    for mutant in (*mutants.MUTANTS, *forward_mutants.MUTANTS):
        seed, violation = mutants.find_violation(mutant)
        if seed < 0:
            missed += 1
            print(f"NOT FOUND: {mutant.name}")
        else:
            print(f"found by seed {seed}: {mutant.name}: {violation}")
    return 1 if missed else 0


def run_load(args: argparse.Namespace) -> int:
    """Send a workload and print the measurements.

    Returns:
      The exit code: 1 if any answer was wrong.
    """
    shape = workload.DEPLOYMENTS[args.deployment]
    if args.rate:
        shape = attrs.evolve(shape, rate_per_s=args.rate)
    prompts = workload.Workload(
        deployment=shape, seed=args.seed, duration_s=args.seconds
    ).prompts()
    load = LoadRun(
        client=http_client.make_client(),
        routers=args.router,
        model=args.model,
    )
    results = run_in_reactor(load.run(prompts))
    print("\n".join(results.lines()))
    return 1 if results.wrong else 0


def run_in_reactor(coroutine: Any) -> Any:
    """Run the reactor until a coroutine ends; return its result or raise."""
    results: list[Any] = []

    def stop(result: Any) -> None:
        results.append(result)
        event_loop.reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(coroutine).addBoth(stop)

    event_loop.reactor.callWhenRunning(start)
    event_loop.reactor.run()
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]
