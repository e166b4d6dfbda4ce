"""Decides which group gives its VMs to another model.

The load pattern it answers: callers want another mix of models than the groups were formed for. One
model's groups are full for seconds while another's stand half idle, and no free VMs are left.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from basilpost.core import catalog
from basilpost.groups import pool_state, reported_groups

# A model is short when its callers want this share of its slots; above it they wait or are refused.
SHORT_SHARE = 0.95
# A model gives a group away only if its callers then want at most this share of what it keeps: room
# for a burst, and far enough from SHORT_SHARE that the group is not wanted back.
KEPT_SHARE = 0.6

# VMs whose group is given up are kept this long for the model that needs them: the work of the group
# ends within some seconds, and the VMs report to be free.
KEEP_SECONDS = 15.0


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
    groups: Iterable[reported_groups.ReportedGroup],
    free_by_domain: Mapping[str, int],
) -> reported_groups.ReportedGroup | None:
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

    def gained(group: reported_groups.ReportedGroup) -> int:
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


def balanced(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    memory: pool_state.Memory,
) -> pool_state.Memory:
    """Gives a group up for a model that has been short of groups for a while."""
    capacities = [
        Capacity(
            model=model,
            groups=count,
            wanted=view.slots_wanted.get(model.name, 0.0),
            slots=view.slots,
        )
        for model, count in _counted(view, groups, memory)
    ]
    short = shortest(capacities)
    if short is None or memory.given_up:
        return dataclasses.replace(memory, short_since=None)
    since = view.now if memory.short_since is None else memory.short_since
    memory = dataclasses.replace(memory, short_since=since)
    if view.now - since < waits(short):
        return memory
    free = collections.Counter(
        vm.fabric_domain for vm in view.vms if reported_groups.is_spare(vm) and not vm.leaving
    )
    chosen = giver(short, capacities, groups, free)
    if chosen is None:
        return memory
    keep = pool_state.Kept(model=short.model.name, until=view.now + KEEP_SECONDS)
    kept = {reported_groups.lifetime_id(vm): keep for vm in chosen.members}
    return dataclasses.replace(
        memory,
        short_since=None,
        given_up=memory.given_up | {chosen.name},
        kept_for_by_vm=memory.kept_for_by_vm | kept,
    )


def _counted(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    memory: pool_state.Memory,
) -> list[tuple[catalog.Model, int]]:
    """Returns how many groups each model has, with those that are coming.

    Groups that have just lost a member count: they are rebuilt, and no reason to load other weights.
    VMs that were given up for a model count as the groups that they will form.
    """
    names = [
        group.model.name
        for group in groups
        if group.model is not None and group.name not in memory.given_up
    ]
    names += [reported_groups.model_from_name(name) for name in memory.forming_by_group]
    forming = {
        reported_groups.lifetime_id(vm)
        for members in memory.forming_by_group.values()
        for vm in members
    }
    kept = collections.Counter(
        one.model for key, one in memory.kept_for_by_vm.items() if key not in forming
    )
    return [
        (model, names.count(model.name) + kept[model.name] // model.vms) for model in view.models
    ]
