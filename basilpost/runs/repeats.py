"""Answers repeats of non-idempotent requests with the outcome of the first attempt."""

import asyncio

from basilpost.core import clock, failure, tasks
from basilpost.runs import (
    buckets,
    changes,
    claim_holders,
    commits,
    held_claims,
    ledger,
    lookup,
    refusals,
    settling,
)
from basilpost.settings import schema

# Timeouts of reading or changing a record, and of asking a service for an outcome.
READ_SECONDS = 3.0
LOOKUP_SECONDS = 2.0


class Repeats:
    """Lets repeats wait for running requests, replays answers and looks up open outcomes."""

    def __init__(
        self,
        *,
        commit: settling.Commit,
        holders: claim_holders.ClaimHolders,
        settler: settling.Settler,
        outcome_lookup: lookup.OutcomeLookup,
        timing: schema.Timing,
        task_set: tasks.TaskSet,
    ) -> None:
        self._commit = commit
        self._holders = holders
        self._settler = settler
        self.outcome_lookup = outcome_lookup
        self._timing = timing
        self._tasks = task_set
        self._settling: set[str] = set()

    async def answer_from_claim(
        self, claim: held_claims.HeldClaim, call: ledger.Call, deadline: float
    ) -> ledger.Replayed | failure.Refusal | None:
        """Waits for the outcome of a claim of this node; None if the request may be claimed again."""
        if claim.call.digest != call.digest:
            return refusals.key_reused(call)
        if claim.is_open:
            await claim.wait(max(0.0, deadline - clock.monotonic()))
        if claim.is_open:
            return refusals.still_running(call)
        if claim.phase is held_claims.Phase.WITHDRAWN and claim.refusal is not None:
            return claim.refusal
        return _outcome_of(claim.report(), call)

    async def answer_from_record(
        self, call: ledger.Call, record: buckets.Record, deadline: float
    ) -> ledger.Replayed | failure.Refusal | None:
        """Returns what became of a recorded request; None if the request may be claimed."""
        while True:
            if record.digest != call.digest:
                return refusals.key_reused(call)
            if record.state is buckets.RunState.RAN:
                return _replay(record.answer.answer() if record.answer else None, call)
            if record.state is buckets.RunState.NOT_RUN:
                return None
            if record.state is buckets.RunState.UNKNOWN:
                return await self._look_up(call, record, record.reason)
            report = await self._holders.outcome_of(record, deadline)
            if (
                isinstance(report, held_claims.OutcomeReport)
                and report.phase is not held_claims.Phase.NOT_MINE
            ):
                return (
                    refusals.still_running(call)
                    if claim_holders.is_undecided(report)
                    else _outcome_of(report, call)
                )
            latest = await self._read(record.run_id)
            if isinstance(latest, buckets.Record) and latest == record:
                return await self._look_up(call, record, "its node does not answer for it")
            if isinstance(latest, failure.Failure):
                return refusals.unknown(call, latest.reason)
            if latest is None:
                return None
            record = latest

    async def _read(self, run_id: str) -> buckets.Record | failure.Failure | None:
        """Reads a record from the store; returns None if there is none."""
        committed = await self._commit(changes.read(run_id), READ_SECONDS)
        return committed.record if isinstance(committed, commits.Committed) else committed

    async def _look_up(
        self, call: ledger.Call, record: buckets.Record, reason: str
    ) -> ledger.Replayed | failure.Refusal:
        """Asks the service what became of a request whose outcome is open.

        Only "ran" is accepted at once. A service without a record of a request does not show that
        the request is not still on its way, so "never ran" is settled as by an operator.
        """
        result = await self.outcome_lookup.look_up(record, timeout=LOOKUP_SECONDS)
        if isinstance(result, lookup.NeverRan) and record.run_id not in self._settling:
            self._settling.add(record.run_id)
            self._tasks.spawn(self._settle_as_not_run(record), name="settle run")
        if not isinstance(result, lookup.Ran):
            return refusals.unknown(call, reason)
        change = changes.finish(record.run_id, attempt_id=record.attempt_id, answer=result.answer)
        await self._commit(change, READ_SECONDS)
        return _replay(result.answer, call)

    async def _settle_as_not_run(self, record: buckets.Record) -> None:
        """Settles a request that the service still has no record of after the isolation interval."""
        try:
            await asyncio.sleep(self._timing.isolation)
            result = await self.outcome_lookup.look_up(record, timeout=LOOKUP_SECONDS)
            if not isinstance(result, lookup.NeverRan):
                return
            await self._settler.settle(
                workspace=record.workspace,
                service=record.service,
                key=record.key,
                outcome=failure.Outcome.NOT_RUN,
                actor="outcome look-up",
                reason=f"{record.service} has no trace of the key",
                seen=record,
            )
        finally:
            self._settling.discard(record.run_id)


def _outcome_of(
    report: held_claims.OutcomeReport, call: ledger.Call
) -> ledger.Replayed | failure.Refusal | None:
    """Returns the answer to a repeat of a decided attempt; None if it was withdrawn."""
    if report.phase is held_claims.Phase.WITHDRAWN:
        return None
    if report.phase is held_claims.Phase.FINISHED:
        return _replay(report.answer, call)
    return refusals.unknown(call, report.reason)


def _replay(answer: ledger.Answer | None, call: ledger.Call) -> ledger.Replayed | failure.Refusal:
    if answer is None:
        return refusals.answer_not_kept(call)
    return ledger.Replayed(answer=answer)
