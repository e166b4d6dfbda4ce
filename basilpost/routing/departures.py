"""Keeps new requests from runners that say in their answers that they leave.

The store says so too, but it may be away, and some runners never tell it. Nodes tell each other. A
runner that leaves goes on to serve for a while, so for a moment it is only chosen last; another one may
be about to start.
"""

import dataclasses
import uuid

import prometheus_client

from basilpost.core import clock, kernel, names
from basilpost.members import peers, recent_ids

# Time after the first such answer in which the runner is still used if there is no other one. Callers'
# requests may not reach it later than 2 s after the answer.
LAST_CHOICE_SECONDS = 1.0
# A runner is remembered for longer than it can take to leave.
MEMORY_SECONDS = 600.0
MAX_DEPARTURES = 4_096


@dataclasses.dataclass(frozen=True, kw_only=True)
class DepartureReport:
    """Tells other nodes that a runner says that it leaves.

    Attributes:
        report_id: Unique id; a node can receive the message several times.
        lifetime: Id of the run of the runner process.
        age: Seconds since its first answer that said so.
    """

    report_id: str
    lifetime: str
    age: float


class Departures(kernel.Service):
    """The runners that leave, as their answers to this node or to its peers say."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._log = kernel.log
        self._peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self._said_at_by_lifetime: dict[str, float] = {}
        self._handled_reports = recent_ids.RecentIds()
        leaving = prometheus_client.Gauge(
            "basilpost_leaving_targets",
            "Targets whose runners have said in an answer that they leave",
            registry=kernel.registry,
        )
        leaving.set_function(lambda: len(self._said_at_by_lifetime))
        self._peers.handle(DepartureReport, self._on_report)
        self._peers.subscribe(self._on_stream)

    def is_leaving(self, lifetime: str) -> bool:
        """Returns True if a runner has said that it leaves."""
        return lifetime in self._said_at_by_lifetime

    def may_send(self, lifetime: str) -> bool:
        """Returns True if a runner may get new requests, at least if there is no other one."""
        said_at = self._said_at_by_lifetime.get(lifetime)
        return said_at is None or clock.elapsed() - said_at < LAST_CHOICE_SECONDS

    def record_said(self, lifetime: str, target_id: str) -> None:
        """Records an answer in which a runner says that it leaves, and tells the peers once."""
        if lifetime in self._said_at_by_lifetime:
            return
        self._add(lifetime, clock.elapsed())
        self._log.info("target_leaving", target=target_id)
        self._peers.broadcast(self._report(lifetime, age=0.0))

    def _add(self, lifetime: str, said_at: float) -> None:
        """Adds a runner, and forgets those that have left or, if there are too many, the oldest."""
        oldest = clock.elapsed() - MEMORY_SECONDS
        self._said_at_by_lifetime = {
            known: at for known, at in self._said_at_by_lifetime.items() if at > oldest
        }
        if len(self._said_at_by_lifetime) >= MAX_DEPARTURES:
            first = min(self._said_at_by_lifetime, key=self._said_at_by_lifetime.__getitem__)
            del self._said_at_by_lifetime[first]
        self._said_at_by_lifetime[lifetime] = said_at

    async def _on_report(self, sender: str, message: DepartureReport) -> None:
        """Applies a report, and passes it on if it is new."""
        if not self._handled_reports.add(message.report_id):
            return
        if message.lifetime in self._said_at_by_lifetime or not message.age < MEMORY_SECONDS:
            return
        said_at = clock.elapsed() - max(0.0, message.age)
        self._add(message.lifetime, said_at)
        self._log.info("target_leaving", target=message.lifetime)
        self._peers.broadcast(message)

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        """Tells a peer the runners that leave when a stream to it opens."""
        if is_open:
            now = clock.elapsed()
            for lifetime, said_at in self._said_at_by_lifetime.items():
                self._peers.send(node_id, self._report(lifetime, age=now - said_at))

    def _report(self, lifetime: str, *, age: float) -> DepartureReport:
        report = DepartureReport(report_id=uuid.uuid4().hex, lifetime=lifetime, age=age)
        self._handled_reports.add(report.report_id)
        return report
