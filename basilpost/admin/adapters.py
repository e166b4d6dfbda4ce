"""Fits the ledger and the quarantine of a node to what operators ask of them."""

from basilpost.admin import ports
from basilpost.core import failure, names
from basilpost.core import kernel as kernels
from basilpost.routing import quarantine
from basilpost.runs import buckets, settling, store_ledger
from basilpost.store import objects


class LedgerRunAdmin(ports.RunAdmin):
    """The requests of the ledger."""

    def __init__(self, *, settler: settling.Settler) -> None:
        self._settler = settler

    async def show(self, workspace: str, service: str, key: str) -> ports.RunView | failure.Failure:
        """Returns what the ledger knows of a request."""
        found = await self._settler.show(workspace=workspace, service=service, key=key)
        return found if isinstance(found, failure.Failure) else _view_run(found)

    async def unsettled(self) -> tuple[ports.RunView, ...] | failure.Failure:
        """Returns all requests whose outcome is open."""
        found = await self._settler.list_unsettled()
        if isinstance(found, objects.Unavailable):
            return ports.StoreUnavailable(reason=f"the ledger could not be read: {found.reason}")
        return tuple(_view_run(record) for record in found)

    async def settle(self, settlement: ports.Settlement) -> ports.RunView | failure.Failure:
        """Settles a request; as not run only after the isolation interval."""
        found = await self._settler.settle(
            workspace=settlement.workspace,
            service=settlement.service,
            key=settlement.key,
            outcome=failure.Outcome.RAN if settlement.ran else failure.Outcome.NOT_RUN,
            actor=settlement.actor,
            reason=settlement.reason,
        )
        return found if isinstance(found, failure.Failure) else _view_run(found)


class CrashQuarantineAdmin(ports.QuarantineAdmin):
    """The requests that crashed their targets."""

    def __init__(self, *, entries: quarantine.CrashQuarantine) -> None:
        self._entries = entries

    async def list(self) -> tuple[ports.QuarantineView, ...] | failure.Failure:
        """Returns all quarantined requests."""
        return tuple(_view_entry(entry) for entry in self._entries.entries())

    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> ports.QuarantineView | failure.Failure:
        """Lets a request run again on all nodes."""
        found = await self._entries.release(fingerprint, actor=actor, reason=reason)
        if isinstance(found, quarantine.NotQuarantined):
            return ports.NoRun(reason=found.reason)
        if isinstance(found, objects.Unknown):
            return ports.OutcomeUnknown(reason=f"{found.reason}; look again before repeating it")
        return _view_entry(found)


class NoRunAdmin(ports.RunAdmin):
    """Stands in on a node without a ledger."""

    async def show(self, workspace: str, service: str, key: str) -> ports.RunView | failure.Failure:
        """Tells that there is no ledger."""
        return _NO_LEDGER

    async def unsettled(self) -> tuple[ports.RunView, ...] | failure.Failure:
        """Tells that there is no ledger."""
        return _NO_LEDGER

    async def settle(self, settlement: ports.Settlement) -> ports.RunView | failure.Failure:
        """Tells that there is no ledger."""
        return _NO_LEDGER


class NoQuarantineAdmin(ports.QuarantineAdmin):
    """Stands in on a node without a quarantine."""

    async def list(self) -> tuple[ports.QuarantineView, ...] | failure.Failure:
        """Tells that there is no quarantine."""
        return _NO_QUARANTINE

    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> ports.QuarantineView | failure.Failure:
        """Tells that there is no quarantine."""
        return _NO_QUARANTINE


def find_run_admin(kernel: kernels.Kernel) -> ports.RunAdmin:
    """Returns the interface to the ledger of a node, or one that refuses if it has none."""
    try:
        found = kernel.find(names.LEDGER, store_ledger.StoreLedger)
    except kernels.ServiceMissingError:
        return NoRunAdmin()
    return LedgerRunAdmin(settler=found.settler)


def find_quarantine_admin(kernel: kernels.Kernel) -> ports.QuarantineAdmin:
    """Returns the interface to the quarantine, or one that refuses if the node has none."""
    try:
        found = kernel.find(names.QUARANTINE, quarantine.CrashQuarantine)
    except kernels.ServiceMissingError:
        return NoQuarantineAdmin()
    return CrashQuarantineAdmin(entries=found)


_NO_LEDGER = ports.NotOffered(reason="this node has no ledger of requests")
_NO_QUARANTINE = ports.NotOffered(reason="this node has no quarantine")


def _view_run(record: buckets.Record) -> ports.RunView:
    decided = [f"{one.actor} settled it as {one.after}: {one.reason}" for one in record.audit]
    return ports.RunView(
        workspace=record.workspace,
        service=record.service,
        key=record.key,
        state=record.state.value,
        node_id=record.node_id,
        request_id=record.request_id,
        changed_at=record.changed_at,
        detail="; ".join([*([record.reason] if record.reason else []), *decided]),
    )


def _view_entry(entry: quarantine.Entry) -> ports.QuarantineView:
    return ports.QuarantineView(
        fingerprint=entry.fingerprint,
        workspace=entry.workspace,
        since=entry.at,
        detail=f"crashed {', '.join(entry.group_ids)} of {entry.service}",
    )
