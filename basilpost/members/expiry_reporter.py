"""Reports expired leases to the nodes that hold no watch on the store.

A lease has expired when a node that was in contact with the store all the time saw no renewal for
the lease's whole length. After a gap in the contact, or a pause of the process, the observation
restarts.
"""

import asyncio
import math
from collections.abc import Callable

from basilpost.core import clock
from basilpost.members import messages, node_table, peers

CHECK_INTERVAL_SECONDS = 1.0
# Longest gap between contacts with the store, or between checks, that does not end the observation.
MAX_GAP_SECONDS = 5.0


class ExpiryReporter:
    """Checks the leases of all nodes while this node watches the store."""

    def __init__(
        self,
        *,
        table: node_table.NodeTable,
        peers: peers.PeerNetwork,
        current_at: Callable[[], float],
    ) -> None:
        self._table = table
        self._peers = peers
        self._current_at = current_at
        self._observed_since = math.inf
        self._checked_at = -math.inf

    async def run(self) -> None:
        """Checks all leases once every `CHECK_INTERVAL_SECONDS`."""
        while True:
            self._check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _check(self) -> None:
        now = clock.monotonic()
        paused = now - self._checked_at > MAX_GAP_SECONDS
        self._checked_at = now
        if paused or now - self._current_at() > MAX_GAP_SECONDS or not self._table.sees_renewals():
            self._observed_since = math.inf
            return
        self._observed_since = min(self._observed_since, now)
        for record in list(self._table.records_by_id.values()):
            if self._has_expired(record, now) and self._table.mark_expired(
                record.node_id, record.incarnation, record.renewal
            ):
                self._peers.broadcast(
                    messages.LeaseExpired(
                        node_id=record.node_id,
                        incarnation=record.incarnation,
                        renewal=record.renewal,
                    )
                )

    def _has_expired(self, record: node_table.NodeRecord, now: float) -> bool:
        observed = now - self._observed_since > record.lease_seconds
        return observed and not self._table.renewed_within(record.node_id, record.lease_seconds)
