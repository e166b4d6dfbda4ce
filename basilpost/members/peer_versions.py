"""Versions in messages between nodes of different builds.

Builds before eras (see `store.eras`) take versions for plain revisions. A version with an era would
be so high for them that they ignore the store's own changes from then on. So a node sends an era only
to peers that have shown that they know eras, by a version with an era in their summary. Versions
without an era are believed only while this node knows of none: a peer of an older build takes a
restored store's objects for old ones, and would tell what was known before the restore.
"""

import dataclasses
from collections.abc import Callable

from basilpost.members import peers, versions
from basilpost.store import eras, objects

# First entry of each summary, a key and a version with an era, by which a build shows that it knows
# eras. Older builds ask once for an object of this name and get none.
ERA_ENTRY = ("basilpost-era", eras.version(era=1, revision=0))


class PeerVersions:
    """Translates versions between this node and its peers."""

    def __init__(self, *, peers: peers.PeerNetwork, known: versions.Versions) -> None:
        self._known = known
        self._capable_ids: set[str] = set()
        self._listeners: list[Callable[[str], None]] = []
        peers.subscribe(self._on_stream)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Calls the listener with a peer's id when the peer first shows that it knows eras."""
        self._listeners.append(listener)

    def is_believed(self, node_id: str) -> bool:
        """Returns True if this node takes in what a peer tells of the store."""
        return self._known.era == 0 or self.knows_eras(node_id)

    def knows_eras(self, node_id: str) -> bool:
        """Returns True if a peer's build knows eras."""
        return node_id in self._capable_ids

    def to_peer(self, node_id: str, version: int) -> int:
        """Returns a version as a peer understands it."""
        return version if self.knows_eras(node_id) else eras.revision_of(version)

    def from_peer(self, node_id: str, version: int) -> int | None:
        """Returns the version in a peer's message; None if its era cannot be told."""
        if eras.era_of(version):
            if node_id not in self._capable_ids:
                self._capable_ids.add(node_id)
                for listener in self._listeners:
                    listener(node_id)
            return version
        return version if self._known.era == 0 else None

    def versions_from_peer(self, node_id: str, versions_by_key: dict[str, int]) -> dict[str, int]:
        """Returns the versions in a peer's message by key, without those whose era cannot be told."""
        translated = {
            key: self.from_peer(node_id, version) for key, version in versions_by_key.items()
        }
        return {key: version for key, version in translated.items() if version is not None}

    def change_from_peer(self, node_id: str, change: objects.Change) -> objects.Change | None:
        """Returns the change in a peer's message; None if its era cannot be told."""
        version = self.from_peer(node_id, change.version)
        return None if version is None else _with_version(change, version)

    def _on_stream(self, node_id: str, is_open: bool) -> None:
        # The node may have been replaced by one of another build.
        self._capable_ids.discard(node_id)


def without_era(change: objects.Change) -> objects.Change:
    """Returns a change with its plain revision, as builds before eras understand it."""
    return _with_version(change, eras.revision_of(change.version))


def _with_version(change: objects.Change, version: int) -> objects.Change:
    if version == change.version:
        return change
    stored = change.stored and dataclasses.replace(change.stored, version=version)
    return dataclasses.replace(change, version=version, stored=stored)
