"""Discovery of nodes: each node keeps a record in the store while it runs.

A record only gives an address. Whether the node is alive is seen on the peer streams, so records
are not renewed. Other nodes remove the record of one that has been silent for long (see
`lost_nodes`); a node that is alive writes its record again.
"""

import asyncio
import dataclasses
import random

from basilpost.core import clock, codec, kernel, names, tasks
from basilpost.members import feed, lost_nodes, node_table, peers
from basilpost.settings import schema
from basilpost.store import eras, objects

PREFIX = "basilpost-nodes/"
WATCH_SECONDS = 20.0
STORE_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.5
# Nodes write their records again within this time after a restore of the store, not all at once.
REWRITE_SECONDS = 1.0
# Records that a restored store lacks stay in use until their nodes have written them again.
RESTORE_GRACE_SECONDS = 2.3
# A stopping node has 0.8 s for all that follows the drain.
STOP_TIMEOUT_SECONDS = 0.4
# Records are not renewed, so their lease outlasts any process.
LEASE_SECONDS = 1e9
# All neighbours of a lost node see its silence; one of them mostly removes the record before the others.
REMOVAL_DELAY_SECONDS = 2.0


class Registry(kernel.Service):
    """Keeps this node's record in the store and follows those of the others."""

    def __init__(self, *, kernel: kernel.Kernel, record: node_table.NodeRecord) -> None:
        self._log = kernel.log
        self._record = record
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._table = kernel.find(names.NODE_TABLE, node_table.NodeTable)
        self._table.on_restart = self._log_restart
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._version = 0
        self._has_written = False
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._silence_seconds = kernel.find(names.SETTINGS, schema.NodeSettings).timing.peer_silence
        self._lost_nodes = lost_nodes.LostNodes(is_heard=self._is_heard)
        self._versions_by_id: dict[str, int] = {}
        self._is_stopping = False
        # The latest restore of the store, None once all nodes have written their records again.
        self._restored_at: float | None = None
        self._held_deletions_by_key: dict[str, objects.Change] = {}
        self._feed = kernel.find(names.FEED, feed.Feed)
        self._feed.follow(
            PREFIX, wait=WATCH_SECONDS, on_change=self._apply_change, age_bounded=False
        )
        self._feed.subscribe_restore(self._write_again)

    async def start(self) -> None:
        """Starts to write this node's record, and to remove those of lost nodes."""
        self._tasks.keep_running(self._write_until_done, name="node-record")
        self._tasks.keep_running(self._remove_lost, name="node-records-removed")

    async def stop(self) -> None:
        """Removes this node's record."""
        self._is_stopping = True
        await self._tasks.close()
        if self._has_written and not self._version:
            # The answer to a write that was cut off is not known.
            stored = await self._store.get(self._key, timeout=STOP_TIMEOUT_SECONDS)
            if isinstance(stored, objects.Stored) and self._is_own(stored):
                self._version = stored.version
        if self._version:
            await self._store.delete(self._key, version=self._version, timeout=STOP_TIMEOUT_SECONDS)

    def _log_restart(self, record: node_table.NodeRecord) -> None:
        self._log.info("node_restarted", peer=record.node_id, incarnation=record.incarnation)

    @property
    def _key(self) -> str:
        return PREFIX + self._record.node_id

    def _write_again(self) -> None:
        """Writes the record to a restored store, which may lack it or have an earlier one."""
        self._restored_at = clock.elapsed()
        self._tasks.spawn(self._write_after_restore(), name="node-record")
        self._tasks.spawn(self._apply_held_deletions(self._restored_at), name="node-records-lost")

    async def _write_after_restore(self) -> None:
        await asyncio.sleep(random.uniform(0.0, REWRITE_SECONDS))
        await self._write_until_done()

    async def _apply_held_deletions(self, restored_at: float) -> None:
        await asyncio.sleep(RESTORE_GRACE_SECONDS)
        await self._feed.wait_until_current_since(restored_at + RESTORE_GRACE_SECONDS)
        if self._restored_at == restored_at:
            self._restored_at = None
            held, self._held_deletions_by_key = self._held_deletions_by_key, {}
            for change in held.values():
                self._apply_change(change)

    # Records of nodes that are lost for good are removed by those that want streams to them.

    def _is_heard(self, node_id: str) -> bool:
        return self._peers.received_within(node_id, self._silence_seconds)

    async def _remove_lost(self) -> None:
        delay = random.uniform(0.0, REMOVAL_DELAY_SECONDS)
        while True:
            await asyncio.sleep(lost_nodes.CHECK_SECONDS)
            incarnations_by_id = {
                node_id: record.incarnation
                for node_id, record in self._table.records_by_id.items()
                if node_id != self._record.node_id
            }
            lost = self._lost_nodes.observe(
                incarnations_by_id, self._peers.wanted(), now=clock.elapsed()
            )
            if lost and self._restored_at is None:
                node_id = random.choice(lost)
                version = self._versions_by_id[node_id]
                await asyncio.sleep(delay)
                if self._versions_by_id.get(node_id) == version:
                    await self._remove_record(node_id, version)

    async def _remove_record(self, node_id: str, version: int) -> None:
        """Removes the record of a node from the store, unless it has changed."""
        result = await self._store.delete(
            PREFIX + node_id,
            version=version,
            timeout=STORE_TIMEOUT_SECONDS,
            urgency=objects.Urgency.BACKGROUND,
        )
        if isinstance(result, objects.Written):
            self._log.info("node_record_removed", peer=node_id)

    def _write_removed(self, change: objects.Change) -> None:
        """Writes this node's record again if another node has removed it."""
        if change.stored is None and 0 < self._version < change.version and not self._is_stopping:
            self._version = 0
            self._log.info("node_record_lost")
            self._tasks.spawn(self._write_until_done(), name="node-record")

    async def _write_until_done(self) -> None:
        while not await self._write():
            await asyncio.sleep(RETRY_SECONDS)

    async def _write(self) -> bool:
        """Tries to write the record; returns True if the store has it."""
        value = codec.to_json(self._record)
        self._has_written = True
        result = await self._store.create(self._key, value, timeout=STORE_TIMEOUT_SECONDS)
        if isinstance(result, objects.Conflict):
            stored = await self._store.get(self._key, timeout=STORE_TIMEOUT_SECONDS)
            if not isinstance(stored, objects.Stored):
                return False
            if self._is_own(stored):
                self._version = stored.version
                return True
            result = await self._store.update(
                self._key, value, version=stored.version, timeout=STORE_TIMEOUT_SECONDS
            )
        if isinstance(result, objects.Written):
            self._version = result.version
            return True
        self._log.info("node_record_not_written", reason=result.reason)
        return False

    def _is_own(self, stored: objects.Stored) -> bool:
        """Returns True if a stored object is this node's record; the store may write it differently."""
        try:
            return codec.from_json(stored.value, node_table.NodeRecord) == self._record
        except ValueError:
            return False

    def _apply_change(self, change: objects.Change) -> None:
        self._held_deletions_by_key.pop(change.key, None)
        if change.stored is None and self._restored_at is not None:
            self._held_deletions_by_key[change.key] = change
            return
        if change.stored is not None and node_table.decode(change) is None:
            self._log.warning(
                "malformed_object",
                key=change.key,
                revision=eras.revision_of(change.version),
                reason="the value is not a node record",
            )
        if change.key == self._key:
            self._write_removed(change)
        self._record_version(change)
        key = names.NODE_PREFIX + change.key.removeprefix(PREFIX)
        stored = None if change.stored is None else dataclasses.replace(change.stored, key=key)
        self._table.apply(dataclasses.replace(change, key=key, stored=stored))

    def _record_version(self, change: objects.Change) -> None:
        node_id = change.key.removeprefix(PREFIX)
        if change.stored is None:
            self._versions_by_id.pop(node_id, None)
            self._lost_nodes.record_removal(node_id)
        else:
            self._versions_by_id[node_id] = change.stored.version
