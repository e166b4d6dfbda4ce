"""Asks the nodes that hold claims for the outcomes of the claimed requests."""

from basilpost.core import clock
from basilpost.members import peers
from basilpost.runs import buckets, held_claims
from basilpost.settings import schema


class ClaimHolders:
    """The nodes that hold claims, this one included."""

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
        network.handle(
            held_claims.OutcomeQuery, claims.on_outcome_query, reply=held_claims.OutcomeReport
        )

    async def outcome_of(
        self, record: buckets.Record, deadline: float
    ) -> held_claims.OutcomeReport | peers.PeerUnavailable:
        """Returns the holder's report, once the outcome is decided or the deadline has passed."""
        while True:
            seconds = held_claims.next_wait_seconds(deadline)
            message = held_claims.OutcomeQuery(attempt_id=record.attempt_id, wait_seconds=seconds)
            report = await self.ask(record.node_id, message)
            if isinstance(report, peers.PeerUnavailable):
                return report
            if not is_undecided(report) or clock.monotonic() >= deadline:
                return report

    async def ask(
        self, node_id: str, message: held_claims.OutcomeQuery
    ) -> held_claims.OutcomeReport | peers.PeerUnavailable:
        """Asks a node, which may be this one, for the outcome of an attempt."""
        if node_id == self._node_id:
            return await self._claims.on_outcome_query(node_id, message)
        timeout = message.wait_seconds + self._timing.peer_silence
        report: held_claims.OutcomeReport | peers.PeerUnavailable = await self._peers.request(
            node_id, message, timeout=timeout
        )
        return report


def is_undecided(report: held_claims.OutcomeReport) -> bool:
    """Returns True if the request may still be dispatched or is running."""
    return report.phase in (held_claims.Phase.CLAIMING, held_claims.Phase.HELD)
