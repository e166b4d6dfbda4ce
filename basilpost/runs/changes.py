"""The changes of a record, as functions that may be applied again.

An answer of the store can be lost after the write took effect. Each change recognises its own
effect by the attempt id, so a writer that is unsure reads the bucket and applies the change again.
"""

import dataclasses
from collections.abc import Callable

from basilpost.core import clock, data
from basilpost.runs import buckets, ledger

RAN_AFTER_ALL = "ran although it had been settled as not run"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """What a change makes of a record.

    Attributes:
        record: The record afterwards, None for none.
        done: True if the change is (now or already) in effect, False if it does not apply.
    """

    record: buckets.Record | None
    done: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A change of one record.

    Attributes:
        run_id: The record it is about.
        apply: Makes the new record from the found one; must return the found one if done.
        fence_version: A bucket version at which an earlier write may still arrive; the bucket is
            written even without a change while it is at this version, so that it cannot.
    """

    run_id: str
    apply: Callable[[buckets.Record | None], Applied]
    fence_version: int | None = None


def read(run_id: str) -> Change:
    """Reads the record without changing it."""
    return Change(run_id=run_id, apply=lambda found: Applied(record=found, done=True))


def claim(
    call: ledger.Call, *, attempt_id: str, node_id: str, replaceable: frozenset[str]
) -> Change:
    """Claims a request that is new, settled as not run, or withdrawn by its holder.

    Args:
        call: The request.
        attempt_id: Unique id of the claim.
        node_id: Node that claims.
        replaceable: Attempts whose holder has said that they were not and never will be dispatched.
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

    def apply(found: buckets.Record | None) -> Applied:
        if found is None:
            return Applied(record=claimed, done=True)
        if found.attempt_id == attempt_id:
            return Applied(record=found, done=found.state is buckets.RunState.CLAIMED)
        withdrawn = found.state is buckets.RunState.CLAIMED and found.attempt_id in replaceable
        settled = found.state is buckets.RunState.NOT_RUN and found.digest == call.digest
        if withdrawn or settled:
            return Applied(record=dataclasses.replace(claimed, audit=found.audit), done=True)
        return Applied(record=found, done=False)

    return Change(run_id=claimed.run_id, apply=apply)


def confirm(run_id: str, *, attempt_id: str, confirmations: int) -> Change:
    """Confirms a claim again by a write, which unlike a read can never be stale."""

    def apply(found: buckets.Record | None) -> Applied:
        if found is None or not _claimed(found, attempt_id):
            return Applied(record=found, done=False)
        if found.confirmations >= confirmations:
            return Applied(record=found, done=True)
        return Applied(record=dataclasses.replace(found, confirmations=confirmations), done=True)

    return Change(run_id=run_id, apply=apply)


def finish(run_id: str, *, attempt_id: str, answer: ledger.Answer | None) -> Change:
    """Records that a request ran; the truth goes before what was settled meanwhile."""
    kept = buckets.to_kept_answer(answer) if answer else None
    changed_at = clock.utc_now()

    def apply(found: buckets.Record | None) -> Applied:
        if found is None or found.attempt_id != attempt_id:
            return Applied(record=found, done=False)
        ran = dataclasses.replace(
            found,
            state=buckets.RunState.RAN,
            answer=kept,
            reason=RAN_AFTER_ALL if found.state is buckets.RunState.NOT_RUN else "",
            changed_at=changed_at,
        )
        return Applied(record=ran, done=True)

    return Change(run_id=run_id, apply=apply)


def mark_unknown(run_id: str, *, attempt_id: str, reason: str) -> Change:
    """Records that nobody knows whether a request ran."""
    changed_at = clock.utc_now()

    def apply(found: buckets.Record | None) -> Applied:
        if found is None or not _claimed(found, attempt_id):
            return Applied(record=found, done=True)
        lost = dataclasses.replace(
            found, state=buckets.RunState.UNKNOWN, reason=reason, changed_at=changed_at
        )
        return Applied(record=lost, done=True)

    return Change(run_id=run_id, apply=apply)


def withdraw(run_id: str, *, attempt_id: str, fence_version: int | None) -> Change:
    """Removes a claim that was not and never will be dispatched."""

    def apply(found: buckets.Record | None) -> Applied:
        if found is None or not _claimed(found, attempt_id):
            return Applied(record=found, done=True)
        return Applied(record=None, done=True)

    return Change(run_id=run_id, apply=apply, fence_version=fence_version)


def settle(
    observed: buckets.Record,
    *,
    state: buckets.RunState,
    entry: data.AuditEntry,
) -> Change:
    """Settles an open request as decided, if it is still as it was observed."""

    def apply(found: buckets.Record | None) -> Applied:
        if found is not None and any(one.attempt_id == entry.attempt_id for one in found.audit):
            return Applied(record=found, done=True)
        if found != observed:
            return Applied(record=found, done=False)
        settled = dataclasses.replace(
            observed,
            state=state,
            changed_at=entry.at,
            audit=(*observed.audit, entry),
        )
        return Applied(record=settled, done=True)

    return Change(run_id=observed.run_id, apply=apply)


def _claimed(found: buckets.Record, attempt_id: str) -> bool:
    return found.attempt_id == attempt_id and found.state is buckets.RunState.CLAIMED
