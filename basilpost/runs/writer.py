"""Writes one bucket: changes that arrive while a write is in flight share the next one.

The platform takes only several hundred writes a second, and two writes of one node to the same
bucket would conflict with each other; one writer for each bucket avoids both.
"""

import asyncio
import collections
import random
from collections.abc import Callable

from basilpost.core import clock, tasks
from basilpost.runs import buckets, changes, commits, gate
from basilpost.store import objects

CALL_SECONDS = 1.0
JITTER_SECONDS = 0.02
MAX_JITTER_SECONDS = 0.5
MAX_CACHED_BYTES = 4_000_000
EMPTY_BYTES = 256
NO_VERSION = 0


class Writers:
    """The writers of all buckets on this node."""

    def __init__(
        self,
        *,
        store: objects.ObjectStore,
        store_gate: gate.StoreGate,
        task_set: tasks.TaskSet,
        random_source: random.Random,
        bucket_count: int = buckets.BUCKET_COUNT,
        share_writes: bool = True,
        wrote: Callable[[int], None] = lambda changes: None,
    ) -> None:
        self.store = store
        self.store_gate = store_gate
        self.random_source = random_source
        self.share_writes = share_writes
        self.wrote = wrote
        self._tasks = task_set
        self._bucket_count = bucket_count
        self._pending_by_key: dict[str, list[commits.Pending]] = {}
        self._cache: collections.OrderedDict[str, commits.Snapshot] = collections.OrderedDict()
        self._cached_bytes = 0

    async def submit(self, change: changes.Change, *, deadline: float) -> commits.Result:
        """Commits a change by the deadline, together with others of the same bucket."""
        key = buckets.bucket_key(change.run_id, buckets=self._bucket_count)
        result: asyncio.Future[commits.Result] = asyncio.get_running_loop().create_future()
        pending = commits.Pending(change=change, deadline=deadline, result=result)
        waiting = self._pending_by_key.get(key)
        if waiting is not None:
            waiting.append(pending)
        else:
            self._pending_by_key[key] = [pending]
            self._tasks.spawn(self._drain(key), name=f"bucket {key}")
        return await result

    def cached(self, key: str) -> commits.Snapshot | None:
        """Returns the bucket as this node last read or wrote it."""
        return self._cache.get(key)

    def remember(self, key: str, snapshot: commits.Snapshot | None) -> None:
        """Keeps what is known of a bucket, the most recent ones up to a number of bytes."""
        known = self._cache.pop(key, None)
        self._cached_bytes -= known.size if known else 0
        if snapshot is not None:
            self._cache[key] = snapshot
            self._cached_bytes += snapshot.size
        while self._cached_bytes > MAX_CACHED_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= dropped.size

    def take_pending(self, key: str) -> list[commits.Pending]:
        """Returns the changes that wait for a bucket and empties its line."""
        waiting = self._pending_by_key[key]
        count = len(waiting) if self.share_writes else 1
        taken, self._pending_by_key[key] = waiting[:count], waiting[count:]
        return taken

    async def _drain(self, key: str) -> None:
        try:
            while self._pending_by_key[key]:
                await Commit(writers=self, key=key, batch=self.take_pending(key)).run()
        finally:
            left = self._pending_by_key.pop(key)
            for pending in left:
                pending.resolve(commits.Uncommitted(reason=f"the writer of {key} ended"))


