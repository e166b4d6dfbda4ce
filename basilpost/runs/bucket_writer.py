"""Writes buckets: changes that arrive while a bucket's write is in flight share its next write.

The platform takes only several hundred writes a second, and two writes of a node to the same bucket
would conflict. One writer for each bucket avoids both problems. A bucket is an object in the store
with the records of all requests whose ids have the same hash modulo the number of buckets.
"""

import asyncio
import collections
import random
from collections.abc import Callable

from basilpost.core import clock, tasks
from basilpost.runs import buckets, changes, commits, gate
from basilpost.store import objects

# Timeout of one store call.
CALL_SECONDS = 1.0
# Upper bound of the random delay after a conflict: it doubles with each one, up to the maximum.
JITTER_SECONDS = 0.02
MAX_JITTER_SECONDS = 0.5
# Stored size of all cached buckets, and what a bucket without an object counts for.
MAX_CACHED_BYTES = 4_000_000
EMPTY_BYTES = 256
# Version of a bucket that is not in the store.
NO_VERSION = 0


class BucketWriters:
    """Starts a writer for each ledger bucket that has changes to write, and caches the buckets."""

    def __init__(
        self,
        *,
        store: objects.ObjectStore,
        store_gate: gate.StoreGate,
        task_set: tasks.TaskSet,
        random_source: random.Random,
        bucket_count: int = buckets.BUCKET_COUNT,
        share_writes: bool = True,
        on_written: Callable[[int], None] = lambda changes: None,
    ) -> None:
        self.store = store
        self.store_gate = store_gate
        self.random_source = random_source
        self.share_writes = share_writes
        self.on_written = on_written
        self._tasks = task_set
        self._bucket_count = bucket_count
        self._pending_by_key: dict[str, list[commits.Pending]] = {}
        self._cache: collections.OrderedDict[str, commits.Snapshot] = collections.OrderedDict()
        self._cached_bytes = 0

    async def submit(self, change: changes.Change, *, deadline: float) -> commits.Result:
        """Commits a change, together with others of the same bucket.

        Args:
            change: The change of one request's record.
            deadline: Event loop's time after which it fails as uncommitted.
        """
        key = buckets.bucket_key(change.run_id, buckets=self._bucket_count)
        result: asyncio.Future[commits.Result] = asyncio.get_running_loop().create_future()
        pending = commits.Pending(change=change, deadline=deadline, result=result)
        waiting = self._pending_by_key.get(key)
        if waiting is not None:
            waiting.append(pending)
        else:
            self._pending_by_key[key] = [pending]
            self._tasks.spawn(self._write_pending(key), name=f"bucket {key}")
        return await result

    def cached(self, key: str) -> commits.Snapshot | None:
        """Returns a bucket as this node last read or wrote it, None if it is not cached."""
        return self._cache.get(key)

    def cache(self, key: str, snapshot: commits.Snapshot | None) -> None:
        """Caches a bucket, or removes it for None; drops the oldest ones beyond the cache's size."""
        previous = self._cache.pop(key, None)
        self._cached_bytes -= previous.size if previous else 0
        if snapshot is not None:
            self._cache[key] = snapshot
            self._cached_bytes += snapshot.size
        while self._cached_bytes > MAX_CACHED_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= dropped.size

    def take_pending(self, key: str) -> list[commits.Pending]:
        """Removes and returns the changes that wait for a bucket, only the first without sharing."""
        waiting = self._pending_by_key[key]
        count = len(waiting) if self.share_writes else 1
        batch, self._pending_by_key[key] = waiting[:count], waiting[count:]
        return batch

    async def _write_pending(self, key: str) -> None:
        try:
            while self._pending_by_key[key]:
                await Commit(writers=self, key=key, batch=self.take_pending(key)).run()
        finally:
            unwritten = self._pending_by_key.pop(key)
            for pending in unwritten:
                pending.resolve(commits.Uncommitted(reason=f"the writer of {key} ended"))


