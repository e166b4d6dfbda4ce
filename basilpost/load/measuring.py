"""Helpers of the measuring programs: processor time of some work, and printing samples."""

import time
from collections.abc import Callable
from typing import Any

from basilpost.load import samples

_MIN_SECONDS = 0.2


def cpu_seconds(work: Callable[[], Any]) -> float:
    """Returns the processor time of one run of some work, from as many runs as it needs."""
    runs = 0
    begun = time.process_time()
    while time.process_time() - begun < _MIN_SECONDS:
        work()
        runs += 1
    return (time.process_time() - begun) / runs


def sample(slope: str, size: float, size_unit: str, value: float, value_unit: str) -> None:
    """Prints one point of a slope."""
    samples.emit(
        samples.Sample(
            slope=slope, size=size, value=value, size_unit=size_unit, value_unit=value_unit
        )
    )


def figure(name: str, value: float, unit: str) -> None:
    """Prints a single figure."""
    samples.emit(samples.Figure(figure=name, value=value, unit=unit))
