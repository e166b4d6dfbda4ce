"""Decides which group gives its VMs to another model.

The load pattern it answers: callers want another mix of models than the groups were formed for. One
model's groups are full for seconds while another's stand half idle, and no free VMs are left.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from basilpost.core import catalog
from basilpost.groups import assembled

# A model is short when its callers want this share of its slots; above it they wait or are refused.
SHORT_SHARE = 0.95
# A model gives a group away only if its callers then want at most this share of what it keeps: room
# for a burst, and far enough from SHORT_SHARE that the group is not wanted back.
KEPT_SHARE = 0.6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Capacity:
    """One model's groups and what callers want of them.

    Attributes:
        model: The model.
        groups: Its groups, with those that are being formed.
        wanted: Slots that would serve all its callers.
        slots: Slots of a group.
    """

    model: catalog.Model
    groups: int
    wanted: float
    slots: int

    @property
    def use(self) -> float:
        """Returns the share of its slots that callers want."""
        return self.wanted / max(1, self.groups * self.slots)

    @property
    def use_with_one_less(self) -> float:
        """Returns that share if it had one group less."""
        return self.wanted / max(1, (self.groups - 1) * self.slots)


def waits(short: Capacity) -> float:
    """Returns the seconds for which a model must have been short.

    The VMs of a group serve nobody while they load other weights. To wait as long as that first costs
    at most twice what the best choice would have, however long the shortage goes on (ski rental).
    """
    return short.model.load_seconds


def shortest(capacities: Iterable[Capacity]) -> Capacity | None:
    """Returns the model that is shortest of groups, None if none is short."""
    short = [one for one in capacities if one.use >= SHORT_SHARE]
    return max(short, key=lambda one: one.use, default=None)


def giver(
    short: Capacity,
    capacities: Iterable[Capacity],
    groups: Iterable[assembled.Assembled],
    free_by_domain: Mapping[str, int],
) -> assembled.Assembled | None:
    """Returns the group whose VMs, with the free ones beside it, serve the short model best.

    Args:
        short: The model that is short.
        capacities: All models.
        groups: All groups.
        free_by_domain: Number of free VMs by fabric domain.
    """
    givers = {
        one.model.name
        for one in capacities
        if one.model.name != short.model.name
        and one.groups > 1
        and one.use_with_one_less <= KEPT_SHARE
    }

    def gained(group: assembled.Assembled) -> int:
        domain = group.members[0].fabric_domain
        return (len(group.members) + free_by_domain.get(domain, 0)) // short.model.vms

    options = [
        group
        for group in groups
        if group.model is not None
        and group.model.name in givers
        and group.complete
        and group.state is catalog.MemberState.OPEN
        and not group.leaving
        and gained(group) > 0
    ]
    return max(options, key=lambda group: (gained(group), group.name), default=None)
