"""The newest known version of each object, merged from any number of sources.

Merging is commutative, associative and idempotent, so that it does not matter in which order or
how often changes arrive. Deletions stay known as tombstones, or a stale read would bring a deleted
object back.
"""

import itertools
from collections.abc import Iterable

import xxhash

from basilpost.core import names
from basilpost.store import objects

MAX_TOMBSTONES = 10_000


class Versions:
    """Objects and tombstones by key."""

    def __init__(self) -> None:
        self.changes_by_key: dict[str, objects.Change] = {}
        self.digest = 0
        self._tombstones: dict[str, None] = {}

    def merge(self, change: objects.Change) -> bool:
        """Takes a change in if it is newer than what is known; returns True if it was."""
        known = self.changes_by_key.get(change.key)
        if known is not None and known.version >= change.version:
            return False
        if known is not None:
            self.digest ^= _digest(known)
        self.digest ^= _digest(change)
        self.changes_by_key[change.key] = change
        self._bound_tombstones(change)
        return True

    def version_of(self, key: str) -> int:
        """Returns the known version of an object or of its deletion; 0 if there is none."""
        known = self.changes_by_key.get(key)
        return known.version if known else 0

    def absent_from(self, prefix: str, listing: objects.Listing) -> list[objects.Change]:
        """Returns the deletions that a listing proves.

        An object that the listing lacks was deleted if the listing is at least as new as the
        object; an older listing proves nothing.
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

    def newer_than(self, versions_by_key: dict[str, int]) -> list[str]:
        """Returns the keys of which the given versions are newer than the known ones."""
        return [key for key, version in versions_by_key.items() if version > self.version_of(key)]

    def below(self, prefix: str) -> Iterable[objects.Change]:
        """Returns all changes below a prefix, ordered by key."""
        found = sorted(key for key in self.changes_by_key if key.startswith(prefix))
        return (self.changes_by_key[key] for key in found)

    def _bound_tombstones(self, change: objects.Change) -> None:
        """Forgets the oldest tombstones beyond the bound."""
        self._tombstones.pop(change.key, None)
        if change.stored is None:
            self._tombstones[change.key] = None
        excess = max(0, len(self._tombstones) - MAX_TOMBSTONES)
        for key in list(itertools.islice(self._tombstones, excess)):
            del self._tombstones[key]
            self.digest ^= _digest(self.changes_by_key.pop(key))


def _digest(change: objects.Change) -> int:
    """Returns a change's part of the digest; node records change too often to be part of it."""
    if change.key.startswith(names.NODE_PREFIX):
        return 0
    return xxhash.xxh3_64_intdigest(f"{change.key}\0{change.version}".encode())