class Commit:
    """The commit of one batch of changes to a bucket, with its retries."""

    def __init__(self, *, writers: BucketWriters, key: str, batch: list[commits.Pending]) -> None:
        self._writers = writers
        self._key = key
        self._batch = batch
        self._conflicts = 0

    async def run(self) -> None:
        """Applies and writes the changes until each has its result."""
        try:
            await self._commit()
        finally:
            self._fail("the writer ended")

    async def _commit(self) -> None:
        snapshot = self._writers.cached(self._key)
        fresh = False
        while self._fail_late():
            if snapshot is None:
                snapshot = await self._read()
                fresh = True
            if snapshot is None:
                self._fail("the store did not answer")
                return
            snapshot, fresh = await self._try_once(snapshot, fresh)

    async def _try_once(
        self, snapshot: commits.Snapshot, fresh: bool
    ) -> tuple[commits.Snapshot | None, bool]:
        """Applies the batch to a snapshot, and writes the bucket if that changes it.

        The batch is empty afterwards unless it must be tried again.

        Args:
            snapshot: The bucket at the version that the write has to replace.
            fresh: True if it was read by this commit, False if it comes from the cache or a write.

        Returns:
            The snapshot for the next attempt, None if it must be read, and whether it is fresh.
        """
        records_by_id = dict(snapshot.records_by_id)
        applied = [self._apply(pending, records_by_id) for pending in self._batch]
        must_fence = any(
            pending.change.fence_version == snapshot.version for pending in self._batch
        )
        if records_by_id == snapshot.records_by_id and not must_fence:
            if not fresh:
                return None, False
            self._deliver(applied)
            self._writers.cache(self._key, snapshot)
            return snapshot, fresh
        unexpired = buckets.without_expired(records_by_id)
        raw = buckets.encode(unexpired)
        if raw is None:
            self._refuse_full()
            return snapshot, fresh
        return await self._write(snapshot, unexpired, raw, applied), False

    async def _write(
        self,
        snapshot: commits.Snapshot,
        records_by_id: dict[str, buckets.Record],
        raw: bytes,
        applied: list[changes.Applied],
    ) -> commits.Snapshot | None:
        now = clock.monotonic()
        for pending in self._batch:
            pending.written_at = now if pending.written_at is None else pending.written_at
        written = await self._put(snapshot.version, raw)
        if isinstance(written, objects.Written):
            self._writers.on_written(len(self._batch))
            after = commits.Snapshot(
                version=written.version, records_by_id=records_by_id, size=len(raw)
            )
            self._writers.cache(self._key, after)
            self._deliver(applied)
            return after
        self._writers.cache(self._key, None)
        if isinstance(written, objects.Unknown):
            for pending in self._batch:
                pending.fence_version = snapshot.version
        elif isinstance(written, objects.Unavailable):
            self._fail(written.reason)
        else:
            await self._back_off()
        return None

    async def _read(self) -> commits.Snapshot | None:
        store_gate = self._writers.store_gate
        number = store_gate.record_start()
        result: objects.Stored | objects.Missing | objects.Unavailable | None = None
        try:
            result = await self._writers.store.get(
                self._key, timeout=self._call_seconds(), urgency=objects.Urgency.SAFETY
            )
        finally:
            store_gate.record_end(number, answered=_answered(result))
        if isinstance(result, objects.Stored):
            return commits.Snapshot(
                version=result.version,
                records_by_id=buckets.decode(result.value),
                size=len(result.value),
            )
        if isinstance(result, objects.Missing):
            return commits.Snapshot(version=NO_VERSION, records_by_id={}, size=EMPTY_BYTES)
        return None

    async def _put(
        self, version: int, raw: bytes
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        store, store_gate = self._writers.store, self._writers.store_gate
        timeout, urgency = self._call_seconds(), objects.Urgency.SAFETY
        number = store_gate.record_start()
        written = None
        try:
            if version == NO_VERSION:
                written = await store.create(self._key, raw, timeout=timeout, urgency=urgency)
            else:
                written = await store.update(
                    self._key, raw, version=version, timeout=timeout, urgency=urgency
                )
            return written
        finally:
            store_gate.record_end(number, answered=_answered(written))

    def _apply(
        self, pending: commits.Pending, records_by_id: dict[str, buckets.Record]
    ) -> changes.Applied:
        run_id = pending.change.run_id
        applied = pending.change.apply(records_by_id.get(run_id))
        if applied.record is None:
            records_by_id.pop(run_id, None)
        else:
            records_by_id[run_id] = applied.record
        return applied

    def _deliver(self, applied: list[changes.Applied]) -> None:
        now = clock.monotonic()
        for pending, outcome in zip(self._batch, applied, strict=True):
            confirmed_at = now if pending.written_at is None else pending.written_at
            pending.resolve(
                commits.Committed(
                    record=outcome.record, in_effect=outcome.in_effect, confirmed_at=confirmed_at
                )
            )
        self._batch = []

    def _fail(self, reason: str) -> None:
        for pending in self._batch:
            pending.resolve(commits.Uncommitted(reason=reason, fence_version=pending.fence_version))
        self._batch = []

    def _refuse_full(self) -> None:
        for pending in self._batch:
            pending.resolve(commits.BucketFull(reason=f"{self._key} is full"))
        self._batch = []

    def _fail_late(self) -> bool:
        """Fails the changes whose deadline has passed; returns True if others are left."""
        now = clock.monotonic()
        late = [pending for pending in self._batch if pending.deadline <= now]
        for pending in late:
            reason = "the store did not confirm the change in time"
            pending.resolve(commits.Uncommitted(reason=reason, fence_version=pending.fence_version))
        self._batch = [pending for pending in self._batch if pending.deadline > now]
        return bool(self._batch)

    def _call_seconds(self) -> float:
        remaining = max(pending.deadline for pending in self._batch) - clock.monotonic()
        return max(0.001, min(CALL_SECONDS, remaining))

    async def _back_off(self) -> None:
        """Waits after a conflict, then adds the changes that arrived in the meantime."""
        self._conflicts += 1
        max_seconds = min(MAX_JITTER_SECONDS, JITTER_SECONDS * 2**self._conflicts)
        await asyncio.sleep(self._writers.random_source.uniform(0, max_seconds))
        if self._writers.share_writes:
            self._batch += self._writers.take_pending(self._key)


def _answered(result: object) -> bool | None:
    """Returns whether the store answered a call, None if its result does not show that."""
    if result is None or isinstance(result, objects.Unknown):
        return None
    return not isinstance(result, objects.Unavailable)
