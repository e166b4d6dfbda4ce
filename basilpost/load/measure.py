"""Runs the measuring programs and writes their samples to docs/measurements.

Each program is a module of this package with a `main()` that prints lines of JSON. They run one
after the other, each in a process of its own, so that they do not disturb each other.
"""

import argparse
import dataclasses
import importlib.util
import json
import pathlib
import subprocess
import sys
from typing import Any

import psutil

MEASURES = ("relay", "state", "control", "groups", "requests", "members", "logs")
_TIMEOUT_SECONDS = 900.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Origin:
    """The code, seed and machine of a measurement; `clean` is False with uncommitted changes."""

    commit: str
    clean: bool
    seed: int
    cores: int
    python: str


def main() -> None:
    """Runs the measuring programs named on the command line, or all; exits with 1 if one failed."""
    parser = argparse.ArgumentParser(description="Measures slopes and keeps their samples.")
    parser.add_argument("measures", nargs="*", default=list(MEASURES), help="which to run")
    parser.add_argument("--seed", type=int, default=1, help="seed of the measures")
    parser.add_argument("--out", default="docs/measurements", help="directory of the results")
    arguments = parser.parse_args()
    directory = pathlib.Path(arguments.out)
    directory.mkdir(parents=True, exist_ok=True)
    failed = [
        name
        for name in arguments.measures
        if not measure(name, directory, current_origin(seed=arguments.seed))
    ]
    if failed:
        print(f"not measured: {', '.join(failed)}", file=sys.stderr)
        sys.exit(1)


def measure(name: str, directory: pathlib.Path, origin: Origin) -> bool:
    """Runs one measuring program and writes its file; returns False if it is missing or failed."""
    module = f"basilpost.load.measure_{name}"
    if importlib.util.find_spec(module) is None:
        print(f"{name}: not measured, there is no module {module}", file=sys.stderr)
        return False
    program = f"from basilpost.load import measure_{name} as one; one.main()"
    completed = subprocess.run(
        [sys.executable, "-c", program],
        stdout=subprocess.PIPE,
        text=True,
        timeout=_TIMEOUT_SECONDS,
        check=False,
    )
    if completed.returncode != 0:
        print(
            f"{name}: not measured, the program ended with {completed.returncode}", file=sys.stderr
        )
        return False
    write(directory / f"{name}.json", origin, lines_of(completed.stdout))
    print(f"{name}: measured")
    return True


def lines_of(text: str) -> list[dict[str, Any]]:
    """Returns the decoded JSON objects in a program's output; other lines are skipped."""
    return [json.loads(line) for line in text.splitlines() if line.startswith("{")]


def write(path: pathlib.Path, origin: Origin, lines: list[dict[str, Any]]) -> None:
    """Writes the file of a measurement, one sample on a line."""
    samples = ",\n  ".join(json.dumps(line, sort_keys=True) for line in lines)
    header = json.dumps(dataclasses.asdict(origin), sort_keys=True)
    path.write_text(f'{{"origin": {header},\n "samples": [\n  {samples}\n]}}\n', encoding="utf-8")


def current_origin(*, seed: int) -> Origin:
    """Returns the origin of measurements taken now in this checkout."""
    return Origin(
        commit=_git("rev-parse", "--short", "HEAD"),
        clean=not _git("status", "--porcelain", "--untracked-files=no", "--", "basilpost"),
        seed=seed,
        cores=psutil.cpu_count() or 0,
        python=sys.version.split()[0],
    )


def _git(*arguments: str) -> str:
    completed = subprocess.run(["git", *arguments], stdout=subprocess.PIPE, text=True, check=False)
    return completed.stdout.strip()


if __name__ == "__main__":
    main()
