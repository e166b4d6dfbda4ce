"""Follows kinds of objects in the store, by watches of this node or through its peers.

While the fleet is small its nodes form a full mesh, in which each has a stream to every other, and
all of them watch the store. In larger fleets a few nodes of each region do (a pool passes each
failure domain as a region). The others get changes from their neighbours, and with them the time as
of which no change is missing. A node whose peers' data is stale calls the store itself.
"""

import asyncio
import dataclasses
import functools
import math
import random
from collections.abc import Callable, Iterable

from basilpost.core import clock, failure, kernel, names, tasks
from basilpost.members import (
    gossip,
    node_table,
    peer_versions,
    peers,
    store_follower,
    topology,
    versions,
)
from basilpost.settings import schema
from basilpost.store import eras, objects

RETRY_SECONDS = 0.25
# Every call is charged for, failed ones too, so retries slow down. The recovery of the store is
# noticed at most this much later.
MAX_RETRY_SECONDS = 0.8
# Gap between watch calls, so that changes made close together cost one call. The controller acts on
# each change and leaves a shorter gap.
GAP_SECONDS = 0.8
CONTROLLER_GAP_SECONDS = 0.1
# Beyond the full mesh a node's data is older than a watcher's by the time on the way, so watchers
# call more often: their age stays below twice the wait plus the gap, 2.2 s.
WATCHER_WAIT_SECONDS = 0.8
WATCHER_GAP_SECONDS = 0.6
# The store counts as having been unavailable if it did not answer for this long; watches answer
# sooner.
OUTAGE_SECONDS = 2.9
# Interval at which a node queries its neighbours' freshness. Together with the wait of a watch and
# the gap it stays below the bound on the age of API keys.
QUERY_SECONDS = 0.4
# A node whose peers' data is older than this calls the store itself. It allows for a watcher's age
# and four queries on the way; API keys are refused from 4.6 s on.
MAX_PEER_AGE_SECONDS = 3.7
# While the data from peers is no older than this, only watchers are asked.
ENOUGH_PEER_AGE_SECONDS = 2.4
# Replies of peers differ by their time on the way, so `current_at` has to advance by more than this
# to show that the store answered a peer.
MIN_PEER_ADVANCE_SECONDS = 0.25
# If peers replied within this time and their data is stale all the same, the store is unavailable
# to the watchers too. A call from here would hardly succeed and is delayed.
RECENT_REPLY_SECONDS = 1.5
DELAYED_CALL_SECONDS = 4.0
STALENESS_CHECK_SECONDS = 0.1
# A node that starts asks its peers first: in a large fleet that starts or is replaced at once, the
# store would otherwise list all objects for each node.
PEERS_FIRST_SECONDS = 1.5
START_CHECK_SECONDS = 0.02
# A node that has not watched for this long lists again, as the store may have discarded its
# revision.
LIST_AGAIN_SECONDS = 10.0

