"""Fits the ledger and the quarantine of a node to what operators ask of them."""

from basilpost.admin import ports
from basilpost.core import failure


class NoRunDesk(ports.RunDesk):
    """Stands in on a node without a ledger."""

    async def show(self, workspace: str, service: str, key: str) -> ports.RunView | failure.Failure:
        """Tells that there is no ledger."""
        return ports.NotOffered(reason="this node has no ledger of requests")

    async def settle(self, settlement: ports.Settlement) -> ports.RunView | failure.Failure:
        """Tells that there is no ledger."""
        return ports.NotOffered(reason="this node has no ledger of requests")


class NoQuarantineDesk(ports.QuarantineDesk):
    """Stands in on a node without a quarantine."""

    async def list(self) -> tuple[ports.QuarantineView, ...] | failure.Failure:
        """Tells that there is no quarantine."""
        return ports.NotOffered(reason="this node has no quarantine")

    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> ports.QuarantineView | failure.Failure:
        """Tells that there is no quarantine."""
        return ports.NotOffered(reason="this node has no quarantine")
