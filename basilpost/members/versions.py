"""The newest known version of each object, merged from any number of sources.

Merging is commutative, associative and idempotent, so changes may arrive in any order and more than
once. Deletions are kept as tombstones; otherwise a stale read would bring a deleted object back.
Versions of a later era are newer, see `store.eras`.
"""

import itertools
from collections.abc import Iterable

import xxhash

from basilpost.core import names
from basilpost.store import eras, objects

MAX_TOMBSTONES = 10_000


class Versions:
    """Objects and tombstones by key.

    Attributes:
        changes_by_key: The newest known change of each object.
        digest: Digest over the keys and revisions of all objects except node records.
        era: The latest era of the store that this node has heard of.
    """

    def __init__(self) -> None:
        self.changes_by_key: dict[str, objects.Change] = {}
        self.digest = 0
        self.era = 0
        self._tombstones: dict[str, None] = {}

    def note_era(self, era: int) -> bool:
        """Keeps the latest era; returns True if the store was restored since the one before."""
        if era <= self.era:
            return False
        restored = self.era > 0
        self.era = era
        return restored

    def merge(self, change: objects.Change) -> bool:
        """Applies a change if it is newer than the known version; returns True if it was."""
        known = self.changes_by_key.get(change.key)
        if known is not None and known.version >= change.version:
            return False
        if known is not None:
            self.digest ^= _digest(known)
        self.digest ^= _digest(change)
        self.changes_by_key[change.key] = change
        self._limit_tombstones(change)
        return True

    def version_of(self, key: str) -> int:
        """Returns the known version of an object or of its deletion, 0 if unknown."""
        known = self.changes_by_key.get(key)
        return known.version if known else 0

    def deletions_in(self, prefix: str, listing: objects.Listing) -> list[objects.Change]:
        """Returns deletions of the known objects that a listing of the prefix shows to be gone.

        An object that is not listed was deleted if the listing's revision is newer than the object;
        an older listing proves nothing.
        """
        listed = {stored.key for stored in listing.objects}
        return [
            objects.Change(key=key, version=listing.revision, stored=None)
            for key, known in self.changes_by_key.items()
            if key.startswith(prefix)
            and key not in listed
            and known.stored is not None
            and known.version < listing.revision
        ]

    def outdated_keys(self, versions_by_key: dict[str, int]) -> list[str]:
        """Returns the keys whose known version is older than the given one."""
        return [key for key, version in versions_by_key.items() if version > self.version_of(key)]

    def changes_below(self, prefix: str) -> Iterable[objects.Change]:
        """Returns all changes below a prefix, ordered by key."""
        keys = sorted(key for key in self.changes_by_key if key.startswith(prefix))
        return (self.changes_by_key[key] for key in keys)

    def _limit_tombstones(self, change: objects.Change) -> None:
        """Drops the oldest tombstones beyond `MAX_TOMBSTONES`."""
        self._tombstones.pop(change.key, None)
        if change.stored is None:
            self._tombstones[change.key] = None
        excess = max(0, len(self._tombstones) - MAX_TOMBSTONES)
        for key in list(itertools.islice(self._tombstones, excess)):
            del self._tombstones[key]
            self.digest ^= _digest(self.changes_by_key.pop(key))


def _digest(change: objects.Change) -> int:
    """Returns a change's part of the digest, 0 for node records, which change too often.

    It leaves the era out, as nodes of builds that know no eras compare digests as well.
    """
    if change.key.startswith(names.NODE_PREFIX):
        return 0
    revision = eras.revision_of(change.version)
    return xxhash.xxh3_64_intdigest(f"{change.key}\0{revision}".encode())
