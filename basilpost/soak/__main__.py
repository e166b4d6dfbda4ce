"""Runs the soak test from the command line: `python -m basilpost.soak --seeds 50`."""

import asyncio
import dataclasses
import json
import pathlib
import sys
import tempfile
from collections.abc import Callable
from typing import Any

import click

from basilpost.soak import (
    answer_scenarios,
    drain_scenarios,
    odd_scenarios,
    run,
    scenarios,
    unframed_scenarios,
    version_scenarios,
)

SCENARIOS_BY_PLAN: dict[str, Callable[..., scenarios.Scenario]] = {
    "faults": scenarios.AllFaults,
    "stops": scenarios.PlannedStops,
    "crashes": scenarios.CrashingParts,
    "unwaited-crashes": scenarios.UnwaitedCrashes,
    "paths": scenarios.LostPaths,
    "silent-paths": scenarios.SilentPaths,
    "fleet": scenarios.LargeFleet,
    "restores": scenarios.RestoredStore,
    "overload": scenarios.Overload,
    "second-answers": answer_scenarios.SecondAnswers,
    "odd-writers": odd_scenarios.OddWriters,
    "unframed": unframed_scenarios.UnframedAnswers,
    "planned-drains": drain_scenarios.PlannedDrains,
    "takeovers": drain_scenarios.Takeovers,
    "versions": version_scenarios.Versions,
    "late-orders": scenarios.LateOrders,
}


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of consecutive seeds.")
@click.option("--seconds", default=10.0, show_default=True, help="Time during which faults begin.")
@click.option(
    "--folder", default="", help="Folder for settings and logs; a temporary one if empty."
)
@click.option(
    "--plan",
    type=click.Choice(list(SCENARIOS_BY_PLAN)),
    default="faults",
    show_default=True,
    help="Faults of all kinds, planned stops, crashing requests, such whose callers leave, lost paths, paths on which nothing passes, "
    "lost paths of most nodes of a large fleet, restores of the store, callers that want more than there is, "
    "runners that answer twice, odd entries of other writers beside answers with invalid statuses, answers without a length, runners that drain one after another, heads that leave the list beside changes of the controller, versions of the configuration beside kills of all nodes, or orders that are carried out late.",
)
@click.option("--nodes", type=int, help="Number of nodes.")
@click.option("--callers", "caller_count", type=int, help="Number of callers.")
@click.option("--vms", type=int, help="Number of VMs with a model engine's runner.")
@click.option("--busy", "busy_processes", type=int, help="Number of busy processes beside.")
def main(
    first: int, seeds: int, seconds: float, folder: str, plan: str, **sizes: int | None
) -> None:
    """Prints a line of JSON for each seed; exits with 1 if any guarantee was broken."""
    given_sizes: dict[str, Any] = {name: size for name, size in sizes.items() if size is not None}
    scenario = SCENARIOS_BY_PLAN[plan](**given_sizes)
    reports = [run_seed(seed, seconds, folder, scenario) for seed in range(first, first + seeds)]
    sys.exit(any(report.broken for report in reports))


def run_seed(seed: int, seconds: float, folder: str, scenario: scenarios.Scenario) -> run.Report:
    """Runs one seed, prints its report and returns it."""
    with tempfile.TemporaryDirectory() as temporary:
        seed_folder = pathlib.Path(folder or temporary) / str(seed)
        seed_folder.mkdir(parents=True, exist_ok=True)
        soak = run.Soak(seed=seed, folder=seed_folder, scenario=scenario)
        report = asyncio.run(soak.run(seconds=seconds))
    click.echo(json.dumps(dataclasses.asdict(report)))
    return report


if __name__ == "__main__":
    main()
