"""Announces new versions to neighbours, and pulls the objects of announced ones once.

Objects are large and come to a node from several neighbours and from the store; versions are small.
So versions flood, and an object crosses the network only to a node that lacks it. A node that
watches the store itself gives its watch a moment before it pulls.
"""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable

from basilpost.core import clock
from basilpost.members import messages, peers, versions
from basilpost.store import objects

FLUSH_SECONDS = 0.01
WATCH_GRACE_SECONDS = 0.25
PULL_AGAIN_SECONDS = 0.5
SMALL_BYTES = 200
BATCH_BYTES = 200_000
MAX_REMEMBERED_KEYS = 10_000


@dataclasses.dataclass(kw_only=True)
class _Heard:
    """Who announced the newest heard version of a key, and when it was last pulled."""

    version: int
    announcers: set[str] = dataclasses.field(default_factory=set)
    pulled_at: float = -math.inf


class Announcer:
    """What this node has to tell its neighbours, and what they told it."""

    def __init__(
        self,
        *,
        peers: peers.PeerNetwork,
        known: versions.Versions,
        expects_watch: Callable[[], bool],
    ) -> None:
        self._peers = peers
        self._known = known
        self._expects_watch = expects_watch
        self._pending: list[tuple[objects.Change, str]] = []
        self._heard_by_key: dict[str, _Heard] = {}
        self._unmet_by_id: dict[str, dict[str, int]] = {}

    def publish(self, change: objects.Change, source: str) -> None:
        """Tells all neighbours but the source of a newer change, together with others."""
        if not self._pending:
            asyncio.get_running_loop().call_later(FLUSH_SECONDS, self.flush)
        self._pending.append((change, source))

    def flush(self) -> None:
        """Tells what is pending now."""
        pending, self._pending = self._pending, []
        if pending:
            for node_id in self._peers.neighbours():
                self._tell(node_id, [change for change, source in pending if source != node_id])

    def take(self, sender: str, announced: messages.VersionAnnouncement) -> None:
        """Notes what a neighbour has, and pulls what this node lacks."""
        unmet = self._unmet_by_id.setdefault(sender, {})
        for key, version in announced.versions_by_key.items():
            self._hear(key, version).announcers.add(sender)
            if version > self._known.version_of(key):
                unmet[key] = version
        if unmet and self._expects_watch():
            loop = asyncio.get_running_loop()
            loop.call_later(WATCH_GRACE_SECONDS, self.pull_unmet, sender)
        elif unmet:
            self.pull_unmet(sender)

    def is_level(self, node_id: str) -> bool:
        """Returns True if this node has all that a neighbour announced."""
        unmet = self._unmet_by_id.get(node_id, {})
        for key in [key for key in unmet if self._known.version_of(key) >= unmet[key]]:
            del unmet[key]
        return not unmet

    def pull_unmet(self, node_id: str) -> None:
        """Asks a neighbour for what it announced and this node still lacks."""
        if self.is_level(node_id):
            return
        due_before = clock.monotonic() - PULL_AGAIN_SECONDS
        heard = {key: self._hear(key, one) for key, one in self._unmet_by_id[node_id].items()}
        keys = tuple(key for key, one in heard.items() if one.pulled_at < due_before)
        for key in keys:
            heard[key].pulled_at = clock.monotonic()
        if keys:
            self._peers.send(node_id, messages.Pull(keys=keys))

    def forget(self, node_id: str) -> None:
        """Drops what a neighbour announced when its stream opens or ends."""
        self._unmet_by_id.pop(node_id, None)
        for heard in self._heard_by_key.values():
            heard.announcers.discard(node_id)

    def _hear(self, key: str, version: int) -> _Heard:
        heard = self._heard_by_key.get(key)
        if heard is None or heard.version < version:
            self._heard_by_key.pop(key, None)
            heard = self._heard_by_key[key] = _Heard(version=version)
            if len(self._heard_by_key) > MAX_REMEMBERED_KEYS:
                del self._heard_by_key[next(iter(self._heard_by_key))]
        return heard

    def _tell(self, node_id: str, changes: list[objects.Change]) -> None:
        news = [change for change in changes if not self._has(node_id, change)]
        for batch in batches(change for change in news if _is_small(change)):
            self._peers.send(node_id, batch)
        versions_by_key = {change.key: change.version for change in news if not _is_small(change)}
        if versions_by_key:
            self._peers.send(node_id, messages.VersionAnnouncement(versions_by_key=versions_by_key))

    def _has(self, node_id: str, change: objects.Change) -> bool:
        heard = self._heard_by_key.get(change.key)
        return (
            heard is not None and heard.version >= change.version and (node_id in heard.announcers)
        )


def batches(changes: Iterable[objects.Change]) -> Iterable[messages.ChangeBatch]:
    """Groups changes into messages of bounded size."""
    batch: list[messages.WireChange] = []
    size = 0
    for change in changes:
        one = messages.to_wire(change)
        size += len(one.key) + len(one.value or b"")
        batch.append(one)
        if size >= BATCH_BYTES:
            yield messages.ChangeBatch(changes=tuple(batch))
            batch, size = [], 0
    if batch:
        yield messages.ChangeBatch(changes=tuple(batch))


def _is_small(change: objects.Change) -> bool:
    return change.stored is None or len(change.stored.value) <= SMALL_BYTES
