"""This node's judgement of targets' health, from its own requests and probes and from other nodes.

A node's own recent observations take precedence over other nodes' news, since a network path can be
cut for one node only.
"""

import asyncio
import dataclasses
import secrets

import prometheus_client

from basilpost.core import clock, data, hashing, kernel, names, tasks
from basilpost.groups import runner_api, slots
from basilpost.members import directory, peers
from basilpost.settings import schema

# As many consecutive unreached dispatches or probes, or as many failures since the last success,
# make this node back off from a target.
_UNREACHED_LIMIT = 2
_FAILED_LIMIT = 3
_FIRST_BACKOFF_SECONDS = 1.0
_MAX_BACKOFF_SECONDS = 8.0
# How long an own observation that a target was reached outweighs other nodes' news.
_OWN_OBSERVATION_SECONDS = 2.0
# How long news that a target is silent holds; a prober repeats it while the target stays silent.
_SUSPICION_SECONDS = 6.0
_NEWS_REPEAT_INTERVAL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthNews:
    """A prober's changed or repeated observation of a target, forwarded from node to node.

    Attributes:
        origin: Id of the prober's node.
        incarnation: Unique id of the prober's process.
        number: Rises with each news of that process.
        group_id: Id of the target.
        generation: Generation of the target that was probed.
        reached: True if the target answers again, False if it is silent.
    """

    origin: str
    incarnation: str
    number: int
    group_id: str
    generation: int
    reached: bool


@dataclasses.dataclass(kw_only=True)
class _TargetRecord:
    """Observations of one target in one generation.

    Attributes:
        generation: Generation of the target that the observations are of.
        unreached: Consecutive dispatches and probes that did not reach it.
        failed: Requests that it failed since the last success.
        backoffs: Backoffs since the last success.
        backoff_until: Until when this node sends it no new requests.
        reached_at: When this node last reached it.
        suspected_until_by_prober: Until when each prober's news that it is silent holds.
    """

    generation: int
    unreached: int = 0
    failed: int = 0
    backoffs: int = 0
    backoff_until: float = float("-inf")
    reached_at: float = float("-inf")
    suspected_until_by_prober: dict[str, float] = dataclasses.field(default_factory=dict)


