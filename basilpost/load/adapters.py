"""Converts the lines of measuring programs with formats of their own to samples and figures."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from basilpost.load import samples


@dataclasses.dataclass(frozen=True, kw_only=True)
class SampleField:
    """Maps one field of a program's lines to the samples of a slope.

    Attributes:
        matching: Fields and values that a line must have.
        size: Name of the field with the size.
        size_unit: Unit of the size.
        value: Name of the field with the value.
        value_unit: Unit of the scaled value.
        slope: Name of the slope.
        scale: Factor by which the value is multiplied.
    """

    matching: dict[str, Any]
    size: str
    size_unit: str
    value: str
    value_unit: str
    slope: str
    scale: float = 1.0


SAMPLE_FIELDS = (
    SampleField(
        matching={"figure": "directory_change_cpu"},
        size="groups",
        size_unit="groups",
        value="ms",
        value_unit="cpu seconds",
        slope="requests.directory_change_cpu_by_groups",
        scale=1e-3,
    ),
    SampleField(
        matching={"figure": "admit_choose_release_cpu", "affinity": True},
        size="groups",
        size_unit="groups",
        value="us_per_request",
        value_unit="cpu seconds",
        slope="requests.admission_cpu_by_groups",
        scale=1e-6,
    ),
    SampleField(
        matching={"figure": "ledger_bucket"},
        size="records",
        size_unit="records",
        value="decode_encode_ms",
        value_unit="cpu seconds",
        slope="requests.bucket_cpu_by_records",
        scale=1e-3,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FigureField:
    """Maps the field `value` of lines of a `kind` to a figure named by formatting `title`."""

    kind: str
    value: str
    unit: str
    title: str


FIGURE_FIELDS = (
    FigureField(
        kind="cost",
        value="peer_bytes_per_second",
        unit="bytes/s",
        title="peer streams of a node, {nodes} nodes",
    ),
    FigureField(
        kind="cost",
        value="cpu_percent_of_core",
        unit="% of a core",
        title="membership of a node, {nodes} nodes",
    ),
    FigureField(
        kind="in_force",
        value="p99",
        unit="s",
        title="change in force everywhere, p99, {nodes} nodes, {condition}",
    ),
)


def samples_of(lines: Iterable[dict[str, Any]]) -> list[samples.Sample]:
    """Returns the samples in decoded lines, converted ones included."""
    decoded = list(lines)
    return samples.samples_in(decoded) + [
        _sample(sample_field, line)
        for sample_field in SAMPLE_FIELDS
        for line in decoded
        if _matches(sample_field, line)
    ]


def figures_of(lines: Iterable[dict[str, Any]]) -> list[samples.Figure]:
    """Returns the figures in decoded lines, converted ones included."""
    decoded = list(lines)
    return samples.figures_in(decoded) + [
        samples.Figure(
            figure=figure_field.title.format(**line),
            value=line[figure_field.value],
            unit=figure_field.unit,
        )
        for line in decoded
        for figure_field in FIGURE_FIELDS
        if line.get("kind") == figure_field.kind
    ]


def _matches(sample_field: SampleField, line: dict[str, Any]) -> bool:
    return all(line.get(field) == value for field, value in sample_field.matching.items())


def _sample(sample_field: SampleField, line: dict[str, Any]) -> samples.Sample:
    return samples.Sample(
        slope=sample_field.slope,
        size=line[sample_field.size],
        value=line[sample_field.value] * sample_field.scale,
        size_unit=sample_field.size_unit,
        value_unit=sample_field.value_unit,
    )
