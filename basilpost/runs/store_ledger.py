"""The ledger on the object store: claims before dispatch, answers for repeats, open outcomes.

At most once rests on three facts: a claim is one conditional update, it is never taken over by
time, and a node dispatches only under a claim that the store confirmed within the last seconds.
"""

import asyncio
import random
import uuid
from collections.abc import Coroutine
from typing import Any

import prometheus_client

from basilpost.core import clock, failure, kernel, names, tasks
from basilpost.members import peers
from basilpost.runs import (
    buckets,
    changes,
    commits,
    gate,
    held_claims,
    holders,
    leases,
    ledger,
    lookup,
    refusals,
    repeats,
    settling,
    writer,
)
from basilpost.settings import schema
from basilpost.store import objects

CLAIM_SECONDS = 3.0
RECORD_SECONDS = 5.0
RECORD_BACKOFF_SECONDS = 0.1
MAX_RECORD_BACKOFF_SECONDS = 2.0
DRAIN_SECONDS = 60.0
PROBE_KEY = f"{names.RUN_PREFIX}probe"


class StoreLedger(ledger.Ledger, kernel.Service):
    """Keeps claims and outcomes in buckets of the object store."""

    def __init__(
        self,
        *,
        kernel: kernel.Kernel,
        outcome_lookup: lookup.OutcomeLookup | None = None,
        node_leases: leases.NodeLeases | None = None,
        random_source: random.Random | None = None,
        bucket_count: int = buckets.BUCKET_COUNT,
        share_writes: bool = True,
    ) -> None:
        self.node_id = kernel.node_id
        settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self.timing = settings.timing
        self._max_answer_bytes = settings.gateway.max_answer_bytes
        self.held_claims = held_claims.HeldClaims()
        self._log = kernel.log
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._random = random_source or random.Random()
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._recordings: set[asyncio.Task[None]] = set()
        self._gate = gate.StoreGate(probe=self._probe)
        self._metrics = _Metrics(registry=kernel.registry)
        self._writers = writer.Writers(
            store=self._store,
            store_gate=self._gate,
            task_set=self._tasks,
            random_source=self._random,
            bucket_count=bucket_count,
            share_writes=share_writes,
            wrote=self._metrics.shared.observe,
        )
        found_holders = holders.Holders(
            node_id=self.node_id,
            claims=self.held_claims,
            network=kernel.find(names.PEERS, peers.PeerNetwork),
            timing=self.timing,
        )
        self.settler = settling.Settler(
            node_id=self.node_id,
            store=self._store,
            commit=self._commit,
            ask=found_holders.ask,
            node_leases=node_leases or leases.NoLeases(),
            timing=self.timing,
        )
        self._repeats = repeats.Repeats(
            commit=self._commit,
            holders=found_holders,
            settler=self.settler,
            outcome_lookup=outcome_lookup or lookup.NoLookup(),
            timing=self.timing,
            task_set=self._tasks,
        )

    async def start(self) -> None:
        """Starts the probes of the store."""
        self._tasks.spawn(self._gate.run(), name="ledger gate")

    async def stop(self) -> None:
        """Waits a little for outcomes that are not recorded yet, then ends all tasks."""
        if self._recordings:
            await asyncio.wait(self._recordings, timeout=DRAIN_SECONDS)
        if self.held_claims.count():
            self._log.warning("ledger_stopped_with_open_claims", claims=self.held_claims.count())
        await self._tasks.close()

    async def claim(
        self, call: ledger.Call, *, timeout: float
    ) -> ledger.Claim | ledger.Replayed | failure.Refusal:
        """Claims a request before its dispatch, or tells what became of it."""
        outcome = await self._claim(call, clock.monotonic() + timeout)
        self._metrics.count(outcome)
        return outcome

    async def may_dispatch(self, claim: ledger.Claim) -> bool:
        """Returns True if the claim is fresh, confirming it by a write when it is not."""
        held = self.held_claims.find(claim.attempt_id)
        if held is None or held.phase is not held_claims.Phase.HELD:
            return False
        if self._fresh(held):
            return True
        held.confirmations += 1
        change = changes.confirm(
            held.run_id, attempt_id=held.attempt_id, confirmations=held.confirmations
        )
        committed = await self._commit(change, CLAIM_SECONDS)
        if not isinstance(committed, commits.Committed) or not committed.done:
            return False
        held.confirmed_at = committed.confirmed_at
        return held.phase is held_claims.Phase.HELD and self._fresh(held)

    async def finish(self, claim: ledger.Claim, answer: ledger.Answer) -> None:
        """Hands the answer to those who wait for it and records it in the background."""
        held = self.held_claims.find(claim.attempt_id)
        if held is None or not held.is_open:
            return
        held.answer = answer if len(answer.body) <= self._max_answer_bytes else None
        held.close(held_claims.Phase.FINISHED)
        self._record(held, changes.finish(held.run_id, attempt_id=held.attempt_id, answer=answer))

    async def withdraw(self, claim: ledger.Claim) -> None:
        """Withdraws a claim that was not dispatched; the store follows in the background."""
        held = self.held_claims.find(claim.attempt_id)
        if held is not None and held.is_open:
            self._withdraw(held)

    async def mark_unknown(self, claim: ledger.Claim, reason: str) -> None:
        """Records that the outcome is unknown; the request is never dispatched again."""
        held = self.held_claims.find(claim.attempt_id)
        if held is None or not held.is_open:
            return
        held.reason = reason
        held.close(held_claims.Phase.LOST)
        self._log.warning("run_lost", request=held.call.request_id, key=held.call.key)
        self._record(
            held, changes.mark_unknown(held.run_id, attempt_id=held.attempt_id, reason=reason)
        )

    def use_lookup(self, outcome_lookup: lookup.OutcomeLookup) -> None:
        """Asks services for open outcomes from now on; set by the layer that can reach them."""
        self._repeats.outcome_lookup = outcome_lookup

    async def _commit(self, change: changes.Change, seconds: float) -> commits.Result:
        """Commits a change of one record within some seconds."""
        return await self._writers.submit(change, deadline=clock.monotonic() + seconds)

    async def _claim(
        self, call: ledger.Call, deadline: float
    ) -> ledger.Claim | ledger.Replayed | failure.Refusal:
        if len(call.key) > buckets.MAX_KEY_CHARACTERS:
            return refusals.key_too_long(buckets.MAX_KEY_CHARACTERS)
        run_id = buckets.run_id(call.workspace, call.service, call.key)
        replaceable: frozenset[str] = frozenset()
        while True:
            held = self.held_claims.current(run_id)
            if held is not None:
                outcome = await self._repeats.attach_here(held, call, deadline)
            else:
                found = await self._claim_in_store(call, run_id, replaceable, deadline)
                if not isinstance(found, buckets.Record):
                    return found
                outcome = await self._repeats.answer(call, found, deadline)
                if outcome is None:
                    replaceable |= {found.attempt_id}
            if outcome is not None:
                return outcome
            if clock.monotonic() >= deadline:
                return refusals.store_unavailable()

    async def _claim_in_store(
        self, call: ledger.Call, run_id: str, replaceable: frozenset[str], deadline: float
    ) -> ledger.Claim | failure.Refusal | buckets.Record:
        """Claims by a conditional update; returns the record found if it is not to be had."""
        if not self._gate.passable():
            return refusals.store_unavailable()
        replaceable |= self.held_claims.withdrawn(run_id)
        held = held_claims.HeldClaim(call=call, run_id=run_id, attempt_id=uuid.uuid4().hex)
        self.held_claims.add(held)
        change = changes.claim(
            call, attempt_id=held.attempt_id, node_id=self.node_id, replaceable=replaceable
        )
        seconds = min(CLAIM_SECONDS, deadline - clock.monotonic())
        committing = asyncio.ensure_future(self._commit(change, seconds))
        try:
            committed = await asyncio.shield(committing)
        except asyncio.CancelledError:
            self.held_claims.withdraw(held)
            self._record_task(self._withdraw_after(held, committing))
            raise
        if isinstance(committed, commits.Committed):
            return self._claimed(held, committed)
        full = isinstance(committed, commits.BucketFull)
        held.refusal = refusals.bucket_full() if full else refusals.store_unavailable()
        if isinstance(committed, commits.Uncommitted):
            held.fence_version = committed.fence_version
        self._withdraw(held)
        return held.refusal

    def _claimed(
        self, held: held_claims.HeldClaim, committed: commits.Committed
    ) -> ledger.Claim | buckets.Record:
        record = committed.record
        if not committed.done and record is not None:
            self.held_claims.remove(held)
            held.close(held_claims.Phase.WITHDRAWN)
            return record
        held.phase = held_claims.Phase.HELD
        held.confirmed_at = committed.confirmed_at
        return ledger.Claim(
            call=held.call,
            attempt_id=held.attempt_id,
            node_id=self.node_id,
            confirmed_at=committed.confirmed_at,
        )

    def _withdraw(self, held: held_claims.HeldClaim) -> None:
        self.held_claims.withdraw(held)
        change = changes.withdraw(
            held.run_id, attempt_id=held.attempt_id, fence_version=held.fence_version
        )
        self._record(held, change)

    async def _withdraw_after(
        self, held: held_claims.HeldClaim, committing: asyncio.Future[commits.Result]
    ) -> None:
        """Withdraws the claim of a caller that went away, once it is known how far it got."""
        committed = await committing
        if isinstance(committed, commits.Uncommitted):
            held.fence_version = committed.fence_version
        self._withdraw(held)

    def _record(self, held: held_claims.HeldClaim, change: changes.Change) -> None:
        self._record_task(self._keep_recording(held, change))

    def _record_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._tasks.spawn(coroutine, name="record run")
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)

    async def _keep_recording(self, held: held_claims.HeldClaim, change: changes.Change) -> None:
        """Writes an outcome until the store has it; until then it is kept here."""
        backoff = RECORD_BACKOFF_SECONDS
        while True:
            committed = await self._commit(change, RECORD_SECONDS)
            if isinstance(committed, commits.Committed):
                break
            await asyncio.sleep(self._random.uniform(backoff / 2, backoff))
            backoff = min(MAX_RECORD_BACKOFF_SECONDS, backoff * 2)
        self.held_claims.remove(held)
        if not committed.done:
            self._log.error("run_not_recorded", request=held.call.request_id, key=held.call.key)

    def _fresh(self, held: held_claims.HeldClaim) -> bool:
        return clock.monotonic() - held.confirmed_at <= self.timing.claim_fresh

    async def _probe(self) -> bool:
        found = await self._store.get(PROBE_KEY, timeout=gate.SLOW_SECONDS)
        return not isinstance(found, objects.Unavailable)


class _Metrics:
    """Counts claims by result and changes by shared write."""

    def __init__(self, *, registry: prometheus_client.CollectorRegistry) -> None:
        self._claims = prometheus_client.Counter(
            "basilpost_ledger_claims_total",
            "Claims of non-idempotent requests by result.",
            ["result"],
            registry=registry,
        )
        self.shared = prometheus_client.Histogram(
            "basilpost_ledger_changes_per_write",
            "Changes that shared one write of a bucket.",
            buckets=(1, 2, 4, 8, 16, 32, 64),
            registry=registry,
        )

    def count(self, outcome: ledger.Claim | ledger.Replayed | failure.Refusal) -> None:
        """Counts one result."""
        result = type(outcome).__name__.lower()
        if isinstance(outcome, failure.Refusal):
            result = outcome.code
        self._claims.labels(result=result).inc()
