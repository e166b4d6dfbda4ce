"""Keeps the causes of crashes in the platform's store, where operators read and release them.

A cause must outlast all nodes. The node that found it writes it; if it cannot, another one that knows it
does later. Nothing in the store expires by itself, so nodes delete causes whose time is over.

The crashes before a cause is found must outlast them too, or a request would crash three more targets
each time that all nodes are killed. A crash is kept by the requests that may have caused it, until these
are answered or a cause explains it. It takes two calls, and is not written again if it is lost.
"""

import asyncio
import dataclasses
import datetime
import math
import random

import xxhash

from basilpost.core import clock, codec, kernel, names, tasks
from basilpost.members import feed, node_table
from basilpost.routing import crash_evidence, crash_messages, crashes
from basilpost.store import eras, objects

PREFIX = "basilpost-quarantine/"
WATCH_SECONDS = 20.0
TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 2.0
# Time after which other nodes write a cause that is not in the store.
TAKE_OVER_SECONDS = (5.0, 15.0)
EXPIRY_CHECK_SECONDS = 5.0
# A node that can serve otherwise waits this long at most for the causes that others know.
MAX_WAIT_SECONDS = 3.0
# The same once it has read the store, if there are records of other nodes; these may be gone.
MAX_WAIT_FOR_PEER_SECONDS = 1.0
# Time for which a released cause stays in the store, for nodes that were away.
KEEP_RELEASED_SECONDS = 600.0
# Longer names, and those with unusual characters, are replaced by a digest.
MAX_NAME_LENGTH = 64
# Times after a crash at which a node that has seen it writes it to the store. The answers that arrive by
# then spare most of the writes, and the first node to write it spares those of the others.
CRASH_DELAY_SECONDS = (0.5, 1.0)
# Crashes that are kept in the store. When many targets are lost at once, no request is the cause.
MAX_STORED_CRASHES = 32
_CRASH_PREFIX = f"{PREFIX}crash-"


def key_of(trait: crash_evidence.Trait) -> str:
    """Returns the key of a trait's object in the store."""
    plain = trait.value.isascii() and trait.value.isalnum() and len(trait.value) <= MAX_NAME_LENGTH
    value = trait.value if plain else xxhash.xxh3_64_hexdigest(trait.value.encode())
    return f"{PREFIX}{trait.kind}-{value}"


def crash_key(target_id: str) -> str:
    """Returns the key of a target's crash in the store."""
    return f"{_CRASH_PREFIX}{xxhash.xxh3_64_hexdigest(target_id.encode())}"


def decode_crash(stored: objects.Stored) -> tuple[crash_messages.StoredCrash, float] | None:
    """Returns the crash that an object holds and its present age in seconds, None if it is malformed."""
    try:
        crash = codec.from_json(stored.value, crash_messages.StoredCrash)
        crashed_at = datetime.datetime.fromisoformat(crash.crashed_at)
        age = (datetime.datetime.now(datetime.UTC) - crashed_at).total_seconds()
    except (ValueError, TypeError):
        return None
    return crash, max(0.0, age)


def decode(stored: objects.Stored) -> crash_messages.CrashCause | None:
    """Returns the cause that an object holds, with its present age; None if it is malformed."""
    try:
        cause = codec.from_json(stored.value, crash_messages.CrashCause)
        found_at = datetime.datetime.fromisoformat(cause.found_at)
        age = (datetime.datetime.now(datetime.UTC) - found_at).total_seconds()
    except (ValueError, TypeError):
        return None
    return dataclasses.replace(cause, age=max(0.0, age))


