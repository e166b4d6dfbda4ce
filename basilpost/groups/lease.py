"""The lease of a pool's controller, an object in the platform's store.

The revision of the write that acquired the lease is the controller's fencing number, which rises
with each holder. Runners reject orders with a lower one, so safety does not depend on the lease.
The lease only keeps two controllers from working against each other.

A store that is restored from a copy may lose the lease, show an earlier holder, and give revisions out
again. The holder then writes the lease again, the others give it the time of a lease to do so, and a
new holder's fencing number is above each one that is known to have been used.

A write without an answer may have been lost, or may be carried out later. What the store then shows of
this process counts from the time at which that renewal was sent: others count from a later time.
"""

import dataclasses

from basilpost.core import clock, codec
from basilpost.store import eras, objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """The lease as stored; each renewal overwrites it.

    Attributes:
        holder: Id of the node that holds the lease.
        incarnation: Unique id of the process on that node.
        fence: Fencing number of the holder. In the write that acquires the lease its revision is not
            known yet, and this is the highest number known to have been used.
        renewal: Number of the renewal, 0 in the write that acquires the lease.
    """

    holder: str
    incarnation: str
    fence: int
    renewal: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Own:
    """The lease in the store, with a record of this process.

    Attributes:
        version: Its version.
        renewal: Number of the renewal that wrote it.
    """

    version: int
    renewal: int


