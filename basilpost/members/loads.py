"""What the nodes have in flight at each target, shared over the peer streams.

Counts are hints for placing requests: a lost or late one costs some balance and no promise.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable

from basilpost.core import clock, kernel, names, tasks
from basilpost.members import node_table, peers

# Interval of reports; a request lasts a second or more, so counts of this age are close.
REPORT_SECONDS = 0.15
# An unchanged report is repeated, and one that was not repeated for twice as long is dropped.
REPEAT_SECONDS = 1.0
FORGET_SECONDS = 2.5
# What a node takes the fleet for until it has read the records of the others: many, so that its share
# of what all may spend together is small.
UNKNOWN_FLEET_NODES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A node's requests in flight.

    Attributes:
        in_flight_by_target: Number by target id, targets without any left out.
        stalled: Targets whose answers have stopped coming.
        writing: Targets from which something came a moment ago.
    """

    in_flight_by_target: dict[str, int]
    stalled: tuple[str, ...] = ()
    writing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Heard:
    report: LoadReport
    at: float


class Loads(kernel.Service):
    """Counts this node's requests in flight and adds those of the others."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._table = kernel.find(names.NODE_TABLE, node_table.NodeTable)
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._own: dict[str, int] = {}
        self._heard_by_node: dict[str, _Heard] = {}
        self._others: collections.Counter[str] = collections.Counter()
        self._stalled_by_others: frozenset[str] = frozenset()
        self._written_by_others: frozenset[str] = frozenset()
        self.stalled: Callable[[], Iterable[str]] = tuple
        self.writing: Callable[[], Iterable[str]] = tuple
        self._peers.handle(LoadReport, self._take)

    async def start(self) -> None:
        """Begins to report."""
        self._tasks.spawn(self._report(), name="load-reports")

    async def stop(self) -> None:
        """Ends reporting."""
        await self._tasks.close()

    def began(self, target_id: str) -> None:
        """Counts a request that is sent to a target."""
        self._own[target_id] = self._own.get(target_id, 0) + 1

    def ended(self, target_id: str) -> None:
        """Counts the end of a request."""
        left = self._own.get(target_id, 0) - 1
        if left > 0:
            self._own[target_id] = left
        else:
            self._own.pop(target_id, None)

    def own(self, target_id: str) -> int:
        """Returns this node's requests in flight at a target."""
        return self._own.get(target_id, 0)

    def total(self, target_id: str) -> int:
        """Returns the requests in flight at a target, of all nodes that are heard."""
        return self._own.get(target_id, 0) + self._others[target_id]

    def all_stalled(self) -> frozenset[str]:
        """Returns the targets that a node, this one included, sees standing still."""
        return self._stalled_by_others.union(self.stalled())

    def all_writing(self) -> frozenset[str]:
        """Returns the targets from which a node, this one included, just got something."""
        return self._written_by_others.union(self.writing())

    def nodes(self) -> int:
        """Returns the number of nodes, at least of those that are heard and this one."""
        known = len(self._table.records_by_id) or UNKNOWN_FLEET_NODES
        return max(known, len(self._heard_by_node) + 1)

    async def _take(self, sender: str, report: LoadReport) -> None:
        self._heard_by_node[sender] = _Heard(report=report, at=clock.elapsed())
        self._sum()

    def _sum(self) -> None:
        reports = [heard.report for heard in self._heard_by_node.values()]
        others: collections.Counter[str] = collections.Counter()
        for report in reports:
            others.update(report.in_flight_by_target)
        self._others = others
        self._stalled_by_others = frozenset().union(*(report.stalled for report in reports))
        self._written_by_others = frozenset().union(*(report.writing for report in reports))

    async def _report(self) -> None:
        last = LoadReport(in_flight_by_target={})
        sent_at = clock.elapsed()
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            now = clock.elapsed()
            report = LoadReport(
                in_flight_by_target=dict(self._own),
                stalled=tuple(sorted(self.stalled())),
                writing=tuple(sorted(self.writing())),
            )
            if report != last or now - sent_at >= REPEAT_SECONDS:
                self._peers.broadcast(report)
                last, sent_at = report, now
            old = [
                node
                for node, heard in self._heard_by_node.items()
                if now - heard.at > FORGET_SECONDS
            ]
            for node in old:
                del self._heard_by_node[node]
            if old:
                self._sum()
