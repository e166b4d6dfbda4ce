"""Requests in flight at each target, counted by all nodes and shared over the peer streams.

Counts are hints for placing requests: a lost or late report worsens the balance but breaks no
guarantee. In a full mesh each node reports to all others. Beyond it each node reports to one hub, a
node that watches the store; hubs exchange sums over their nodes, and send their nodes the sum over
the fleet. Reports of a large fleet name hundreds of targets several times a second, so they carry
short hashes instead of the ids.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import math
import secrets
from collections.abc import Callable, Iterable

from basilpost.core import clock, hashing, kernel, names, tasks
from basilpost.members import (
    answer_evidence,
    begun_loads,
    demand,
    feed,
    node_table,
    path_states,
    peers,
    rank_demand,
    unlisted_targets,
)

# Interval of reports; requests last a second or more, so counts of this age are nearly exact.
REPORT_SECONDS = 0.15
# Interval beyond the full mesh, where a hub handles the reports of all its nodes.
HUB_REPORT_SECONDS = 0.25
# An unchanged report is repeated at this interval, and dropped if not repeated for over twice as
# long.
REPEAT_SECONDS = 1.0
MAX_REPORT_AGE_SECONDS = 2.5
# Number of nodes to assume until the records of the others are known: large, so that this node's
# share of a budget of the whole fleet is small.
ASSUMED_FLEET_NODES = 16
# A hub that sends nothing for this long, a few reports, is avoided for a while.
HUB_SILENCE_SECONDS = 1.0
HUB_AVOIDED_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Requests in flight of a node, or of several together.

    Attributes:
        in_flight_by_target: Number by short target id; targets without any are left out.
        stalled: Short ids of targets that have stopped sending their answers.
        writing: Short ids of targets that have just sent a part of an answer, entries of `path_states`
            about nodes, items of `unlisted_targets`, and names of `begun_loads`.
        demand_by_model: Demand of callers by model.
    """

    in_flight_by_target: dict[str, int]
    stalled: tuple[str, ...] = ()
    writing: tuple[str, ...] = ()
    demand_by_model: dict[str, demand.ModelDemand] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class HubLoad:
    """Sum over a hub and its nodes, sent to the other hubs."""

    WIRE_NAME = "LoadSum"

    report: LoadReport


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetLoad:
    """Sum over all nodes, sent by a hub to its nodes."""

    WIRE_NAME = "LoadFleet"

    report: LoadReport


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Received:
    """A report and when it was received, on `clock.elapsed`."""

    report: LoadReport
    at: float


