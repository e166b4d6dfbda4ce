"""Limits the rate of requests to targets in a cold start.

The limit holds for all nodes together. Each target's requests per second are divided among the nodes
by a hash that all nodes compute alike; in a large fleet only a few nodes may send to a cold target.
"""

import collections
import math

from basilpost.core import clock, hashing

# Window over which dispatches to a cold target are counted.
WINDOW_SECONDS = 1.0
# Requests can arrive closer together than they were sent, so each window is extended by this much.
BUNCHING_SECONDS = 0.2


def share(target_id: str, *, per_second: float, node_id: str, node_ids: frozenset[str]) -> int:
    """Returns the requests that a node may send to a cold target within a second.

    The shares of all nodes add up to the limit. A node that is not in `node_ids` gets none.
    """
    if node_id not in node_ids:
        return 0
    each, remainder = divmod(math.floor(per_second), len(node_ids))
    if not remainder:
        return each
    return each + (node_id in hashing.rendezvous_order(target_id, node_ids)[:remainder])


class ColdStartLimiter:
    """Counts this node's recent requests to cold targets and keeps them within its share."""

    def __init__(self, *, node_id: str) -> None:
        self._node_id = node_id
        self._sent_at_by_target: dict[str, collections.deque[float]] = {}
        self._shares: dict[tuple[str, float], int] = {}
        self._node_ids: frozenset[str] = frozenset()

    def may_send(self, target_id: str, *, per_second: float, node_ids: frozenset[str]) -> bool:
        """Returns True if this node may send one more request to a cold target now.

        Args:
            target_id: Id of the target.
            per_second: Requests that the target takes from all nodes together.
            node_ids: All nodes that this node knows of, itself included.
        """
        if node_ids != self._node_ids:
            self._node_ids = node_ids
            self._shares.clear()
        key = (target_id, per_second)
        if key not in self._shares:
            self._shares[key] = share(
                target_id, per_second=per_second, node_id=self._node_id, node_ids=node_ids
            )
        return len(self._recent(target_id)) < self._shares[key]

    def record_sent(self, target_id: str) -> None:
        """Counts a request that was sent to a cold target."""
        self._recent(target_id).append(clock.elapsed())

    def _recent(self, target_id: str) -> collections.deque[float]:
        """Returns the times of the requests that still count, after dropping older ones."""
        sent_at = self._sent_at_by_target.setdefault(target_id, collections.deque())
        oldest = clock.elapsed() - WINDOW_SECONDS - BUNCHING_SECONDS
        while sent_at and sent_at[0] < oldest:
            sent_at.popleft()
        return sent_at
