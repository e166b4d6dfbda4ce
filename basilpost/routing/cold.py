"""Bounds what a node sends to targets in a cold start.

The bound holds over all nodes together. So each target's requests of a second are shared out among
the nodes by a hash that all compute alike: in a large fleet a few nodes may send to a cold target.
"""

import collections
import math

from basilpost.core import clock, hashing

WINDOW_SECONDS = 1.0
# Requests may bunch up on their way, so each window is counted a little longer.
BUNCHING_SECONDS = 0.2


def share(target_id: str, *, per_second: float, node_id: str, node_ids: frozenset[str]) -> int:
    """Returns the requests that a node may send to a cold target within a second.

    The shares of all nodes add up to the bound. A node that is not one of them gets none.
    """
    if node_id not in node_ids:
        return 0
    each, left = divmod(math.floor(per_second), len(node_ids))
    if not left:
        return each
    return each + (node_id in hashing.rendezvous_order(target_id, node_ids)[:left])


class ColdStartLimiter:
    """Requests sent to cold targets within the last second."""

    def __init__(self, *, node_id: str) -> None:
        self._node_id = node_id
        self._sent_at_by_target: dict[str, collections.deque[float]] = {}
        self._shares: dict[tuple[str, float], int] = {}
        self._node_ids: frozenset[str] = frozenset()

    def may_send(self, target_id: str, *, per_second: float, node_ids: frozenset[str]) -> bool:
        """Returns True if a cold target bears one more request from this node.

        Args:
            target_id: The target.
            per_second: What it bears from all nodes.
            node_ids: All nodes, as far as this one knows.
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
        """Counts a request to a cold target."""
        self._recent(target_id).append(clock.elapsed())

    def _recent(self, target_id: str) -> collections.deque[float]:
        sent_at = self._sent_at_by_target.setdefault(target_id, collections.deque())
        oldest = clock.elapsed() - WINDOW_SECONDS - BUNCHING_SECONDS
        while sent_at and sent_at[0] < oldest:
            sent_at.popleft()
        return sent_at
