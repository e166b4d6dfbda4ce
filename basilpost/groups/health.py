"""What this node holds of the targets' health: from its own dispatches, probes and other nodes.

A node's own recent evidence goes before what others say, since a path can be cut for one node only.
"""

import asyncio
import dataclasses
import secrets

import prometheus_client

from basilpost.core import clock, data, hashing, kernel, names, tasks
from basilpost.groups import runner_api, slots
from basilpost.members import directory, peers
from basilpost.settings import schema

_UNREACHED_LIMIT = 2
_FAILED_LIMIT = 3
_FIRST_REST_SECONDS = 1.0
_LONGEST_REST_SECONDS = 8.0
_OWN_EVIDENCE_SECONDS = 2.0
_NEWS_SECONDS = 6.0
_NEWS_REPEAT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthNews:
    """A prober's changed observation of a target, passed on from node to node.

    Attributes:
        origin: The prober.
        incarnation: Unique id of the prober's process.
        number: Rises with each of its news.
        group_id: The target.
        generation: Generation that was probed.
        reached: True if the target answers again.
    """

    origin: str
    incarnation: str
    number: int
    group_id: str
    generation: int
    reached: bool


@dataclasses.dataclass(kw_only=True)
class _Record:
    """What is held of one target in one generation."""

    generation: int
    unreached: int = 0
    failed: int = 0
    rests: int = 0
    resting_until: float = float("-inf")
    reached_at: float = float("-inf")
    suspected_by: dict[str, float] = dataclasses.field(default_factory=dict)


class TargetHealth(slots.Health, kernel.Service):
    """Health of all targets, as this node judges it."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._timing = kernel.find(names.SETTINGS, schema.NodeSettings).timing
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)
        self._engine = kernel.find(names.ENGINES, runner_api.RunnerClient)
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._records_by_id: dict[str, _Record] = {}
        self._probers_by_group: dict[str, asyncio.Task[None]] = {}
        self._incarnation = secrets.token_hex(8)
        self._number = 0
        self._seen_by_origin: dict[tuple[str, str], int] = {}
        self._rests = prometheus_client.Counter(
            "basilpost_targets_rested",
            "Times that a target was left alone for its failures",
            registry=kernel.registry,
        )
        self._peers.handle(HealthNews, self._heard)

    async def start(self) -> None:
        """Begins to probe the targets that fall to this node."""
        self._tasks.spawn(self._choose_probes(), name="health")

    async def stop(self) -> None:
        """Stops probing."""
        await self._tasks.close()

    def healthy(self, group: data.Group) -> bool:
        """Returns True unless the target rests after failures, or a prober finds it silent."""
        record = self._records_by_id.get(group.group_id)
        if record is None or record.generation != group.generation:
            return True
        now = clock.monotonic()
        if now < record.resting_until:
            return False
        if now - record.reached_at < _OWN_EVIDENCE_SECONDS:
            return True
        return not any(until > now for until in record.suspected_by.values())

    def report(self, group: data.Group, observation: data.Observation) -> None:
        """Takes in what a dispatch or probe saw; a target that keeps failing rests."""
        record = self._record(group)
        now = clock.monotonic()
        if observation.reached:
            record.unreached = 0
            record.reached_at = now
        else:
            record.unreached += 1
        if observation.reached and not observation.failed:
            record.failed = 0
            record.rests = 0
            record.resting_until = float("-inf")
            return
        record.failed += observation.failed
        if record.unreached >= _UNREACHED_LIMIT or record.failed >= _FAILED_LIMIT:
            self._rest(record, group, now)

    def _rest(self, record: _Record, group: data.Group, now: float) -> None:
        seconds = min(_LONGEST_REST_SECONDS, _FIRST_REST_SECONDS * 2**record.rests)
        record.rests += 1
        record.resting_until = now + seconds
        record.reached_at = float("-inf")
        self._rests.inc()
        self._log.info("target_rests", group=group.group_id, seconds=seconds)

    def _record(self, group: data.Group) -> _Record:
        record = self._records_by_id.get(group.group_id)
        if record is None or record.generation != group.generation:
            record = _Record(generation=group.generation)
            self._records_by_id[group.group_id] = record
        return record

    # Probes.

    async def _choose_probes(self) -> None:
        """Probes the targets for which this node is the spare prober beside their controller."""
        while True:
            mine = {group.group_id for group in self._serving() if self._is_prober(group)}
            for group_id in self._probers_by_group.keys() - mine:
                self._probers_by_group.pop(group_id).cancel()
            for group_id in sorted(mine - self._probers_by_group.keys()):
                self._probers_by_group[group_id] = self._tasks.spawn(
                    self._probe(group_id), name=f"probe {group_id}"
                )
            known = {group.group_id for group in self._serving()}
            for group_id in self._records_by_id.keys() - known:
                del self._records_by_id[group_id]
            await asyncio.sleep(self._timing.probe)

    def _serving(self) -> list[data.Group]:
        tables = self._directory.tables().values()
        return [group for one in tables for group in one.groups if group.serving]

    def _is_prober(self, group: data.Group) -> bool:
        """Returns True for the first node by hash that does not control the domain."""
        found = self._directory.tables().get(group.fabric_domain)
        holder = found.holder.node_id if found and found.holder else ""
        others = [one for one in self._peers.live_nodes() if one != holder]
        return hashing.rendezvous_choice(group.group_id, others) == self._peers.node_id

    async def _probe(self, group_id: str) -> None:
        """Probes one target; tells the other nodes when it falls silent, and when it is back."""
        reached = True
        told_at = float("-inf")
        while True:
            group = self._directory.group(group_id)
            if group is not None:
                was_reached, reached = reached, await self._reaches(group)
                repeats = clock.monotonic() - told_at >= _NEWS_REPEAT_SECONDS
                if reached != was_reached or (not reached and repeats):
                    told_at = clock.monotonic()
                    self._tell(group, reached=reached)
            await asyncio.sleep(self._timing.probe)

    async def _reaches(self, group: data.Group) -> bool:
        asked_at = clock.monotonic()
        status = await self._engine.status(
            group.address, plain=not group.model, timeout=self._timing.probe_timeout
        )
        answered = isinstance(status, runner_api.RunnerStatus)
        took = clock.monotonic() - asked_at
        if not answered:
            self.report(group, data.Observation(reached=False, latency=took))
        return answered

    def _tell(self, group: data.Group, *, reached: bool) -> None:
        self._number += 1
        news = HealthNews(
            origin=self._peers.node_id,
            incarnation=self._incarnation,
            number=self._number,
            group_id=group.group_id,
            generation=group.generation,
            reached=reached,
        )
        self._take_in(news)
        self._peers.broadcast(news)

    async def _heard(self, node_id: str, news: HealthNews) -> None:
        """Takes news in and passes them on once, so that they reach nodes that are not neighbours."""
        origin = (news.origin, news.incarnation)
        if news.number <= self._seen_by_origin.get(origin, 0):
            return
        self._seen_by_origin[origin] = news.number
        self._take_in(news)
        self._peers.broadcast(news)

    def _take_in(self, news: HealthNews) -> None:
        group = self._directory.group(news.group_id)
        if group is None or group.generation != news.generation:
            return
        record = self._record(group)
        if news.reached:
            record.suspected_by.pop(news.origin, None)
        else:
            record.suspected_by[news.origin] = clock.monotonic() + _NEWS_SECONDS