class Loads(kernel.Service):
    """Counts this node's requests in flight and adds those of the others.

    Attributes:
        demand_meter: Measures the demand at this node.
        rank_demand_meter: Measures the demand by rank at this node; without arrivals it reports nothing.
        evidence: When targets were last seen to answer.
        begun_loads: Loads of weights that began lately.
        local_stalled: Returns the targets that this node sees as stalled; set by the owner.
        local_writing: Returns the targets that have just sent something to this node; set by the
            owner.
        local_path: Returns the entries of `path_states` about this node; set by the owner.
        local_unlisted: Returns the ids of targets whose entry is gone from the store; set by the owner.
        paths: Which nodes reach the runners, by the reports of the other nodes.
        unlisted_elsewhere: Ids of targets without an entry at which other nodes have requests in flight.
    """

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._node_id = kernel.node_id
        self._log = kernel.log
        self._table = kernel.find(names.NODE_TABLE, node_table.NodeTable)
        self._feed = kernel.find(names.FEED, feed.Feed)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._own: dict[str, int] = {}
        self._reports_by_node: dict[str, _Received] = {}
        self._sums_by_hub: dict[str, _Received] = {}
        self._fleet: _Received | None = None
        self._sent = LoadReport(in_flight_by_target={})
        self._sent_at = clock.elapsed()
        self._hub = ""
        self._hub_since = -math.inf
        self._avoided_until_by_hub: dict[str, float] = {}
        self._in_flight_by_others: collections.Counter[str] = collections.Counter()
        self._stalled_by_others: frozenset[str] = frozenset()
        self._writing_by_others: frozenset[str] = frozenset()
        self._demand_by_others: dict[str, demand.ModelDemand] = {}
        self._node_ids: frozenset[str] | None = None
        self.demand_meter = demand.DemandMeter()
        self.rank_demand_meter = rank_demand.RankDemandMeter()
        self.evidence = answer_evidence.AnswerEvidence()
        self.begun_loads = begun_loads.BegunLoads(
            source=hashing.short_id(secrets.token_hex(8)), started_at=clock.elapsed()
        )
        self._report_now = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self.local_stalled: Callable[[], Iterable[str]] = tuple
        self.local_writing: Callable[[], Iterable[str]] = tuple
        self.local_path: Callable[[], Iterable[str]] = tuple
        self.local_unlisted: Callable[[], Iterable[str]] = tuple
        self.unlisted_elsewhere: frozenset[str] = frozenset()
        self.paths = path_states.NOTHING_TOLD
        self._table.subscribe(self._clear_node_ids)
        self._peers.handle(LoadReport, self._on_report)
        self._peers.handle(HubLoad, self._on_hub_load)
        self._peers.handle(FleetLoad, self._on_fleet_load)

    async def start(self) -> None:
        """Starts to send reports."""
        self._tasks.keep_running(self._report, name="load-reports")

    async def stop(self) -> None:
        """Stops sending reports."""
        await self._tasks.close()

    def request_started(self, target_id: str) -> None:
        """Counts a request that this node sends to a target."""
        short = hashing.short_id(target_id)
        self._own[short] = self._own.get(short, 0) + 1

    def request_ended(self, target_id: str) -> None:
        """Counts the end of a request at a target."""
        short = hashing.short_id(target_id)
        left = self._own.get(short, 0) - 1
        if left > 0:
            self._own[short] = left
        else:
            self._own.pop(short, None)
        self._tell_listeners()

    def weight_loads_begin(self, count: int) -> None:
        """Counts loads of weights that this node begins, and tells the others at once."""
        self.begun_loads.begin(count, clock.elapsed())
        self._report_now.set()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when a target may have more room than before."""
        self._listeners.append(listener)

    def _tell_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def own_in_flight(self, target_id: str) -> int:
        """Returns this node's requests in flight at a target."""
        return self._own.get(hashing.short_id(target_id), 0)

    def total_in_flight(self, target_id: str) -> int:
        """Returns the requests in flight at a target, of all nodes whose reports arrive."""
        short = hashing.short_id(target_id)
        return self._own.get(short, 0) + max(0, self._in_flight_by_others.get(short, 0))

    def used_among(self, target_ids: Iterable[str]) -> frozenset[str]:
        """Returns those of the targets at which requests are in flight."""
        return frozenset(filter(self.total_in_flight, target_ids))

    def stalled_among(self, target_ids: Iterable[str]) -> frozenset[str]:
        """Returns those of the targets that some node sees as stalled and no node hears from."""
        stalled = self._stalled_short_ids()
        if not stalled:
            return stalled
        return frozenset(
            target_id for target_id in target_ids if hashing.short_id(target_id) in stalled
        )

    def stalled_count(self) -> int:
        """Returns the number of targets that some node sees as stalled and no node hears from."""
        return len(self._stalled_short_ids())

    def _stalled_short_ids(self) -> frozenset[str]:
        stalled = self._stalled_by_others.union(map(hashing.short_id, self.local_stalled()))
        if not stalled:
            return stalled
        return stalled - self._writing_by_others.union(map(hashing.short_id, self.local_writing()))

    def writing_among(self, target_ids: Iterable[str]) -> frozenset[str]:
        """Returns those of the targets that have just sent something to a node, this one included."""
        target_ids = tuple(target_ids)
        local = frozenset(self.local_writing())
        return self.writing_elsewhere_among(target_ids) | local.intersection(target_ids)

    def answered_at(self, target_id: str) -> float | None:
        """Returns when some node last saw a target answer, None if none did."""
        if target_id in self.local_writing():
            return clock.elapsed()
        return self.evidence.answered_at(hashing.short_id(target_id))

    def demand_by_model(self) -> dict[str, demand.ModelDemand]:
        """Returns the demand by model, of all nodes whose reports arrive."""
        return _combined_demand([self.demand_meter.read(), self._demand_by_others])

    def rank_demand_by_key(self) -> dict[rank_demand.RankKey, rank_demand.RankDemand]:
        """Returns the demand by model and rank, of all nodes whose reports arrive.

        Without any report of others, the demand at each of them is taken to be that at this node.
        """
        own = self.rank_demand_meter.read()
        if self._demand_by_others or self.node_count() == 1:
            return rank_demand.by_key(_combined_demand([own, self._demand_by_others]))
        return rank_demand.by_key(_combined_demand([own] * self.node_count()))

    @property
    def seconds_old(self) -> float:
        """Returns how old the counts of the other nodes are at most, while reports arrive."""
        # An interval passes before each report on the way: one in a full mesh, three over hubs.
        return REPORT_SECONDS if not self.are_stale else 3 * HUB_REPORT_SECONDS

    @property
    def are_stale(self) -> bool:
        """Returns True if counts come over several hops and are older than in a full mesh."""
        return not self._feed.is_full_mesh

    def writing_elsewhere_among(self, target_ids: Iterable[str]) -> frozenset[str]:
        """Returns those of the targets that have just sent something to other nodes."""
        writing = self._writing_by_others
        return frozenset(
            target_id for target_id in target_ids if hashing.short_id(target_id) in writing
        )

    def node_ids(self) -> frozenset[str]:
        """Returns the ids of all nodes with a record, empty until this node's own one is known."""
        if self._node_ids is None:
            known = frozenset(self._table.records_by_id)
            self._node_ids = known if self._node_id in known else frozenset()
        return self._node_ids

    def node_count(self) -> int:
        """Returns the number of nodes, at least this one and those that report to it."""
        known = len(self._table.records_by_id) or ASSUMED_FLEET_NODES
        return max(known, len(self._reports_by_node) + 1)

    def _clear_node_ids(self) -> None:
        self._node_ids = None

    # Reports from other nodes: kept by sender, and summed up for this node's decisions.

    async def _on_report(self, sender: str, report: LoadReport) -> None:
        self._reports_by_node[sender] = self._received(report)
        if self._feed.is_full_mesh:
            self._update_totals()

    async def _on_hub_load(self, sender: str, message: HubLoad) -> None:
        self._sums_by_hub[sender] = self._received(message.report)

    async def _on_fleet_load(self, sender: str, message: FleetLoad) -> None:
        if sender == self._hub:
            self._fleet = self._received(message.report)
            self._update_totals()

    def _received(self, report: LoadReport) -> _Received:
        """Returns a report with the time, after recording which targets it saw answer."""
        now = clock.elapsed()
        told = path_states.split(report.writing)
        self.evidence.record(told.target_ids, now)
        self.begun_loads.record(told.loads, now)
        return _Received(report=report, at=now)

    def _update_totals(self) -> None:
        """Adds up the latest reports of the other nodes."""
        fleet = self._fleet
        if fleet is not None and not self._feed.is_full_mesh and not self._feed.is_watcher:
            total = fleet.report
            others = collections.Counter(total.in_flight_by_target)
            others.subtract(self._sent.in_flight_by_target)
        else:
            total = combined(self._reports())
            others = collections.Counter(total.in_flight_by_target)
        self._in_flight_by_others = others
        self._stalled_by_others = frozenset(total.stalled)
        told = path_states.split(total.writing)
        self._writing_by_others = told.target_ids
        self.paths = path_states.read(told.entries)
        self.unlisted_elsewhere = unlisted_targets.decode(told.unlisted)
        self._demand_by_others = total.demand_by_model
        self._tell_listeners()

    def _reports(self) -> list[LoadReport]:
        received = (*self._reports_by_node.values(), *self._sums_by_hub.values())
        return [entry.report for entry in received]

    # Reports to other nodes: to all of them in a full mesh, otherwise to one hub.

    async def _report(self) -> None:
        measured: dict[str, demand.ModelDemand] = {}
        measured_at = -math.inf
        while True:
            mesh = self._feed.is_full_mesh
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPORT_SECONDS if mesh else HUB_REPORT_SECONDS):
                    await self._report_now.wait()
            self._report_now.clear()
            now = clock.elapsed()
            if now - measured_at >= REPEAT_SECONDS:
                measured, measured_at = self.demand_meter.read(), now
            writing = sorted(map(hashing.short_id, self.local_writing()))
            report = LoadReport(
                in_flight_by_target=dict(self._own),
                stalled=tuple(sorted(map(hashing.short_id, self.local_stalled()))),
                writing=(
                    *writing,
                    *self.local_path(),
                    *self._unlisted_in_use(),
                    *self.begun_loads.own_names(now),
                ),
                demand_by_model=measured | self.rank_demand_meter.read(),
            )
            self.evidence.record(writing, now)
            self.evidence.drop_old(now)
            if mesh:
                self._broadcast_report(report, now)
            elif self._feed.is_watcher:
                self._report_as_hub(report)
            else:
                self._report_to_hub(report, now)
            self._drop_old_reports(now)

    def _unlisted_in_use(self) -> tuple[str, ...]:
        """Returns the items that name targets without an entry at which this node has requests."""
        return unlisted_targets.encode(filter(self.own_in_flight, self.local_unlisted()))

    def _broadcast_report(self, report: LoadReport, now: float) -> None:
        if report != self._sent or now - self._sent_at >= REPEAT_SECONDS:
            self._peers.broadcast(report)
            self._sent, self._sent_at = report, now

    def _report_as_hub(self, report: LoadReport) -> None:
        own = combined([report, *(received.report for received in self._reports_by_node.values())])
        self._peers.send_to_all(self._feed.watchers - {self._node_id}, HubLoad(report=own))
        sums = (received.report for received in self._sums_by_hub.values())
        total = combined([own, *sums])
        writing = path_states.for_fleet(total.writing, hub=self._node_id)
        fleet = FleetLoad(report=dataclasses.replace(total, writing=writing))
        self._peers.send_to_all(tuple(self._reports_by_node), fleet)
        self._update_totals()

    def _report_to_hub(self, report: LoadReport, now: float) -> None:
        self._hub = self._choose_hub(now)
        if self._hub:
            self._peers.send(self._hub, report)
        self._sent = report

    def _choose_hub(self, now: float) -> str:
        """Returns the hub to report to: the nearest that is not silent, different for each node."""
        received_at = self._fleet.at if self._fleet is not None else -math.inf
        silent = now - max(received_at, self._hub_since) > HUB_SILENCE_SECONDS
        if self._hub in self._feed.watchers and not silent:
            return self._hub
        if self._hub:
            self._avoided_until_by_hub[self._hub] = now + HUB_AVOIDED_SECONDS
            self._log.info("load_hub_silent", hub=self._hub)
        hub = next(
            (
                candidate
                for candidate in self._hubs_by_distance()
                if self._avoided_until_by_hub.get(candidate, now) <= now
            ),
            "",
        )
        self._hub_since = now
        return hub

    def _hubs_by_distance(self) -> list[str]:
        regions_by_id = self._table.regions_by_id()
        own = regions_by_id.get(self._node_id)
        order = hashing.rendezvous_order(self._node_id, self._feed.watchers)
        return sorted(order, key=lambda hub: regions_by_id.get(hub) != own)

    def _drop_old_reports(self, now: float) -> None:
        dropped = False
        for received_by_id in (self._reports_by_node, self._sums_by_hub):
            old = [
                node_id
                for node_id, received in received_by_id.items()
                if now - received.at > MAX_REPORT_AGE_SECONDS
            ]
            for node_id in old:
                del received_by_id[node_id]
                dropped = True
        if self._fleet is not None and now - self._fleet.at > MAX_REPORT_AGE_SECONDS:
            self._fleet, dropped = None, True
        if dropped:
            self._update_totals()


def combined(reports: Iterable[LoadReport]) -> LoadReport:
    """Returns the sum of the reports of several nodes."""
    reports = list(reports)
    in_flight: collections.Counter[str] = collections.Counter()
    for report in reports:
        in_flight.update(report.in_flight_by_target)
    none: frozenset[str] = frozenset()
    return LoadReport(
        in_flight_by_target=dict(in_flight),
        stalled=tuple(sorted(none.union(*(report.stalled for report in reports)))),
        writing=tuple(sorted(none.union(*(report.writing for report in reports)))),
        demand_by_model=_combined_demand([report.demand_by_model for report in reports]),
    )


def _combined_demand(
    demands: Iterable[dict[str, demand.ModelDemand]],
) -> dict[str, demand.ModelDemand]:
    demands_by_model: dict[str, list[demand.ModelDemand]] = {}
    for model, reported in itertools.chain.from_iterable(by_model.items() for by_model in demands):
        demands_by_model.setdefault(model, []).append(reported)
    return {model: demand.combined(parts) for model, parts in demands_by_model.items()}
