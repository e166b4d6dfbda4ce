"""Decides whether this node may take new work, and when a change is in force at all nodes.

Evidence is dated by when the query was sent, so that a slow reply, or one read after a pause of the
process, never makes the node appear more current than it is.
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

CHECK_SECONDS = 0.25
RETRY_AFTER_SECONDS = 1.0
QUERY_INTERVAL_SECONDS = 0.2
QUERY_TIMEOUT_SECONDS = 1.0
MAX_TRACKED_KEYS = 10_000


@dataclasses.dataclass(kw_only=True)
class _Rollout:
    """Acknowledgements of one version of an object by the nodes.

    Attributes:
        version: The version that all nodes are to apply.
        since: Time of the last acknowledgement, or else of the first query.
        acknowledged: Ids of the nodes that have applied it.
        query_at: Earliest time of the next queries.
    """

    version: int
    since: float
    acknowledged: set[str] = dataclasses.field(default_factory=set)
    query_at: float = -math.inf


class QuorumStanding(standing.Standing, kernel.Service):
    """In standing while in fresh contact with the store, or with a strict majority of the nodes."""

    def __init__(self, *, kernel: kernel.Kernel, table: node_table.NodeTable) -> None:
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._replica = kernel.find(names.REPLICA, store_replica.StoreReplica)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._table = table
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._checked_at = math.inf
        self._evidence_from = -math.inf
        self._has_confirmed_config = False
        self._rollouts_by_key: dict[str, _Rollout] = {}
        self._replica.gossip.serving = lambda: isinstance(self.check(), standing.InStanding)
        self._pauses = prometheus_client.Counter(
            "basilpost_pauses_total", "Pauses of the process that were noticed",
            registry=kernel.registry,
        )  # fmt: skip
        self._gauge = prometheus_client.Gauge(
            "basilpost_in_standing", "1 while the node may take new work", registry=kernel.registry
        )

    async def start(self) -> None:
        """Starts to check the standing regularly and to detect pauses of the process."""
        self._checked_at = clock.monotonic()
        self._tasks.keep_running(self._check_regularly, name="standing")

    async def stop(self) -> None:
        """Stops the checks."""
        await self._tasks.close()

    def check(self) -> standing.InStanding | standing.NotServing:
        """Returns whether this node may take new work now, and else why not."""
        now = clock.monotonic()
        self._detect_pause(now)
        if self._is_fresh(now):
            self._has_confirmed_config = True
            return standing.InStanding()
        if not self._has_confirmed_config:
            self._has_confirmed_config = self._is_confirmed_by_seeds(now)
            if not self._has_confirmed_config:
                return self._not_serving("no configuration is confirmed yet")
        if self._reaches_majority(now):
            return standing.InStanding()
        if self._evidence_from > now - self._settings.timing.store_silence:
            return self._not_serving("the process was paused and has not revalidated yet")
        return self._not_serving("neither the store nor a majority of the nodes is in reach")

    def acknowledged_by_all(self, key: str, version: int) -> bool:
        """Returns True if every node that may still dispatch has applied the version."""
        if self._replica.version_of(key) < version:
            return False
        rollout = self._track(key, version)
        missing = [
            node_id for node_id in self._other_nodes() if node_id not in rollout.acknowledged
        ]
        if not missing:
            return True
        self._query(key, rollout, missing)
        silence = self._settings.timing.isolation
        if any(self._is_alive(node_id, silence) for node_id in missing):
            return False
        if clock.monotonic() - rollout.since < silence:
            return False
        return not lease.may_be_majority(missing, self._table)

    # Evidence is contact with the store or with a majority of the nodes.

    async def _check_regularly(self) -> None:
        while True:
            self._gauge.set(isinstance(self.check(), standing.InStanding))
            self._checked_at = clock.monotonic()
            await asyncio.sleep(CHECK_SECONDS)

    def _detect_pause(self, now: float) -> None:
        """Discards all evidence from before a pause of the process; counts and logs the pause."""
        if now - self._checked_at > self._settings.timing.clock_jump:
            self._log.warning("process_paused", seconds=round(now - self._checked_at, 3))
            self._pauses.inc()
            self._checked_at = now
            self._evidence_from = now

    def _is_fresh(self, now: float) -> bool:
        oldest = max(self._evidence_from, now - self._settings.timing.store_silence)
        return self._replica.current_at() >= oldest

    def _reached_since(self, now: float) -> float:
        full_mesh = len(self._table.records_by_id) <= self._settings.peers.full_mesh_nodes
        window = gossip.reach_seconds(self._settings.timing, full_mesh=full_mesh)
        return max(self._evidence_from, now - window)

    def _is_confirmed_by_seeds(self, now: float) -> bool:
        """Returns True if a majority of the other seeds serve and are in sync with this node."""
        seeds = {seed.node_id for seed in self._settings.peers.seeds} - {self._peers.node_id}
        confirming = [
            seed
            for seed in seeds
            if self._is_reached(seed, now) and self._replica.gossip.serving_by_id.get(seed)
        ]
        return 2 * len(confirming) > len(seeds)

    def _reaches_majority(self, now: float) -> bool:
        known = {self._peers.node_id, *self._table.records_by_id}
        reached = [
            node_id
            for node_id in known
            if node_id == self._peers.node_id or self._is_reached(node_id, now)
        ]
        return 2 * len(reached) > len(known)

    def _is_reached(self, node_id: str, now: float) -> bool:
        at = self._replica.gossip.reached_at_by_id.get(node_id, -math.inf)
        return at >= self._reached_since(now)

    def _not_serving(self, reason: str) -> standing.NotServing:
        return standing.NotServing(reason=reason, retry_after=RETRY_AFTER_SECONDS)

    # A change is acknowledged by all once no node may still dispatch without having applied it.

    def _other_nodes(self) -> set[str]:
        known = {*self._table.records_by_id, *self._peers.live_nodes()}
        return known - {self._peers.node_id}

    def _is_alive(self, node_id: str, seconds: float) -> bool:
        at = self._replica.gossip.reached_at_by_id.get(node_id, -math.inf)
        recently = clock.monotonic() - at <= seconds
        return recently or self._peers.received_within(node_id, seconds)

    def _track(self, key: str, version: int) -> _Rollout:
        rollout = self._rollouts_by_key.get(key)
        if rollout is None or rollout.version < version:
            rollout = _Rollout(version=version, since=clock.monotonic())
            self._rollouts_by_key.pop(key, None)
            self._rollouts_by_key[key] = rollout
            if len(self._rollouts_by_key) > MAX_TRACKED_KEYS:
                del self._rollouts_by_key[next(iter(self._rollouts_by_key))]
        return rollout

    def _query(self, key: str, rollout: _Rollout, missing: list[str]) -> None:
        now = clock.monotonic()
        if now < rollout.query_at:
            return
        rollout.query_at = now + QUERY_INTERVAL_SECONDS
        for node_id in missing:
            self._tasks.spawn(self._query_node(key, rollout, node_id), name=f"held-{key}")

    async def _query_node(self, key: str, rollout: _Rollout, node_id: str) -> None:
        reply = await self._peers.request(
            node_id, messages.HeldVersionQuery(key=key), timeout=QUERY_TIMEOUT_SECONDS
        )
        if isinstance(reply, messages.HeldVersionReply) and reply.version >= rollout.version:
            rollout.acknowledged.add(node_id)
            rollout.since = clock.monotonic()
