"""Runs the soak test from the command line: `python -m basilpost.soak --seeds 50`."""

import asyncio
import dataclasses
import json
import pathlib
import sys
import tempfile

import click

from basilpost.soak import run


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of consecutive seeds.")
@click.option("--seconds", default=10.0, show_default=True, help="Time during which faults begin.")
@click.option(
    "--folder", default="", help="Folder for settings and logs; a temporary one if empty."
)
def main(first: int, seeds: int, seconds: float, folder: str) -> None:
    """Prints a line of JSON for each seed; exits with 1 if any guarantee was broken."""
    reports = [run_seed(seed, seconds, folder) for seed in range(first, first + seeds)]
    sys.exit(any(report.broken for report in reports))


def run_seed(seed: int, seconds: float, folder: str) -> run.Report:
    """Runs one seed, prints its report and returns it."""
    with tempfile.TemporaryDirectory() as temporary:
        seed_folder = pathlib.Path(folder or temporary) / str(seed)
        seed_folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(run.Soak(seed=seed, folder=seed_folder).run(seconds=seconds))
    click.echo(json.dumps(dataclasses.asdict(report)))
    return report


if __name__ == "__main__":
    main()
