"""The gossip protocol, which spreads changes between the replicas of neighbouring nodes.

A change is announced once, when it is new. When a stream opens, both ends synchronise by summaries
and pulls. From then on the stream delivers in order, so when a message arrives, this node has all
changes that the sender had when it sent the message. Two results rely on this: how current this
node's replica is, and which nodes it reaches.
"""

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable

import prometheus_client
import xxhash

from basilpost.core import clock, names
from basilpost.members import (
    announcer,
    messages,
    node_table,
    peer_versions,
    peers,
    topology,
    versions,
)
from basilpost.settings import schema
from basilpost.store import objects

# Keys in one message of a summary.
SUMMARY_KEYS = 1_000
# Consecutive replies with another digest than this node's, after which the neighbour is asked for a
# summary.
REPAIR_AFTER_MISMATCHES = 3
# The latest queries whose replies are still of use.
MAX_OPEN_QUERIES = 30
# A watcher waits this long for its own watch before it pulls a change.
WATCH_GRACE_SECONDS = 0.25
# Where a node has few neighbours in other regions, it waits this long for those of its own region.
FAR_GRACE_SECONDS = 0.4
# Share of a heartbeat for which a report of the reached nodes is reused.
REPORT_SHARE_OF_HEARTBEAT = 0.5

# Takes a change and the id of the node it came from, empty for this node; True if it was newer.
Merge = Callable[[objects.Change, str], bool]


