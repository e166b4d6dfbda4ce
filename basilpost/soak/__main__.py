"""Runs the soak by hand: `python -m basilpost.soak --seeds 50`."""

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
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, one after another.")
@click.option("--seconds", default=10.0, show_default=True, help="Time in which faults begin.")
@click.option(
    "--folder", default="", help="Where settings and logs stay; a temporary one if empty."
)
def main(first: int, seeds: int, seconds: float, folder: str) -> None:
    """Prints a line of JSON for each seed; ends with 1 if anything was broken."""
    reports = [one(seed, seconds, folder) for seed in range(first, first + seeds)]
    sys.exit(any(report.broken for report in reports))


def one(seed: int, seconds: float, folder: str) -> run.Report:
    """Runs one seed and prints its report."""
    with tempfile.TemporaryDirectory() as temporary:
        place = pathlib.Path(folder or temporary) / str(seed)
        place.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(run.Soak(seed=seed, folder=place).run(seconds=seconds))
    click.echo(json.dumps(dataclasses.asdict(report)))
    return report


if __name__ == "__main__":
    main()
