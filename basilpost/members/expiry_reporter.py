"""Reports lapsed leases to the nodes that hold no watch on the store.

A lease has lapsed when a node that was in contact with the store all the time saw no renewal for
the lease's whole length. After a gap in the contact, or a pause, the observation starts anew.
"""

import asyncio
import math
from collections.abc import Callable

from basilpost.core import clock
from basilpost.members import messages, node_table, peers

ROUND_SECONDS = 1.0
CONTACT_SECONDS = 5.0


class ExpiryReporter:
    """Observes the leases of all nodes while this node watches the store."""

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
        self._round_at = -math.inf

    async def run(self) -> None:
        """Looks for lapsed leases once a round."""
        while True:
            self._observe()
            await asyncio.sleep(ROUND_SECONDS)

    def _observe(self) -> None:
        now = clock.monotonic()
        paused = now - self._round_at > CONTACT_SECONDS
        self._round_at = now
        if paused or now - self._current_at() > CONTACT_SECONDS or not self._table.sees_renewals():
            self._observed_since = math.inf
            return
        self._observed_since = min(self._observed_since, now)
        for record in list(self._table.records_by_id.values()):
            if self._has_lapsed(record, now) and self._table.note_lapse(
                record.node_id, record.incarnation, record.renewal
            ):
                self._peers.broadcast(
                    messages.LeaseExpired(
                        node_id=record.node_id,
                        incarnation=record.incarnation,
                        renewal=record.renewal,
                    )
                )

    def _has_lapsed(self, record: node_table.NodeRecord, now: float) -> bool:
        observed = now - self._observed_since > record.lease_seconds
        return observed and not self._table.seen_within(record.node_id, record.lease_seconds)
