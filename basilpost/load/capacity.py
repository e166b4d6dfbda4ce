"""Regenerates the tables of docs/CAPACITY.md from docs/measurements.

python -m basilpost.load.capacity            writes the tables
python -m basilpost.load.capacity --check    fails if the page differs from them
"""

import argparse
import itertools
import json
import pathlib
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from basilpost.load import (
    adapters,
    capacity_costs,
    capacity_model,
    capacity_page,
    capacity_storms,
    fit,
)
from basilpost.settings import schema

PAGE = pathlib.Path("docs/CAPACITY.md")
MEASUREMENTS = pathlib.Path("docs/measurements")


def main() -> None:
    """Writes the tables, or with --check exits with a message if the page differs from them."""
    parser = argparse.ArgumentParser(description="Regenerates the tables of docs/CAPACITY.md.")
    parser.add_argument("--check", action="store_true", help="fail if the page differs")
    arguments = parser.parse_args()
    page = PAGE.read_text(encoding="utf-8")
    updated = capacity_page.insert_tables(page, tables(read_measurements(MEASUREMENTS)))
    if isinstance(updated, capacity_page.MissingMarkers):
        sys.exit(f"{PAGE}: {updated.reason}")
    if not arguments.check:
        PAGE.write_text(updated, encoding="utf-8")
    elif updated != page:
        sys.exit(f"{PAGE} differs from the measurements: run python -m basilpost.load.capacity")


def read_measurements(directory: pathlib.Path) -> dict[str, dict[str, Any]]:
    """Returns the decoded measurement files of a directory by their stems."""
    return {
        path.stem: json.loads(path.read_text(encoding="utf-8"))
        for path in sorted(directory.glob("*.json"))
    }


def tables(measurements: Mapping[str, dict[str, Any]]) -> dict[str, str]:
    """Returns the Markdown tables of the page by the names of their markers."""
    lines = list(
        itertools.chain.from_iterable(
            measurement["samples"] for measurement in measurements.values()
        )
    )
    fits = fit.fits_by_slope(adapters.samples_of(lines))
    fleet, limits, timing = capacity_model.Fleet(), capacity_model.Limits(), schema.Timing()
    costs = capacity_costs.all_costs(fleet, timing)
    roles = {
        role: capacity_page.role_table([cost for cost in costs if cost.role == role], fits)
        for role in capacity_model.ROLES
    }
    return {
        "fleet": capacity_page.fleet_table(fleet),
        "sums": capacity_page.sum_table(costs, fits, limits),
        **roles,
        "storms": capacity_page.storm_table(
            capacity_storms.all_storms(fleet, timing, limits, fits)
        ),
        "slopes": capacity_page.slope_table(fits),
        "figures": capacity_page.figure_table(adapters.figures_of(lines)),
        "origins": _origins(measurements),
    }


def _origins(measurements: Mapping[str, dict[str, Any]]) -> str:
    rows: Sequence[tuple[str, ...]] = [
        (
            name,
            measurement["origin"]["commit"]
            + ("" if measurement["origin"]["clean"] else " with changes"),
            str(measurement["origin"]["seed"]),
            str(measurement["origin"]["cores"]),
            measurement["origin"]["python"],
        )
        for name, measurement in measurements.items()
    ]
    return capacity_page.table(("measurement", "commit", "seed", "cores", "Python"), rows)


if __name__ == "__main__":
    main()
