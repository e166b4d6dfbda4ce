"""Settles requests whose outcome is open, for operators and by look-ups at services.

To settle a request is to record finally that it ran, or that it did not run.

A request that is settled as not run may run again, so its first claim must be unable to be
dispatched: the claim's node must be gone, and the claim must not have changed for the isolation
interval. A node that was frozen confirms an old claim by a write before the dispatch. Either that
write changes the claim during the interval, or it fails because the claim is settled.
"""

import asyncio
import uuid
from collections.abc import Awaitable, Callable

from basilpost.core import clock, data, failure, names
from basilpost.members import peers
from basilpost.runs import buckets, changes, commits, held_claims, leases, refusals
from basilpost.settings import schema
from basilpost.store import objects

# Timeouts of a change of one record, and of a listing of buckets.
COMMIT_SECONDS = 5.0
LIST_SECONDS = 10.0
# First digits of the buckets' hexadecimal numbers; each listing reads the buckets with one of them.
SHARDS = "0123456789abcdef"

Commit = Callable[[changes.Change, float], Awaitable[commits.Result]]
Ask = Callable[
    [str, held_claims.OutcomeQuery], Awaitable[held_claims.OutcomeReport | peers.PeerUnavailable]
]

_STATES_BY_OUTCOME = {
    failure.Outcome.RAN: buckets.RunState.RAN,
    failure.Outcome.NOT_RUN: buckets.RunState.NOT_RUN,
}


class Settler:
    """Reads and lists the ledger's records, and records the final outcome of open requests."""

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
        self._unchanged_seconds = max(timing.isolation, 2 * timing.claim_fresh)

    async def show(
        self, *, workspace: str, service: str, key: str
    ) -> buckets.Record | failure.Refusal:
        """Reads the record of a request; returns a refusal if there is none."""
        committed = await self._commit(
            changes.read(buckets.run_id(workspace, service, key)), COMMIT_SECONDS
        )
        if not isinstance(committed, commits.Committed):
            return refusals.store_unavailable()
        return committed.record or refusals.no_record(key)

    async def list_unsettled(self) -> tuple[buckets.Record, ...] | objects.Unavailable:
        """Returns all records with an open outcome, the oldest first; some may still run."""
        unsettled: list[buckets.Record] = []
        for shard in SHARDS:
            prefix = f"{names.RUN_PREFIX}{shard}"
            listing = await self._store.list(
                prefix, timeout=LIST_SECONDS, urgency=objects.Urgency.BACKGROUND
            )
            if isinstance(listing, objects.Unavailable):
                return listing
            for stored in listing.objects:
                records = buckets.decode(stored.value).values()
                unsettled += (
                    record for record in records if record.state not in buckets.FINAL_STATES
                )
        return tuple(sorted(unsettled, key=lambda record: record.changed_at))

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
        """Settles an open request as run, or as not run after the isolation interval.

        Args:
            workspace: Workspace of the caller.
            service: Requested service.
            key: The caller's idempotency key.
            outcome: What became of the request, RAN or NOT_RUN.
            actor: Who decides.
            reason: How the actor knows.
            seen: The record as it was before the actor asked the service. If given, a request that
                was claimed or confirmed again since then is not settled.

        Returns:
            The settled record, or a refusal if it cannot be settled or changed in the meantime.
        """
        if outcome not in _STATES_BY_OUTCOME:
            return refusals.not_an_outcome()
        observed = await self.show(workspace=workspace, service=service, key=key)
        refusal = await self._refusal(observed if seen is None else seen, observed)
        if refusal is None and outcome is failure.Outcome.NOT_RUN:
            await asyncio.sleep(self._unchanged_seconds)
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
        """Returns why a request cannot be settled now, None if it can.

        Args:
            observed: The record on which the decision is based.
            latest: The record as it is now.
        """
        if isinstance(latest, failure.Refusal):
            return latest
        if latest != observed:
            return refusals.record_changed(latest.key)
        if latest.state in buckets.FINAL_STATES:
            return refusals.already_settled(latest.key)
        held = latest.state is buckets.RunState.CLAIMED and not await self._is_holder_gone(latest)
        return refusals.still_held(latest.key, latest.node_id) if held else None

    async def _is_holder_gone(self, record: buckets.Record) -> bool:
        """Returns True if the claim's node is gone, or has restarted since the claim."""
        if self._leases.has_ended(record.node_id):
            return True
        message = held_claims.OutcomeQuery(attempt_id=record.attempt_id, wait_seconds=0.0)
        report = await self._ask(record.node_id, message)
        return (
            isinstance(report, held_claims.OutcomeReport)
            and report.phase is held_claims.Phase.NOT_MINE
        )

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
        if not committed.in_effect or committed.record is None:
            return refusals.record_changed(observed.key)
        return committed.record
