"""Lets operators, and services that know, settle requests whose outcome is open.

Settling as not run lets the key run again, so it must be sure that the first claim can no longer be
dispatched: its node must be gone, and the claim must have stayed as it was for the isolation
interval. A node that was frozen confirms an old claim by a write, which this would see, or which
fails because the claim is settled.
"""

import asyncio
import uuid
from collections.abc import Awaitable, Callable

from basilpost.core import clock, data, failure, names
from basilpost.members import peers
from basilpost.runs import buckets, changes, commits, held_claims, leases, refusals
from basilpost.settings import schema
from basilpost.store import objects

COMMIT_SECONDS = 5.0
LIST_SECONDS = 10.0
SHARDS = "0123456789abcdef"

Commit = Callable[[changes.Change, float], Awaitable[commits.Result]]
Ask = Callable[[str, held_claims.Attach], Awaitable[held_claims.Report | peers.PeerUnavailable]]

_STATES_BY_OUTCOME = {
    failure.Outcome.RAN: buckets.RunState.RAN,
    failure.Outcome.NOT_RUN: buckets.RunState.NOT_RUN,
}


class Settler:
    """Shows and settles the records of the ledger."""

    def __init__(
        self,
        *,
        node_id: str,
        store: objects.ObjectStore,
        commit: Commit,
        ask: Ask,
        node_leases: leases.NodeLeases,
        timing: schema.Timing,
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._commit = commit
        self._ask = ask
        self._leases = node_leases
        self._open_seconds = max(timing.isolation, 2 * timing.claim_fresh)

    async def show(
        self, *, workspace: str, service: str, key: str
    ) -> buckets.Record | failure.Refusal:
        """Returns the record of a request."""
        committed = await self._commit(
            changes.read(buckets.run_id(workspace, service, key)), COMMIT_SECONDS
        )
        if not isinstance(committed, commits.Committed):
            return refusals.store_unavailable()
        return committed.record or refusals.no_record(key)

    async def list_unsettled(self) -> tuple[buckets.Record, ...] | objects.Unavailable:
        """Lists all requests whose outcome is open, those that still run included."""
        found: list[buckets.Record] = []
        for shard in SHARDS:
            prefix = f"{names.RUN_PREFIX}{shard}"
            listing = await self._store.list(
                prefix, timeout=LIST_SECONDS, urgency=objects.Urgency.BACKGROUND
            )
            if isinstance(listing, objects.Unavailable):
                return listing
            for stored in listing.objects:
                records = buckets.decode(stored.value).values()
                found += (one for one in records if one.state not in buckets.FINAL_STATES)
        return tuple(sorted(found, key=lambda record: record.changed_at))

    async def settle(
        self,
        *,
        workspace: str,
        service: str,
        key: str,
        outcome: failure.Outcome,
        actor: str,
        reason: str,
        seen: buckets.Record | None = None,
    ) -> buckets.Record | failure.Refusal:
        """Settles an open request as run or not run; not run takes the isolation interval.

        Args:
            workspace: Who called.
            service: What was called.
            key: The caller's idempotency key.
            outcome: What became of the request.
            actor: Who decides.
            reason: How the actor knows.
            seen: The record as shown before the actor looked at the service. With it a request
                that was claimed or confirmed again since then is not settled by an old look.
        """
        if outcome not in _STATES_BY_OUTCOME:
            return refusals.not_an_outcome()
        observed = await self.show(workspace=workspace, service=service, key=key)
        refusal = await self._refusal(observed if seen is None else seen, observed)
        if refusal is None and outcome is failure.Outcome.NOT_RUN:
            await asyncio.sleep(self._open_seconds)
            latest = await self.show(workspace=workspace, service=service, key=key)
            refusal = await self._refusal(observed, latest)
        if refusal is not None or not isinstance(observed, buckets.Record):
            return refusal or refusals.no_record(key)
        return await self._write(observed, _STATES_BY_OUTCOME[outcome], actor, reason)

    async def _refusal(
        self,
        observed: buckets.Record | failure.Refusal,
        latest: buckets.Record | failure.Refusal,
    ) -> failure.Refusal | None:
        """Says why a request cannot be settled now, None if it can."""
        if isinstance(latest, failure.Refusal):
            return latest
        if latest != observed:
            return refusals.record_changed(latest.key)
        if latest.state in buckets.FINAL_STATES:
            return refusals.already_settled(latest.key)
        held = latest.state is buckets.RunState.CLAIMED and not await self._holder_gone(latest)
        return refusals.still_held(latest.key, latest.node_id) if held else None

    async def _holder_gone(self, record: buckets.Record) -> bool:
        """Returns True if the claim's node is gone, or has restarted since."""
        if self._leases.has_ended(record.node_id):
            return True
        message = held_claims.Attach(attempt_id=record.attempt_id, wait_seconds=0.0)
        report = await self._ask(record.node_id, message)
        return isinstance(report, held_claims.Report) and report.phase is held_claims.Phase.NOT_MINE

    async def _write(
        self, observed: buckets.Record, state: buckets.RunState, actor: str, reason: str
    ) -> buckets.Record | failure.Refusal:
        entry = data.AuditEntry(
            at=clock.utc_now(),
            actor=actor,
            node_id=self._node_id,
            reason=reason,
            before=observed.state.value,
            after=state.value,
            attempt_id=uuid.uuid4().hex,
        )
        change = changes.settle(observed, state=state, entry=entry)
        committed = await self._commit(change, COMMIT_SECONDS)
        if isinstance(committed, commits.Uncommitted) and committed.fence_version is not None:
            return refusals.settling_unconfirmed(observed.key)
        if not isinstance(committed, commits.Committed):
            return refusals.store_unavailable()
        if not committed.done or committed.record is None:
            return refusals.record_changed(observed.key)
        return committed.record
