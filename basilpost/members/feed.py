"""Keeps this node level with followed kinds of objects, by watches of its own or through its peers.

While the fleet is small all nodes watch the store. Beyond that a few do in each failure domain; the
others get changes, and the proof that none was missed, from their neighbours. A node that its peers
leave behind asks the store itself.
"""

import asyncio
import dataclasses
import functools
import math
import random
from collections.abc import Callable, Iterable

from basilpost.core import clock, failure, kernel, names, tasks
from basilpost.members import gossip, node_table, peers, store_follower, topology, versions
from basilpost.settings import schema
from basilpost.store import objects

RETRY_SECONDS = 0.25
# Each call is priced, also one that is refused; after an outage this much is lost at most.
LONGEST_RETRY_SECONDS = 0.8
# Gap between watch calls, so that changes that come together cost one call; the controller, which
# acts on each change, leaves a shorter one.
GAP_SECONDS = 0.8
CONTROLLER_GAP_SECONDS = 0.1
# Beyond the full mesh the age of a node's knowledge is that of a watcher's and the way to it, so
# watchers ask more often: theirs stays below twice the wait and the gap, 2.2 s.
WATCHER_WAIT_SECONDS = 0.8
WATCHER_GAP_SECONDS = 0.6
# Without a sign of the store for this long it was away; watches answer sooner.
OUTAGE_SECONDS = 2.9
# Interval at which a node asks its neighbours how current they are. With the wait of a watch and the
# gap it stays below the bound on keys.
ASK_SECONDS = 0.4
# A node whose peers prove less than this asks the store itself: a watcher's age and four questions on
# the way. Keys are refused from 4.6 s on.
VOUCHED_SECONDS = 3.7
# Answers of peers differ by their time on the way, so smaller steps say nothing about the store.
VOUCH_STEP_SECONDS = 0.25
# Peers that answered within this time are there; when they prove nothing, the store is away for the
# watchers too, and a call from here would hardly do better.
TOLD_SECONDS = 1.5
LONG_POLL_SECONDS = 4.0
HOLD_STEP_SECONDS = 0.1
# A node that has not watched for this long lists anew: the store may have forgotten its place.
LIST_AGAIN_SECONDS = 10.0

