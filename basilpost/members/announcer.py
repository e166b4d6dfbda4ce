"""Announces new versions to neighbours, and pulls announced objects that this node lacks.

Objects are large, versions are small, and a node may get an object from several neighbours and from
the store. So versions are flooded, and an object is sent only to a node that asks for it. A node
that expects an object from its watch, or from a nearer neighbour, waits shortly for it before it
pulls.
"""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable

from basilpost.core import clock
from basilpost.members import messages, peer_versions, peers, versions
from basilpost.store import objects

# Delay in which changes are collected into one message.
FLUSH_SECONDS = 0.01
PULL_RETRY_SECONDS = 0.5
# Changes with values up to this size are sent without being announced first.
MAX_UNANNOUNCED_BYTES = 200
BATCH_BYTES = 200_000
MAX_TRACKED_KEYS = 10_000


@dataclasses.dataclass(kw_only=True)
class _AnnouncedVersion:
    """The newest announced version of a key.

    Attributes:
        version: The highest version that a neighbour announced.
        announcers: The neighbours that announced it.
        pulled_at: When it was last pulled, on `clock.monotonic`.
    """

    version: int
    announcers: set[str] = dataclasses.field(default_factory=set)
    pulled_at: float = -math.inf


class Announcer:
    """Announces changes to the neighbours, and pulls what they announce."""

    def __init__(
        self,
        *,
        peers: peers.PeerNetwork,
        known: versions.Versions,
        peer_versions: peer_versions.PeerVersions,
        pull_delay: Callable[[str], float],
    ) -> None:
        self._peers = peers
        self._known = known
        self._peer_versions = peer_versions
        self._pull_delay = pull_delay
        self._wire_changes_by_key: dict[str, messages.WireChange] = {}
        self._pending: list[tuple[objects.Change, str]] = []
        self._announced_by_key: dict[str, _AnnouncedVersion] = {}
        self._missing_by_id: dict[str, dict[str, int]] = {}

    def publish(self, change: objects.Change, source: str) -> None:
        """Queues a newer change for all neighbours except its source; sent in batches."""
        if not self._pending:
            asyncio.get_running_loop().call_later(FLUSH_SECONDS, self.flush)
        self._pending.append((change, source))

    def flush(self) -> None:
        """Sends the queued changes now."""
        pending, self._pending = self._pending, []
        if pending:
            for node_id in self._peers.neighbours():
                self._send_changes(
                    node_id, [change for change, source in pending if source != node_id]
                )

    def receive(self, sender: str, announcement: messages.VersionAnnouncement) -> None:
        """Records what a neighbour announces, and pulls what this node lacks."""
        missing = self._missing_by_id.setdefault(sender, {})
        announced = self._peer_versions.versions_from_peer(sender, announcement.versions_by_key)
        for key, version in announced.items():
            self._track(key, version).announcers.add(sender)
            if version > self._known.version_of(key):
                missing[key] = version
        if not missing:
            return
        delay = self._pull_delay(sender)
        if delay:
            asyncio.get_running_loop().call_later(delay, self.pull_missing, sender)
        else:
            self.pull_missing(sender)

    def is_synced_with(self, node_id: str) -> bool:
        """Returns True if this node has all versions that a neighbour announced, or newer ones."""
        missing = self._missing_by_id.get(node_id, {})
        for key in [key for key in missing if self._known.version_of(key) >= missing[key]]:
            del missing[key]
        return not missing

    def pull_missing(self, node_id: str) -> None:
        """Pulls the objects that a neighbour announced and this node still lacks.

        An object that was pulled from any neighbour within `PULL_RETRY_SECONDS` is left out.
        """
        if self.is_synced_with(node_id):
            return
        due_before = clock.monotonic() - PULL_RETRY_SECONDS
        announced = {
            key: self._track(key, version) for key, version in self._missing_by_id[node_id].items()
        }
        keys = tuple(key for key, newest in announced.items() if newest.pulled_at < due_before)
        for key in keys:
            announced[key].pulled_at = clock.monotonic()
        if keys:
            self._peers.send(node_id, messages.Pull(keys=keys))

    def reset(self, node_id: str) -> None:
        """Forgets what a neighbour announced; called when its stream opens or ends."""
        self._missing_by_id.pop(node_id, None)
        for announced in self._announced_by_key.values():
            announced.announcers.discard(node_id)

    def _track(self, key: str, version: int) -> _AnnouncedVersion:
        announced = self._announced_by_key.get(key)
        if announced is None or announced.version < version:
            self._announced_by_key.pop(key, None)
            announced = self._announced_by_key[key] = _AnnouncedVersion(version=version)
            if len(self._announced_by_key) > MAX_TRACKED_KEYS:
                del self._announced_by_key[next(iter(self._announced_by_key))]
        return announced

    def _send_changes(self, node_id: str, changes: list[objects.Change]) -> None:
        unknown = [change for change in changes if not self._has_announced(node_id, change)]
        self.send_objects(node_id, (change for change in unknown if _is_small(change)))
        versions_by_key = {
            change.key: self._peer_versions.to_peer(node_id, change.version)
            for change in unknown
            if not _is_small(change)
        }
        if versions_by_key:
            self._peers.send(node_id, messages.VersionAnnouncement(versions_by_key=versions_by_key))

    def send_objects(self, node_id: str, changes: Iterable[objects.Change]) -> None:
        """Sends changes with their values, in one or more messages."""
        encoded = (
            dataclasses.replace(sent, version=self._peer_versions.to_peer(node_id, sent.version))
            for sent in map(self._to_wire, changes)
        )
        for batch in batches(encoded):
            self._peers.send(node_id, batch)

    def _to_wire(self, change: objects.Change) -> messages.WireChange:
        """Returns the encoded change, which is kept as several neighbours pull it."""
        encoded = self._wire_changes_by_key.get(change.key)
        if encoded is None or encoded.version != change.version:
            encoded = self._wire_changes_by_key[change.key] = messages.to_wire(change)
            if len(self._wire_changes_by_key) > MAX_TRACKED_KEYS:
                del self._wire_changes_by_key[next(iter(self._wire_changes_by_key))]
        return encoded

    def _has_announced(self, node_id: str, change: objects.Change) -> bool:
        announced = self._announced_by_key.get(change.key)
        return (
            announced is not None
            and announced.version >= change.version
            and (node_id in announced.announcers)
        )


def batches(changes: Iterable[messages.WireChange]) -> Iterable[messages.ChangeBatch]:
    """Groups changes into messages; one is complete when it holds `BATCH_BYTES` or more."""
    batch: list[messages.WireChange] = []
    size = 0
    for sent in changes:
        size += len(sent.key) + len(sent.value or b"")
        batch.append(sent)
        if size >= BATCH_BYTES:
            yield messages.ChangeBatch(changes=tuple(batch))
            batch, size = [], 0
    if batch:
        yield messages.ChangeBatch(changes=tuple(batch))


def _is_small(change: objects.Change) -> bool:
    return change.stored is None or len(change.stored.value) <= MAX_UNANNOUNCED_BYTES
