"""The nodes that this one knows of, by their records in the store.

Majorities are counted over this table. A node is removed when it announces its departure or when
its record is deleted. A crash alone does not remove it, because it looks like a partition from
here.
"""

import dataclasses
import enum
import math
from collections.abc import Callable

from basilpost.core import clock, codec, names, texts
from basilpost.members import replica
from basilpost.store import objects


class NodeState(enum.Enum):
    """State that a node publishes of itself."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeRecord:
    """A node's object in the store, rewritten by each renewal of the node's lease.

    Attributes:
        node_id: Id of the node.
        peer_address: `host:port` for peer streams.
        gateway_address: `host:port` for callers.
        failure_domain: Failure domain that the node runs in.
        region: Region of the failure domain.
        incarnation: Random id of the process, which differs after a restart.
        state: State of the node.
        renewal: Number of the renewal; with the incarnation it identifies one write.
        lease_seconds: Length of the lease, counted by observers from when they see the renewal.
        table_size: Number of nodes in this node's table, over which it counts majorities.
    """

    node_id: str
    peer_address: str
    gateway_address: str = ""
    failure_domain: str = ""
    region: str = ""
    incarnation: str
    state: NodeState = NodeState.LIVE
    renewal: int = 0
    lease_seconds: float
    table_size: int = 0


Listener = Callable[[], None]


class NodeTable:
    """Records of the known nodes, and when each one last changed on this node's clock.

    Attributes:
        records_by_id: The newest record of each node.
        on_restart: Called with the record of a node that has started again without a planned stop.
        sees_renewals: Returns True if this node follows renewals in the store; set by the owner.
    """

    def __init__(self) -> None:
        self.records_by_id: dict[str, NodeRecord] = {}
        self._renewed_at_by_id: dict[str, float] = {}
        self._departed_incarnations: dict[str, str] = {}
        self._expired_ids: set[str] = set()
        self.sees_renewals: Callable[[], bool] = lambda: True
        self.on_restart: Callable[[NodeRecord], None] = lambda record: None
        self._listeners: list[Listener] = []

    def attach(self, source: replica.Replica) -> None:
        """Follows the node records of a replica."""
        source.subscribe(names.NODE_PREFIX, self.apply)

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener when nodes join, leave or change their address."""
        self._listeners.append(listener)

    def apply(self, change: objects.Change) -> None:
        """Applies a newer version of a node's record; a malformed record removes the node."""
        node_id = change.key.removeprefix(names.NODE_PREFIX)
        record = decode(change)
        if record is None or self._departed_incarnations.get(node_id) == record.incarnation:
            self._remove(node_id)
            return
        before = self.records_by_id.get(node_id)
        self._expired_ids.discard(node_id)
        self.records_by_id[node_id] = record
        self._renewed_at_by_id[node_id] = clock.monotonic()
        if before is not None and before.incarnation != record.incarnation:
            self.on_restart(record)
        if before is None or _identity(before) != _identity(record):
            self._notify()

    def is_significant(self, change: objects.Change) -> bool:
        """Returns False for a change that only renews the lease of a known node.

        Such renewals are not gossiped: sending every node's renewals on every stream would cost a
        large fleet more than everything else.
        """
        node_id = change.key.removeprefix(names.NODE_PREFIX)
        record, before = decode(change), self.records_by_id.get(node_id)
        if record is None or before is None or node_id in self._expired_ids:
            return True
        return _identity(before) != _identity(record)

    def mark_expired(self, node_id: str, incarnation: str, renewal: int) -> bool:
        """Records that a lease has expired; returns False if that is known or outdated."""
        record = self.records_by_id.get(node_id)
        if record is None or node_id in self._expired_ids:
            return False
        if record.incarnation != incarnation or record.renewal > renewal:
            return False
        self._expired_ids.add(node_id)
        return True

    def mark_departed(self, node_id: str, incarnation: str) -> bool:
        """Removes a node that leaves as planned; returns False if that is already known."""
        if self._departed_incarnations.get(node_id) == incarnation:
            return False
        self._departed_incarnations[node_id] = incarnation
        record = self.records_by_id.get(node_id)
        if record is not None and record.incarnation == incarnation:
            self._remove(node_id)
        return True

    def renewed_within(self, node_id: str, seconds: float) -> bool:
        """Returns True if the node's record changed within the last `seconds`."""
        renewed_at = self._renewed_at_by_id.get(node_id)
        return renewed_at is not None and clock.monotonic() - renewed_at <= seconds

    def lease_holds(self, node_id: str) -> bool:
        """Returns True unless the node is unknown or its lease has expired.

        If this node sees renewals, it times the lease by its own clock. Otherwise the lease counts
        as valid until a neighbour that sees renewals reports that it has expired.
        """
        record = self.records_by_id.get(node_id)
        if record is None or node_id in self._expired_ids:
            return False
        return not self.sees_renewals() or self.renewed_within(node_id, record.lease_seconds)

    def regions_by_id(self) -> dict[str, str]:
        """Returns the region of each known node."""
        return {node_id: record.region for node_id, record in self.records_by_id.items()}

    def _remove(self, node_id: str) -> None:
        self._renewed_at_by_id.pop(node_id, None)
        self._expired_ids.discard(node_id)
        if self.records_by_id.pop(node_id, None) is not None:
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _identity(record: NodeRecord) -> tuple[str, str, str, NodeState]:
    return record.peer_address, record.region, record.incarnation, record.state


def decode(change: objects.Change) -> NodeRecord | None:
    """Returns the record in a change, None for a deletion or a malformed record."""
    if change.stored is None:
        return None
    try:
        record = codec.from_json(change.stored.value, NodeRecord)
    except ValueError:
        return None
    is_usable = math.isfinite(record.lease_seconds) and texts.is_plain(record.node_id)
    return record if is_usable else None
