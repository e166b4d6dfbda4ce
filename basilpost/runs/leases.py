"""Determines whether a node's lease has ended, as is needed to settle a request as not run."""

import abc

from basilpost.core import clock, names
from basilpost.members import peers, replica
from basilpost.settings import schema
from basilpost.store import objects


class NodeLeases(abc.ABC):
    """The leases of the other nodes, as this node sees them."""

    @abc.abstractmethod
    def has_ended(self, node_id: str) -> bool:
        """Returns True only if the node's lease is known to have expired or to be released."""


class NoLeases(NodeLeases):
    """For nodes that cannot see leases: no lease is ever known to have ended."""

    def has_ended(self, node_id: str) -> bool:
        """Returns False."""
        return False


class ReplicaLeases(NodeLeases):
    """Times each lease by this node's own clock, from the last change that it received.

    While this node has no recent contact with the store, no lease counts as ended, because its
    renewals would not be received.
    """

    def __init__(
        self, *, replica: replica.Replica, peers: peers.PeerNetwork, timing: schema.Timing
    ) -> None:
        self._replica = replica
        self._peers = peers
        self._timing = timing
        self._changed_at_by_key: dict[str, float] = {}
        replica.subscribe(names.NODE_PREFIX, self._on_change)

    def has_ended(self, node_id: str) -> bool:
        """Returns True if the lease was removed, or was not renewed for longer than it lasts."""
        if self._replica.store_contact_age() > self._timing.store_silence:
            return False
        if self._peers.received_within(node_id, self._timing.lease):
            return False
        key = f"{names.NODE_PREFIX}{node_id}"
        if self._replica.get(key) is None:
            return True
        changed_at = self._changed_at_by_key.setdefault(key, clock.monotonic())
        return clock.monotonic() - changed_at > self._timing.lease + self._timing.store_silence

    def _on_change(self, change: objects.Change) -> None:
        self._changed_at_by_key[change.key] = clock.monotonic()