@dataclasses.dataclass(kw_only=True)
class Lease:
    """This node's view of the lease, and its hold on it if it has one.

    Attributes:
        key: Key of the lease's object in the store.
        node_id: Id of this node.
        incarnation: Unique id of this process.
        seconds: Duration of the lease.
        is_first_start: True if the whole system starts for the first time, so that nobody can hold a
            lease that the store has lost.
        fence: Fencing number while this node holds the lease, otherwise 0.
        held_until: Time on `clock.elapsed` until which this node certainly holds the lease.
    """

    key: str
    node_id: str
    incarnation: str
    seconds: float
    is_first_start: bool = False
    fence: int = 0
    held_until: float = float("-inf")
    _version: int = 0
    _seen_version: int = -1
    _seen_at: float = float("-inf")
    _is_acquiring: bool = False
    _highest_fence: int = 0
    _era: int | None = None
    _reclaimable_until: float = float("-inf")
    _sent_at_by_renewal: dict[int, float] = dataclasses.field(default_factory=dict)

    @property
    def held(self) -> bool:
        """Returns True while this node may act as the controller."""
        return self.fence > 0 and clock.elapsed() < self.held_until

    async def observe(
        self, store: objects.ObjectStore, *, timeout: float, fresh: bool = False
    ) -> bool:
        """Reads the lease; returns True if it is free or its holder did not renew it in time.

        Unless `fresh` is set, the read may be seconds old. That is safe because the write that
        acquires the lease is conditional on the version.
        """
        read = store.get if fresh else store.get_maybe_stale
        found = await read(self.key, timeout=timeout)
        self._note_era(store.era)
        if isinstance(found, objects.Missing):
            self._version = 0
            return clock.elapsed() >= self._reclaimable_until
        if not isinstance(found, objects.Stored):
            if clock.elapsed() < self._reclaimable_until:
                # The holder may not reach the store either.
                self._reclaimable_until = clock.elapsed() + self.seconds
            return False
        self._highest_fence = max(self._highest_fence, _fence_in(found))
        return self._track_renewal(found, fresh=fresh)

    async def acquire(
        self, store: objects.ObjectStore, *, timeout: float, used_fence: int = 0
    ) -> bool:
        """Tries to acquire a lease that was observed free or expired; returns True on success.

        Args:
            store: The store that holds the lease.
            timeout: Time for each call in seconds.
            used_fence: Highest fencing number that runners are known to have seen.
        """
        sent_at = clock.elapsed()
        self._highest_fence = max(self._highest_fence, used_fence)
        record = self._record(fence=self._highest_fence, renewal=0)
        # Stays True if the answer is not awaited, so that `release` looks for the lease.
        self._is_acquiring = True
        if self._version == 0:
            result = await store.create(self.key, record, timeout=timeout)
        else:
            result = await store.update(self.key, record, version=self._version, timeout=timeout)
        if isinstance(result, objects.Unknown):
            own = await self._find_own(store, timeout=timeout)
            # The record of an earlier time as the holder does not show that this write was done.
            version = own.version if own is not None and own.version != self._version else 0
        else:
            version = result.version if isinstance(result, objects.Written) else 0
        self._is_acquiring = False
        if not version:
            return False
        self._version = version
        self.fence = max(eras.revision_of(version), self._highest_fence + 1)
        self.held_until = sent_at + self.seconds
        self._sent_at_by_renewal = {0: sent_at}
        return True

    async def renew(self, store: objects.ObjectStore, *, renewal: int, timeout: float) -> bool:
        """Renews a held lease; returns False if the store shows that it is lost."""
        sent_at = clock.elapsed()
        self._note_sent(renewal, sent_at)
        record = self._record(fence=self.fence, renewal=renewal)
        result = await store.update(self.key, record, version=self._version, timeout=timeout)
        if isinstance(result, objects.Written):
            self._version = result.version
            self.held_until = sent_at + self.seconds
            return True
        if isinstance(result, objects.Unavailable):
            return True
        own = await self._find_own(store, timeout=timeout)
        if own is not None:
            self._version = own.version
            in_force_from = self._sent_at_by_renewal.get(own.renewal, float("-inf"))
            self.held_until = max(self.held_until, in_force_from + self.seconds)
            return self.fence > 0
        version = 0
        if store.era > eras.era_of(self._version):
            version = await self._reclaim(store, record, timeout=timeout)
        if version:
            self._version = version
            self.held_until = sent_at + self.seconds
        elif isinstance(result, objects.Conflict):
            self.mark_lost()
        return self.fence > 0

    def _note_sent(self, renewal: int, at: float) -> None:
        """Records when a renewal was sent; earlier ones are forgotten after the time of a lease."""
        self._sent_at_by_renewal = {
            number: sent_at
            for number, sent_at in self._sent_at_by_renewal.items()
            if at - sent_at < self.seconds
        } | {renewal: at}

    async def _reclaim(self, store: objects.ObjectStore, record: bytes, *, timeout: float) -> int:
        """Writes a held lease again that a restored store has lost.

        Returns its version, or 0 if it could not be written or belongs to a later holder.
        """
        found = await store.get(self.key, timeout=timeout)
        result: object = found
        if isinstance(found, objects.Missing):
            result = await store.create(self.key, record, timeout=timeout)
        elif isinstance(found, objects.Stored) and _fence_in(found) < self.fence:
            result = await store.update(self.key, record, version=found.version, timeout=timeout)
        return result.version if isinstance(result, objects.Written) else 0

    async def release(self, store: objects.ObjectStore, *, timeout: float) -> None:
        """Deletes a held lease, so that another node need not wait until it expires."""
        if self._is_acquiring:
            self._is_acquiring = False
            own = await self._find_own(store, timeout=timeout)
            self._version = 0 if own is None else own.version
            self.fence = eras.revision_of(self._version)
        if self.fence:
            self.mark_lost()
            result = await store.delete(self.key, version=self._version, timeout=timeout)
            if isinstance(result, objects.Conflict):
                # A renewal may have been in flight and changed the version.
                own = await self._find_own(store, timeout=timeout)
                if own is not None:
                    await store.delete(self.key, version=own.version, timeout=timeout)

    def mark_lost(self) -> None:
        """Records that this node no longer holds the lease."""
        self.fence = 0
        self.held_until = float("-inf")

    def _note_era(self, era: int) -> None:
        """Gives the holder time to write the lease again if the store was restored.

        A process that has just started cannot tell, and does not know yet what the holder has ordered.
        """
        is_first_read = self._era is None
        may_be_restored = not self.is_first_start if is_first_read else era > (self._era or 0)
        if may_be_restored:
            self._reclaimable_until = clock.elapsed() + self.seconds
        self._era = era

    def _track_renewal(self, found: objects.Stored, *, fresh: bool) -> bool:
        """Records the version read; returns True if it is unchanged for a lease's duration."""
        # A cheap read may return an older version than an earlier read.
        if found.version > self._seen_version or (fresh and found.version != self._seen_version):
            self._seen_version = found.version
            self._seen_at = clock.elapsed()
        self._version = self._seen_version
        return clock.elapsed() - self._seen_at > self.seconds

    async def _find_own(self, store: objects.ObjectStore, *, timeout: float) -> "_Own | None":
        """Returns the lease as stored if its record is of this process, else None."""
        found = await store.get(self.key, timeout=timeout)
        if not isinstance(found, objects.Stored):
            return None
        try:
            record = codec.from_json(found.value, Record)
        except ValueError:
            return None
        mine = (record.holder, record.incarnation) == (self.node_id, self.incarnation)
        return _Own(version=found.version, renewal=record.renewal) if mine else None

    def _record(self, *, fence: int, renewal: int) -> bytes:
        return codec.to_json(
            Record(
                holder=self.node_id,
                incarnation=self.incarnation,
                fence=fence,
                renewal=renewal,
            )
        )


def _fence_in(found: objects.Stored) -> int:
    """Returns the fencing number that the holder of a stored lease has at least."""
    try:
        record = codec.from_json(found.value, Record)
    except ValueError:
        return 0
    if record.renewal == 0:
        return max(eras.revision_of(found.version), record.fence + 1)
    return record.fence
