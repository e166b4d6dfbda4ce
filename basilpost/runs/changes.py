"""The changes of a record, as functions that can be applied repeatedly.

The answer of the store can be lost after a write took effect. Each change recognises its own effect
by the attempt id, so a writer that is unsure reads the bucket and applies the change again.
"""

import dataclasses
from collections.abc import Callable

from basilpost.core import clock, data
from basilpost.runs import buckets, ledger

RAN_AFTER_SETTLEMENT_REASON = "ran although it had been settled as not run"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The result of applying a change to a record.

    Attributes:
        record: The record afterwards, None if there is none.
        in_effect: True if the change is in effect, now or already before; False if it does not
            apply.
    """

    record: buckets.Record | None
    in_effect: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A change of one record.

    Attributes:
        run_id: Id of the record.
        apply: Returns the new record for the current one; returns the current one if the change is
            already in effect.
        fence_version: Version of the bucket on which a delayed earlier write can still take effect,
            None if there is none. While the bucket is at this version it is written even if nothing
            changes, so that the delayed write conflicts.
    """

    run_id: str
    apply: Callable[[buckets.Record | None], Applied]
    fence_version: int | None = None


def read(run_id: str) -> Change:
    """Returns a change that only reads the record."""
    return Change(run_id=run_id, apply=lambda current: Applied(record=current, in_effect=True))


def claim(
    call: ledger.Call, *, attempt_id: str, node_id: str, replaceable: frozenset[str]
) -> Change:
    """Returns the claim of a request that is new, settled as not run, or withdrawn by its holder.

    Args:
        call: The request to claim.
        attempt_id: Unique id of the claim.
        node_id: Node that claims it.
        replaceable: Attempts that were not and never will be dispatched, as their holder reported.
    """
    claimed = buckets.Record(
        workspace=call.workspace,
        service=call.service,
        key=call.key,
        digest=call.digest,
        request_id=call.request_id,
        outcome_path=call.outcome_path,
        state=buckets.RunState.CLAIMED,
        attempt_id=attempt_id,
        node_id=node_id,
        changed_at=clock.utc_now(),
    )

    def apply(current: buckets.Record | None) -> Applied:
        if current is None:
            return Applied(record=claimed, in_effect=True)
        if current.attempt_id == attempt_id:
            return Applied(record=current, in_effect=current.state is buckets.RunState.CLAIMED)
        withdrawn = current.state is buckets.RunState.CLAIMED and current.attempt_id in replaceable
        settled = current.state is buckets.RunState.NOT_RUN and current.digest == call.digest
        if withdrawn or settled:
            return Applied(record=dataclasses.replace(claimed, audit=current.audit), in_effect=True)
        return Applied(record=current, in_effect=False)

    return Change(run_id=claimed.run_id, apply=apply)


def confirm(run_id: str, *, attempt_id: str, confirmations: int) -> Change:
    """Returns the confirmation of a claim by a write, which unlike a read is never stale."""

    def apply(current: buckets.Record | None) -> Applied:
        if current is None or not _is_claimed(current, attempt_id):
            return Applied(record=current, in_effect=False)
        if current.confirmations >= confirmations:
            return Applied(record=current, in_effect=True)
        return Applied(
            record=dataclasses.replace(current, confirmations=confirmations), in_effect=True
        )

    return Change(run_id=run_id, apply=apply)


def finish(run_id: str, *, attempt_id: str, answer: ledger.Answer | None) -> Change:
    """Returns the record of a run; it overrides what was settled in the meantime."""
    kept = buckets.to_kept_answer(answer) if answer else None
    changed_at = clock.utc_now()

    def apply(current: buckets.Record | None) -> Applied:
        if current is None or current.attempt_id != attempt_id:
            return Applied(record=current, in_effect=False)
        ran = dataclasses.replace(
            current,
            state=buckets.RunState.RAN,
            answer=kept,
            reason=RAN_AFTER_SETTLEMENT_REASON if current.state is buckets.RunState.NOT_RUN else "",
            changed_at=changed_at,
        )
        return Applied(record=ran, in_effect=True)

    return Change(run_id=run_id, apply=apply)


def mark_unknown(run_id: str, *, attempt_id: str, reason: str) -> Change:
    """Returns the record of an unknown outcome, for a claim that is still held."""
    changed_at = clock.utc_now()

    def apply(current: buckets.Record | None) -> Applied:
        if current is None or not _is_claimed(current, attempt_id):
            return Applied(record=current, in_effect=True)
        lost = dataclasses.replace(
            current, state=buckets.RunState.UNKNOWN, reason=reason, changed_at=changed_at
        )
        return Applied(record=lost, in_effect=True)

    return Change(run_id=run_id, apply=apply)


def withdraw(run_id: str, *, attempt_id: str, fence_version: int | None) -> Change:
    """Returns the removal of a claim that was not and never will be dispatched."""

    def apply(current: buckets.Record | None) -> Applied:
        if current is None or not _is_claimed(current, attempt_id):
            return Applied(record=current, in_effect=True)
        return Applied(record=None, in_effect=True)

    return Change(run_id=run_id, apply=apply, fence_version=fence_version)


def settle(
    observed: buckets.Record,
    *,
    state: buckets.RunState,
    entry: data.AuditEntry,
) -> Change:
    """Returns the settlement of an open request, which applies only to the observed record.

    Args:
        observed: The record on which the decision was based.
        state: The decided outcome.
        entry: The decision, for the audit trail of the record.
    """

    def apply(current: buckets.Record | None) -> Applied:
        if current is not None and any(
            decision.attempt_id == entry.attempt_id for decision in current.audit
        ):
            return Applied(record=current, in_effect=True)
        if current != observed:
            return Applied(record=current, in_effect=False)
        settled = dataclasses.replace(
            observed,
            state=state,
            changed_at=entry.at,
            audit=(*observed.audit, entry),
        )
        return Applied(record=settled, in_effect=True)

    return Change(run_id=observed.run_id, apply=apply)


def _is_claimed(current: buckets.Record, attempt_id: str) -> bool:
    return current.attempt_id == attempt_id and current.state is buckets.RunState.CLAIMED
