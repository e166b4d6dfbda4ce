"""Decides whether this node may take new work, and when a change is in force everywhere.

All times used as evidence count from before a question was sent, so that a slow answer, or one
read after a pause of the process, never makes the node look more current than it is.
"""

import asyncio
import dataclasses
import math

import prometheus_client

from basilpost.core import clock, kernel, names, tasks
from basilpost.members import (
    gossip,
    lease,
    messages,
    node_table,
    peers,
    standing,
    store_replica,
)
from basilpost.settings import schema

TICK_SECONDS = 0.25
RETRY_AFTER_SECONDS = 1.0
ASK_AGAIN_SECONDS = 0.2
ASK_TIMEOUT_SECONDS = 1.0
MAX_TRACKED_KEYS = 10_000


@dataclasses.dataclass(kw_only=True)
class _Spreading:
    """What is known of how far an object's version has come.

    Attributes:
        version: The version that all nodes are to have in force.
        since: When the last node acknowledged it, or else when it was first asked about.
        acknowledged: The nodes that have it in force.
        asking_until: Earliest time of the next round of questions.
    """

    version: int
    since: float
    acknowledged: set[str] = dataclasses.field(default_factory=set)
    asking_until: float = -math.inf


class QuorumStanding(standing.Standing, kernel.Service):
    """Standing by fresh contact to the store, or else by a strict majority of the known nodes."""

    def __init__(self, *, kernel: kernel.Kernel, table: node_table.NodeTable) -> None:
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._replica = kernel.find(names.REPLICA, store_replica.StoreReplica)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._table = table
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._ticked_at = math.inf
        self._evidence_from = -math.inf
        self._has_begun = False
        self._spreading_by_key: dict[str, _Spreading] = {}
        self._replica.gossip.serving = lambda: isinstance(self.check(), standing.InStanding)
        self._pauses = prometheus_client.Counter(
            "basilpost_pauses_total", "Pauses of the process that were noticed",
            registry=kernel.registry,
        )  # fmt: skip
        self._gauge = prometheus_client.Gauge(
            "basilpost_in_standing", "1 while the node may take new work", registry=kernel.registry
        )

    async def start(self) -> None:
        """Begins to watch the clock."""
        self._ticked_at = clock.monotonic()
        self._tasks.spawn(self._tick(), name="standing")

    async def stop(self) -> None:
        """Stops to watch the clock."""
        await self._tasks.close()

    def check(self) -> standing.InStanding | standing.NotServing:
        """Judges whether this node's view is current."""
        now = clock.monotonic()
        self._notice_pause(now)
        if self._is_fresh(now):
            self._has_begun = True
            return standing.InStanding()
        if not self._has_begun:
            self._has_begun = self._is_confirmed_by_seeds(now)
            if not self._has_begun:
                return self._not_serving("no configuration is confirmed yet")
        if self._reaches_majority(now):
            return standing.InStanding()
        if self._evidence_from > now - self._settings.timing.store_silence:
            return self._not_serving("the process was paused and has not revalidated yet")
        return self._not_serving("neither the store nor a majority of the nodes is in reach")

    def acknowledged_by_all(self, key: str, version: int) -> bool:
        """Returns True if every node that may still dispatch has a version in force."""
        if self._replica.version_of(key) < version:
            return False
        spreading = self._track(key, version)
        missing = [one for one in self._counted() if one not in spreading.acknowledged]
        if not missing:
            return True
        self._ask(key, spreading, missing)
        silence = self._settings.timing.isolation
        if any(self._is_heard(one, silence) for one in missing):
            return False
        if clock.monotonic() - spreading.since < silence:
            return False
        return not lease.may_be_majority(missing, self._table)

    # Evidence.

    async def _tick(self) -> None:
        while True:
            self._gauge.set(isinstance(self.check(), standing.InStanding))
            self._ticked_at = clock.monotonic()
            await asyncio.sleep(TICK_SECONDS)

    def _notice_pause(self, now: float) -> None:
        """Discards all evidence from before a pause of the process."""
        if now - self._ticked_at > self._settings.timing.clock_jump:
            self._log.warning("process_paused", seconds=round(now - self._ticked_at, 3))
            self._pauses.inc()
            self._ticked_at = now
            self._evidence_from = now

    def _is_fresh(self, now: float) -> bool:
        oldest = max(self._evidence_from, now - self._settings.timing.store_silence)
        return self._replica.current_at() >= oldest

    def _reached_since(self, now: float) -> float:
        full_mesh = len(self._table.records_by_id) <= self._settings.peers.full_mesh_nodes
        window = gossip.reach_seconds(self._settings.timing, full_mesh=full_mesh)
        return max(self._evidence_from, now - window)

    def _is_confirmed_by_seeds(self, now: float) -> bool:
        """Returns True if a majority of the set seeds serve and are level with this node."""
        seeds = {seed.node_id for seed in self._settings.peers.seeds} - {self._peers.node_id}
        confirming = [
            seed
            for seed in seeds
            if self._is_reached(seed, now) and self._replica.gossip.serving_by_id.get(seed)
        ]
        return 2 * len(confirming) > len(seeds)

    def _reaches_majority(self, now: float) -> bool:
        known = {self._peers.node_id, *self._table.records_by_id}
        reached = [one for one in known if one == self._peers.node_id or self._is_reached(one, now)]
        return 2 * len(reached) > len(known)

    def _is_reached(self, node_id: str, now: float) -> bool:
        at = self._replica.gossip.reached_at_by_id.get(node_id, -math.inf)
        return at >= self._reached_since(now)

    def _not_serving(self, reason: str) -> standing.NotServing:
        return standing.NotServing(reason=reason, retry_after=RETRY_AFTER_SECONDS)

    # Changes in force everywhere.

    def _counted(self) -> set[str]:
        known = {*self._table.records_by_id, *self._peers.live_nodes()}
        return known - {self._peers.node_id}

    def _is_heard(self, node_id: str, seconds: float) -> bool:
        at = self._replica.gossip.reached_at_by_id.get(node_id, -math.inf)
        recently = clock.monotonic() - at <= seconds
        return recently or self._peers.received_within(node_id, seconds)

    def _track(self, key: str, version: int) -> _Spreading:
        spreading = self._spreading_by_key.get(key)
        if spreading is None or spreading.version < version:
            spreading = _Spreading(version=version, since=clock.monotonic())
            self._spreading_by_key.pop(key, None)
            self._spreading_by_key[key] = spreading
            if len(self._spreading_by_key) > MAX_TRACKED_KEYS:
                del self._spreading_by_key[next(iter(self._spreading_by_key))]
        return spreading

    def _ask(self, key: str, spreading: _Spreading, missing: list[str]) -> None:
        now = clock.monotonic()
        if now < spreading.asking_until:
            return
        spreading.asking_until = now + ASK_AGAIN_SECONDS
        for node_id in missing:
            self._tasks.spawn(self._ask_one(key, spreading, node_id), name=f"held-{key}")

    async def _ask_one(self, key: str, spreading: _Spreading, node_id: str) -> None:
        held = await self._peers.request(
            node_id, messages.HeldVersionQuery(key=key), timeout=ASK_TIMEOUT_SECONDS
        )
        if isinstance(held, messages.HeldVersionReply) and held.version >= spreading.version:
            spreading.acknowledged.add(node_id)
            spreading.since = clock.monotonic()
