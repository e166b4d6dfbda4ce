"""Measured values as lines of JSON: samples, which are points of a slope, and single figures.

A measuring program prints them on standard output; `basilpost.load.measure` stores them in
docs/measurements, and `basilpost.load.capacity` fits a line through the samples of each slope. A
slope needs samples of at least three sizes.
"""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """One measured point of a slope.

    Attributes:
        slope: Name of the slope, such as `gateway.cpu_by_tokens`.
        size: Value of the varied quantity, such as tokens a second.
        value: Measured value at that size, such as cores.
        size_unit: Unit of the size.
        value_unit: Unit of the value.
    """

    slope: str
    size: float
    value: float
    size_unit: str
    value_unit: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figure:
    """A single measured value that belongs to no slope, such as a latency; `figure` is its name."""

    figure: str
    value: float
    unit: str


def emit(measured: Sample | Figure) -> None:
    """Prints a sample or figure as a line of JSON."""
    print(json.dumps(dataclasses.asdict(measured)), flush=True)


def samples_in(lines: Iterable[dict[str, Any]]) -> list[Sample]:
    """Returns the samples among decoded lines and skips other lines."""
    names = {field.name for field in dataclasses.fields(Sample)}
    return [Sample(**line) for line in lines if line.keys() == names]


def figures_in(lines: Iterable[dict[str, Any]]) -> list[Figure]:
    """Returns the figures among decoded lines and skips other lines."""
    names = {field.name for field in dataclasses.fields(Figure)}
    return [Figure(**line) for line in lines if line.keys() == names]
