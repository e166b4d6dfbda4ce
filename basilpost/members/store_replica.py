"""The replica of stored objects that a node serves from, fed by the store's watch and by peers."""

import asyncio

import prometheus_client

from basilpost.core import clock, kernel, names, tasks
from basilpost.members import (
    following,
    node_table,
    peers,
    replica,
    spread,
    topology,
    versions,
)
from basilpost.settings import schema
from basilpost.store import objects

SAFETY_PREFIXES = (names.CONFIG_PREFIX, names.FABRIC_PREFIX, names.QUARANTINE_PREFIX)
WATCH_SHARE_OF_SILENCE = 0.25
POLL_SECONDS = 30.0
URGENT_POLL_SECONDS = 1.0


class StoreReplica(replica.Replica, kernel.Service):
    """Objects below the replicated prefixes; the highest version of each wins for good."""

    def __init__(self, *, kernel: kernel.Kernel, table: node_table.NodeTable) -> None:
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._table = table
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._known = versions.Versions()
        self._listeners: list[tuple[str, replica.Listener]] = []
        self.spread = spread.Spread(
            peers=kernel.find(names.PEERS, peers.PeerNetwork),
            table=table,
            known=self._known,
            merge=self._merge,
            settings=self._settings,
            registry=kernel.registry,
        )
        self.spread.age = self.age
        store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._followers = [
            following.Follower(
                store=store,
                prefix=prefix,
                wait=self._watch_wait,
                pause=self._pause,
                take_listing=self._take_listing,
                take_change=self._take_change,
            )
            for prefix in spread.PREFIXES
        ]
        self._applied = prometheus_client.Counter(
            "basilpost_replica_changes_total",
            "Newer versions of objects taken in",
            ["source"],
            registry=kernel.registry,
        )
        table.attach(self)
        self.spread.attach()

    async def start(self) -> None:
        """Begins to follow the store and the peers."""
        for follower in self._followers:
            self._tasks.spawn(follower.run(), name=f"follow-{follower.prefix}")
        self._tasks.spawn(self.spread.run(), name="spread")

    async def stop(self) -> None:
        """Stops to follow; what is known stays readable."""
        self.spread.flush()
        await self._tasks.close()

    def get(self, key: str) -> objects.Stored | None:
        """Returns the newest known version of an object."""
        known = self._known.changes_by_key.get(key)
        return known.stored if known else None

    def items(self, prefix: str) -> tuple[objects.Stored, ...]:
        """Returns all known objects below a prefix, ordered by key."""
        found = (change.stored for change in self._known.below(prefix))
        return tuple(stored for stored in found if stored is not None)

    def offer(self, change: objects.Change) -> bool:
        """Takes in a change and spreads it to the peers if it is newer."""
        return self._merge(change, "")

    def subscribe(self, prefix: str, listener: replica.Listener) -> None:
        """Calls the listener after each newer change below a prefix."""
        self._listeners.append((prefix, listener))

    def version_of(self, key: str) -> int:
        """Returns the version in force of an object or of its deletion, 0 if unknown."""
        return self._known.version_of(key)

    def store_contact_age(self) -> float:
        """Returns the seconds since the store last answered this node for each safety prefix."""
        return clock.monotonic() - min(one.answered_at for one in self._safety_followers())

    def age(self) -> float:
        """Returns the seconds since which changes may be missing, whoever was the source."""
        return clock.monotonic() - self.current_at()

    def current_at(self) -> float:
        """Returns the time as of which this replica surely lacked no accepted change."""
        own = min(one.current_at for one in self._safety_followers())
        return max(own, self.spread.vouched_at)

    def _safety_followers(self) -> list[following.Follower]:
        return [one for one in self._followers if one.prefix in SAFETY_PREFIXES]

    def _merge(self, change: objects.Change, source: str) -> bool:
        if not spread.is_replicated(change.key) or not self._known.merge(change):
            return False
        self._applied.labels("peer" if source else "store").inc()
        self.spread.publish(change, source)
        for prefix, listener in self._listeners:
            if change.key.startswith(prefix):
                self._call(listener, change)
        return True

    def _call(self, listener: replica.Listener, change: objects.Change) -> None:
        try:
            listener(change)
        except Exception:
            self._log.exception("replica_listener_failed", key=change.key)

    def _take_change(self, change: objects.Change) -> None:
        self._merge(change, "")

    def _take_listing(self, prefix: str, listing: objects.Listing) -> None:
        for stored in listing.objects:
            change = objects.Change(key=stored.key, version=stored.version, stored=stored)
            self._merge(change, "")
        for deletion in self._known.absent_from(prefix, listing):
            self._merge(deletion, "")

    # How much this node asks of the store.

    def _watches(self) -> bool:
        """Returns True on the nodes that hold watches: all in a full mesh, else a few."""
        regions_by_id = self._table.regions_by_id()
        full_mesh_nodes = self._settings.peers.full_mesh_nodes
        if len(regions_by_id) <= full_mesh_nodes:
            return True
        chosen = topology.watchers(regions_by_id, full_mesh_nodes=full_mesh_nodes)
        return self._settings.node_id in chosen

    def _watch_wait(self) -> float:
        """Returns how long a watch may wait: short enough that its answers keep the node fresh."""
        timing = self._settings.timing
        if not self._watches():
            return 0.0
        return min(timing.watch_wait, timing.store_silence * WATCH_SHARE_OF_SILENCE)

    async def _pause(self) -> None:
        """Waits until the next call is due: at once on a watcher, else rarely, sooner when stale."""
        await asyncio.sleep(following.MIN_GAP_SECONDS)
        paused = 0.0
        while not self._watches() and paused < POLL_SECONDS:
            await asyncio.sleep(URGENT_POLL_SECONDS)
            paused += URGENT_POLL_SECONDS
            if self.age() > self._settings.timing.store_silence / 2:
                return
