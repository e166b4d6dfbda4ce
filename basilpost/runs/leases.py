"""Tells whether a node's lease is gone, as settling an open request as not run demands."""

import abc

from basilpost.core import clock, names
from basilpost.members import peers, replica
from basilpost.settings import schema
from basilpost.store import objects


class NodeLeases(abc.ABC):
    """The leases of the other nodes, as this node sees them."""

    @abc.abstractmethod
    def has_ended(self, node_id: str) -> bool:
        """Returns True only if the node's lease has surely lapsed or was given back."""


class NoLeases(NodeLeases):
    """Stands in where leases cannot be seen: none is ever surely gone."""

    def has_ended(self, node_id: str) -> bool:
        """Returns False."""
        return False


class ReplicaLeases(NodeLeases):
    """Times each lease by this node's own clock, from when it saw the lease change.

    Without fresh contact to the store no lease counts as gone, because its renewals would not be
    seen here.
    """

    def __init__(
        self, *, replica: replica.Replica, peers: peers.PeerNetwork, timing: schema.Timing
    ) -> None:
        self._replica = replica
        self._peers = peers
        self._timing = timing
        self._seen_at_by_id: dict[str, float] = {}
        replica.subscribe(names.NODE_PREFIX, self._renewed)

    def has_ended(self, node_id: str) -> bool:
        """Returns True if the lease was removed, or not renewed for longer than it lasts."""
        if self._replica.store_contact_age() > self._timing.store_silence:
            return False
        if self._peers.received_within(node_id, self._timing.lease):
            return False
        key = f"{names.NODE_PREFIX}{node_id}"
        if self._replica.get(key) is None:
            return True
        seen_at = self._seen_at_by_id.setdefault(key, clock.monotonic())
        return clock.monotonic() - seen_at > self._timing.lease + self._timing.store_silence

    def _renewed(self, change: objects.Change) -> None:
        self._seen_at_by_id[change.key] = clock.monotonic()
