"""Asks the nodes that hold claims for the outcomes of their attempts."""

from basilpost.core import clock
from basilpost.members import peers
from basilpost.runs import buckets, held_claims
from basilpost.settings import schema


class Holders:
    """The holders of all claims, this node included."""

    def __init__(
        self,
        *,
        node_id: str,
        claims: held_claims.HeldClaims,
        network: peers.PeerNetwork,
        timing: schema.Timing,
    ) -> None:
        self._node_id = node_id
        self._claims = claims
        self._peers = network
        self._timing = timing
        network.handle(held_claims.Attach, claims.attach, reply=held_claims.Report)

    async def outcome_of(
        self, record: buckets.Record, deadline: float
    ) -> held_claims.Report | peers.PeerUnavailable:
        """Waits with the node that holds a claim until its outcome or the deadline."""
        while True:
            seconds = held_claims.wait_slice(deadline)
            message = held_claims.Attach(attempt_id=record.attempt_id, wait_seconds=seconds)
            report = await self.ask(record.node_id, message)
            if isinstance(report, peers.PeerUnavailable):
                return report
            if not running_still(report) or clock.monotonic() >= deadline:
                return report

    async def ask(
        self, node_id: str, message: held_claims.Attach
    ) -> held_claims.Report | peers.PeerUnavailable:
        """Asks a node, which may be this one, for an attempt's outcome."""
        if node_id == self._node_id:
            return await self._claims.attach(node_id, message)
        timeout = message.wait_seconds + self._timing.peer_silence
        report: held_claims.Report | peers.PeerUnavailable = await self._peers.request(
            node_id, message, timeout=timeout
        )
        return report


def running_still(report: held_claims.Report) -> bool:
    """Returns True if the attempt's outcome is not decided."""
    return report.phase in (held_claims.Phase.CLAIMING, held_claims.Phase.HELD)
