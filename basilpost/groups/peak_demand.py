"""Remembers the peak of the demand for each model, for decisions that take as long as a load of weights.

Load pattern: demand swings within seconds while VMs are lost one after another. A model that has groups
enough in a trough is short of them at the next peak, and weights that are loaded only then come when the
peak is over. So capacity is planned for the peak of the last loads' time.
"""

import collections
from collections.abc import Iterable, Mapping

from basilpost.core import catalog
from basilpost.members import rank_demand

# Peaks are remembered for this many times the longest load of a model.
REMEMBERED_LOADS = 2.0
# Peaks are kept for periods of this length.
PERIOD_SECONDS = 1.0


class PeakDemand:
    """The highest demand for each model in the last seconds, in slots."""

    def __init__(self) -> None:
        self._peaks_by_period: collections.OrderedDict[int, dict[str, float]]
        self._peaks_by_period = collections.OrderedDict()

    def record(self, slots_by_model: Mapping[str, float], *, now: float) -> None:
        """Records the demand at this moment."""
        peaks = self._peaks_by_period.setdefault(int(now / PERIOD_SECONDS), {})
        for model, slots in slots_by_model.items():
            peaks[model] = max(slots, peaks.get(model, 0.0))

    def slots_wanted(self, models: Iterable[catalog.Model], *, now: float) -> dict[str, float]:
        """Returns the peak by model over the time of two loads, empty before any demand."""
        models = tuple(models)
        seconds = REMEMBERED_LOADS * max((model.load_seconds for model in models), default=0.0)
        first = int((now - seconds) / PERIOD_SECONDS)
        while self._peaks_by_period and next(iter(self._peaks_by_period)) < first:
            self._peaks_by_period.popitem(last=False)
        peaks = list(self._peaks_by_period.values())
        if not any(any(by_model.values()) for by_model in peaks):
            return {}
        return {
            model.name: max(by_model.get(model.name, 0.0) for by_model in peaks) for model in models
        }


def slots_from_work(
    demand_by_key: Mapping[rank_demand.RankKey, rank_demand.RankDemand], engine: catalog.Engine
) -> dict[str, float]:
    """Returns the slots that would serve what callers want, by model; empty without figures.

    The work of a request is that at a full target. The time for which requests held their slots, which
    `demand.slots_wanted` uses, is shorter while targets are half full, and so promises too much room.
    """
    slots: dict[str, float] = collections.defaultdict(float)
    for key, wanted in demand_by_key.items():
        slots[key.model] += wanted.work * engine.slots
    return {model.name: slots[model.name] for model in engine.models if slots[model.name] > 0.0}
