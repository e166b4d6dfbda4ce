"""Helpers of the measuring programs: measure processor time and print samples and figures."""

import time
from collections.abc import Callable
from typing import Any

from basilpost.load import samples

_MIN_CPU_SECONDS = 0.2


def cpu_seconds(work: Callable[[], Any]) -> float:
    """Returns the mean processor time of a call, over calls that take 0.2 s or more together."""
    runs = 0
    started_at = time.process_time()
    while time.process_time() - started_at < _MIN_CPU_SECONDS:
        work()
        runs += 1
    return (time.process_time() - started_at) / runs


def sample(slope: str, size: float, size_unit: str, value: float, value_unit: str) -> None:
    """Prints a sample of a slope as a line of JSON."""
    samples.emit(
        samples.Sample(
            slope=slope, size=size, value=value, size_unit=size_unit, value_unit=value_unit
        )
    )


def figure(name: str, value: float, unit: str) -> None:
    """Prints a figure as a line of JSON."""
    samples.emit(samples.Figure(figure=name, value=value, unit=unit))
