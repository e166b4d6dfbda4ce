"""What the nodes have in flight at each target, shared over the peer streams.

Counts are hints for placing requests: a lost or late one costs some balance and no promise. In a full
mesh each node tells all others. Beyond it each tells one hub, a node that watches the store; hubs add
up, tell each other, and tell their nodes what the whole fleet has.
"""

import asyncio
import collections
import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable

from basilpost.core import clock, hashing, kernel, names, tasks
from basilpost.members import demand, feed, node_table, peers

# Interval of reports; a request lasts a second or more, so counts of this age are close.
REPORT_SECONDS = 0.15
# Interval beyond the full mesh, where a hub handles a report of each of its nodes.
HUB_REPORT_SECONDS = 0.25
# An unchanged report is repeated, and one that was not repeated for twice as long is dropped.
REPEAT_SECONDS = 1.0
FORGET_SECONDS = 2.5
# What a node takes the fleet for until it has read the records of the others: many, so that its share
# of what all may spend together is small.
UNKNOWN_FLEET_NODES = 16
# A hub that says nothing for this long, some reports, is passed over for a while.
HUB_SILENCE_SECONDS = 1.0
HUB_AVOIDED_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A node's requests in flight.

    Attributes:
        in_flight_by_target: Number by target id, targets without any left out.
        stalled: Targets whose answers have stopped coming.
        writing: Targets from which something came a moment ago.
        demand_by_model: What callers want, by model.
    """

    in_flight_by_target: dict[str, int]
    stalled: tuple[str, ...] = ()
    writing: tuple[str, ...] = ()
    demand_by_model: dict[str, demand.ModelDemand] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class HubLoad:
    """What a hub and its nodes have in flight together, for the other hubs."""

    WIRE_NAME = "LoadSum"

    report: LoadReport


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetLoad:
    """What all nodes have in flight together, for the nodes of a hub."""

    WIRE_NAME = "LoadFleet"

    report: LoadReport


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Heard:
    report: LoadReport
    at: float


class Loads(kernel.Service):
    """Counts this node's requests in flight and adds those of the others."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._node_id = kernel.node_id
        self._log = kernel.log
        self._table = kernel.find(names.NODE_TABLE, node_table.NodeTable)
        self._feed = kernel.find(names.FEED, feed.Feed)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._own: dict[str, int] = {}
        self._heard_by_node: dict[str, _Heard] = {}
        self._sums_by_hub: dict[str, _Heard] = {}
        self._fleet: _Heard | None = None
        self._sent = LoadReport(in_flight_by_target={})
        self._sent_at = clock.elapsed()
        self._hub = ""
        self._hub_since = -math.inf
        self._avoided_until_by_hub: dict[str, float] = {}
        self._others: collections.Counter[str] = collections.Counter()
        self._stalled_by_others: frozenset[str] = frozenset()
        self._writing_by_others: frozenset[str] = frozenset()
        self._demand_by_others: dict[str, demand.ModelDemand] = {}
        self._node_ids: frozenset[str] | None = None
        self.demand_meter = demand.DemandMeter()
        self.local_stalled: Callable[[], Iterable[str]] = tuple
        self.local_writing: Callable[[], Iterable[str]] = tuple
        self._table.subscribe(self._forget_nodes)
        self._peers.handle(LoadReport, self._take)
        self._peers.handle(HubLoad, self._take_sum)
        self._peers.handle(FleetLoad, self._take_fleet)

    async def start(self) -> None:
        """Begins to report."""
        self._tasks.spawn(self._report(), name="load-reports")

    async def stop(self) -> None:
        """Ends reporting."""
        await self._tasks.close()

    def request_started(self, target_id: str) -> None:
        """Counts a request that is sent to a target."""
        self._own[target_id] = self._own.get(target_id, 0) + 1

    def request_ended(self, target_id: str) -> None:
        """Counts the end of a request."""
        left = self._own.get(target_id, 0) - 1
        if left > 0:
            self._own[target_id] = left
        else:
            self._own.pop(target_id, None)

    def own_in_flight(self, target_id: str) -> int:
        """Returns this node's requests in flight at a target."""
        return self._own.get(target_id, 0)

    def total_in_flight(self, target_id: str) -> int:
        """Returns the requests in flight at a target, of all nodes that are heard."""
        return self._own.get(target_id, 0) + max(0, self._others[target_id])

    def stalled_targets(self) -> frozenset[str]:
        """Returns the targets that a node sees standing still and no other one gets answers from."""
        return self._stalled_by_others.union(self.local_stalled()) - self.writing_targets()

    def writing_targets(self) -> frozenset[str]:
        """Returns the targets from which a node, this one included, just got something."""
        return self._writing_by_others.union(self.local_writing())

    def demand_by_model(self) -> dict[str, demand.ModelDemand]:
        """Returns what callers want of each model at all nodes that are heard."""
        return _demand([self.demand_meter.read(), self._demand_by_others])

    @property
    def are_stale(self) -> bool:
        """Returns True if counts come over several hops, from many nodes."""
        return not self._feed.is_full_mesh

    def writing_elsewhere(self) -> frozenset[str]:
        """Returns the targets from which other nodes just got something."""
        return self._writing_by_others

    def node_ids(self) -> frozenset[str]:
        """Returns all nodes that have a record; none before this node's own is known."""
        if self._node_ids is None:
            known = frozenset(self._table.records_by_id)
            self._node_ids = known if self._node_id in known else frozenset()
        return self._node_ids

    def node_count(self) -> int:
        """Returns the number of nodes, at least of those that are heard and this one."""
        known = len(self._table.records_by_id) or UNKNOWN_FLEET_NODES
        return max(known, len(self._heard_by_node) + 1)

    def _forget_nodes(self) -> None:
        self._node_ids = None

    # What is heard.

    async def _take(self, sender: str, report: LoadReport) -> None:
        self._heard_by_node[sender] = _Heard(report=report, at=clock.elapsed())
        if self._feed.is_full_mesh:
            self._sum()

    async def _take_sum(self, sender: str, message: HubLoad) -> None:
        self._sums_by_hub[sender] = _Heard(report=message.report, at=clock.elapsed())

    async def _take_fleet(self, sender: str, message: FleetLoad) -> None:
        if sender == self._hub:
            self._fleet = _Heard(report=message.report, at=clock.elapsed())
            self._sum()

    def _sum(self) -> None:
        """Adds up what is in flight at other nodes, by what was heard last."""
        fleet = self._fleet
        if fleet is not None and not self._feed.is_full_mesh and not self._feed.is_watcher:
            heard = fleet.report
            others = collections.Counter(heard.in_flight_by_target)
            others.subtract(self._sent.in_flight_by_target)
        else:
            heard = added(self._reports())
            others = collections.Counter(heard.in_flight_by_target)
        self._others = others
        self._stalled_by_others = frozenset(heard.stalled)
        self._writing_by_others = frozenset(heard.writing)
        self._demand_by_others = heard.demand_by_model

    def _reports(self) -> list[LoadReport]:
        heard = (*self._heard_by_node.values(), *self._sums_by_hub.values())
        return [one.report for one in heard]

    # What is told.

    async def _report(self) -> None:
        measured: dict[str, demand.ModelDemand] = {}
        measured_at = -math.inf
        while True:
            mesh = self._feed.is_full_mesh
            await asyncio.sleep(REPORT_SECONDS if mesh else HUB_REPORT_SECONDS)
            now = clock.elapsed()
            if now - measured_at >= REPEAT_SECONDS:
                measured, measured_at = self.demand_meter.read(), now
            report = LoadReport(
                in_flight_by_target=dict(self._own),
                stalled=tuple(sorted(self.local_stalled())),
                writing=tuple(sorted(self.local_writing())),
                demand_by_model=measured,
            )
            if mesh:
                self._tell_all(report, now)
            elif self._feed.is_watcher:
                self._tell_as_hub(report)
            else:
                self._tell_hub(report, now)
            self._forget_old(now)

    def _tell_all(self, report: LoadReport, now: float) -> None:
        if report != self._sent or now - self._sent_at >= REPEAT_SECONDS:
            self._peers.broadcast(report)
            self._sent, self._sent_at = report, now

    def _tell_as_hub(self, report: LoadReport) -> None:
        own = added([report, *(heard.report for heard in self._heard_by_node.values())])
        for hub in self._feed.watchers - {self._node_id}:
            self._peers.send(hub, HubLoad(report=own))
        sums = (heard.report for heard in self._sums_by_hub.values())
        fleet = FleetLoad(report=added([own, *sums]))
        for node_id in self._heard_by_node:
            self._peers.send(node_id, fleet)
        self._sum()

    def _tell_hub(self, report: LoadReport, now: float) -> None:
        self._hub = self._choose_hub(now)
        if self._hub:
            self._peers.send(self._hub, report)
        self._sent = report

    def _choose_hub(self, now: float) -> str:
        """Returns the hub of this node: the nearest that speaks, another one for each node."""
        heard_at = self._fleet.at if self._fleet is not None else -math.inf
        silent = now - max(heard_at, self._hub_since) > HUB_SILENCE_SECONDS
        if self._hub in self._feed.watchers and not silent:
            return self._hub
        if self._hub:
            self._avoided_until_by_hub[self._hub] = now + HUB_AVOIDED_SECONDS
            self._log.info("load_hub_silent", hub=self._hub)
        hub = next(
            (
                one
                for one in self._hubs_by_distance()
                if self._avoided_until_by_hub.get(one, now) <= now
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

    def _forget_old(self, now: float) -> None:
        forgotten = False
        for heard_by_id in (self._heard_by_node, self._sums_by_hub):
            old = [one for one, heard in heard_by_id.items() if now - heard.at > FORGET_SECONDS]
            for one in old:
                del heard_by_id[one]
                forgotten = True
        if self._fleet is not None and now - self._fleet.at > FORGET_SECONDS:
            self._fleet, forgotten = None, True
        if forgotten:
            self._sum()


def added(reports: Iterable[LoadReport]) -> LoadReport:
    """Returns what several nodes have in flight together."""
    reports = list(reports)
    in_flight: collections.Counter[str] = collections.Counter()
    for report in reports:
        in_flight.update(report.in_flight_by_target)
    none: frozenset[str] = frozenset()
    return LoadReport(
        in_flight_by_target=dict(in_flight),
        stalled=tuple(sorted(none.union(*(report.stalled for report in reports)))),
        writing=tuple(sorted(none.union(*(report.writing for report in reports)))),
        demand_by_model=_demand([report.demand_by_model for report in reports]),
    )


def _demand(
    demands: Iterable[dict[str, demand.ModelDemand]],
) -> dict[str, demand.ModelDemand]:
    found: dict[str, list[demand.ModelDemand]] = {}
    for model, one in itertools.chain.from_iterable(each.items() for each in demands):
        found.setdefault(model, []).append(one)
    return {model: demand.combined(seen) for model, seen in found.items()}
