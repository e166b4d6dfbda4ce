"""Reads the lines of measuring programs that print forms of their own as samples of slopes."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from basilpost.load import samples


@dataclasses.dataclass(frozen=True, kw_only=True)
class Column:
    """How one value of a program's lines becomes a sample.

    Attributes:
        marks: Fields and values by which the lines are known.
        size: Field with the size.
        size_unit: Unit of the size.
        value: Field with the value.
        value_unit: Unit of the value once scaled.
        slope: Name of the slope.
        scale: Factor on the value.
    """

    marks: dict[str, Any]
    size: str
    size_unit: str
    value: str
    value_unit: str
    slope: str
    scale: float = 1.0


COLUMNS = (
    Column(
        marks={"figure": "directory_change_cpu"},
        size="groups",
        size_unit="groups",
        value="ms",
        value_unit="cpu seconds",
        slope="requests.directory_change_cpu_by_groups",
        scale=1e-3,
    ),
    Column(
        marks={"figure": "admit_choose_release_cpu", "affinity": True},
        size="groups",
        size_unit="groups",
        value="us_per_request",
        value_unit="cpu seconds",
        slope="requests.admission_cpu_by_groups",
        scale=1e-6,
    ),
    Column(
        marks={"figure": "ledger_bucket"},
        size="records",
        size_unit="records",
        value="decode_encode_ms",
        value_unit="cpu seconds",
        slope="requests.bucket_cpu_by_records",
        scale=1e-3,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """How one value of a program's lines becomes a single figure; `title` names fields in braces."""

    kind: str
    value: str
    unit: str
    title: str


READINGS = (
    Reading(
        kind="cost",
        value="peer_bytes_per_second",
        unit="bytes/s",
        title="peer streams of a node, {nodes} nodes",
    ),
    Reading(
        kind="cost",
        value="cpu_percent_of_core",
        unit="% of a core",
        title="membership of a node, {nodes} nodes",
    ),
    Reading(
        kind="in_force",
        value="p99",
        unit="s",
        title="change in force everywhere, p99, {nodes} nodes, {condition}",
    ),
)


def samples_of(lines: Iterable[dict[str, Any]]) -> list[samples.Sample]:
    """Returns the samples among decoded lines, whatever form they have."""
    found = list(lines)
    return samples.samples_in(found) + [
        _sample(column, line) for column in COLUMNS for line in found if _fits(column, line)
    ]


def figures_of(lines: Iterable[dict[str, Any]]) -> list[samples.Figure]:
    """Returns the single figures among decoded lines, whatever form they have."""
    found = list(lines)
    return samples.figures_in(found) + [
        samples.Figure(
            figure=reading.title.format(**line), value=line[reading.value], unit=reading.unit
        )
        for line in found
        for reading in READINGS
        if line.get("kind") == reading.kind
    ]


def _fits(column: Column, line: dict[str, Any]) -> bool:
    return all(line.get(field) == value for field, value in column.marks.items())


def _sample(column: Column, line: dict[str, Any]) -> samples.Sample:
    return samples.Sample(
        slope=column.slope,
        size=line[column.size],
        value=line[column.value] * column.scale,
        size_unit=column.size_unit,
        value_unit=column.value_unit,
    )
