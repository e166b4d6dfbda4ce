"""The replica of stored objects that a node serves from, kept current by the store and by peers."""

import asyncio
from collections.abc import Awaitable, Callable

import prometheus_client

from basilpost.core import clock, kernel, names, tasks
from basilpost.members import (
    expiry_reporter,
    gossip,
    node_table,
    peers,
    replica,
    store_follower,
    topology,
    versions,
)
from basilpost.settings import schema
from basilpost.store import objects

# Prefixes whose freshness decides whether this node may take new work.
SAFETY_PREFIXES = (names.CONFIG_PREFIX, names.FABRIC_PREFIX, names.QUARANTINE_PREFIX)
# Longest wait of a watch, as a share of `timing.store_silence`.
WATCH_SHARE_OF_SILENCE = 0.25
# Interval of the calls of a node that does not watch the store.
POLL_SECONDS = 30.0
# Interval at which such a node checks whether its replica gets stale and a call is due earlier.
URGENT_POLL_SECONDS = 1.0
# The same for node records, and the gap between watches of them.
NODES_POLL_SECONDS = 120.0
NODES_GAP_SECONDS = 1.0


class StoreReplica(replica.Replica, kernel.Service):
    """Objects below the replicated prefixes; a version is only replaced by a higher one.

    Attributes:
        gossip: The protocol by which the replica exchanges changes with those of other nodes.
    """

    def __init__(self, *, kernel: kernel.Kernel, table: node_table.NodeTable) -> None:
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._table = table
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._known = versions.Versions()
        self._listeners: list[tuple[str, replica.Listener]] = []
        self.gossip = gossip.Gossip(
            peers=kernel.find(names.PEERS, peers.PeerNetwork),
            table=table,
            known=self._known,
            merge=self._merge,
            settings=self._settings,
            registry=kernel.registry,
        )
        self.gossip.age = self.age
        self.gossip.expects_watch = self._expects_watch
        store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._followers = [
            store_follower.Follower(
                store=store,
                prefix=prefix,
                wait=self._watch_wait,
                after_answer=self._wait_function(prefix),
                on_listing=self._apply_listing,
                on_change=self._apply_change,
            )
            for prefix in gossip.PREFIXES
        ]
        self._changes_applied = prometheus_client.Counter(
            "basilpost_replica_changes_total",
            "Newer versions of objects taken in",
            ["source"],
            registry=kernel.registry,
        )
        self._is_chosen_watcher: bool | None = None
        table.subscribe(self._forget_watchers)
        table.sees_renewals = self._is_watcher
        table.attach(self)
        self.gossip.attach()
        self._expiry_reporter = expiry_reporter.ExpiryReporter(
            table=table,
            peers=kernel.find(names.PEERS, peers.PeerNetwork),
            current_at=lambda: self._followers[-1].current_at,
        )

    async def start(self) -> None:
        """Starts to follow the store and the peers."""
        for follower in self._followers:
            self._tasks.keep_running(follower.run, name=f"follow-{follower.prefix}")
        self._tasks.keep_running(self.gossip.run, name="spread")
        self._tasks.keep_running(self._expiry_reporter.run, name="lapses")

    async def stop(self) -> None:
        """Stops following; the known objects stay readable."""
        self.gossip.announcer.flush()
        await self._tasks.close()

    def get(self, key: str) -> objects.Stored | None:
        """Returns the newest known version of an object."""
        known = self._known.changes_by_key.get(key)
        return known.stored if known else None

    def items(self, prefix: str) -> tuple[objects.Stored, ...]:
        """Returns all known objects below a prefix, ordered by key."""
        objects_below = (change.stored for change in self._known.changes_below(prefix))
        return tuple(stored for stored in objects_below if stored is not None)

    def offer(self, change: objects.Change) -> bool:
        """Applies a change and announces it to the peers if it is newer; returns True if it was."""
        return self._merge(change, "")

    def subscribe(self, prefix: str, listener: replica.Listener) -> None:
        """Calls the listener after each newer change below a prefix."""
        self._listeners.append((prefix, listener))

    def version_of(self, key: str) -> int:
        """Returns the applied version of an object or of its deletion, 0 if unknown."""
        return self._known.version_of(key)

    def store_contact_age(self) -> float:
        """Returns the seconds since the store last answered for every safety prefix."""
        return clock.monotonic() - min(
            follower.answered_at for follower in self._safety_followers()
        )

    def age(self) -> float:
        """Returns the age of the replica in seconds: changes made since may be missing."""
        return clock.monotonic() - self.current_at()

    def current_at(self) -> float:
        """Returns the time as of which this replica lacked no accepted change."""
        own = min(follower.current_at for follower in self._safety_followers())
        return max(own, self.gossip.current_at)

    def _safety_followers(self) -> list[store_follower.Follower]:
        return [follower for follower in self._followers if follower.prefix in SAFETY_PREFIXES]

    def _merge(self, change: objects.Change, source: str) -> bool:
        if not gossip.is_replicated(change.key) or not self._known.merge(change):
            return False
        self._changes_applied.labels("peer" if source else "store").inc()
        is_node = change.key.startswith(names.NODE_PREFIX)
        if not is_node or self._table.is_significant(change):
            self.gossip.announcer.publish(change, source)
        for prefix, listener in self._listeners:
            if change.key.startswith(prefix):
                self._call_listener(listener, change)
        return True

    def _call_listener(self, listener: replica.Listener, change: objects.Change) -> None:
        try:
            listener(change)
        except Exception:
            self._log.exception("replica_listener_failed", key=change.key)

    def _apply_change(self, change: objects.Change) -> None:
        self._merge(change, "")

    def _apply_listing(self, prefix: str, listing: objects.Listing) -> None:
        for stored in listing.objects:
            change = objects.Change(key=stored.key, version=stored.version, stored=stored)
            self._merge(change, "")
        for deletion in self._known.deletions_in(prefix, listing):
            self._merge(deletion, "")

    # How often this node calls the store: watchers always, others seldom while they are fresh.

    def _is_watcher(self) -> bool:
        """Returns True if this node watches the store: all nodes do in a full mesh, else a few."""
        if self._is_chosen_watcher is None:
            chosen = topology.watchers(self._table.regions_by_id(), self._settings.peers)
            full_mesh = len(self._table.records_by_id) <= self._settings.peers.full_mesh_nodes
            self._is_chosen_watcher = full_mesh or self._settings.node_id in chosen
        return self._is_chosen_watcher

    def _forget_watchers(self) -> None:
        """Drops the cached choice of watchers, which is too costly to compute for each call."""
        self._is_chosen_watcher = None

    def _expects_watch(self) -> bool:
        """Returns True while this node's watch is expected to show what a neighbour announces."""
        own = min(follower.current_at for follower in self._safety_followers())
        return self._is_watcher() and clock.monotonic() - own < self._settings.timing.store_silence

    def _watch_wait(self) -> float:
        """Returns the wait of a watch in seconds, short enough to keep this node fresh."""
        timing = self._settings.timing
        if not self._is_watcher():
            return 0.0
        return min(timing.watch_wait, timing.store_silence * WATCH_SHARE_OF_SILENCE)

    def _wait_function(self, prefix: str) -> Callable[[], Awaitable[bool]]:
        """Returns the function that waits until the next call for a prefix is due."""
        if prefix == names.NODE_PREFIX:
            return self._wait_for_node_records
        return self._wait_for_prefix

    async def _wait_for_prefix(self) -> bool:
        """Waits briefly on a watcher, else up to `POLL_SECONDS` or until the replica gets stale."""
        await asyncio.sleep(store_follower.MIN_GAP_SECONDS)
        waited = 0.0
        while not self._is_watcher() and waited < POLL_SECONDS:
            await asyncio.sleep(URGENT_POLL_SECONDS)
            waited += URGENT_POLL_SECONDS
            if self.age() > self._settings.timing.store_silence / 2:
                break
        return False

    async def _wait_for_node_records(self) -> bool:
        """Waits between calls for node records, which change with every renewal.

        Returns True on a node that does not watch, to list the records: that costs less than all
        the renewals since the last call.
        """
        await asyncio.sleep(NODES_GAP_SECONDS)
        waited = 0.0
        while not self._is_watcher() and waited < NODES_POLL_SECONDS:
            await asyncio.sleep(URGENT_POLL_SECONDS)
            waited += URGENT_POLL_SECONDS
        return waited > 0
