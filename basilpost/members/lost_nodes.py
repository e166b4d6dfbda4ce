"""Which nodes have been silent for so long that their records are to be removed from the store.

A machine that is lost for good cannot remove its record, and records count when neighbours, watchers
and the full mesh are chosen. Clocks of other nodes and pauses of this process do not count: a node is
silent for the time in which this process ran, wanted a stream to it and received nothing, while it
received something from another node. A node that is alive writes its record again. The time until its
record is removed once more then doubles, as the two nodes may just not reach each other.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

# Counts from when a node is no longer heard, 3 s after its last message. A paused or cut-off node is
# usually back sooner. With one of seven machines replaced for good every 2.4 s, the store holds at most
# twice as many records as nodes live.
LOST_SECONDS = 9.0
MAX_LOST_SECONDS = 3_600.0
# Interval of the checks; a longer time between two of them counts as a pause of this process.
CHECK_SECONDS = 1.0
MAX_COUNTED_SECONDS = 1.5
# Removals that are remembered; a node of this many is long gone.
MAX_REMOVALS = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Silence:
    """How long one process of a node has been silent, in seconds."""

    incarnation: str
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Removal:
    """The latest removal of a node's record: of which process, and after how many seconds."""

    incarnation: str
    after: float


class LostNodes:
    """Measures the silence of the nodes to which this one wants streams."""

    def __init__(self, *, is_heard: Callable[[str], bool]) -> None:
        """Takes a function that tells whether a node was heard from of late."""
        self._is_heard = is_heard
        self._observed_at: float | None = None
        self._silence_by_id: dict[str, _Silence] = {}
        self._removals_by_id: dict[str, _Removal] = {}

    def observe(
        self, incarnations_by_id: Mapping[str, str], wanted: Iterable[str], *, now: float
    ) -> tuple[str, ...]:
        """Returns the nodes whose records are to be removed, sorted.

        Args:
            incarnations_by_id: The process of each other node with a record.
            wanted: Ids of the nodes to which this one wants streams.
            now: Time on `clock.elapsed`.
        """
        counted = 0.0 if self._observed_at is None else now - self._observed_at
        self._observed_at = now
        heard = frozenset(filter(self._is_heard, incarnations_by_id))
        if not heard:
            # This node may be the one that is cut off.
            return ()
        silent_ids = (incarnations_by_id.keys() & frozenset(wanted)) - heard
        self._silence_by_id = {
            node_id: self._prolonged(
                node_id, incarnations_by_id[node_id], min(counted, MAX_COUNTED_SECONDS)
            )
            for node_id in silent_ids
        }
        return tuple(
            node_id
            for node_id, silence in sorted(self._silence_by_id.items())
            if silence.seconds >= self._seconds_until_lost(node_id)
        )

    def record_removal(self, node_id: str) -> None:
        """Records that the record of a node is gone, by whomever it was removed."""
        if node_id not in self._silence_by_id:
            return
        after = self._seconds_until_lost(node_id)
        silence = self._silence_by_id.pop(node_id)
        self._removals_by_id.pop(node_id, None)
        self._removals_by_id[node_id] = _Removal(incarnation=silence.incarnation, after=after)
        if len(self._removals_by_id) > MAX_REMOVALS:
            del self._removals_by_id[next(iter(self._removals_by_id))]

    def _prolonged(self, node_id: str, incarnation: str, seconds: float) -> _Silence:
        known = self._silence_by_id.get(node_id)
        if known is None or known.incarnation != incarnation:
            return _Silence(incarnation=incarnation)
        return _Silence(incarnation=incarnation, seconds=known.seconds + seconds)

    def _seconds_until_lost(self, node_id: str) -> float:
        removal = self._removals_by_id.get(node_id)
        if removal is None or removal.incarnation != self._silence_by_id[node_id].incarnation:
            return LOST_SECONDS
        return min(2 * removal.after, MAX_LOST_SECONDS)
