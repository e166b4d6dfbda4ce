"""The nodes that this one knows of, by their records in the store.

The table is what a majority is counted of. A node leaves it by saying goodbye or when its record is
deleted; a crash alone does not shrink it, because a crash looks like a partition from here.
"""

import dataclasses
import enum
from collections.abc import Callable

from basilpost.core import clock, codec, names
from basilpost.members import replica
from basilpost.store import objects


class NodeState(enum.Enum):
    """What a node says of itself."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeRecord:
    """A node's object in the store; each renewal writes it anew.

    Attributes:
        node_id: The node.
        peer_address: `host:port` for peer streams.
        gateway_address: `host:port` for callers.
        failure_domain: Where the node is.
        region: Region of the failure domain.
        incarnation: Random id of the process, so that a restarted node is told from its past.
        state: What the node says of itself.
        renewal: Counts renewals; with the incarnation it identifies one write.
        lease_seconds: Length of the lease from the moment that the renewal is seen.
        table_size: Number of nodes that this node counts a majority of.
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
    """Known nodes with the time at which each one's record last changed, by this node's clock."""

    def __init__(self) -> None:
        self.records_by_id: dict[str, NodeRecord] = {}
        self._seen_at_by_id: dict[str, float] = {}
        self._departed_incarnations: dict[str, str] = {}
        self._lapsed_ids: set[str] = set()
        self.sees_renewals: Callable[[], bool] = lambda: True
        self._listeners: list[Listener] = []

    def attach(self, source: replica.Replica) -> None:
        """Follows the node records of a replica."""
        source.subscribe(names.NODE_PREFIX, self.take)

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener when nodes join, leave or change their address."""
        self._listeners.append(listener)

    def take(self, change: objects.Change) -> None:
        """Takes in a newer version of a node's record; a broken record is left out."""
        node_id = change.key.removeprefix(names.NODE_PREFIX)
        record = decode(change)
        if record is None or self._departed_incarnations.get(node_id) == record.incarnation:
            self._remove(node_id)
            return
        before = self.records_by_id.get(node_id)
        self._lapsed_ids.discard(node_id)
        self.records_by_id[node_id] = record
        self._seen_at_by_id[node_id] = clock.monotonic()
        if before is None or _place(before) != _place(record):
            self._tell()

    def is_news(self, change: objects.Change) -> bool:
        """Returns True if a change says more than that a known node goes on as before.

        Only news are spread: renewals of every node on every stream would cost a large fleet more
        than all else.
        """
        node_id = change.key.removeprefix(names.NODE_PREFIX)
        record, before = decode(change), self.records_by_id.get(node_id)
        if record is None or before is None or node_id in self._lapsed_ids:
            return True
        return _place(before) != _place(record)

    def note_lapse(self, node_id: str, incarnation: str, renewal: int) -> bool:
        """Takes a neighbour's word that a lease has lapsed; returns False if that says no news."""
        record = self.records_by_id.get(node_id)
        if record is None or node_id in self._lapsed_ids:
            return False
        if record.incarnation != incarnation or record.renewal > renewal:
            return False
        self._lapsed_ids.add(node_id)
        return True

    def goodbye(self, node_id: str, incarnation: str) -> bool:
        """Takes a departing node off the table; returns False if that is known already."""
        if self._departed_incarnations.get(node_id) == incarnation:
            return False
        self._departed_incarnations[node_id] = incarnation
        record = self.records_by_id.get(node_id)
        if record is not None and record.incarnation == incarnation:
            self._remove(node_id)
        return True

    def seen_within(self, node_id: str, seconds: float) -> bool:
        """Returns True if the record changed within the last seconds."""
        seen_at = self._seen_at_by_id.get(node_id)
        return seen_at is not None and clock.monotonic() - seen_at <= seconds

    def lease_holds(self, node_id: str) -> bool:
        """Returns True unless the node's lease has lapsed.

        A node that sees renewals times them by its own clock; another one holds a lease for good
        until a neighbour that sees them reports its end.
        """
        record = self.records_by_id.get(node_id)
        if record is None or node_id in self._lapsed_ids:
            return False
        return not self.sees_renewals() or self.seen_within(node_id, record.lease_seconds)

    def regions_by_id(self) -> dict[str, str]:
        """Returns the region of each known node."""
        return {node_id: record.region for node_id, record in self.records_by_id.items()}

    def _remove(self, node_id: str) -> None:
        self._seen_at_by_id.pop(node_id, None)
        self._lapsed_ids.discard(node_id)
        if self.records_by_id.pop(node_id, None) is not None:
            self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def _place(record: NodeRecord) -> tuple[str, str, str, NodeState]:
    return record.peer_address, record.region, record.incarnation, record.state


def decode(change: objects.Change) -> NodeRecord | None:
    """Returns the record in a change, None for a deletion or a broken record."""
    if change.stored is None:
        return None
    try:
        return codec.from_json(change.stored.value, NodeRecord)
    except ValueError:
        return None
