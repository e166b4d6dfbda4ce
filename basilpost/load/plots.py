"""Draws a run second by second; needs the optional packages of `basilpost[plots]`."""

import dataclasses
import importlib
import pathlib
from collections.abc import Sequence

from basilpost.core import failure
from basilpost.load import series

_SIZE_INCHES = (9.0, 5.0)
# What is stacked, from the bottom, with its colour.
_COLOURS = {"in_aim": "#3a7d44", "late": "#e0a030", "refused": "#7f7f7f", "failed": "#b03030"}


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoPlots(failure.Failure):
    """The optional packages are not installed."""


def draw(seconds: Sequence[series.Second], path: pathlib.Path) -> NoPlots | None:
    """Writes a PNG of what was asked, served, late, refused and failed, and of the targets seen."""
    try:
        matplotlib = importlib.import_module("matplotlib")
        matplotlib.use("Agg")
        pyplot = importlib.import_module("matplotlib.pyplot")
    except ImportError as error:
        return NoPlots(reason=f"{error}; install basilpost[plots]")
    figure, (requests, targets) = pyplot.subplots(
        2, 1, sharex=True, figsize=_SIZE_INCHES, height_ratios=(3, 1)
    )
    at = [one.at for one in seconds]
    parts = [[getattr(one, name) for one in seconds] for name in _COLOURS]
    requests.stackplot(at, *parts, labels=list(_COLOURS), colors=list(_COLOURS.values()))
    requests.plot(at, [one.asked for one in seconds], color="black", linewidth=1, label="asked")
    requests.set_ylabel("requests a second")
    requests.legend(loc="upper right")
    targets.step(at, [one.targets for one in seconds], where="post")
    targets.set_ylabel("targets")
    targets.set_xlabel("seconds")
    figure.savefig(path)
    pyplot.close(figure)
    return None
