"""The ledger on the object store: claims before dispatch, answers for repeats, open outcomes.

At most once rests on three facts: a claim is one conditional update, it is never taken over by
time, and a node dispatches only under a claim that the store confirmed within the last seconds.
"""

import asyncio
import random
import uuid

import prometheus_client

from basilpost.core import clock, failure, kernel, names, tasks
from basilpost.members import peers
from basilpost.runs import (
    buckets,
    changes,
    gate,
    leases,
    ledger,
    lookup,
    refusals,
    running,
    settling,
    writer,
)
from basilpost.settings import schema
from basilpost.store import objects

CLAIM_SECONDS = 3.0
RECORD_SECONDS = 5.0
RECORD_BACKOFF_SECONDS = 0.1
MAX_RECORD_BACKOFF_SECONDS = 2.0
LOOKUP_SECONDS = 2.0
DRAIN_SECONDS = 5.0
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
        bucket_count: int = buckets.BUCKETS,
        share_writes: bool = True,
    ) -> None:
        self.node_id = kernel.node_id
        self.timing = kernel.find(names.SETTINGS, schema.NodeSettings).timing
        self.peers = kernel.find(names.PEERS, peers.PeerNetwork)
        self.outcome_lookup = outcome_lookup or lookup.NoLookup()
        self.entries = running.Entries()
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
        self.settler = settling.Settler(
            node_id=self.node_id,
            store=self._store,
            commit=lambda change, seconds: self.commit(change, seconds=seconds),
            ask=self.ask,
            node_leases=node_leases or leases.NoLeases(),
            timing=self.timing,
        )
        self._settling: set[str] = set()
        self.peers.handle(running.Attach, self.entries.attach, reply=running.Report)

    async def start(self) -> None:
        """Starts the probes of the store."""
        self._tasks.spawn(self._gate.run(), name="ledger gate")

    async def stop(self) -> None:
        """Waits a little for outcomes that are not recorded yet, then ends all tasks."""
        if self._recordings:
            await asyncio.wait(self._recordings, timeout=DRAIN_SECONDS)
        if self.entries.count():
            self._log.warning("ledger_stopped_with_open_claims", claims=self.entries.count())
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
        entry = self.entries.attempt(claim.attempt_id)
        if entry is None or entry.phase is not running.Phase.HELD:
            return False
        if self._fresh(entry):
            return True
        entry.confirmations += 1
        change = changes.confirm(
            entry.run_id, attempt_id=entry.attempt_id, confirmations=entry.confirmations
        )
        committed = await self.commit(change, seconds=CLAIM_SECONDS)
        if not isinstance(committed, writer.Committed) or not committed.done:
            return False
        entry.confirmed_at = committed.confirmed_at
        return entry.phase is running.Phase.HELD and self._fresh(entry)

    async def finish(self, claim: ledger.Claim, answer: ledger.Answer) -> None:
        """Hands the answer to those who wait for it and records it in the background."""
        entry = self.entries.attempt(claim.attempt_id)
        if entry is None or not entry.open:
            return
        entry.answer = answer
        entry.close(running.Phase.FINISHED)
        self._record(
            entry, changes.finish(entry.run_id, attempt_id=entry.attempt_id, answer=answer)
        )

    async def abandon(self, claim: ledger.Claim) -> None:
        """Withdraws a claim that was not dispatched; the store follows in the background."""
        entry = self.entries.attempt(claim.attempt_id)
        if entry is not None and entry.open:
            self._withdraw(entry)

    async def lose(self, claim: ledger.Claim, reason: str) -> None:
        """Records that the outcome is unknown; the request is never dispatched again."""
        entry = self.entries.attempt(claim.attempt_id)
        if entry is None or not entry.open:
            return
        entry.reason = reason
        entry.close(running.Phase.LOST)
        self._log.warning("run_lost", request=entry.call.request_id, key=entry.call.key)
        self._record(entry, changes.lose(entry.run_id, attempt_id=entry.attempt_id, reason=reason))

    async def commit(self, change: changes.Change, *, seconds: float) -> writer.Result:
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
            entry = self.entries.current(run_id)
            if entry is not None:
                outcome = await self._attach_here(entry, call, deadline)
            else:
                found = await self._claim_in_store(call, run_id, replaceable, deadline)
                if not isinstance(found, buckets.Record):
                    return found
                outcome = await self._repeat(call, found, deadline)
                if outcome is None:
                    replaceable |= {found.attempt_id}
            if outcome is not None:
                return outcome
            if clock.monotonic() >= deadline:
                return refusals.store_unavailable()

    async def _attach_here(
        self, entry: running.Entry, call: ledger.Call, deadline: float
    ) -> ledger.Replayed | failure.Refusal | None:
        """Waits for a claim of this node; None if it was withdrawn."""
        if entry.call.digest != call.digest:
            return refusals.key_reused(call)
        if entry.open:
            await entry.wait(max(0.0, deadline - clock.monotonic()))
        if entry.open:
            return refusals.running(call)
        if entry.phase is running.Phase.WITHDRAWN and entry.refusal is not None:
            return entry.refusal
        return _outcome_of(entry.report(), call)

    async def _claim_in_store(
        self, call: ledger.Call, run_id: str, replaceable: frozenset[str], deadline: float
    ) -> ledger.Claim | failure.Refusal | buckets.Record:
        """Claims by a conditional update; returns the record found if it is not to be had."""
        if not self._gate.passable():
            return refusals.store_unavailable()
        replaceable |= self.entries.withdrawn(run_id)
        entry = running.Entry(call=call, run_id=run_id, attempt_id=uuid.uuid4().hex)
        self.entries.add(entry)
        change = changes.claim(
            call, attempt_id=entry.attempt_id, node_id=self.node_id, replaceable=replaceable
        )
        seconds = min(CLAIM_SECONDS, deadline - clock.monotonic())
        try:
            committed = await self.commit(change, seconds=seconds)
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise
        if isinstance(committed, writer.Committed):
            return self._claimed(entry, committed)
        full = isinstance(committed, writer.BucketFull)
        entry.refusal = refusals.bucket_full() if full else refusals.store_unavailable()
        if isinstance(committed, writer.Uncommitted):
            entry.fence_version = committed.fence_version
        self._withdraw(entry)
        return entry.refusal

    def _claimed(
        self, entry: running.Entry, committed: writer.Committed
    ) -> ledger.Claim | buckets.Record:
        record = committed.record
        if not committed.done and record is not None:
            self.entries.remove(entry)
            entry.close(running.Phase.WITHDRAWN)
            return record
        entry.phase = running.Phase.HELD
        entry.confirmed_at = committed.confirmed_at
        return ledger.Claim(
            call=entry.call,
            attempt_id=entry.attempt_id,
            node_id=self.node_id,
            confirmed_at=committed.confirmed_at,
        )

    async def _repeat(
        self, call: ledger.Call, record: buckets.Record, deadline: float
    ) -> ledger.Replayed | failure.Refusal | None:
        """Tells a repeat what became of a recorded request; None if it may be claimed."""
        while True:
            if record.digest != call.digest:
                return refusals.key_reused(call)
            if record.state is buckets.RunState.RAN:
                return _replay(record.answer, call)
            if record.state is buckets.RunState.NOT_RUN:
                return None
            if record.state is buckets.RunState.UNKNOWN:
                return await self._look_up(call, record, record.reason)
            report = await self._ask_holder(record, deadline)
            if isinstance(report, running.Report) and report.phase is not running.Phase.NOT_MINE:
                return refusals.running(call) if _open(report) else _outcome_of(report, call)
            latest = await self.read(record.run_id)
            if isinstance(latest, buckets.Record) and latest == record:
                return await self._look_up(call, record, "its node does not answer for it")
            if isinstance(latest, failure.Failure):
                return refusals.unknown(call, latest.reason)
            if latest is None:
                return None
            record = latest

    async def read(self, run_id: str) -> buckets.Record | failure.Failure | None:
        """Reads a record from the store; None if there is none."""
        committed = await self.commit(changes.read(run_id), seconds=CLAIM_SECONDS)
        return committed.record if isinstance(committed, writer.Committed) else committed

    async def _ask_holder(
        self, record: buckets.Record, deadline: float
    ) -> running.Report | peers.PeerUnavailable:
        """Waits with the node that holds a claim until its outcome or the deadline."""
        while True:
            seconds = running.wait_slice(deadline)
            message = running.Attach(attempt_id=record.attempt_id, wait_seconds=seconds)
            report = await self.ask(record.node_id, message)
            if isinstance(report, peers.PeerUnavailable):
                return report
            if not _open(report) or clock.monotonic() >= deadline:
                return report

    async def ask(
        self, node_id: str, message: running.Attach
    ) -> running.Report | peers.PeerUnavailable:
        """Asks a node, which may be this one, for an attempt's outcome."""
        if node_id == self.node_id:
            return await self.entries.attach(node_id, message)
        timeout = message.wait_seconds + self.timing.peer_silence
        report: running.Report | peers.PeerUnavailable = await self.peers.request(
            node_id, message, timeout=timeout
        )
        return report

    async def _look_up(
        self, call: ledger.Call, record: buckets.Record, reason: str
    ) -> ledger.Replayed | failure.Refusal:
        """Asks the service what became of a request whose outcome is open.

        Only "ran" is taken from it at once: that a service has no trace of a request does not show
        that the request is not still on its way, so "never ran" is settled as an operator would.
        """
        found = await self.outcome_lookup.look_up(record, timeout=LOOKUP_SECONDS)
        if isinstance(found, lookup.NeverRan) and record.run_id not in self._settling:
            self._settling.add(record.run_id)
            self._tasks.spawn(self._settle_as_not_run(record), name="settle run")
        if not isinstance(found, lookup.Ran):
            return refusals.unknown(call, reason)
        answer = found.answer or ledger.Answer(status=200, headers=(), body=b"")
        change = changes.finish(record.run_id, attempt_id=record.attempt_id, answer=answer)
        await self.commit(change, seconds=CLAIM_SECONDS)
        return _replay(found.answer, call)

    async def _settle_as_not_run(self, record: buckets.Record) -> None:
        """Settles by the service's word, if it still says so after the isolation interval."""
        try:
            await asyncio.sleep(self.timing.isolation)
            again = await self.outcome_lookup.look_up(record, timeout=LOOKUP_SECONDS)
            if not isinstance(again, lookup.NeverRan):
                return
            await self.settler.settle(
                workspace=record.workspace,
                service=record.service,
                key=record.key,
                outcome=failure.Outcome.NOT_RUN,
                actor="outcome look-up",
                reason=f"{record.service} has no trace of the key",
            )
        finally:
            self._settling.discard(record.run_id)

    def _withdraw(self, entry: running.Entry) -> None:
        self.entries.withdraw(entry)
        change = changes.withdraw(
            entry.run_id, attempt_id=entry.attempt_id, fence_version=entry.fence_version
        )
        self._record(entry, change)

    def _record(self, entry: running.Entry, change: changes.Change) -> None:
        task = self._tasks.spawn(self._keep_recording(entry, change), name="record run")
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)

    async def _keep_recording(self, entry: running.Entry, change: changes.Change) -> None:
        """Writes an outcome until the store has it; until then it is kept here."""
        backoff = RECORD_BACKOFF_SECONDS
        while True:
            committed = await self.commit(change, seconds=RECORD_SECONDS)
            if isinstance(committed, writer.Committed):
                break
            await asyncio.sleep(self._random.uniform(backoff / 2, backoff))
            backoff = min(MAX_RECORD_BACKOFF_SECONDS, backoff * 2)
        self.entries.remove(entry)
        if not committed.done:
            self._log.error("run_not_recorded", request=entry.call.request_id, key=entry.call.key)

    def _fresh(self, entry: running.Entry) -> bool:
        return clock.monotonic() - entry.confirmed_at <= self.timing.claim_fresh

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


def _open(report: running.Report) -> bool:
    return report.phase in (running.Phase.CLAIMING, running.Phase.HELD)


def _outcome_of(
    report: running.Report, call: ledger.Call
) -> ledger.Replayed | failure.Refusal | None:
    """Returns what a repeat is told of a decided attempt; None if it was withdrawn."""
    if report.phase is running.Phase.WITHDRAWN:
        return None
    if report.phase is running.Phase.FINISHED:
        return _replay(report.answer, call)
    return refusals.unknown(call, report.reason)


def _replay(answer: ledger.Answer | None, call: ledger.Call) -> ledger.Replayed | failure.Refusal:
    if answer is None:
        return refusals.answer_not_kept(call)
    return ledger.Replayed(answer=answer)
