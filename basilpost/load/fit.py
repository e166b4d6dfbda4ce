"""Fits least-squares lines through measured samples."""

import dataclasses
import math
from collections.abc import Iterable, Sequence

from basilpost.core import failure
from basilpost.load import samples

MIN_SIZES = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fit:
    """A least-squares line through the samples of one slope.

    Attributes:
        slope: Change of the value for each unit of size.
        base: Value of the line at size 0.
        spread: Standard error of the slope.
        sizes: Distinct sizes of the samples, ascending.
        size_unit: Unit of the size.
        value_unit: Unit of the value.
    """

    slope: float
    base: float
    spread: float
    sizes: tuple[float, ...]
    size_unit: str
    value_unit: str

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.base + self.slope * size


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooFewSizes(failure.Failure):
    """There are fewer than three distinct sizes, too few to fit a line."""


def line_through(points: Sequence[samples.Sample]) -> Fit | TooFewSizes:
    """Fits a line through the samples of one slope."""
    sizes = tuple(sorted({point.size for point in points}))
    if len(sizes) < MIN_SIZES:
        name = points[0].slope if points else "slope"
        return TooFewSizes(reason=f"{name}: {len(sizes)} sizes, needed {MIN_SIZES}")
    mean_size = sum(point.size for point in points) / len(points)
    mean_value = sum(point.value for point in points) / len(points)
    squared_deviations = sum((point.size - mean_size) ** 2 for point in points)
    deviation_products = sum(
        (point.size - mean_size) * (point.value - mean_value) for point in points
    )
    slope = deviation_products / squared_deviations
    base = mean_value - slope * mean_size
    squared_residuals = sum((point.value - base - slope * point.size) ** 2 for point in points)
    return Fit(
        slope=slope,
        base=base,
        spread=math.sqrt(squared_residuals / (len(points) - 2) / squared_deviations),
        sizes=sizes,
        size_unit=points[0].size_unit,
        value_unit=points[0].value_unit,
    )


def fits_by_slope(measured: Iterable[samples.Sample]) -> dict[str, Fit | TooFewSizes]:
    """Returns the fitted line of each slope by its name, in the order of names."""
    by_slope: dict[str, list[samples.Sample]] = {}
    for sample in measured:
        by_slope.setdefault(sample.slope, []).append(sample)
    return {name: line_through(points) for name, points in sorted(by_slope.items())}
