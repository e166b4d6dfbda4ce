"""The interface to the configuration and groups that are in force on this node."""

import abc
from collections.abc import Callable

from basilpost.core import data


class Directory(abc.ABC):
    """The decoded configuration objects and group tables of the replica."""

    @abc.abstractmethod
    def config(self) -> data.Config:
        """Returns the configuration in force; the same object until it changes."""

    @abc.abstractmethod
    def groups_for(self, service: str) -> tuple[data.Group, ...]:
        """Returns all groups of a service, in any state."""

    @abc.abstractmethod
    def group(self, group_id: str) -> data.Group | None:
        """Returns a group by its id."""

    @abc.abstractmethod
    def tables(self) -> dict[str, data.FabricTable]:
        """Returns the known group tables by fabric domain."""

    @abc.abstractmethod
    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each change of configuration or groups."""