class CrashStore(kernel.Service):
    """Writes the causes that this node knows, and applies those that others have written."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._log = kernel.log
        self._store = kernel.find(names.OBJECTS, objects.ObjectStore)
        self._table = kernel.find(names.NODE_TABLE, node_table.NodeTable)
        self._tracker = kernel.find(names.CRASHES, crashes.CrashTracker)
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._node_id = kernel.node_id
        self._stored_by_key: dict[str, objects.Stored] = {}
        self._stored_crashes_by_key: dict[str, objects.Stored] = {}
        self._writing: set[str] = set()
        self._first_asked_at: float | None = None
        self._informed = False
        self._tracker.on_cause = self._write_soon
        self._tracker.on_crash = self._write_crash_soon
        self._feed = kernel.find(names.FEED, feed.Feed)
        self._feed.follow(
            PREFIX, wait=WATCH_SECONDS, on_change=self._apply_change, age_bounded=False
        )
        self._feed.subscribe_restore(self._write_again)

    async def start(self) -> None:
        """Starts to end causes whose time is over."""
        self._tasks.keep_running(self._expire, name="crash-causes")

    async def stop(self) -> None:
        """Cancels writes in the background."""
        await self._tasks.close()

    def is_informed(self) -> bool:
        """Returns True once this node knows the causes that others know, or cannot learn them.

        A node that has just started would otherwise run requests that all others refuse. A peer knows
        all of them, the store may lack those that were found while it was away.
        """
        # A record of another node that arrives later does not take it back.
        self._informed = self._informed or self._can_be_informed()
        return self._informed

    def _can_be_informed(self) -> bool:
        if self._tracker.heard_from_peer:
            return True
        if self._first_asked_at is None:
            self._first_asked_at = clock.elapsed()
        waited = clock.elapsed() - self._first_asked_at
        if self._feed.age(PREFIX) < math.inf:
            is_alone = self._table.records_by_id.keys() == {self._node_id}
            return is_alone or waited > MAX_WAIT_FOR_PEER_SECONDS
        return waited > MAX_WAIT_SECONDS

    def _apply_change(self, change: objects.Change) -> None:
        if change.key.startswith(_CRASH_PREFIX):
            self._apply_crash(change)
            return
        if change.stored is None:
            self._stored_by_key.pop(change.key, None)
            for known in self._tracker.causes_by_trait.values():
                # A store that was restored from a copy has lost the object.
                if key_of(known.cause.trait) == change.key:
                    self._write_soon(known.cause)
            return
        self._stored_by_key[change.key] = change.stored
        cause = decode(change.stored)
        if cause is None:
            self._log_malformed(change, "the value is not a cause of crashes")
        elif self._tracker.apply_cause(cause) and not cause.released:
            self._log.info(
                "crash_cause_learned",
                trait=str(cause.trait),
                cause=cause.cause_id,
                source="store",
            )

    def _log_malformed(self, change: objects.Change, reason: str) -> None:
        self._log.warning(
            "malformed_object",
            key=change.key,
            revision=eras.revision_of(change.version),
            reason=reason,
        )

    # Crashes without a known cause.

    def _apply_crash(self, change: objects.Change) -> None:
        if change.stored is None:
            self._stored_crashes_by_key.pop(change.key, None)
            return
        self._stored_crashes_by_key[change.key] = change.stored
        found = decode_crash(change.stored)
        if found is None:
            self._log_malformed(change, "the value is not a crash")
        else:
            self._tracker.restore_crash(*found)

    def _write_crash_soon(self, target_id: str) -> None:
        key = crash_key(target_id)
        if key not in self._writing:
            self._writing.add(key)
            self._tasks.spawn(self._write_crash(key, target_id), name="crash-write")

    async def _write_crash(self, key: str, target_id: str) -> None:
        try:
            await asyncio.sleep(random.uniform(*CRASH_DELAY_SECONDS))
            crash = self._tracker.unexplained(target_id)
            is_full = len(self._stored_crashes_by_key) >= MAX_STORED_CRASHES
            if crash is None or is_full or key in self._stored_crashes_by_key:
                return
            age = datetime.timedelta(seconds=clock.elapsed() - crash.at)
            stored = crash_messages.StoredCrash(
                target_id=target_id,
                crashed_at=(datetime.datetime.now(datetime.UTC) - age).isoformat(),
                requests=tuple(crash.requests),
            )
            await self._store.create(
                key,
                codec.to_json(stored),
                timeout=TIMEOUT_SECONDS,
                urgency=objects.Urgency.BACKGROUND,
            )
        finally:
            self._writing.discard(key)

    async def _delete_explained_crashes(self) -> None:
        for key, stored in list(self._stored_crashes_by_key.items()):
            found = decode_crash(stored)
            if found is not None and self._tracker.unexplained(found[0].target_id) is None:
                await self._store.delete(
                    key,
                    version=stored.version,
                    timeout=TIMEOUT_SECONDS,
                    urgency=objects.Urgency.BACKGROUND,
                )

    # Causes.

    def _write_again(self) -> None:
        """Writes the known causes to a restored store, which may lack them."""
        self._stored_by_key.clear()
        self._stored_crashes_by_key.clear()
        for known in self._tracker.causes_by_trait.values():
            if not known.cause.released:
                self._write_soon(known.cause)

    def _write_soon(self, cause: crash_messages.CrashCause) -> None:
        key = key_of(cause.trait)
        if key not in self._writing:
            self._writing.add(key)
            self._tasks.spawn(self._write_until_done(key, cause), name="crash-cause-write")

    async def _write_until_done(self, key: str, cause: crash_messages.CrashCause) -> None:
        try:
            if cause.node_id != self._node_id:
                await asyncio.sleep(random.uniform(*TAKE_OVER_SECONDS))
            while self._is_in_force(cause) and not await self._write(key, cause):
                await asyncio.sleep(RETRY_SECONDS * random.uniform(0.5, 1.0))
        finally:
            self._writing.discard(key)

    def _is_in_force(self, cause: crash_messages.CrashCause) -> bool:
        known = self._tracker.causes_by_trait.get(cause.trait)
        return known is not None and known.cause.cause_id == cause.cause_id

    async def _write(self, key: str, cause: crash_messages.CrashCause) -> bool:
        """Tries to write a cause; returns True if the store has it or one of the same trait."""
        value = codec.to_json(dataclasses.replace(cause, age=0.0))
        stored = self._stored_by_key.get(key)
        if stored is None:
            result = await self._store.create(key, value, timeout=TIMEOUT_SECONDS)
            if isinstance(result, objects.Conflict):
                found = await self._store.get(key, timeout=TIMEOUT_SECONDS)
                if not isinstance(found, objects.Stored):
                    return False
                stored = found
        if stored is not None:
            written = decode(stored)
            if written is not None and not written.released:
                return True
            result = await self._store.update(
                key, value, version=stored.version, timeout=TIMEOUT_SECONDS
            )
        if isinstance(result, objects.Written):
            return True
        self._log.info("crash_cause_not_written", cause=cause.cause_id, reason=result.reason)
        return False

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_SECONDS * random.uniform(0.5, 1.5))
            self._tracker.expire()
            await self._delete_explained_crashes()
            for key, stored in list(self._stored_by_key.items()):
                cause = decode(stored)
                if cause is not None and cause.age > _kept_seconds(cause):
                    # One node's deletion succeeds; the others have an old version.
                    await self._store.delete(key, version=stored.version, timeout=TIMEOUT_SECONDS)


def _kept_seconds(cause: crash_messages.CrashCause) -> float:
    return crashes.CAUSE_SECONDS + (KEEP_RELEASED_SECONDS if cause.released else 0.0)


def release_cause(cause: crash_messages.CrashCause, reason: str) -> bytes:
    """Returns the value that releases a cause."""
    return codec.to_json(dataclasses.replace(cause, age=0.0, released=reason or "released"))


def list_causes(listing: objects.Listing) -> list[tuple[objects.Stored, crash_messages.CrashCause]]:
    """Returns the causes of a listing with their objects, the latest first."""
    found = ((stored, decode(stored)) for stored in listing.objects)
    causes = [(stored, cause) for stored, cause in found if cause is not None]
    return sorted(causes, key=lambda entry: entry[1].found_at, reverse=True)