class Gossip:
    """This node's side of the gossip protocol.

    Attributes:
        current_at: As of this time some peer's replica, and so this one, lacked no change.
        replied_at: When a neighbour last replied to a freshness query.
        reached_at_by_id: Latest time at which each node is known to have been alive and in sync
            with this one.
        serving_by_id: Whether each neighbour accepts new work, by its last reply.
        age: Returns the age of this node's replica in seconds; set by the owner.
        serving: Returns True if this node accepts new work; set by the owner.
        expects_watch: Returns True if this node's own watch will soon show new changes; set by the
            owner.
        on_current: Called when `current_at` has advanced; set by the owner.
    """

    def __init__(
        self,
        *,
        peers: peers.PeerNetwork,
        table: node_table.NodeTable,
        known: versions.Versions,
        merge: Merge,
        settings: schema.NodeSettings,
        registry: prometheus_client.CollectorRegistry,
        now: Callable[[], float] | None = None,
    ) -> None:
        self.current_at = -math.inf
        self.replied_at = -math.inf
        self.reached_at_by_id: dict[str, float] = {}
        self.serving_by_id: dict[str, bool] = {}
        self.age: Callable[[], float] = lambda: math.inf
        self.serving: Callable[[], bool] = lambda: True
        self.expects_watch: Callable[[], bool] = lambda: False
        self.on_current: Callable[[], None] = lambda: None
        self._now = now or (lambda: clock.monotonic())
        self._peers = peers
        self._table = table
        self._known = known
        self._merge = merge
        self._settings = settings
        self.peer_versions = peer_versions.PeerVersions(peers=peers, known=known)
        self.announcer = announcer.Announcer(
            peers=peers,
            known=known,
            peer_versions=self.peer_versions,
            pull_delay=self._pull_delay,
        )
        self._missing_by_id: dict[str, dict[str, int]] = {}
        self._synced_ids: set[str] = set()
        self._mismatches_by_id: dict[str, int] = {}
        self._queried_at: dict[int, float] = {}
        self._sequence = itertools.count(1)
        self._ids_by_hash: dict[int, str] | None = None
        self._report: dict[int, int] = {}
        self._report_until = -math.inf
        table.subscribe(self._clear_hashes)
        self._repairs = prometheus_client.Counter(
            "basilpost_replica_repairs_total",
            "Summaries asked for because digests stayed different",
            registry=registry,
        )

    def attach(self) -> None:
        """Registers the handlers with the peer network."""
        self._peers.handle(messages.ChangeBatch, self._on_change_batch)
        self._peers.handle(messages.VersionAnnouncement, self._on_version_announcement)
        self._peers.handle(messages.LeaseExpired, self._on_lease_expired)
        self._peers.handle(messages.SummaryRequest, self._on_summary_request)
        self._peers.handle(messages.Summary, self._on_summary)
        self._peers.handle(messages.Pull, self._on_pull)
        self._peers.handle(messages.PullComplete, self._on_pull_complete)
        self._peers.handle(messages.FreshnessQuery, self._on_freshness_query)
        self._peers.handle(messages.FreshnessReply, self._on_freshness_reply)
        self._peers.handle(messages.Goodbye, self._on_goodbye)
        self._peers.handle(
            messages.HeldVersionQuery, self._on_held_version_query, reply=messages.HeldVersionReply
        )
        self._peers.subscribe(self._on_stream)

    async def run(self) -> None:
        """Queries the neighbours once every heartbeat."""
        while True:
            self.query_neighbours()
            await asyncio.sleep(self._settings.timing.heartbeat)

    def query_neighbours(self, node_ids: Iterable[str] | None = None) -> None:
        """Asks neighbours how current their replicas are; all of them by default."""
        sequence = next(self._sequence)
        self._queried_at[sequence] = self._now()
        self._queried_at.pop(sequence - MAX_OPEN_QUERIES, None)
        query = messages.FreshnessQuery(sequence=sequence)
        if node_ids is None:
            self._peers.broadcast(query)
        else:
            self._peers.send_to_all(node_ids, query)

    def announce_departure(self, incarnation: str) -> None:
        """Announces to all nodes that this one leaves as planned."""
        node_id = self._peers.node_id
        self._table.mark_departed(node_id, incarnation)
        self._peers.broadcast(messages.Goodbye(node_id=node_id, incarnation=incarnation))

    # When a stream opens, both ends send a summary of their versions, and pull what they lack.

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        self._synced_ids.discard(node_id)
        self.announcer.reset(node_id)
        self._missing_by_id.pop(node_id, None)
        self._mismatches_by_id.pop(node_id, None)
        self.serving_by_id.pop(node_id, None)
        if is_open:
            self._send_summary(node_id)

    def _send_summary(self, node_id: str) -> None:
        self.announcer.flush()
        known = [(change.key, change.version) for change in self._known.changes_by_key.values()]
        entries = iter([peer_versions.ERA_ENTRY, *known])
        while True:
            part = dict(itertools.islice(entries, SUMMARY_KEYS))
            last = len(part) < SUMMARY_KEYS
            self._peers.send(node_id, messages.Summary(versions_by_key=part, last=last))
            if last:
                return

    async def _on_summary_request(self, sender: str, _: messages.SummaryRequest) -> None:
        self._send_summary(sender)

    async def _on_summary(self, sender: str, summary: messages.Summary) -> None:
        missing = self._missing_by_id.setdefault(sender, {})
        theirs = self.peer_versions.versions_from_peer(sender, summary.versions_by_key)
        theirs.pop(peer_versions.ERA_ENTRY[0], None)
        missing |= {key: theirs[key] for key in self._known.outdated_keys(theirs)}
        if not summary.last:
            return
        if missing and self._is_far(sender):
            loop = asyncio.get_running_loop()
            loop.call_later(FAR_GRACE_SECONDS, self._pull_after_summary, sender, missing)
        else:
            self._pull_after_summary(sender, missing)

    def _pull_after_summary(self, sender: str, missing: dict[str, int]) -> None:
        """Pulls what a summary showed to be missing, as far as this node still lacks it."""
        if self._missing_by_id.get(sender) is not missing:
            # The stream ended meanwhile, or another summary came.
            return
        del self._missing_by_id[sender]
        lacking = tuple(self._known.outdated_keys(missing))
        if lacking:
            self._peers.send(sender, messages.Pull(keys=lacking))
        else:
            self._synced_ids.add(sender)

    def _pull_delay(self, sender: str) -> float:
        """Returns how long a change is awaited from elsewhere before it is pulled from a node."""
        if self.expects_watch():
            return WATCH_GRACE_SECONDS
        return FAR_GRACE_SECONDS if self._is_far(sender) else 0.0

    def _is_far(self, node_id: str) -> bool:
        """Returns True for a node of another region if most neighbours are in this node's own."""
        if not topology.has_few_far_neighbours(self._settings.peers):
            return False
        records = self._table.records_by_id
        own, other = records.get(self._peers.node_id), records.get(node_id)
        return own is not None and other is not None and own.region != other.region

    async def _on_pull(self, sender: str, pull: messages.Pull) -> None:
        self.announcer.flush()
        known = (self._known.changes_by_key.get(key) for key in pull.keys)
        self.announcer.send_objects(sender, (change for change in known if change is not None))
        self._peers.send(sender, messages.PullComplete())

    async def _on_pull_complete(self, sender: str, _: messages.PullComplete) -> None:
        self._synced_ids.add(sender)

    async def _on_version_announcement(
        self, sender: str, announcement: messages.VersionAnnouncement
    ) -> None:
        self.announcer.receive(sender, announcement)

    async def _on_change_batch(self, sender: str, batch: messages.ChangeBatch) -> None:
        for sent in batch.changes:
            change = self.peer_versions.change_from_peer(sender, messages.from_wire(sent))
            if change is not None:
                self._merge(change, sender)

    # Freshness of the replica, and reached nodes.

    async def _on_freshness_query(self, sender: str, query: messages.FreshnessQuery) -> None:
        self.announcer.flush()
        reply = messages.FreshnessReply(
            sequence=query.sequence,
            age=self.age(),
            serving=self.serving(),
            digest=self._known.digest,
            reached=self._reached_report(),
        )
        self._peers.send(sender, reply)

    async def _on_freshness_reply(self, sender: str, reply: messages.FreshnessReply) -> None:
        queried_at = self._queried_at.get(reply.sequence)
        if queried_at is None or not reply.age >= 0:
            return
        self.replied_at = self._now()
        if not self.peer_versions.is_believed(sender):
            return
        self._check_digest(sender, reply.digest)
        if not self.announcer.is_synced_with(sender):
            self.announcer.pull_missing(sender)
            return
        if sender not in self._synced_ids:
            return
        if queried_at - reply.age > self.current_at:
            self.current_at = queried_at - reply.age
            self.on_current()
        self.serving_by_id[sender] = reply.serving
        self._record_reached(sender, queried_at)
        if reply.reached:
            self._record_reached_by(queried_at, reply.reached)

    def _check_digest(self, sender: str, digest: int) -> None:
        """Asks a neighbour for a summary after several replies in a row with another digest."""
        if digest == self._known.digest:
            self._mismatches_by_id.pop(sender, None)
            return
        count = self._mismatches_by_id.get(sender, 0) + 1
        self._mismatches_by_id[sender] = count % REPAIR_AFTER_MISMATCHES
        if count == REPAIR_AFTER_MISMATCHES:
            self._repairs.inc()
            self._peers.send(sender, messages.SummaryRequest())

    def _record_reached(self, node_id: str, at: float) -> None:
        self.reached_at_by_id[node_id] = max(at, self.reached_at_by_id.get(node_id, -math.inf))

    def _record_reached_by(self, queried_at: float, reached: dict[int, int]) -> None:
        """Records the nodes that a neighbour reaches, as this node reaches them through it."""
        if self._ids_by_hash is None:
            self._ids_by_hash = {
                _short_hash(known_id): known_id for known_id in self._table.records_by_id
            }
        for short_hash, tenths in reached.items():
            node_id = self._ids_by_hash.get(short_hash)
            if node_id is not None and tenths >= 0 and node_id != self._peers.node_id:
                self._record_reached(node_id, queried_at - tenths / 10)

    def _reached_report(self) -> dict[int, int]:
        """Returns the nodes that this node reaches, for its freshness replies.

        The report is empty in a full mesh and while this node's replica is fresh, as others need it
        only while the store is silent. It is reused for part of a heartbeat, so its ages are those
        at the end of that time.
        """
        timing = self._settings.timing
        full_mesh = len(self._table.records_by_id) <= self._settings.peers.full_mesh_nodes
        if full_mesh or self.age() < timing.store_silence / 2:
            return {}
        now = self._now()
        if now >= self._report_until:
            self._report_until = now + timing.heartbeat * REPORT_SHARE_OF_HEARTBEAT
            self._report = {
                _short_hash(node_id): math.ceil((self._report_until - at) * 10)
                for node_id, at in self.reached_at_by_id.items()
                if now - at <= reach_seconds(timing, full_mesh=False)
            }
        return self._report

    def _clear_hashes(self) -> None:
        self._ids_by_hash = None

    async def _on_goodbye(self, sender: str, goodbye: messages.Goodbye) -> None:
        if self._table.mark_departed(goodbye.node_id, goodbye.incarnation):
            self._peers.broadcast(goodbye)

    async def _on_lease_expired(self, sender: str, expired: messages.LeaseExpired) -> None:
        if self._table.mark_expired(expired.node_id, expired.incarnation, expired.renewal):
            self._peers.broadcast(expired)

    async def _on_held_version_query(
        self, sender: str, query: messages.HeldVersionQuery
    ) -> messages.HeldVersionReply:
        return messages.HeldVersionReply(version=self._known.version_of(query.key))


def reach_seconds(timing: schema.Timing, *, full_mesh: bool) -> float:
    """Returns the seconds for which a node counts as reached after the last evidence of it."""
    return timing.peer_silence if full_mesh else timing.peer_silence * 2


def is_replicated(key: str) -> bool:
    """Returns True for a key below one of `PREFIXES`."""
    return key.startswith(PREFIXES)


PREFIXES = (
    names.CONFIG_PREFIX,
    names.FABRIC_PREFIX,
    names.QUARANTINE_PREFIX,
    names.NODE_PREFIX,
)


def _short_hash(node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(node_id.encode()) & 0xFFFFFF