class TargetHealth(slots.Health, kernel.Service):
    """The health of all targets as this node judges it, and the probes that fall to this node."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._timing = kernel.find(names.SETTINGS, schema.NodeSettings).timing
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._directory = kernel.find(names.DIRECTORY, directory.Directory)
        self._runners = kernel.find(names.RUNNER_CLIENT, runner_api.RunnerClient)
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._records_by_id: dict[str, _TargetRecord] = {}
        self._probers_by_group: dict[str, asyncio.Task[None]] = {}
        self._incarnation = secrets.token_hex(8)
        self._news_number = 0
        self._latest_number_by_origin: dict[tuple[str, str], int] = {}
        self._backoff_counter = prometheus_client.Counter(
            "basilpost_targets_rested",
            "Times that a target was left alone for its failures",
            registry=kernel.registry,
        )
        self._peers.handle(HealthNews, self._handle_news)

    async def start(self) -> None:
        """Starts to probe the targets that fall to this node."""
        self._tasks.keep_running(self._run_probes, name="health")

    async def stop(self) -> None:
        """Stops probing."""
        await self._tasks.close()

    def healthy(self, group: data.Group) -> bool:
        """Returns True unless this node backs off from the target or a prober finds it silent."""
        record = self._records_by_id.get(group.group_id)
        if record is None or record.generation != group.generation:
            return True
        now = clock.monotonic()
        if now < record.backoff_until:
            return False
        if now - record.reached_at < _OWN_OBSERVATION_SECONDS:
            return True
        return not any(until > now for until in record.suspected_until_by_prober.values())

    def report(self, group: data.Group, observation: data.Observation) -> None:
        """Records what a dispatch or probe saw; backs off from the target on repeated failures."""
        record = self._record(group)
        now = clock.monotonic()
        if observation.reached:
            record.unreached = 0
            record.reached_at = now
        else:
            record.unreached += 1
        if observation.reached and not observation.failed:
            record.failed = 0
            record.backoffs = 0
            record.backoff_until = float("-inf")
            return
        record.failed += observation.failed
        if record.unreached >= _UNREACHED_LIMIT or record.failed >= _FAILED_LIMIT:
            self._back_off(record, group, now)

    def _back_off(self, record: _TargetRecord, group: data.Group, now: float) -> None:
        seconds = min(_MAX_BACKOFF_SECONDS, _FIRST_BACKOFF_SECONDS * 2**record.backoffs)
        record.backoffs += 1
        record.backoff_until = now + seconds
        record.reached_at = float("-inf")
        self._backoff_counter.inc()
        self._log.info("target_rests", group=group.group_id, seconds=seconds)

    def _record(self, group: data.Group) -> _TargetRecord:
        record = self._records_by_id.get(group.group_id)
        if record is None or record.generation != group.generation:
            record = _TargetRecord(generation=group.generation)
            self._records_by_id[group.group_id] = record
        return record

    # One node besides its controller probes each target, and announces changes to all nodes.

    async def _run_probes(self) -> None:
        """Probes the targets for which this node is the one prober besides their controller."""
        while True:
            assigned_ids = {
                group.group_id for group in self._serving_groups() if self._is_prober(group)
            }
            for group_id in self._probers_by_group.keys() - assigned_ids:
                self._probers_by_group.pop(group_id).cancel()
            for group_id in sorted(assigned_ids - self._probers_by_group.keys()):
                self._probers_by_group[group_id] = self._tasks.spawn(
                    self._probe(group_id), name=f"probe {group_id}"
                )
            known = {group.group_id for group in self._serving_groups()}
            for group_id in self._records_by_id.keys() - known:
                del self._records_by_id[group_id]
            await asyncio.sleep(self._timing.probe)

    def _serving_groups(self) -> list[data.Group]:
        tables = self._directory.tables().values()
        return [group for table in tables for group in table.groups if group.serving]

    def _is_prober(self, group: data.Group) -> bool:
        """Returns True for the first node by hash among those that do not control the domain."""
        fabric_table = self._directory.tables().get(group.fabric_domain)
        holder = fabric_table.holder.node_id if fabric_table and fabric_table.holder else ""
        others = [node_id for node_id in self._peers.live_nodes() if node_id != holder]
        return hashing.rendezvous_choice(group.group_id, others) == self._peers.node_id

    async def _probe(self, group_id: str) -> None:
        """Probes one target; announces to all nodes when it falls silent or answers again."""
        reached = True
        announced_at = float("-inf")
        while True:
            group = self._directory.group(group_id)
            if group is not None:
                was_reached, reached = reached, await self._probe_once(group)
                repeat_due = clock.monotonic() - announced_at >= _NEWS_REPEAT_INTERVAL_SECONDS
                if reached != was_reached or (not reached and repeat_due):
                    announced_at = clock.monotonic()
                    self._announce(group, reached=reached)
            await asyncio.sleep(self._timing.probe)

    async def _probe_once(self, group: data.Group) -> bool:
        """Returns True if the target answers one status request; records the failure otherwise."""
        asked_at = clock.monotonic()
        status = await self._runners.status(
            group.address, plain=not group.model, timeout=self._timing.probe_timeout
        )
        answered = isinstance(status, runner_api.RunnerStatus)
        elapsed = clock.monotonic() - asked_at
        if not answered:
            self.report(group, data.Observation(reached=False, latency=elapsed))
        return answered

    def _announce(self, group: data.Group, *, reached: bool) -> None:
        self._news_number += 1
        news = HealthNews(
            origin=self._peers.node_id,
            incarnation=self._incarnation,
            number=self._news_number,
            group_id=group.group_id,
            generation=group.generation,
            reached=reached,
        )
        self._apply_news(news)
        self._peers.broadcast(news)

    async def _handle_news(self, node_id: str, news: HealthNews) -> None:
        """Applies news and forwards them once, so that they reach nodes that are not neighbours."""
        origin = (news.origin, news.incarnation)
        if news.number <= self._latest_number_by_origin.get(origin, 0):
            return
        self._latest_number_by_origin[origin] = news.number
        self._apply_news(news)
        self._peers.broadcast(news)

    def _apply_news(self, news: HealthNews) -> None:
        group = self._directory.group(news.group_id)
        if group is None or group.generation != news.generation:
            return
        record = self._record(group)
        if news.reached:
            record.suspected_until_by_prober.pop(news.origin, None)
        else:
            record.suspected_until_by_prober[news.origin] = clock.monotonic() + _SUSPICION_SECONDS
