"""Samples of measurements: one line of JSON each, at least three sizes for a slope.

A measuring program prints samples on standard output; `basilpost.load.measure` keeps them in
docs/measurements, and `basilpost.load.capacity` fits a line through those of each slope.
"""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """One measured point.

    Attributes:
        slope: Name of the slope, such as `gateway.cpu_by_tokens`.
        size: What was varied, such as tokens a second.
        value: What was measured at that size, such as cores.
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
    """A single measured figure that is no point of a slope, such as a latency."""

    figure: str
    value: float
    unit: str


def emit(one: Sample | Figure) -> None:
    """Prints a sample or figure as a line of JSON."""
    print(json.dumps(dataclasses.asdict(one)), flush=True)


def samples_in(lines: Iterable[dict[str, Any]]) -> list[Sample]:
    """Returns the samples among decoded lines; other lines are passed over."""
    names = {field.name for field in dataclasses.fields(Sample)}
    return [Sample(**line) for line in lines if line.keys() == names]


def figures_in(lines: Iterable[dict[str, Any]]) -> list[Figure]:
    """Returns the single figures among decoded lines."""
    names = {field.name for field in dataclasses.fields(Figure)}
    return [Figure(**line) for line in lines if line.keys() == names]
