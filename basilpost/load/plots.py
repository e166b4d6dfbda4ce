"""Plots a run by seconds; needs the optional packages of `basilpost[plots]`."""

import dataclasses
import importlib
import pathlib
from collections.abc import Sequence

from basilpost.core import failure
from basilpost.load import series

_SIZE_INCHES = (9.0, 5.0)
# Colours of the stacked fields of series.Second, from the bottom.
_COLOURS = {"in_aim": "#3a7d44", "late": "#e0a030", "refused": "#7f7f7f", "failed": "#b03030"}


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoPlots(failure.Failure):
    """The packages for plots are not installed."""


def draw(seconds: Sequence[series.Second], path: pathlib.Path) -> NoPlots | None:
    """Writes a PNG of the requests by result and the targets that answered, second by second."""
    try:
        matplotlib = importlib.import_module("matplotlib")
        matplotlib.use("Agg")
        pyplot = importlib.import_module("matplotlib.pyplot")
    except ImportError as error:
        return NoPlots(reason=f"{error}; install basilpost[plots]")
    figure, (requests, targets) = pyplot.subplots(
        2, 1, sharex=True, figsize=_SIZE_INCHES, height_ratios=(3, 1)
    )
    times = [second.at for second in seconds]
    stacked = [[getattr(second, name) for second in seconds] for name in _COLOURS]
    requests.stackplot(times, *stacked, labels=list(_COLOURS), colors=list(_COLOURS.values()))
    requests.plot(
        times, [second.asked for second in seconds], color="black", linewidth=1, label="asked"
    )
    requests.set_ylabel("requests a second")
    requests.legend(loc="upper right")
    targets.step(times, [second.targets for second in seconds], where="post")
    targets.set_ylabel("targets")
    targets.set_xlabel("seconds")
    figure.savefig(path)
    pyplot.close(figure)
    return None
