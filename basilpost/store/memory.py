"""An object store in memory, for tests, the demo and the emulated object API.

Its faults can be set: down, slow, or losing the answers of writes that took effect.
"""

import asyncio
import collections
import dataclasses
import itertools

from basilpost.core import clock
from basilpost.store import eras, objects

# Latest changes that are kept for watches; a watch from before them gets `Expired`.
_HISTORY_CHANGES = 10_000


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Faults that a test injects.

    Attributes:
        down: True to leave every call unanswered.
        delay: Seconds added to each call.
        lose_answers: Number of coming writes that take effect and whose answer is lost.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0


class MemoryStore(objects.ObjectStore):
    """Keeps objects in a dictionary, and the latest changes for watches.

    Attributes:
        era: Number of times that the store was restored from a copy.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.era = 0
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._stored_by_key: dict[str, objects.Stored] = {}
        self._revision = 0
        self._history: collections.deque[objects.Change] = collections.deque(
            maxlen=_HISTORY_CHANGES
        )
        self._changed_at: collections.deque[float] = collections.deque(maxlen=_HISTORY_CHANGES)
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Returns the revision of the latest change, without the era."""
        return self._revision

    def version_at(self, revision: int) -> int:
        """Returns the version that a revision has in the present era."""
        return eras.version(era=self.era, revision=revision)

    async def get(
        self,
        key: str,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Stored | objects.Missing | objects.Unavailable:
        """Reads one object."""
        if not await self._accept_call("get", timeout):
            return objects.Unavailable(reason=f"get {key}: no answer within {timeout} s")
        return self._stored_by_key.get(key) or objects.Missing(reason=f"no object {key}")

    async def list(
        self,
        prefix: str,
        *,
        timeout: float = 5.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Listing | objects.Unavailable:
        """Reads all objects below a prefix."""
        if not await self._accept_call("list", timeout):
            return objects.Unavailable(reason=f"list {prefix}: no answer within {timeout} s")
        keys = sorted(key for key in self._stored_by_key if key.startswith(prefix))
        return objects.Listing(
            objects=tuple(self._stored_by_key[key] for key in keys),
            revision=self.version_at(self._revision),
        )

    async def create(
        self,
        key: str,
        value: bytes,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        """Creates an object that must not exist."""
        return await self._write("create", key, value, None, timeout)

    async def update(
        self,
        key: str,
        value: bytes,
        *,
        version: int,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        """Replaces an object whose version must be `version`."""
        return await self._write("update", key, value, version, timeout)

    async def delete(
        self,
        key: str,
        *,
        version: int,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        """Deletes an object whose version must be `version`."""
        return await self._write("delete", key, None, version, timeout)

    async def watch(
        self, prefix: str, *, revision: int, wait: float = 10.0
    ) -> objects.Changes | objects.Expired | objects.Unavailable:
        """Waits up to `wait` seconds for changes below a prefix after a revision."""
        if not await self._accept_call("watch", wait):
            return objects.Unavailable(reason=f"watch {prefix}: no answer")
        era = self.era
        if eras.era_of(revision) != era or revision > self.version_at(self._revision):
            return objects.Expired(reason=f"watch {prefix}: revision {revision} is not known")
        if self._history and revision + 1 < self._history[0].version:
            return objects.Expired(reason=f"watch {prefix}: revision {revision} is too old")
        deadline = clock.monotonic() + wait
        while True:
            if era != self.era:
                return objects.Expired(reason=f"watch {prefix}: the store was restored")
            changes = self._changes_after(prefix, revision)
            left = deadline - clock.monotonic()
            if changes or left <= 0:
                return objects.Changes(changes=changes, revision=self.version_at(self._revision))
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                # Rounding may leave a rest of the wait that never passes on a test's clock.
                deadline = clock.monotonic()
            if self.faults.down:
                return objects.Unavailable(reason=f"watch {prefix}: the store went down")

    def revision_before(self, seconds: float) -> int:
        """Returns the revision that the store had that many seconds ago."""
        until = clock.monotonic() - seconds
        later = sum(changed_at > until for changed_at in self._changed_at)
        return self._revision - later

    def restore(self, revision: int) -> None:
        """Goes back to the state at a revision, as a store that is restored from a copy.

        Later revisions are given out again.

        Raises:
            ValueError: If the history does not reach back far enough.
        """
        if len(self._history) < self._revision:
            raise ValueError("the store has discarded a part of its history")
        for _ in range(self._revision - revision):
            self._history.pop()
            self._changed_at.pop()
        self._revision = revision
        self.era += 1
        kept = [self._in_present_era(change) for change in self._history]
        self._history.clear()
        self._history.extend(kept)
        latest = {change.key: change.stored for change in kept}
        self._stored_by_key = {key: stored for key, stored in latest.items() if stored is not None}
        self._wake_watches()

    def _in_present_era(self, change: objects.Change) -> objects.Change:
        version = self.version_at(eras.revision_of(change.version))
        stored = change.stored and dataclasses.replace(change.stored, version=version)
        return dataclasses.replace(change, version=version, stored=stored)

    def _changes_after(self, prefix: str, revision: int) -> tuple[objects.Change, ...]:
        if revision >= self.version_at(self._revision):
            return ()
        newer = itertools.takewhile(
            lambda change: change.version > revision, reversed(self._history)
        )
        return tuple(change for change in newer if change.key.startswith(prefix))[::-1]

    async def _accept_call(self, kind: str, timeout: float) -> bool:
        """Counts a call and applies the delay; returns False if the call gets no answer."""
        self.calls_by_kind[kind] += 1
        if self.faults.down or self.faults.delay > timeout:
            await asyncio.sleep(min(timeout, self.faults.delay or timeout))
            return False
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        return not self.faults.down

    async def _write(
        self, kind: str, key: str, value: bytes | None, version: int | None, timeout: float
    ) -> objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown:
        if not await self._accept_call(kind, timeout):
            return objects.Unknown(reason=f"{kind} {key}: no answer within {timeout} s")
        stored = self._stored_by_key.get(key)
        current = stored.version if stored else None
        if current != version:
            return objects.Conflict(reason=f"{kind} {key}: version {current}, expected {version}")
        if value is not None and len(value) > objects.MAX_VALUE_BYTES:
            return objects.Conflict(reason=f"{kind} {key}: value has {len(value)} bytes, too many")
        self._revision += 1
        self._apply(key, value)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return objects.Unknown(reason=f"{kind} {key}: the answer was lost")
        return objects.Written(version=self.version_at(self._revision))

    def _apply(self, key: str, value: bytes | None) -> None:
        stored = None
        version = self.version_at(self._revision)
        if value is None:
            del self._stored_by_key[key]
        else:
            stored = objects.Stored(key=key, value=value, version=version)
            self._stored_by_key[key] = stored
        self._history.append(objects.Change(key=key, version=version, stored=stored))
        self._changed_at.append(clock.monotonic())
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
