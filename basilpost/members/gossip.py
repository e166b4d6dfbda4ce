"""Spreads changes between the replicas of neighbouring nodes.

A change is announced once, when it is new. A stream first brings both ends level by summaries and
pulls; from then on its order guarantees that whatever the other end knew when it said something is
known here when that is heard. On this rest the two things that a node learns from its peers: how
current its replica is, and which nodes it reaches.
"""

import asyncio
import itertools
import math
from collections.abc import Callable

import prometheus_client
import xxhash

from basilpost.core import clock, names
from basilpost.members import announcer, messages, node_table, peers, versions
from basilpost.settings import schema
from basilpost.store import objects

SUMMARY_KEYS = 1_000
REPAIR_AFTER_MISMATCHES = 3
ASKS_REMEMBERED = 30
REPORT_SHARE_OF_HEARTBEAT = 0.5

Merge = Callable[[objects.Change, str], bool]


class Gossip:
    """This node's side of the spreading protocol.

    Attributes:
        vouched_at: As of this time some peer's replica, and so this one, lacked no change.
        told_at: When a neighbour last answered how current it is.
        vouched: Called when `vouched_at` has moved on.
        reached_at_by_id: When each node was surely alive and level with this one.
        serving_by_id: What each neighbour last said of itself.
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
        self.vouched_at = -math.inf
        self.told_at = -math.inf
        self.reached_at_by_id: dict[str, float] = {}
        self.serving_by_id: dict[str, bool] = {}
        self.age: Callable[[], float] = lambda: math.inf
        self.serving: Callable[[], bool] = lambda: True
        self.expects_watch: Callable[[], bool] = lambda: False
        self.vouched: Callable[[], None] = lambda: None
        self._now = now or (lambda: clock.monotonic())
        self._peers = peers
        self._table = table
        self._known = known
        self._merge = merge
        self._settings = settings
        self.announcer = announcer.Announcer(
            peers=peers, known=known, expects_watch=lambda: self.expects_watch()
        )
        self._missing_by_id: dict[str, list[str]] = {}
        self._level: set[str] = set()
        self._mismatches_by_id: dict[str, int] = {}
        self._asked_at: dict[int, float] = {}
        self._sequence = itertools.count(1)
        self._ids_by_hash: dict[int, str] | None = None
        self._report: dict[int, int] = {}
        self._report_until = -math.inf
        table.subscribe(self._forget_hashes)
        self._repairs = prometheus_client.Counter(
            "basilpost_replica_repairs_total",
            "Summaries asked for because digests stayed different",
            registry=registry,
        )

    def attach(self) -> None:
        """Registers the handlers with the peer network."""
        self._peers.handle(messages.ChangeBatch, self._on_changed)
        self._peers.handle(messages.VersionAnnouncement, self._on_announced)
        self._peers.handle(messages.LeaseExpired, self._on_lapsed)
        self._peers.handle(messages.SummaryRequest, self._on_summary_ask)
        self._peers.handle(messages.Summary, self._on_summary)
        self._peers.handle(messages.Pull, self._on_pull)
        self._peers.handle(messages.PullComplete, self._on_pulled)
        self._peers.handle(messages.FreshnessQuery, self._on_ask)
        self._peers.handle(messages.FreshnessReply, self._on_told)
        self._peers.handle(messages.Goodbye, self._on_goodbye)
        self._peers.handle(
            messages.HeldVersionQuery, self._on_held_ask, reply=messages.HeldVersionReply
        )
        self._peers.subscribe(self._on_stream)

    async def run(self) -> None:
        """Asks the neighbours how current they are, once every heartbeat."""
        while True:
            self.ask()
            await asyncio.sleep(self._settings.timing.heartbeat)

    def ask(self) -> None:
        """Asks the neighbours once."""
        sequence = next(self._sequence)
        self._asked_at[sequence] = self._now()
        self._asked_at.pop(sequence - ASKS_REMEMBERED, None)
        self._peers.broadcast(messages.FreshnessQuery(sequence=sequence))

    def say_goodbye(self, incarnation: str) -> None:
        """Tells all nodes that this one leaves on purpose."""
        node_id = self._peers.node_id
        self._table.goodbye(node_id, incarnation)
        self._peers.broadcast(messages.Goodbye(node_id=node_id, incarnation=incarnation))

    # Bringing both ends of a stream level.

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        self._level.discard(node_id)
        self.announcer.forget(node_id)
        self._missing_by_id.pop(node_id, None)
        self._mismatches_by_id.pop(node_id, None)
        self.serving_by_id.pop(node_id, None)
        if is_open:
            self._send_summary(node_id)

    def _send_summary(self, node_id: str) -> None:
        self.announcer.flush()
        changes = iter(list(self._known.changes_by_key.values()))
        while True:
            part = {one.key: one.version for one in itertools.islice(changes, SUMMARY_KEYS)}
            last = len(part) < SUMMARY_KEYS
            self._peers.send(node_id, messages.Summary(versions_by_key=part, last=last))
            if last:
                return

    async def _on_summary_ask(self, sender: str, _: messages.SummaryRequest) -> None:
        self._send_summary(sender)

    async def _on_summary(self, sender: str, summary: messages.Summary) -> None:
        missing = self._missing_by_id.setdefault(sender, [])
        missing += self._known.newer_than(summary.versions_by_key)
        if not summary.last:
            return
        del self._missing_by_id[sender]
        if missing:
            self._peers.send(sender, messages.Pull(keys=tuple(missing)))
        else:
            self._level.add(sender)

    async def _on_pull(self, sender: str, pull: messages.Pull) -> None:
        self.announcer.flush()
        known = (self._known.changes_by_key.get(key) for key in pull.keys)
        for batch in announcer.batches(change for change in known if change is not None):
            self._peers.send(sender, batch)
        self._peers.send(sender, messages.PullComplete())

    async def _on_pulled(self, sender: str, _: messages.PullComplete) -> None:
        self._level.add(sender)

    async def _on_announced(self, sender: str, announced: messages.VersionAnnouncement) -> None:
        self.announcer.take(sender, announced)

    async def _on_changed(self, sender: str, changed: messages.ChangeBatch) -> None:
        for change in changed.changes:
            self._merge(messages.from_wire(change), sender)

    # How current the replica is, and who is reached.

    async def _on_ask(self, sender: str, ask: messages.FreshnessQuery) -> None:
        self.announcer.flush()
        told = messages.FreshnessReply(
            sequence=ask.sequence,
            age=self.age(),
            serving=self.serving(),
            digest=self._known.digest,
            reached=self._reached(),
        )
        self._peers.send(sender, told)

    async def _on_told(self, sender: str, told: messages.FreshnessReply) -> None:
        asked_at = self._asked_at.get(told.sequence)
        if asked_at is None or not told.age >= 0:
            return
        self.told_at = self._now()
        self._compare(sender, told.digest)
        if not self.announcer.is_level(sender):
            self.announcer.pull_unmet(sender)
            return
        if sender not in self._level:
            return
        if asked_at - told.age > self.vouched_at:
            self.vouched_at = asked_at - told.age
            self.vouched()
        self.serving_by_id[sender] = told.serving
        self._reach(sender, asked_at)
        if told.reached:
            self._reach_further(asked_at, told.reached)

    def _compare(self, sender: str, digest: int) -> None:
        """Asks for a summary when a neighbour's objects stay different for several heartbeats."""
        if digest == self._known.digest:
            self._mismatches_by_id.pop(sender, None)
            return
        count = self._mismatches_by_id.get(sender, 0) + 1
        self._mismatches_by_id[sender] = count % REPAIR_AFTER_MISMATCHES
        if count == REPAIR_AFTER_MISMATCHES:
            self._repairs.inc()
            self._peers.send(sender, messages.SummaryRequest())

    def _reach(self, node_id: str, at: float) -> None:
        self.reached_at_by_id[node_id] = max(at, self.reached_at_by_id.get(node_id, -math.inf))

    def _reach_further(self, asked_at: float, reached: dict[int, int]) -> None:
        """Takes in whom a neighbour reaches, which is then reached from here over one hop more."""
        if self._ids_by_hash is None:
            self._ids_by_hash = {_short_hash(one): one for one in self._table.records_by_id}
        for short_hash, tenths in reached.items():
            node_id = self._ids_by_hash.get(short_hash)
            if node_id is not None and tenths >= 0 and node_id != self._peers.node_id:
                self._reach(node_id, asked_at - tenths / 10)

    def _reached(self) -> dict[int, int]:
        """Returns whom this node reaches; only needed while the store is silent and no mesh full.

        One report serves all neighbours for a while, so the ages in it are those at its end.
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

    def _forget_hashes(self) -> None:
        self._ids_by_hash = None

    async def _on_goodbye(self, sender: str, goodbye: messages.Goodbye) -> None:
        if self._table.goodbye(goodbye.node_id, goodbye.incarnation):
            self._peers.broadcast(goodbye)

    async def _on_lapsed(self, sender: str, lapsed: messages.LeaseExpired) -> None:
        if self._table.note_lapse(lapsed.node_id, lapsed.incarnation, lapsed.renewal):
            self._peers.broadcast(lapsed)

    async def _on_held_ask(
        self, sender: str, ask: messages.HeldVersionQuery
    ) -> messages.HeldVersionReply:
        return messages.HeldVersionReply(version=self._known.version_of(ask.key))


def reach_seconds(timing: schema.Timing, *, full_mesh: bool) -> float:
    """Returns the age up to which a sign of a node counts as reaching it."""
    return timing.peer_silence if full_mesh else timing.peer_silence * 2


def is_replicated(key: str) -> bool:
    """Returns True for a key below one of the replicated prefixes."""
    return key.startswith(PREFIXES)


PREFIXES = (
    names.CONFIG_PREFIX,
    names.FABRIC_PREFIX,
    names.QUARANTINE_PREFIX,
    names.NODE_PREFIX,
)


def _short_hash(node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(node_id.encode()) & 0xFFFFFF
