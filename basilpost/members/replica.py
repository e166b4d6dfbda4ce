"""The interface to a node's replica of stored objects.

A replica keeps the highest version of each object that it has received from the store or from
peers. A stale read never replaces it by a lower one. Reads are served without a call to the store.
"""

import abc
from collections.abc import Callable

from basilpost.store import objects

Listener = Callable[[objects.Change], None]


class Replica(abc.ABC):
    """The newest versions that this node knows of the objects below the replicated prefixes."""

    @abc.abstractmethod
    def get(self, key: str) -> objects.Stored | None:
        """Returns the newest known version of an object, None if unknown or deleted."""

    @abc.abstractmethod
    def items(self, prefix: str) -> tuple[objects.Stored, ...]:
        """Returns all known objects below a prefix, ordered by key."""

    @abc.abstractmethod
    def offer(self, change: objects.Change) -> bool:
        """Applies a change if it is newer than the known version; returns True if it was.

        A node offers its own confirmed writes, so that they are in force here at once and are sent
        to the peers without waiting for the watch.
        """

    @abc.abstractmethod
    def subscribe(self, prefix: str, listener: Listener) -> None:
        """Calls the listener after each newer change below a prefix."""

    @abc.abstractmethod
    def store_contact_age(self) -> float:
        """Returns the seconds since the store last answered a watch here, infinite if it never did."""