OnChange = Callable[[objects.Change], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Followed:
    """One followed kind.

    Attributes:
        follower: Watches it, while this node does.
        on_change: Called with each newer change.
        age_bounded: True if nodes prove to each other how current they are about it.
    """

    follower: store_follower.Follower
    on_change: OnChange
    age_bounded: bool


class Feed(kernel.Service):
    """The newest known versions of all followed objects.

    Attributes:
        is_controller: True while this node forms groups, and must see changes soonest.
        publish: Called with each change that the store showed to this node while it controls.
    """

    def __init__(self, *, kernel: kernel.Kernel, table: node_table.NodeTable) -> None:
        self.is_controller = False
        self.publish: OnChange = lambda change: None
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._table = table
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._known = versions.Versions()
        self._followed_by_prefix: dict[str, _Followed] = {}
        self._listeners: list[Callable[[], None]] = []
        self._recovery_listeners: list[Callable[[], None]] = []
        self._failed_by_prefix: dict[str, int] = {}
        self._signed_at = -math.inf
        self._vouch_signed = -math.inf
        self._watchers: frozenset[str] | None = None
        self._gossip = gossip.Gossip(
            peers=kernel.find(names.PEERS, peers.PeerNetwork),
            table=table,
            known=self._known,
            merge=self._merge,
            settings=self._settings,
            registry=kernel.registry,
            now=clock.elapsed,
        )
        self._gossip.age = self._worst_age
        self._gossip.expects_watch = lambda: self.is_watcher
        self._gossip.on_current = self._note_vouch
        self._gossip.attach()
        table.subscribe(self._choose_again)

    def follow(
        self, prefix: str, *, wait: float, on_change: OnChange, age_bounded: bool = True
    ) -> None:
        """Adds a prefix to follow; before the start.

        Args:
            prefix: Kind of objects.
            wait: Longest wait of one watch call, in seconds.
            on_change: Called with each newer change.
            age_bounded: True if changes must be in force within a time.
        """
        self._followed_by_prefix[prefix] = _Followed(
            follower=store_follower.Follower(
                store=self._store,
                prefix=prefix,
                wait=lambda: self._wait(wait, age_bounded=age_bounded),
                after_answer=functools.partial(self._pause, prefix),
                before_call=self._hold,
                on_listing=self._take_listing,
                on_change=self._take_change,
                now=clock.elapsed,
                retry_seconds=RETRY_SECONDS,
                max_retry_seconds=LONGEST_RETRY_SECONDS,
                on_failure=self._note_failure,
            ),
            on_change=on_change,
            age_bounded=age_bounded,
        )

    async def start(self) -> None:
        """Begins to follow the store and the peers."""
        for prefix, followed in self._followed_by_prefix.items():
            self._tasks.spawn(followed.follower.run(), name=f"follow-{prefix}")
        self._tasks.spawn(self._ask(), name="feed-ask")

    async def stop(self) -> None:
        """Stops to follow."""
        await self._tasks.close()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after changes of anything followed."""
        self._listeners.append(listener)

    def subscribe_store_recovery(self, listener: Callable[[], None]) -> None:
        """Calls the listener when the store shows signs of life again after an outage."""
        self._recovery_listeners.append(listener)

    def offer(self, changes: Iterable[objects.Change], *, source: str) -> None:
        """Takes in changes that another node has seen."""
        for change in changes:
            self._merge(change, source)

    def age(self, prefix: str) -> float:
        """Returns the seconds since which changes below a prefix may be missing."""
        own = self._followed_by_prefix[prefix].follower.current_at
        return clock.elapsed() - max(own, self._gossip.current_at)

    # Who watches.

    @property
    def is_full_mesh(self) -> bool:
        """Returns True while all nodes are connected to all, and all watch."""
        return len(self._table.records_by_id) <= self._settings.peers.full_mesh_nodes

    @property
    def watchers(self) -> frozenset[str]:
        """Returns the nodes that watch the store, as far as this node knows."""
        if self._watchers is None:
            self._watchers = topology.watchers(self._table.regions_by_id(), self._settings.peers)
        return self._watchers

    @property
    def is_watcher(self) -> bool:
        """Returns True if this node is to watch; one that the table lacks yet does."""
        node_id = self._settings.node_id
        return node_id not in self._table.records_by_id or node_id in self.watchers

    @property
    def has_stale_peer_data(self) -> bool:
        """Returns True for a node that its peers do not keep level."""
        return clock.elapsed() - self._gossip.current_at > VOUCHED_SECONDS

    def _choose_again(self) -> None:
        self._watchers = None

    async def _ask(self) -> None:
        """Asks the neighbours how current they are, beyond the full mesh."""
        while True:
            if not self.is_full_mesh:
                self._gossip.query_neighbours()
            await asyncio.sleep(ASK_SECONDS)

    async def _pause(self, prefix: str) -> bool:
        """Leaves a gap after an answer and before the next watch."""
        self._note_sign()
        failed = self._failed_by_prefix.pop(prefix, 0)
        if failed:
            self._log.info("store_back", kind=prefix.rstrip("/"), failed_calls=failed)
        gap = GAP_SECONDS if self.is_full_mesh else WATCHER_GAP_SECONDS
        await asyncio.sleep(CONTROLLER_GAP_SECONDS if self.is_controller else gap)
        return False

    async def _hold(self) -> bool:
        """Waits while peers keep this node level; returns True if it is to list then."""
        began_at = clock.elapsed()
        told = began_at - self._gossip.replied_at < TOLD_SECONDS
        poll_at = began_at + (LONG_POLL_SECONDS * random.uniform(0.5, 1.0) if told else 0.0)
        while not self.is_watcher and (not self.has_stale_peer_data or clock.elapsed() < poll_at):
            await asyncio.sleep(HOLD_STEP_SECONDS)
        return clock.elapsed() - began_at > LIST_AGAIN_SECONDS

    def _worst_age(self) -> float:
        return max(
            self.age(prefix)
            for prefix, followed in self._followed_by_prefix.items()
            if followed.age_bounded
        )

    def _wait(self, longest: float, *, age_bounded: bool) -> float:
        """Returns the wait of a watch call, shorter where it has to prove something to others."""
        tells_others = age_bounded and not self.is_full_mesh
        wait = min(longest, WATCHER_WAIT_SECONDS) if tells_others else longest
        return wait * random.uniform(0.9, 1.0)

    def _note_failure(self, prefix: str, why: failure.Failure) -> None:
        """Logs the first of several calls for a kind that fail."""
        if prefix not in self._failed_by_prefix:
            self._log.warning("store_lost", kind=prefix.rstrip("/"), reason=why.reason)
        self._failed_by_prefix[prefix] = self._failed_by_prefix.get(prefix, 0) + 1

    # What is taken in.

    def _note_vouch(self) -> None:
        """Takes it for a sign of the store that peers are more current than the last time."""
        if self._gossip.current_at - self._vouch_signed > VOUCH_STEP_SECONDS:
            self._vouch_signed = self._gossip.current_at
            self._note_sign()

    def _note_sign(self) -> None:
        """Notes that the store answered, here or to a peer."""
        now = clock.elapsed()
        away = now - self._signed_at
        self._signed_at = now
        if OUTAGE_SECONDS < away < math.inf:
            self._log.info("store_regained", away_ms=round(away * 1000))
            for listener in self._recovery_listeners:
                listener()

    def _take_listing(self, prefix: str, listing: objects.Listing) -> None:
        self._note_sign()
        for stored in listing.objects:
            self._merge(objects.Change(key=stored.key, version=stored.version, stored=stored), "")
        for deletion in self._known.deletions_in(prefix, listing):
            self._merge(deletion, "")
        self.notify_listeners()

    def _take_change(self, change: objects.Change) -> None:
        self._note_sign()
        self._merge(change, "")

    def _merge(self, change: objects.Change, source: str) -> bool:
        """Takes in a change; returns False if it was known or is older than what is known."""
        followed = next(
            (
                one
                for prefix, one in self._followed_by_prefix.items()
                if change.key.startswith(prefix)
            ),
            None,
        )
        if followed is None or not self._known.merge(change):
            return False
        if source:
            self._note_sign()
        elif self.is_controller:
            self.publish(change)
        if not self.is_full_mesh:
            self._gossip.announcer.publish(change, source)
        followed.on_change(change)
        self.notify_listeners()
        return True

    def notify_listeners(self) -> None:
        """Calls the listeners."""
        for listener in self._listeners:
            listener()
