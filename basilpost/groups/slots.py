"""The interface to the slots of a target: how much more work this node may send it.

A cold target takes work only under credits from its fabric domain's controller; a warm one under
credits or, when the controller does not answer, this node's static share of the limit.
"""

import abc
import dataclasses

from basilpost.core import data, failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoSlot(failure.Failure):
    """The target takes no more work from this node now.

    Attributes:
        retry_after: Seconds after which a slot may be free.
    """

    retry_after: float = 0.2


class Slot(abc.ABC):
    """The right to have one request in flight on a target."""

    @abc.abstractmethod
    def release(self, observation: data.Observation) -> None:
        """Gives the slot back once, with what was seen of the target; later calls do nothing."""


class Slots(abc.ABC):
    """All targets' slots on this node."""

    @abc.abstractmethod
    def try_acquire(self, group: data.Group) -> Slot | NoSlot:
        """Takes a slot if one is free; never waits."""

    @abc.abstractmethod
    def available(self, group: data.Group) -> int:
        """Returns how many slots this node could take now."""

    @abc.abstractmethod
    def load(self, group: data.Group) -> float:
        """Returns the known load of a target as a share of its limit, 0.0 to 1.0 or more.

        A node's own counts come first; the engine's late reports only raise the figure.
        """


class Health(abc.ABC):
    """What this node holds of the targets' health, from probes, dispatches and peers."""

    @abc.abstractmethod
    def healthy(self, group: data.Group) -> bool:
        """Returns True if new work may be sent to the group."""

    @abc.abstractmethod
    def report(self, group: data.Group, observation: data.Observation) -> None:
        """Takes in what a dispatch or probe saw."""
