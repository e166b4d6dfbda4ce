"""Measures the work that callers want of each model, by rank, and adds up what all nodes measured.

It travels in the reports of loads as further entries of the demand by model, under names that no model
has. Nodes of earlier builds pass these entries on and do not use them.
"""

import dataclasses
import math
from collections.abc import Mapping

from basilpost.core import clock
from basilpost.members import demand

# Time constant of the exponential decay: demand is known within a second, and one large request does
# not change it much.
DECAY_SECONDS = 1.0
# Demand is computed over at least this time, so that the first request is no burst.
MIN_SECONDS = 0.5
_SEPARATOR = "\x1f"


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class RankKey:
    """Names the requests of one rank for one model."""

    model: str
    rank: int

    @property
    def text(self) -> str:
        """Returns the name under which their demand is reported."""
        return f"{self.model}{_SEPARATOR}{self.rank}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankDemand:
    """What the callers of one rank want of a model, at a node or at several together.

    Attributes:
        requests: Requests that arrive per second.
        work: Seconds of a target's work that arrive per second.
        refused: The part of that work that was refused.
    """

    requests: float
    work: float
    refused: float


@dataclasses.dataclass(kw_only=True)
class _Counts:
    """Decayed counts."""

    requests: float = 0.0
    work: float = 0.0
    refused: float = 0.0


class RankDemandMeter:
    """Measures the demand at this node."""

    def __init__(self) -> None:
        self._counts_by_key: dict[RankKey, _Counts] = {}
        self._at = self._since = clock.elapsed()

    def count_arrival(self, key: RankKey, work: float, *, refused: bool) -> None:
        """Counts an arriving request and the seconds of work that it asks for."""
        self._decay()
        counts = self._counts_by_key.setdefault(key, _Counts())
        counts.requests += 1.0
        counts.work += work
        counts.refused += work * refused

    def read(self) -> dict[str, demand.ModelDemand]:
        """Returns the demand in the form in which it is reported."""
        self._decay()
        seconds = self._counted_seconds()
        return {
            key.text: demand.ModelDemand(
                arrived_per_second=counts.work / seconds,
                ended=counts.requests / seconds,
                held_seconds=counts.refused / seconds,
            )
            for key, counts in self._counts_by_key.items()
        }

    def _counted_seconds(self) -> float:
        """Returns the time over which requests were counted, weighted by the same decay.

        It counts from the start of the node. Counted from a key's first request, the rate of a node that
        gets few requests would seem to be twice what it is.
        """
        counted = max(MIN_SECONDS, self._at - self._since)
        return DECAY_SECONDS * (1.0 - math.exp(-counted / DECAY_SECONDS))

    def _decay(self) -> None:
        now = clock.elapsed()
        factor = math.exp((self._at - now) / DECAY_SECONDS)
        self._at = now
        for counts in self._counts_by_key.values():
            counts.requests *= factor
            counts.work *= factor
            counts.refused *= factor
        self._counts_by_key = {
            key: counts for key, counts in self._counts_by_key.items() if counts.requests > 1e-3
        }


def by_key(reported: Mapping[str, demand.ModelDemand]) -> dict[RankKey, RankDemand]:
    """Returns the demand by rank of what was reported; entries of other kinds are left out."""
    found = {}
    for name, entry in reported.items():
        model, separator, rank = name.rpartition(_SEPARATOR)
        if separator and rank.isdecimal():
            found[RankKey(model=model, rank=int(rank))] = RankDemand(
                requests=entry.ended, work=entry.arrived_per_second, refused=entry.held_seconds
            )
    return found
