"""Asks the nodes that hold claims for the outcomes of their attempts."""

from basilpost.core import clock
from basilpost.members import peers
from basilpost.runs import buckets, running
from basilpost.settings import schema


class Holders:
    """The holders of all claims, this node included."""

    def __init__(
        self,
        *,
        node_id: str,
        entries: running.Entries,
        network: peers.PeerNetwork,
        timing: schema.Timing,
    ) -> None:
        self._node_id = node_id
        self._entries = entries
        self._peers = network
        self._timing = timing
        network.handle(running.Attach, entries.attach, reply=running.Report)

    async def outcome_of(
        self, record: buckets.Record, deadline: float
    ) -> running.Report | peers.PeerUnavailable:
        """Waits with the node that holds a claim until its outcome or the deadline."""
        while True:
            seconds = running.wait_slice(deadline)
            message = running.Attach(attempt_id=record.attempt_id, wait_seconds=seconds)
            report = await self.ask(record.node_id, message)
            if isinstance(report, peers.PeerUnavailable):
                return report
            if not running_still(report) or clock.monotonic() >= deadline:
                return report

    async def ask(
        self, node_id: str, message: running.Attach
    ) -> running.Report | peers.PeerUnavailable:
        """Asks a node, which may be this one, for an attempt's outcome."""
        if node_id == self._node_id:
            return await self._entries.attach(node_id, message)
        timeout = message.wait_seconds + self._timing.peer_silence
        report: running.Report | peers.PeerUnavailable = await self._peers.request(
            node_id, message, timeout=timeout
        )
        return report


def running_still(report: running.Report) -> bool:
    """Returns True if the attempt's outcome is not decided."""
    return report.phase in (running.Phase.CLAIMING, running.Phase.HELD)
