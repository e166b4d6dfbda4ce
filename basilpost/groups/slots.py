"""The interfaces to targets' slots and health: whether this node may send a target another request.

A cold target accepts requests only under credits from its fabric domain's controller. A warm one
accepts them under credits or, if the controller does not answer, within this node's static share of
the limit.
"""

import abc
import dataclasses

from basilpost.core import data, failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoSlot(failure.Failure):
    """The target accepts no more requests from this node now.

    Attributes:
        retry_after: Seconds after which a slot may be available.
    """

    retry_after: float = 0.2


class Slot(abc.ABC):
    """The right to have one request in flight on a target."""

    @abc.abstractmethod
    def release(self, observation: data.Observation) -> None:
        """Releases the slot and reports what was seen of the target; later calls do nothing."""


class Slots(abc.ABC):
    """Gives out this node's slots: its share of the requests that each target accepts at once."""

    @abc.abstractmethod
    def try_acquire(self, group: data.Group) -> Slot | NoSlot:
        """Returns a slot if one is available; never waits."""

    @abc.abstractmethod
    def available(self, group: data.Group) -> int:
        """Returns the number of slots that this node could acquire now."""

    @abc.abstractmethod
    def load(self, group: data.Group) -> float:
        """Returns the known load of a target as a share of its limit, from 0.0 to 1.0 or more.

        The figure rests on the nodes' own counts; the runner's reports, which lag, only raise it.
        """


class Health(abc.ABC):
    """This node's judgement of targets' health, from probes, dispatches and other nodes."""

    @abc.abstractmethod
    def healthy(self, group: data.Group) -> bool:
        """Returns True if new requests may be sent to the group."""

    @abc.abstractmethod
    def report(self, group: data.Group, observation: data.Observation) -> None:
        """Records what a dispatch or probe saw of the group."""
