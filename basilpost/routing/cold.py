"""Bounds what a node sends to targets in a cold start.

The bound holds over all nodes together, so each takes an equal share of it.
"""

import collections
import math

from basilpost.core import clock

WINDOW_SECONDS = 1.0
# Requests may bunch up on their way, so each window is counted a little longer.
BUNCHING_SECONDS = 0.2


class ColdMeter:
    """Requests sent to cold targets within the last second."""

    def __init__(self) -> None:
        self._sent_at_by_target: dict[str, collections.deque[float]] = {}

    def may_send(self, target_id: str, *, per_second: float, nodes: int) -> bool:
        """Returns True if a cold target bears one more request from this node."""
        return len(self._recent(target_id)) < max(1, math.floor(per_second / max(1, nodes)))

    def sent(self, target_id: str) -> None:
        """Counts a request to a cold target."""
        self._recent(target_id).append(clock.elapsed())

    def _recent(self, target_id: str) -> collections.deque[float]:
        sent_at = self._sent_at_by_target.setdefault(target_id, collections.deque())
        oldest = clock.elapsed() - WINDOW_SECONDS - BUNCHING_SECONDS
        while sent_at and sent_at[0] < oldest:
            sent_at.popleft()
        return sent_at
