"""Loads of weights that controllers have begun lately, as all nodes are told of them.

The weight store bears a limited number of loads in a span of time, whichever node begins them. A
controller names its loads in its load reports before it sends the orders, so that a successor counts
them. The names travel among the short ids of `LoadReport.writing`, as the entries of `path_states` do:
nodes of earlier builds pass them on and do not use them.
"""

import dataclasses
from collections.abc import Iterable

# First character of a name in a report; no short id contains it.
PREFIX = "."
# Span over which the rate of loads is limited.
SPAN_SECONDS = 5.0
# An order may be this long on its way, and those that follow it a span later arrive at once.
ORDER_SECONDS = 0.25
# Loads are named, and remembered, for this long.
KEEP_SECONDS = SPAN_SECONDS + ORDER_SECONDS
# Names in a report; there is one for each decision that begins loads.
MAX_NAMES = 64
# Longer counts of a peer are malformed.
MAX_COUNT_DIGITS = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Batch:
    """Loads that began at the same moment, as far as this node knows.

    Attributes:
        count: Number of the loads.
        at: When they began, or when this node was told of them.
    """

    count: int
    at: float


class BegunLoads:
    """The loads of the last `KEEP_SECONDS`, of this node and of the others.

    Args:
        source: Id of this process; short and without `PREFIX`.
        started_at: When this process started, on `clock.elapsed`.
    """

    def __init__(self, *, source: str, started_at: float) -> None:
        self._source = source
        self._started_at = started_at
        self._number = 0
        self._batches_by_name: dict[str, _Batch] = {}

    def begin(self, count: int, now: float) -> None:
        """Records loads that this node begins."""
        self._number += 1
        name = f"{PREFIX}{self._source}{PREFIX}{self._number}{PREFIX}{count}"
        self._batches_by_name[name] = _Batch(count=count, at=now)

    def record(self, names: Iterable[str], now: float) -> None:
        """Records loads of which another node tells; malformed names are left out."""
        for name in names:
            count = name.rpartition(PREFIX)[2]
            is_count = count.isdecimal() and len(count) <= MAX_COUNT_DIGITS
            if is_count and name not in self._batches_by_name:
                self._batches_by_name[name] = _Batch(count=int(count), at=now)

    def own_names(self, now: float) -> tuple[str, ...]:
        """Returns the names under which a report tells of this node's loads."""
        self._drop_old(now)
        own = f"{PREFIX}{self._source}{PREFIX}"
        names = [name for name in self._batches_by_name if name.startswith(own)]
        return tuple(names[-MAX_NAMES:])

    def count(self, now: float) -> int | None:
        """Returns the number of these loads, None while this process is too young to know them."""
        self._drop_old(now)
        if now - self._started_at < KEEP_SECONDS:
            return None
        return sum(batch.count for batch in self._batches_by_name.values())

    def _drop_old(self, now: float) -> None:
        self._batches_by_name = {
            name: batch
            for name, batch in self._batches_by_name.items()
            if now - batch.at <= KEEP_SECONDS
        }
