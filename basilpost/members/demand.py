"""Measures what callers want of each model, whether it is served or refused.

By Little's law the requests that arrive in a second, times the seconds for which each holds a slot, are
the slots that would serve them all. Requests in flight alone would say nothing of those refused.
"""

import dataclasses
import math
from collections.abc import Iterable

from basilpost.core import clock

# What is measured fades within this time, so that one burst of a second changes little.
FADE_SECONDS = 8.0
# Requests that must have ended before the time that they take is believed.
MIN_ENDED = 5.0
# Rates are not worked out of less time than this.
MIN_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelDemand:
    """What a node, or several, saw of one model, faded.

    Attributes:
        arrived_per_second: Requests that came.
        ended: Requests that were served.
        held_seconds: Time for which those held a slot.
    """

    arrived_per_second: float
    ended: float
    held_seconds: float

    @property
    def slots(self) -> float:
        """Returns the slots that would serve all that arrives."""
        return self.arrived_per_second * self.held_seconds / max(1.0, self.ended)


@dataclasses.dataclass(kw_only=True)
class _Seen:
    """Faded counts of one model."""

    since: float
    arrived: float = 0.0
    ended: float = 0.0
    held_seconds: float = 0.0


class DemandMeter:
    """Measures the demand at this node."""

    def __init__(self) -> None:
        self._seen_by_model: dict[str, _Seen] = {}
        self._at = clock.elapsed()

    def count_arrival(self, model: str) -> None:
        """Counts a request that came, at its first try."""
        self._seen(model).arrived += 1.0

    def count_completion(self, model: str, held_seconds: float) -> None:
        """Counts a request that was served."""
        seen = self._seen(model)
        seen.ended += 1.0
        seen.held_seconds += held_seconds

    def read(self) -> dict[str, ModelDemand]:
        """Returns the demand by model as of now."""
        self._fade()
        return {
            model: ModelDemand(
                arrived_per_second=seen.arrived / self._seconds(seen),
                ended=seen.ended,
                held_seconds=seen.held_seconds,
            )
            for model, seen in self._seen_by_model.items()
        }

    def _seconds(self, seen: _Seen) -> float:
        """Returns the time over which arrivals were counted, weighed as they are."""
        counted = max(MIN_SECONDS, self._at - seen.since)
        return FADE_SECONDS * (1.0 - math.exp(-counted / FADE_SECONDS))

    def _seen(self, model: str) -> _Seen:
        self._fade()
        return self._seen_by_model.setdefault(model, _Seen(since=self._at))

    def _fade(self) -> None:
        now = clock.elapsed()
        share = math.exp((self._at - now) / FADE_SECONDS)
        self._at = now
        for seen in self._seen_by_model.values():
            seen.arrived *= share
            seen.ended *= share
            seen.held_seconds *= share


def combined(demands: Iterable[ModelDemand]) -> ModelDemand:
    """Returns what several nodes saw of a model together."""
    demands = list(demands)
    return ModelDemand(
        arrived_per_second=sum(one.arrived_per_second for one in demands),
        ended=sum(one.ended for one in demands),
        held_seconds=sum(one.held_seconds for one in demands),
    )


def slots_wanted(
    demand_by_model: dict[str, ModelDemand], models: Iterable[str]
) -> dict[str, float]:
    """Returns the slots that callers want of each model; empty until all were measured."""
    measured = {model: demand_by_model.get(model) for model in models}
    if any(one is None or one.ended < MIN_ENDED for one in measured.values()):
        return {}
    return {model: one.slots for model, one in measured.items() if one is not None}
