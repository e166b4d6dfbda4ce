"""The ledger on the object store: claims before dispatch, answers for repeats, open outcomes.

A request runs at most once for three reasons: a claim is one conditional update, a claim never
passes to another node by mere lapse of time, and a node dispatches only under a claim that the store
confirmed within the last seconds.
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
    bucket_writer,
    buckets,
    changes,
    claim_holders,
    commits,
    gate,
    held_claims,
    leases,
    ledger,
    lookup,
    refusals,
    repeats,
    settling,
)
from basilpost.settings import schema
from basilpost.store import objects

# Time in which the store must confirm a claim.
CLAIM_SECONDS = 3.0
# Time for one attempt to record an outcome, and the delay before the next one, which doubles.
RECORD_SECONDS = 5.0
RECORD_BACKOFF_SECONDS = 0.1
MAX_RECORD_BACKOFF_SECONDS = 2.0
# Time for which a stopping node waits for outcomes that are not recorded yet.
DRAIN_SECONDS = 60.0
# Key that the probe of the store reads; it need not exist.
PROBE_KEY = f"{names.RUN_PREFIX}probe"


class StoreLedger(ledger.Ledger, kernel.Service):
    """Keeps claims and outcomes in buckets of the object store.

    Attributes:
        node_id: This node.
        timing: Timing of the node's settings.
        held_claims: The claims that this node holds.
        settler: Settles requests whose outcome is open.
    """

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
        self._record_tasks: set[asyncio.Task[None]] = set()
        self._gate = gate.StoreGate(probe=self._probe)
        self._metrics = _Metrics(registry=kernel.registry)
        self._writers = bucket_writer.BucketWriters(
            store=self._store,
            store_gate=self._gate,
            task_set=self._tasks,
            random_source=self._random,
            bucket_count=bucket_count,
            share_writes=share_writes,
            on_written=self._metrics.changes_per_write.observe,
        )
        holders = claim_holders.ClaimHolders(
            node_id=self.node_id,
            claims=self.held_claims,
            network=kernel.find(names.PEERS, peers.PeerNetwork),
            timing=self.timing,
        )
        self.settler = settling.Settler(
            node_id=self.node_id,
            store=self._store,
            commit=self._commit,
            ask=holders.ask,
            node_leases=node_leases or leases.NoLeases(),
            timing=self.timing,
        )
        self._repeats = repeats.Repeats(
            commit=self._commit,
            holders=holders,
            settler=self.settler,
            outcome_lookup=outcome_lookup or lookup.NoLookup(),
            timing=self.timing,
            task_set=self._tasks,
        )

    async def start(self) -> None:
        """Starts probing the store whenever the gate is closed."""
        self._tasks.spawn(self._gate.run(), name="ledger gate")

    async def stop(self) -> None:
        """Waits up to `DRAIN_SECONDS` for outcomes that are not recorded yet, then ends all tasks."""
        give_up_at = clock.monotonic() + DRAIN_SECONDS
        # The end of one such task may start another.
        while self._record_tasks and (seconds_left := give_up_at - clock.monotonic()) > 0:
            await asyncio.wait(self._record_tasks, timeout=seconds_left)
        if self.held_claims.count():
            self._log.warning("ledger_stopped_with_open_claims", claims=self.held_claims.count())
        await self._tasks.close()

    async def claim(
        self, call: ledger.Call, *, timeout: float
    ) -> ledger.Claim | ledger.Replayed | failure.Refusal:
        """Claims a request before its dispatch, or returns what became of an earlier one."""
        outcome = await self._claim(call, clock.monotonic() + timeout)
        self._metrics.count_claim(outcome)
        return outcome

    async def may_dispatch(self, claim: ledger.Claim) -> bool:
        """Returns True if the claim is fresh, after confirming it by a write if it is not."""
        held = self.held_claims.find(claim.attempt_id)
        if held is None or held.phase is not held_claims.Phase.HELD:
            return False
        if self._is_fresh(held):
            return True
        held.confirmations += 1
        change = changes.confirm(
            held.run_id, attempt_id=held.attempt_id, confirmations=held.confirmations
        )
        committed = await self._commit(change, CLAIM_SECONDS)
        if not isinstance(committed, commits.Committed) or not committed.in_effect:
            return False
        held.confirmed_at = committed.confirmed_at
        return held.phase is held_claims.Phase.HELD and self._is_fresh(held)

    async def finish(self, claim: ledger.Claim, answer: ledger.Answer) -> None:
        """Returns the answer to the repeats that wait, and records it in the background."""
        held = self.held_claims.find(claim.attempt_id)
        if held is None or not held.is_open:
            return
        held.answer = answer if len(answer.body) <= self._max_answer_bytes else None
        held.close(held_claims.Phase.FINISHED)
        self._record(held, changes.finish(held.run_id, attempt_id=held.attempt_id, answer=answer))

    async def withdraw(self, claim: ledger.Claim) -> None:
        """Withdraws a claim that was not dispatched; the store is updated in the background."""
        held = self.held_claims.find(claim.attempt_id)
        if held is not None and held.is_open:
            self._withdraw(held)

    async def mark_unknown(self, claim: ledger.Claim, reason: str) -> None:
        """Records that the outcome is unknown; until that is settled, the request never runs again."""
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
        """Sets the look-up at services; called by the layer that can reach them."""
        self._repeats.outcome_lookup = outcome_lookup

    async def _commit(self, change: changes.Change, seconds: float) -> commits.Result:
        """Commits a change of one record, or fails after some seconds."""
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
                outcome = await self._repeats.answer_from_claim(held, call, deadline)
            else:
                result = await self._claim_in_store(call, run_id, replaceable, deadline)
                if not isinstance(result, buckets.Record):
                    return result
                outcome = await self._repeats.answer_from_record(call, result, deadline)
                if outcome is None:
                    replaceable |= {result.attempt_id}
            if outcome is not None:
                return outcome
            if clock.monotonic() >= deadline:
                return refusals.store_unavailable()

    async def _claim_in_store(
        self, call: ledger.Call, run_id: str, replaceable: frozenset[str], deadline: float
    ) -> ledger.Claim | failure.Refusal | buckets.Record:
        """Claims a request by a conditional update.

        Args:
            call: The request to claim.
            run_id: Its id within the ledger.
            replaceable: Attempts that were not and never will be dispatched.
            deadline: Event loop's time by which the claim must be confirmed.

        Returns:
            The claim, a refusal, or the existing record that prevents the claim.
        """
        if not self._gate.is_open():
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
            self._spawn_record_task(self._withdraw_after(held, committing))
            raise
        if isinstance(committed, commits.Committed):
            return self._claim_or_record(held, committed)
        full = isinstance(committed, commits.BucketFull)
        held.refusal = refusals.bucket_full() if full else refusals.store_unavailable()
        if isinstance(committed, commits.Uncommitted):
            held.fence_version = committed.fence_version
        self._withdraw(held)
        return held.refusal

    def _claim_or_record(
        self, held: held_claims.HeldClaim, committed: commits.Committed
    ) -> ledger.Claim | buckets.Record:
        record = committed.record
        if not committed.in_effect and record is not None:
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
        """Withdraws the claim of a cancelled caller, once the result of its commit is known."""
        committed = await committing
        if isinstance(committed, commits.Uncommitted):
            held.fence_version = committed.fence_version
        self._withdraw(held)

    def _record(self, held: held_claims.HeldClaim, change: changes.Change) -> None:
        self._spawn_record_task(self._record_until_stored(held, change))

    def _spawn_record_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._tasks.spawn(coroutine, name="record run")
        self._record_tasks.add(task)
        task.add_done_callback(self._record_tasks.discard)

    async def _record_until_stored(
        self, held: held_claims.HeldClaim, change: changes.Change
    ) -> None:
        """Retries a change until the store has it, and then removes the claim from this node."""
        backoff = RECORD_BACKOFF_SECONDS
        while True:
            committed = await self._commit(change, RECORD_SECONDS)
            if isinstance(committed, commits.Committed):
                break
            await asyncio.sleep(self._random.uniform(backoff / 2, backoff))
            backoff = min(MAX_RECORD_BACKOFF_SECONDS, backoff * 2)
        self.held_claims.remove(held)
        if not committed.in_effect:
            self._log.error("run_not_recorded", request=held.call.request_id, key=held.call.key)

    def _is_fresh(self, held: held_claims.HeldClaim) -> bool:
        return clock.monotonic() - held.confirmed_at <= self.timing.claim_fresh

    async def _probe(self) -> bool:
        result = await self._store.get(PROBE_KEY, timeout=gate.SLOW_SECONDS)
        return not isinstance(result, objects.Unavailable)


class _Metrics:
    """Metrics of claims and of changes per write."""

    def __init__(self, *, registry: prometheus_client.CollectorRegistry) -> None:
        self._claims = prometheus_client.Counter(
            "basilpost_ledger_claims_total",
            "Claims of non-idempotent requests by result.",
            ["result"],
            registry=registry,
        )
        self.changes_per_write = prometheus_client.Histogram(
            "basilpost_ledger_changes_per_write",
            "Changes that shared one write of a bucket.",
            buckets=(1, 2, 4, 8, 16, 32, 64),
            registry=registry,
        )

    def count_claim(self, outcome: ledger.Claim | ledger.Replayed | failure.Refusal) -> None:
        """Counts the result of one claim."""
        result = type(outcome).__name__.lower()
        if isinstance(outcome, failure.Refusal):
            result = outcome.code
        self._claims.labels(result=result).inc()