class Commit:
    """One commit of a batch of changes, with its retries."""

    def __init__(self, *, writers: Writers, key: str, batch: list[commits.Pending]) -> None:
        self._writers = writers
        self._key = key
        self._batch = batch
        self._conflicts = 0

    async def run(self) -> None:
        """Applies, writes and retries until each change has its result."""
        try:
            await self._commit()
        finally:
            self._fail("the writer ended")

    async def _commit(self) -> None:
        snapshot = self._writers.cached(self._key)
        fresh = False
        while self._drop_late():
            if snapshot is None:
                snapshot = await self._read()
                fresh = True
            if snapshot is None:
                self._fail("the store did not answer")
                return
            snapshot, fresh = await self._step(snapshot, fresh)

    async def _step(
        self, snapshot: commits.Snapshot, fresh: bool
    ) -> tuple[commits.Snapshot | None, bool]:
        """Applies the batch once; returns what to go on from, with an empty batch at the end."""
        after = dict(snapshot.records_by_id)
        applied = [self._apply(pending, after) for pending in self._batch]
        fenced = any(one.change.fence_version == snapshot.version for one in self._batch)
        if after == snapshot.records_by_id and not fenced:
            if not fresh:
                return None, False
            self._deliver(applied)
            self._writers.remember(self._key, snapshot)
            return snapshot, fresh
        kept = buckets.without_expired(after)
        raw = buckets.encode(kept)
        if raw is None:
            self._refuse_full()
            return snapshot, fresh
        return await self._write(snapshot, kept, raw, applied), False

    async def _write(
        self,
        snapshot: commits.Snapshot,
        kept: dict[str, buckets.Record],
        raw: bytes,
        applied: list[changes.Applied],
    ) -> commits.Snapshot | None:
        now = clock.monotonic()
        for pending in self._batch:
            pending.written_at = now if pending.written_at is None else pending.written_at
        written = await self._put(snapshot.version, raw)
        if isinstance(written, objects.Written):
            self._writers.wrote(len(self._batch))
            after = commits.Snapshot(version=written.version, records_by_id=kept, size=len(raw))
            self._writers.remember(self._key, after)
            self._deliver(applied)
            return after
        self._writers.remember(self._key, None)
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
        number = store_gate.begin()
        found: objects.Stored | objects.Missing | objects.Unavailable | None = None
        try:
            found = await self._writers.store.get(
                self._key, timeout=self._call_seconds(), urgency=objects.Urgency.SAFETY
            )
        finally:
            store_gate.end(number, answered=_answered(found))
        if isinstance(found, objects.Stored):
            return commits.Snapshot(
                version=found.version,
                records_by_id=buckets.decode(found.value),
                size=len(found.value),
            )
        if isinstance(found, objects.Missing):
            return commits.Snapshot(version=NO_VERSION, records_by_id={}, size=EMPTY_BYTES)
        return None

    async def _put(
        self, version: int, raw: bytes
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        store, store_gate = self._writers.store, self._writers.store_gate
        timeout, urgency = self._call_seconds(), objects.Urgency.SAFETY
        number = store_gate.begin()
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
            store_gate.end(number, answered=_answered(written))

    def _apply(self, pending: commits.Pending, after: dict[str, buckets.Record]) -> changes.Applied:
        run_id = pending.change.run_id
        applied = pending.change.apply(after.get(run_id))
        if applied.record is None:
            after.pop(run_id, None)
        else:
            after[run_id] = applied.record
        return applied

    def _deliver(self, applied: list[changes.Applied]) -> None:
        now = clock.monotonic()
        for pending, one in zip(self._batch, applied, strict=True):
            since = now if pending.written_at is None else pending.written_at
            pending.resolve(commits.Committed(record=one.record, done=one.done, confirmed_at=since))
        self._batch = []

    def _fail(self, reason: str) -> None:
        for pending in self._batch:
            pending.resolve(commits.Uncommitted(reason=reason, fence_version=pending.fence_version))
        self._batch = []

    def _refuse_full(self) -> None:
        for pending in self._batch:
            pending.resolve(commits.BucketFull(reason=f"{self._key} is full"))
        self._batch = []

    def _drop_late(self) -> bool:
        """Fails the changes whose deadline has passed; returns True while any is left."""
        now = clock.monotonic()
        late = [pending for pending in self._batch if pending.deadline <= now]
        for pending in late:
            reason = "the store did not confirm the change in time"
            pending.resolve(commits.Uncommitted(reason=reason, fence_version=pending.fence_version))
        self._batch = [pending for pending in self._batch if pending.deadline > now]
        return bool(self._batch)

    def _call_seconds(self) -> float:
        left = max(pending.deadline for pending in self._batch) - clock.monotonic()
        return max(0.001, min(CALL_SECONDS, left))

    async def _back_off(self) -> None:
        self._conflicts += 1
        longest = min(MAX_JITTER_SECONDS, JITTER_SECONDS * 2**self._conflicts)
        await asyncio.sleep(self._writers.random_source.uniform(0, longest))
        if self._writers.share_writes:
            self._batch += self._writers.take_pending(self._key)


def _answered(result: object) -> bool | None:
    """Returns what a call's result says of the store's health."""
    if result is None or isinstance(result, objects.Unknown):
        return None
    return not isinstance(result, objects.Unavailable)
