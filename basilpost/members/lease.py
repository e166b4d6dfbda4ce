"""The lease of this node: an object in the store that it renews by conditional updates.

The holder counts its lease from before it sent the renewal, observers from when they saw it, so for
the holder it always expires first. Safety does not depend on the expiry being seen; leases only
tell other nodes when to take over.

Calls for the lease have the urgency `SAFETY`, so that they go first when the budget for store calls
is short.
"""

import abc
import asyncio
import math
import random
import secrets

import prometheus_client

from basilpost.core import clock, codec, hashing, kernel, names, tasks
from basilpost.members import node_table, peers, store_replica, streams
from basilpost.settings import schema
from basilpost.store import objects

# Upper limit for the renewals of the whole fleet, per second.
LEASE_WRITES_PER_SECOND = 40
# Timeout of one store call, and delay after a renewal that was not confirmed.
WRITE_SECONDS = 1.0
RETRY_SECONDS = 0.5
# The record of a node that has been silent for this long is deleted.
RETIRE_SECONDS = 600.0
RETIRE_ROUND_SECONDS = 30.0
_INCARNATION_BYTES = 8


class Lease(abc.ABC):
    """This node's lease, by the holder's count, which ends before that of all observers."""

    @abc.abstractmethod
    def remaining(self) -> float:
        """Returns the seconds for which the lease is still valid, 0 if it has expired."""


