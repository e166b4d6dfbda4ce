"""Runs all measuring programs and keeps their samples in docs/measurements.

Each program is a module of this package with a `main()` that prints lines of JSON. They run one
after the other, each in a process of its own, so that none bears the load of another.
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
    """Where a measurement comes from; `clean` is False if the code had uncommitted changes."""

    commit: str
    clean: bool
    seed: int
    cores: int
    python: str


def main() -> None:
    """Runs the measures that are named, or all."""
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
        if not measure(name, directory, origin(seed=arguments.seed))
    ]
    if failed:
        print(f"not measured: {', '.join(failed)}", file=sys.stderr)
        sys.exit(1)


def measure(name: str, directory: pathlib.Path, where: Origin) -> bool:
    """Runs one measure and writes its file; returns False if it is missing or failed."""
    module = f"basilpost.load.measure_{name}"
    if importlib.util.find_spec(module) is None:
        print(f"{name}: there is no {module}", file=sys.stderr)
        return False
    program = f"from basilpost.load import measure_{name} as one; one.main()"
    done = subprocess.run(
        [sys.executable, "-c", program],
        stdout=subprocess.PIPE,
        text=True,
        timeout=_TIMEOUT_SECONDS,
        check=False,
    )
    if done.returncode != 0:
        print(f"{name}: ended with {done.returncode}", file=sys.stderr)
        return False
    write(directory / f"{name}.json", where, lines_of(done.stdout))
    print(f"{name}: measured")
    return True


def lines_of(text: str) -> list[dict[str, Any]]:
    """Returns the lines of JSON objects in a program's output."""
    return [json.loads(line) for line in text.splitlines() if line.startswith("{")]


def write(path: pathlib.Path, where: Origin, lines: list[dict[str, Any]]) -> None:
    """Writes a measurement's file, a sample on each line."""
    samples = ",\n  ".join(json.dumps(line, sort_keys=True) for line in lines)
    head = json.dumps(dataclasses.asdict(where), sort_keys=True)
    path.write_text(f'{{"origin": {head},\n "samples": [\n  {samples}\n]}}\n', encoding="utf-8")


def origin(*, seed: int) -> Origin:
    """Describes this run."""
    return Origin(
        commit=_git("rev-parse", "--short", "HEAD"),
        clean=not _git("status", "--porcelain", "--untracked-files=no", "--", "basilpost"),
        seed=seed,
        cores=psutil.cpu_count() or 0,
        python=sys.version.split()[0],
    )


def _git(*arguments: str) -> str:
    done = subprocess.run(["git", *arguments], stdout=subprocess.PIPE, text=True, check=False)
    return done.stdout.strip()


if __name__ == "__main__":
    main()
