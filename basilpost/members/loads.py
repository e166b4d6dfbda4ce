"""What the nodes have in flight at each target, shared over the peer streams.

Counts are hints for placing requests: a lost or late one costs some balance and no promise.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from basilpost.core import clock, kernel, names, tasks
from basilpost.members import peers

# Interval of reports; a request lasts a second or more, so counts of this age are close.
REPORT_SECONDS = 0.15
# An unchanged report is repeated, and one that was not repeated for twice as long is dropped.
REPEAT_SECONDS = 1.0
FORGET_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A node's requests in flight.

    Attributes:
        in_flight_by_target: Number by target id, targets without any left out.
        stalled: Targets whose answers have stopped coming.
    """

    in_flight_by_target: dict[str, int]
    stalled: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Heard:
    report: LoadReport
    at: float


class Loads(kernel.Service):
    """Counts this node's requests in flight and adds those of the others."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._own: dict[str, int] = {}
        self._heard_by_node: dict[str, _Heard] = {}
        self._others: dict[str, int] = {}
        self._stalled_by_others: dict[str, int] = {}
        self.stalled: Callable[[], tuple[str, ...]] = tuple
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
        return self._own.get(target_id, 0) + self._others.get(target_id, 0)

    def stalled_elsewhere(self, target_id: str) -> bool:
        """Returns True if another node reports that the target has stopped answering."""
        return target_id in self._stalled_by_others

    def nodes(self) -> int:
        """Returns the number of nodes that are heard, this one included."""
        return len(self._heard_by_node) + 1

    async def _take(self, sender: str, report: LoadReport) -> None:
        self._heard_by_node[sender] = _Heard(report=report, at=clock.elapsed())
        self._sum()

    def _sum(self) -> None:
        others: dict[str, int] = {}
        stalled: dict[str, int] = {}
        for heard in self._heard_by_node.values():
            for target_id, count in heard.report.in_flight_by_target.items():
                others[target_id] = others.get(target_id, 0) + count
            for target_id in heard.report.stalled:
                stalled[target_id] = stalled.get(target_id, 0) + 1
        self._others = others
        self._stalled_by_others = stalled

    async def _report(self) -> None:
        last = LoadReport(in_flight_by_target={})
        sent_at = clock.elapsed()
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            now = clock.elapsed()
            report = LoadReport(in_flight_by_target=dict(self._own), stalled=tuple(self.stalled()))
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