OnChange = Callable[[objects.Change], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Followed:
    """One followed kind of objects.

    Attributes:
        follower: Calls the store for it.
        on_change: Called with each newer change.
        age_bounded: True if its age is bounded, and counts in the replies to freshness queries.
        takes_lost: True if `on_change` is also called with what peers know from before a restore of the
            store, and the store may have lost.
    """

    follower: store_follower.Follower
    on_change: OnChange
    age_bounded: bool
    takes_lost: bool


class Feed(kernel.Service):
    """The newest known versions of all followed objects.

    Attributes:
        is_controller: True while this node is the controller, which must see changes first.
        publish: Called with each newer change that this node got from the store as the controller.
    """

    def __init__(self, *, kernel: kernel.Kernel, table: node_table.NodeTable) -> None:
        self.is_controller = False
        self.publish: OnChange = lambda change: None
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._table = table
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._known = versions.Versions()
        self._followed_by_prefix: dict[str, _Followed] = {}
        self._listeners: list[Callable[[], None]] = []
        self._recovery_listeners: list[Callable[[], None]] = []
        self._restore_listeners: list[Callable[[], None]] = []
        self._failed_calls_by_prefix: dict[str, int] = {}
        self._started_at = clock.elapsed()
        self._contact_at = -math.inf
        self._contact_current_at = -math.inf
        self._watchers: frozenset[str] | None = None
        self._gossip = gossip.Gossip(
            peers=self._peers,
            table=table,
            known=self._known,
            merge=self._merge,
            settings=self._settings,
            registry=kernel.registry,
            now=clock.elapsed,
        )
        self._gossip.age = self._max_age
        self._gossip.expects_watch = lambda: self.is_watcher
        self._gossip.on_current = self._on_peers_current
        self._gossip.attach()
        table.subscribe(self._clear_watchers)

    def follow(
        self,
        prefix: str,
        *,
        wait: float,
        on_change: OnChange,
        age_bounded: bool = True,
        takes_lost: bool = False,
    ) -> None:
        """Adds a prefix to follow; call it before `start`.

        Args:
            prefix: Prefix of the objects.
            wait: Longest wait of a watch call in seconds.
            on_change: Called with each newer change.
            age_bounded: True if changes have to arrive within a bounded time.
            takes_lost: True if `on_change` also takes what peers know from before a restore.
        """
        self._followed_by_prefix[prefix] = _Followed(
            follower=store_follower.Follower(
                store=self._store,
                prefix=prefix,
                wait=lambda: self._watch_wait(wait, age_bounded=age_bounded),
                after_answer=functools.partial(self._after_answer, prefix),
                before_call=functools.partial(
                    self._wait_until_call_is_due, age_bounded=age_bounded
                ),
                on_listing=self._apply_listing,
                on_change=self._apply_change,
                now=clock.elapsed,
                retry_seconds=RETRY_SECONDS,
                max_retry_seconds=MAX_RETRY_SECONDS,
                on_failure=self._on_call_failed,
            ),
            on_change=on_change,
            age_bounded=age_bounded,
            takes_lost=takes_lost,
        )

    async def start(self) -> None:
        """Starts to follow the store and the peers."""
        self._started_at = clock.elapsed()
        for prefix, followed in self._followed_by_prefix.items():
            self._tasks.keep_running(followed.follower.run, name=f"follow-{prefix}")
        self._tasks.keep_running(self._query_neighbours, name="feed-ask")

    async def stop(self) -> None:
        """Stops following."""
        await self._tasks.close()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each change of a followed object."""
        self._listeners.append(listener)

    def subscribe_store_recovery(self, listener: Callable[[], None]) -> None:
        """Calls the listener when the store answers again after an outage, here or to a peer."""
        self._recovery_listeners.append(listener)

    def subscribe_restore(self, listener: Callable[[], None]) -> None:
        """Calls the listener when the store turns out to be restored from an older copy.

        It is called before any object of the restored store is applied.
        """
        self._restore_listeners.append(listener)

    @property
    def peer_versions(self) -> peer_versions.PeerVersions:
        """Returns the translation of versions in messages between nodes."""
        return self._gossip.peer_versions

    def offer(self, changes: Iterable[objects.Change], *, source: str) -> None:
        """Applies changes that another node has seen; known and older ones are dropped."""
        for change in changes:
            self._merge(change, source)

    @property
    def era(self) -> int:
        """Returns the latest era of the store that this node has heard of."""
        return self._known.era

    def age(self, prefix: str) -> float:
        """Returns the age in seconds: changes below the prefix made since may be missing."""
        own = self._followed_by_prefix[prefix].follower.current_at
        return clock.elapsed() - max(own, self._gossip.current_at)

    async def wait_until_current_since(self, at: float) -> None:
        """Waits until no change made before a time, on `clock.elapsed`, is missing here."""
        while clock.elapsed() - self._max_age() < at:
            await asyncio.sleep(STALENESS_CHECK_SECONDS)

    # Which nodes watch the store depends on the size of the fleet and on the node table.

    @property
    def is_full_mesh(self) -> bool:
        """Returns True while the fleet is small enough for all nodes to connect and to watch."""
        return len(self._table.records_by_id) <= self._settings.peers.full_mesh_nodes

    @property
    def watchers(self) -> frozenset[str]:
        """Returns the nodes that watch the store, by this node's table."""
        if self._watchers is None:
            self._watchers = topology.watchers(self._table.regions_by_id(), self._settings.peers)
        return self._watchers

    @property
    def is_watcher(self) -> bool:
        """Returns True if this node is to watch; it does until its own record is in the table."""
        node_id = self._settings.node_id
        return node_id not in self._table.records_by_id or node_id in self.watchers

    @property
    def has_stale_peer_data(self) -> bool:
        """Returns True if the data from peers is older than `MAX_PEER_AGE_SECONDS`."""
        return clock.elapsed() - self._gossip.current_at > MAX_PEER_AGE_SECONDS

    def _clear_watchers(self) -> None:
        self._watchers = None

    async def _query_neighbours(self) -> None:
        """Asks the neighbours as of when their data is complete.

        Only a fleet that is too large for a full mesh needs this: there, not all nodes watch the
        store.
        """
        while True:
            if not self.is_full_mesh:
                self._gossip.query_neighbours(self._nodes_to_query())
            await asyncio.sleep(QUERY_SECONDS)

    def _nodes_to_query(self) -> Iterable[str] | None:
        """Returns the watchers among the neighbours, None for all while their data is not fresh.

        All other neighbours know of the store from watchers too, so their data is older.
        """
        if clock.elapsed() - self._gossip.current_at > ENOUGH_PEER_AGE_SECONDS:
            return None
        return [node_id for node_id in self._peers.neighbours() if node_id in self.watchers]

    async def _after_answer(self, prefix: str) -> bool:
        """Waits for the gap between an answer and the next watch."""
        self._record_contact()
        failed = self._failed_calls_by_prefix.pop(prefix, 0)
        if failed:
            self._log.info("store_back", kind=prefix.rstrip("/"), failed_calls=failed)
        gap = GAP_SECONDS if self.is_full_mesh else WATCHER_GAP_SECONDS
        await asyncio.sleep(CONTROLLER_GAP_SECONDS if self.is_controller else gap)
        return False

    async def _wait_until_call_is_due(self, *, age_bounded: bool) -> bool:
        """Waits until this node has to call the store; returns True if it has to list then.

        A watcher calls at once, and so does the controller, which must see changes first; another node
        when its peers' data is stale. A node that has just
        started first learns from the records of the nodes, which are not bounded in age, whether it
        is to watch.
        """
        started_at = clock.elapsed()
        while age_bounded and self._awaits_peers():
            await asyncio.sleep(START_CHECK_SECONDS)
        peers_reply = started_at - self._gossip.replied_at < RECENT_REPLY_SECONDS
        call_at = started_at + (
            DELAYED_CALL_SECONDS * random.uniform(0.5, 1.0) if peers_reply else 0.0
        )
        while not (self.is_watcher or self.is_controller) and (
            not self.has_stale_peer_data or clock.elapsed() < call_at
        ):
            await asyncio.sleep(STALENESS_CHECK_SECONDS)
        return clock.elapsed() - started_at > LIST_AGAIN_SECONDS

    def _awaits_peers(self) -> bool:
        """Returns True while a node that has just started may still get all data from its peers."""
        if clock.elapsed() - self._started_at > PEERS_FIRST_SECONDS:
            return False
        if self._settings.node_id in self._table.records_by_id:
            return not self.is_watcher and self._gossip.current_at == -math.inf
        return True

    def _max_age(self) -> float:
        return max(
            self.age(prefix)
            for prefix, followed in self._followed_by_prefix.items()
            if followed.age_bounded
        )

    def _watch_wait(self, longest: float, *, age_bounded: bool) -> float:
        """Returns the wait of a watch call, shorter if peers rely on this node's freshness."""
        serves_peers = age_bounded and not self.is_full_mesh
        wait = min(longest, WATCHER_WAIT_SECONDS) if serves_peers else longest
        return wait * random.uniform(0.9, 1.0)

    def _on_call_failed(self, prefix: str, why: failure.Failure) -> None:
        """Counts a failed call and logs the first one in a row."""
        if prefix not in self._failed_calls_by_prefix:
            self._log.warning("store_lost", kind=prefix.rstrip("/"), reason=why.reason)
        self._failed_calls_by_prefix[prefix] = self._failed_calls_by_prefix.get(prefix, 0) + 1

    # Answers and changes, from the store or through peers, count as contact with the store.

    def _on_peers_current(self) -> None:
        """Counts it as contact with the store that the peers' data has become more current."""
        if self._gossip.current_at - self._contact_current_at > MIN_PEER_ADVANCE_SECONDS:
            self._contact_current_at = self._gossip.current_at
            self._record_contact()

    def _record_contact(self) -> None:
        """Records that the store answered, here or to a peer; reports the end of an outage."""
        now = clock.elapsed()
        away = now - self._contact_at
        self._contact_at = now
        if OUTAGE_SECONDS < away < math.inf:
            self._log.info("store_regained", away_ms=round(away * 1000))
            for listener in self._recovery_listeners:
                listener()

    def _note_era(self, version: int) -> None:
        """Makes all followers list again if a version shows that the store was restored.

        Their watches may wait for long, or go on from a revision that was given out again.
        """
        if not self._known.note_era(eras.era_of(version)):
            return
        self._log.info("objects_listed_again", era=self._known.era)
        for followed in self._followed_by_prefix.values():
            followed.follower.list_again()
        for listener in self._restore_listeners:
            listener()

    def _apply_listing(self, prefix: str, listing: objects.Listing) -> None:
        self._record_contact()
        self._note_era(listing.revision)
        for stored in listing.objects:
            self._merge(objects.Change(key=stored.key, version=stored.version, stored=stored), "")
        for deletion in self._known.deletions_in(prefix, listing):
            self._merge(deletion, "")
        self.notify_listeners()

    def _apply_change(self, change: objects.Change) -> None:
        self._record_contact()
        self._merge(change, "")

    def _merge(self, change: objects.Change, source: str) -> bool:
        """Applies a change; returns False if it is not newer than the known version."""
        followed = next(
            (
                entry
                for prefix, entry in self._followed_by_prefix.items()
                if change.key.startswith(prefix)
            ),
            None,
        )
        if followed is None:
            return False
        self._note_era(change.version)
        if eras.era_of(change.version) < self._known.era:
            if followed.takes_lost:
                self._tell(followed, change)
                self.notify_listeners()
            return False
        if not self._known.merge(change):
            return False
        if source:
            self._record_contact()
        elif self.is_controller:
            self.publish(change)
        if not self.is_full_mesh:
            self._gossip.announcer.publish(change, source)
        self._tell(followed, change)
        self.notify_listeners()
        return True

    def _tell(self, followed: _Followed, change: objects.Change) -> None:
        """Passes a change on; one that cannot be applied must not keep the others back."""
        try:
            followed.on_change(change)
        except Exception:
            revision = eras.revision_of(change.version)
            self._log.exception("change_not_applied", key=change.key, revision=revision)

    def notify_listeners(self) -> None:
        """Calls the listeners of changes."""
        for listener in self._listeners:
            listener()
