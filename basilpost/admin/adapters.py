"""Implements the interfaces in `ports` with the ledger and the quarantine of a node.

To settle a request is to record its final outcome in the ledger (it ran, or it did not run) when
that is open, for example after the node that dispatched it was lost. The settler does that.
"""

from basilpost.admin import ports
from basilpost.core import failure, names
from basilpost.core import kernel as kernels
from basilpost.routing import quarantine
from basilpost.runs import buckets, settling, store_ledger
from basilpost.store import objects


class LedgerRunAdmin(ports.RunAdmin):
    """Reads and settles requests in the ledger."""

    def __init__(self, *, settler: settling.Settler) -> None:
        self._settler = settler

    async def show(self, workspace: str, service: str, key: str) -> ports.RunView | failure.Failure:
        """Returns the record of a request, or the failure of the ledger."""
        record = await self._settler.show(workspace=workspace, service=service, key=key)
        return record if isinstance(record, failure.Failure) else _view_run(record)

    async def unsettled(self) -> tuple[ports.RunView, ...] | failure.Failure:
        """Returns all requests whose outcome is not final, running ones included."""
        records = await self._settler.list_unsettled()
        if isinstance(records, objects.Unavailable):
            return ports.StoreUnavailable(reason=f"the ledger could not be read: {records.reason}")
        return tuple(_view_run(record) for record in records)

    async def settle(self, settlement: ports.Settlement) -> ports.RunView | failure.Failure:
        """Records the outcome of a request; "not run" first waits for the isolation interval."""
        record = await self._settler.settle(
            workspace=settlement.workspace,
            service=settlement.service,
            key=settlement.key,
            outcome=failure.Outcome.RAN if settlement.ran else failure.Outcome.NOT_RUN,
            actor=settlement.actor,
            reason=settlement.reason,
        )
        return record if isinstance(record, failure.Failure) else _view_run(record)


class CrashQuarantineAdmin(ports.QuarantineAdmin):
    """Lists and releases requests that crashed their targets."""

    def __init__(self, *, entries: quarantine.CrashQuarantine) -> None:
        self._entries = entries

    async def list(self) -> tuple[ports.QuarantineView, ...] | failure.Failure:
        """Returns all quarantined requests."""
        return tuple(_view_entry(entry) for entry in self._entries.entries())

    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> ports.QuarantineView | failure.Failure:
        """Lets a request run again on all nodes."""
        entry = await self._entries.release(fingerprint, actor=actor, reason=reason)
        if isinstance(entry, quarantine.NotQuarantined):
            return ports.NoRun(reason=entry.reason)
        if isinstance(entry, objects.Unknown):
            return ports.OutcomeUnknown(reason=f"{entry.reason}; look again before repeating it")
        return _view_entry(entry)


class NoRunAdmin(ports.RunAdmin):
    """Refuses all calls, on a node without a ledger."""

    async def show(self, workspace: str, service: str, key: str) -> ports.RunView | failure.Failure:
        """Returns `NotOffered`."""
        return _NO_LEDGER

    async def unsettled(self) -> tuple[ports.RunView, ...] | failure.Failure:
        """Returns `NotOffered`."""
        return _NO_LEDGER

    async def settle(self, settlement: ports.Settlement) -> ports.RunView | failure.Failure:
        """Returns `NotOffered`."""
        return _NO_LEDGER


class NoQuarantineAdmin(ports.QuarantineAdmin):
    """Refuses all calls, on a node without a quarantine."""

    async def list(self) -> tuple[ports.QuarantineView, ...] | failure.Failure:
        """Returns `NotOffered`."""
        return _NO_QUARANTINE

    async def release(
        self, fingerprint: str, *, actor: str, reason: str
    ) -> ports.QuarantineView | failure.Failure:
        """Returns `NotOffered`."""
        return _NO_QUARANTINE


def find_run_admin(kernel: kernels.Kernel) -> ports.RunAdmin:
    """Returns the interface to the ledger of a node, or one that refuses if it has none."""
    try:
        ledger = kernel.find(names.LEDGER, store_ledger.StoreLedger)
    except kernels.ServiceMissingError:
        return NoRunAdmin()
    return LedgerRunAdmin(settler=ledger.settler)


def find_quarantine_admin(kernel: kernels.Kernel) -> ports.QuarantineAdmin:
    """Returns the interface to the quarantine, or one that refuses if the node has none."""
    try:
        entries = kernel.find(names.QUARANTINE, quarantine.CrashQuarantine)
    except kernels.ServiceMissingError:
        return NoQuarantineAdmin()
    return CrashQuarantineAdmin(entries=entries)


_NO_LEDGER = ports.NotOffered(reason="this node has no ledger of requests")
_NO_QUARANTINE = ports.NotOffered(reason="this node has no quarantine")


def _view_run(record: buckets.Record) -> ports.RunView:
    settlements = [
        f"{entry.actor} settled it as {entry.after}: {entry.reason}" for entry in record.audit
    ]
    return ports.RunView(
        workspace=record.workspace,
        service=record.service,
        key=record.key,
        state=record.state.value,
        node_id=record.node_id,
        request_id=record.request_id,
        changed_at=record.changed_at,
        detail="; ".join([*([record.reason] if record.reason else []), *settlements]),
    )


def _view_entry(entry: quarantine.Entry) -> ports.QuarantineView:
    return ports.QuarantineView(
        fingerprint=entry.fingerprint,
        workspace=entry.workspace,
        since=entry.at,
        detail=f"crashed {', '.join(entry.group_ids)} of {entry.service}",
    )
