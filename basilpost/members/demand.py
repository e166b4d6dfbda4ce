"""Measures the demand for each model, including requests that are refused.

By Little's law, the arrivals per second times the seconds for which a request holds a slot give the
number of slots that would serve all requests. Requests in flight alone do not show the refused
ones.
"""

import dataclasses
import math
from collections.abc import Iterable

from basilpost.core import clock

# Time constant of the exponential decay of the counts, so that a burst of a second has little
# effect.
DECAY_SECONDS = 8.0
# Completed requests, decayed, that are needed for a reliable average of their duration.
MIN_COMPLETED = 5.0
# Rates are computed over at least this time.
MIN_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelDemand:
    """Demand for one model at a node, or at several together, with exponential decay.

    Attributes:
        arrived_per_second: Rate of arriving requests.
        ended: Number of completed requests.
        held_seconds: Total time for which those held a slot.
    """

    arrived_per_second: float
    ended: float
    held_seconds: float

    @property
    def slots(self) -> float:
        """Returns the number of slots that would serve all arriving requests."""
        return self.arrived_per_second * self.held_seconds / max(1.0, self.ended)


NO_DEMAND = ModelDemand(arrived_per_second=0.0, ended=0.0, held_seconds=0.0)


@dataclasses.dataclass(kw_only=True)
class _Counts:
    """Decayed counts of one model since a time on `clock.elapsed`.

    Completions decay only down to `MIN_COMPLETED`, so that the average duration is still known when
    the model has no group left.
    """

    since: float
    arrived: float = 0.0
    ended: float = 0.0
    held_seconds: float = 0.0
    ever_ended: int = 0

    def decay(self, factor: float) -> None:
        """Multiplies the counts by a factor."""
        self.arrived *= factor
        least_ended = min(MIN_COMPLETED, self.ever_ended)
        if self.ended > least_ended:
            kept = max(factor, least_ended / self.ended)
            self.ended *= kept
            self.held_seconds *= kept


class DemandMeter:
    """Measures the demand at this node."""

    def __init__(self) -> None:
        self._counts_by_model: dict[str, _Counts] = {}
        self._at = clock.elapsed()

    def count_arrival(self, model: str) -> None:
        """Counts a request when it arrives; retries are not counted."""
        self._counts(model).arrived += 1.0

    def count_completion(self, model: str, held_seconds: float) -> None:
        """Counts a request that was served."""
        counts = self._counts(model)
        counts.ever_ended += 1
        counts.ended += 1.0
        counts.held_seconds += held_seconds

    def read(self) -> dict[str, ModelDemand]:
        """Returns the current demand by model."""
        self._decay()
        return {
            model: ModelDemand(
                arrived_per_second=counts.arrived / self._seconds(counts),
                ended=counts.ended,
                held_seconds=counts.held_seconds,
            )
            for model, counts in self._counts_by_model.items()
        }

    def _seconds(self, counts: _Counts) -> float:
        """Returns the time over which arrivals were counted, weighted by the same decay."""
        counted = max(MIN_SECONDS, self._at - counts.since)
        return DECAY_SECONDS * (1.0 - math.exp(-counted / DECAY_SECONDS))

    def _counts(self, model: str) -> _Counts:
        self._decay()
        return self._counts_by_model.setdefault(model, _Counts(since=self._at))

    def _decay(self) -> None:
        now = clock.elapsed()
        factor = math.exp((self._at - now) / DECAY_SECONDS)
        self._at = now
        for counts in self._counts_by_model.values():
            counts.decay(factor)


def combined(demands: Iterable[ModelDemand]) -> ModelDemand:
    """Returns the sum of several nodes' demand for a model."""
    demands = list(demands)
    return ModelDemand(
        arrived_per_second=sum(part.arrived_per_second for part in demands),
        ended=sum(part.ended for part in demands),
        held_seconds=sum(part.held_seconds for part in demands),
    )


def slots_wanted(
    demand_by_model: dict[str, ModelDemand], models: Iterable[str]
) -> dict[str, float]:
    """Returns the slots demanded by model, empty until some model was measured.

    A model that is asked for but was not served yet is taken to need as long for a request as the
    measured models do on average. One that nobody asks for wants no slots.
    """
    demands = {model: demand_by_model.get(model, NO_DEMAND) for model in models}
    measured = combined(demand for demand in demands.values() if demand.ended >= MIN_COMPLETED)
    if not measured.ended:
        return {}
    average_seconds = measured.held_seconds / measured.ended
    return {
        model: (
            demand.slots
            if demand.ended >= MIN_COMPLETED
            else demand.arrived_per_second * average_seconds
        )
        for model, demand in demands.items()
    }