class StoreLease(Lease, kernel.Service):
    """A lease kept in the object store as `nodes/<node id>`.

    Attributes:
        incarnation: Random id of this process.
        gateway_address: `host:port` for callers, published in the record.
    """

    def __init__(self, *, kernel: kernel.Kernel, table: node_table.NodeTable) -> None:
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self.gateway_address = ""
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._replica = kernel.find(names.REPLICA, store_replica.StoreReplica)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._table = table
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._key = names.NODE_PREFIX + self._settings.node_id
        self._version = objects.NO_VERSION
        self._renewal = 0
        self._holds_until = -math.inf
        self._superseded = False
        self._renewals_total = prometheus_client.Counter(
            "basilpost_lease_renewals_total",
            "Renewals of the node's lease",
            ["outcome"],
            registry=kernel.registry,
        )

    async def start(self) -> None:
        """Starts to renew the lease; the node also starts while the store is unavailable."""
        self._tasks.keep_running(self._keep_renewing, name="lease")
        self._tasks.keep_running(self._keep_retiring, name="retire-nodes")

    async def stop(self) -> None:
        """Announces the departure to the peers and deletes the lease."""
        await self._tasks.close()
        self._replica.gossip.announce_departure(self.incarnation)
        self._holds_until = -math.inf
        if self._version and not self._superseded:
            removed = await self._store.delete(
                self._key,
                version=self._version,
                timeout=WRITE_SECONDS,
                urgency=objects.Urgency.SAFETY,
            )
            if isinstance(removed, objects.Written):
                change = objects.Change(key=self._key, version=removed.version, stored=None)
                self._replica.offer(change)

    def remaining(self) -> float:
        """Returns the seconds for which the lease is still valid."""
        return max(0.0, self._holds_until - clock.monotonic())

    async def _keep_renewing(self) -> None:
        while not self._superseded:
            nodes = len(self._table.records_by_id)
            renewed = await self._renew(lease_seconds(self._settings.timing, nodes=nodes))
            self._renewals_total.labels("confirmed" if renewed else "unconfirmed").inc()
            interval = renewal_seconds(self._settings.timing, nodes=nodes)
            await asyncio.sleep((interval if renewed else RETRY_SECONDS) * random.uniform(0.9, 1.0))

    async def _renew(self, length: float) -> bool:
        """Writes the record once; returns True if the store has confirmed it."""
        self._renewal += 1
        sent_at = clock.monotonic()
        record = self._record(length)
        value = codec.to_json(record)
        written = await self._write(value)
        if not isinstance(written, objects.Written):
            return await self._resolve_write(record, sent_at)
        self._on_confirmed(value, written.version, sent_at + length)
        return True

    async def _write(
        self, value: bytes
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        urgency = objects.Urgency.SAFETY
        if not self._version:
            return await self._store.create(
                self._key, value, timeout=WRITE_SECONDS, urgency=urgency
            )
        return await self._store.update(
            self._key, value, version=self._version, timeout=WRITE_SECONDS, urgency=urgency
        )

    async def _resolve_write(self, sent: node_table.NodeRecord, sent_at: float) -> bool:
        """Reads the record after an unconfirmed write; returns True if the write took effect."""
        stored = await self._store.get(
            self._key, timeout=WRITE_SECONDS, urgency=objects.Urgency.SAFETY
        )
        if isinstance(stored, objects.Missing):
            self._version = objects.NO_VERSION
        if not isinstance(stored, objects.Stored) or stored.version < self._version:
            return False
        record = _decode(stored)
        if record is not None and record.incarnation == self.incarnation:
            took_effect = record.renewal == sent.renewal
            self._version = stored.version
            if took_effect:
                self._on_confirmed(stored.value, stored.version, sent_at + sent.lease_seconds)
            return took_effect
        self._on_other_incarnation(record, stored.version)
        return False

    def _on_other_incarnation(self, record: node_table.NodeRecord | None, version: int) -> None:
        """Handles a record that another process of the same node id wrote, or its absence.

        Before this process has held the lease, the record is that of an earlier process and is
        replaced by the next renewal. After it has held the lease, only a later process can have
        written the record, so this process stops renewing.
        """
        if self._holds_until > -math.inf and record is not None:
            self._superseded = True
            self._holds_until = -math.inf
            self._log.error("lease_superseded", incarnation=record.incarnation)
            return
        self._version = version

    def _on_confirmed(self, value: bytes, version: int, holds_until: float) -> None:
        self._version = version
        self._holds_until = holds_until
        stored = objects.Stored(key=self._key, value=value, version=version)
        self._replica.offer(objects.Change(key=self._key, version=version, stored=stored))

    def _record(self, length: float) -> node_table.NodeRecord:
        address = self._peers.address if isinstance(self._peers, streams.Streams) else ""
        return node_table.NodeRecord(
            node_id=self._settings.node_id,
            peer_address=address,
            gateway_address=self.gateway_address,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
            incarnation=self.incarnation,
            renewal=self._renewal,
            lease_seconds=length,
            table_size=len(self._table.records_by_id),
        )

    # The records of crashed nodes are retired: deleted after a long silence, by one live node each.

    async def _keep_retiring(self) -> None:
        while True:
            await asyncio.sleep(RETIRE_ROUND_SECONDS)
            for node_id in self._to_retire():
                await self._retire(node_id)

    def _to_retire(self) -> list[str]:
        """Returns the long silent nodes whose records this node is to delete.

        Silent nodes that may be a majority are kept: they may be cut off from the store and still
        serve, so they have to stay counted.
        """
        silent = [
            node_id
            for node_id in self._table.records_by_id
            if not self._table.renewed_within(node_id, RETIRE_SECONDS)
            and not self._peers.received_within(node_id, RETIRE_SECONDS)
        ]
        if may_be_majority(silent, self._table):
            return []
        live = self._peers.live_nodes()
        return [
            node_id
            for node_id in silent
            if hashing.rendezvous_choice(node_id, live) == self._peers.node_id
        ]

    async def _retire(self, node_id: str) -> None:
        key = names.NODE_PREFIX + node_id
        known = self._replica.get(key)
        if known is None:
            return
        removed = await self._store.delete(
            key, version=known.version, urgency=objects.Urgency.BACKGROUND
        )
        if isinstance(removed, objects.Written):
            self._log.info("node_retired", node=node_id)
            self._replica.offer(objects.Change(key=key, version=removed.version, stored=None))


def renewal_seconds(timing: schema.Timing, *, nodes: int) -> float:
    """Returns the interval of renewals in seconds, which limits the rate of the fleet's writes."""
    return max(timing.lease_renewal, nodes / LEASE_WRITES_PER_SECOND)


def lease_seconds(timing: schema.Timing, *, nodes: int) -> float:
    """Returns the length of a lease in seconds, in a fixed proportion to the renewal interval."""
    return timing.lease * renewal_seconds(timing, nodes=nodes) / timing.lease_renewal


def may_be_majority(node_ids: list[str], table: node_table.NodeTable) -> bool:
    """Returns True if these nodes, cut off from this one, may consider themselves a majority.

    Each of them counts a majority over its own node table as of when it was cut off. Two sizes are
    known here: the table size that the node last published, and the size of this node's table
    today. The smaller of the two is a lower bound of that table's size, as departures that shrink
    this table also shrink a minority that is cut off.
    """
    sizes = (
        min(record.table_size, len(table.records_by_id))
        for node_id in node_ids
        if (record := table.records_by_id.get(node_id)) is not None
    )
    return any(2 * len(node_ids) > size for size in sizes)


def _decode(stored: objects.Stored) -> node_table.NodeRecord | None:
    try:
        return codec.from_json(stored.value, node_table.NodeRecord)
    except ValueError:
        return None
