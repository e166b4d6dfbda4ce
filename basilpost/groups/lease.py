"""The lease of a pool's controller, held in the platform's store.

The revision of the write that took the lease is the controller's fencing number: it rises with each
holder. Engines refuse orders with a lower one, so the lease itself only keeps two controllers from
working against each other.
"""

import dataclasses

from basilpost.core import clock, codec
from basilpost.store import objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """The lease as stored; each renewal writes it anew.

    Attributes:
        holder: Node that holds it.
        incarnation: Process of that node.
        fence: Fencing number, 0 in the write that takes the lease.
        renewal: Counts renewals.
    """

    holder: str
    incarnation: str
    fence: int
    renewal: int


@dataclasses.dataclass(kw_only=True)
class Lease:
    """One node's side of the lease.

    Attributes:
        key: Key of the object.
        node_id: This node.
        incarnation: This process.
        seconds: Length of the lease.
        fence: Fencing number while held, 0 else.
        held_until: Time on `clock.elapsed` until which the lease is held for sure.
    """

    key: str
    node_id: str
    incarnation: str
    seconds: float
    fence: int = 0
    held_until: float = float("-inf")
    _version: int = 0
    _seen_version: int = -1
    _seen_at: float = float("-inf")
    _holder: str = ""

    @property
    def held(self) -> bool:
        """Returns True while this node may act as the controller."""
        return self.fence > 0 and clock.elapsed() < self.held_until

    async def observe(
        self, store: objects.ObjectStore, *, timeout: float, fresh: bool = False
    ) -> bool:
        """Reads the lease; returns True if it is free or its holder did not renew it in time.

        A read that is seconds old will do unless `fresh`: taking the lease is conditional.
        """
        read = store.get if fresh else store.get_maybe_stale
        found = await read(self.key, timeout=timeout)
        if isinstance(found, objects.Missing):
            self._version = 0
            return True
        if not isinstance(found, objects.Stored):
            return False
        return self._note(found)

    async def take(self, store: objects.ObjectStore, *, timeout: float) -> bool:
        """Tries to take a lease that was seen free or lapsed; returns True if it is held now."""
        sent_at = clock.elapsed()
        record = self._record(fence=0, renewal=0)
        if self._version == 0:
            result = await store.create(self.key, record, timeout=timeout)
        else:
            result = await store.update(self.key, record, version=self._version, timeout=timeout)
        if isinstance(result, objects.Unknown):
            version = await self._recognise(store, timeout=timeout)
        else:
            version = result.version if isinstance(result, objects.Written) else 0
        if not version:
            return False
        self._version = self.fence = version
        self.held_until = sent_at + self.seconds
        return True

    async def renew(self, store: objects.ObjectStore, *, renewal: int, timeout: float) -> bool:
        """Renews a held lease; returns False if another holder was found."""
        sent_at = clock.elapsed()
        record = self._record(fence=self.fence, renewal=renewal)
        result = await store.update(self.key, record, version=self._version, timeout=timeout)
        if isinstance(result, objects.Written):
            self._version = result.version
            self.held_until = sent_at + self.seconds
            return True
        if isinstance(result, objects.Unavailable):
            return True
        version = await self._recognise(store, timeout=timeout)
        if version:
            self._version = version
            self.held_until = sent_at + self.seconds
        elif isinstance(result, objects.Conflict):
            self.drop()
        return self.fence > 0

    async def release(self, store: objects.ObjectStore, *, timeout: float) -> None:
        """Gives a held lease up, so that another node need not wait for its end."""
        if self.fence:
            self.drop()
            result = await store.delete(self.key, version=self._version, timeout=timeout)
            if isinstance(result, objects.Conflict):
                # A renewal may have been under way.
                version = await self._recognise(store, timeout=timeout)
                if version:
                    await store.delete(self.key, version=version, timeout=timeout)

    def drop(self) -> None:
        """Notes that the lease is lost."""
        self.fence = 0
        self.held_until = float("-inf")

    def _note(self, found: objects.Stored) -> bool:
        # A cheap read may be older than one before it.
        if found.version > self._seen_version:
            self._seen_version = found.version
            self._seen_at = clock.elapsed()
        self._version = self._seen_version
        return clock.elapsed() - self._seen_at > self.seconds

    async def _recognise(self, store: objects.ObjectStore, *, timeout: float) -> int:
        """Returns the version of the lease if it is this process's own, else 0."""
        found = await store.get(self.key, timeout=timeout)
        if not isinstance(found, objects.Stored):
            return 0
        try:
            record = codec.from_json(found.value, Record)
        except ValueError:
            return 0
        mine = (record.holder, record.incarnation) == (self.node_id, self.incarnation)
        return found.version if mine else 0

    def _record(self, *, fence: int, renewal: int) -> bytes:
        return codec.to_json(
            Record(
                holder=self.node_id,
                incarnation=self.incarnation,
                fence=fence,
                renewal=renewal,
            )
        )
