"""Decides which group is dissolved so that another model can use its VMs.

Callers may request another mix of models than the groups were formed for. Then the groups of one
model are full for seconds while those of another are half idle, and no free VMs are left. The group
that is dissolved is called the donor group, and its model the donor.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from basilpost.core import catalog
from basilpost.groups import pool_state, reported_groups

# A model is short of groups from this utilization on; above it, callers wait or are refused.
SHORTAGE_UTILIZATION = 0.95
# A model may lose a group only if the utilization of its remaining groups stays at or below this.
# That leaves room for a burst and is far enough from SHORTAGE_UTILIZATION that it does not need the
# group back.
DONOR_MAX_UTILIZATION = 0.6

# The VMs of a dissolved group are reserved this long for the model that needs them. The requests of
# the group end within some seconds, and then the VMs report that they are free.
RESERVATION_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelCapacity:
    """The groups of one model and the demand for them.

    Attributes:
        model: The model that the groups serve.
        group_count: Number of its groups, including those that are being formed.
        slots_wanted: Slots that would serve all its callers.
        slots_per_group: Slots of one group.
    """

    model: catalog.Model
    group_count: int
    slots_wanted: float
    slots_per_group: int

    @property
    def utilization(self) -> float:
        """Returns the wanted slots as a share of the slots of all its groups."""
        return self.slots_wanted / max(1, self.group_count * self.slots_per_group)

    @property
    def utilization_with_one_fewer(self) -> float:
        """Returns the model's utilization if one of its groups were dissolved."""
        return self.slots_wanted / max(1, (self.group_count - 1) * self.slots_per_group)


def min_shortage_seconds(short: ModelCapacity) -> float:
    """Returns how long a model must have been short before a group is dissolved for it, in seconds.

    The VMs of a group serve no requests while they load other weights. Waiting as long as that load
    takes costs at most twice the best choice in hindsight, however long the shortage lasts (the ski
    rental problem).
    """
    return short.model.load_seconds


def most_short_model(capacities: Iterable[ModelCapacity]) -> ModelCapacity | None:
    """Returns the model with the highest utilization, None if none is short of groups."""
    short = [capacity for capacity in capacities if capacity.utilization >= SHORTAGE_UTILIZATION]
    return max(short, key=lambda capacity: capacity.utilization, default=None)


def find_donor(
    short: ModelCapacity,
    capacities: Iterable[ModelCapacity],
    groups: Iterable[reported_groups.ReportedGroup],
    free_by_domain: Mapping[str, int],
) -> reported_groups.ReportedGroup | None:
    """Returns the group to dissolve, None if no model can spare one.

    It is the group whose VMs, together with the free VMs of its fabric domain, make up the most
    groups of the short model.

    Args:
        short: The model that is short of groups.
        capacities: Capacities of all models.
        groups: All groups.
        free_by_domain: Number of free VMs by fabric domain.
    """
    donor_models = {
        capacity.model.name
        for capacity in capacities
        if capacity.model.name != short.model.name
        and capacity.group_count > 1
        and capacity.utilization_with_one_fewer <= DONOR_MAX_UTILIZATION
    }

    def groups_gained(group: reported_groups.ReportedGroup) -> int:
        domain = group.members[0].fabric_domain
        return (len(group.members) + free_by_domain.get(domain, 0)) // short.model.vms

    options = [
        group
        for group in groups
        if group.model is not None
        and group.model.name in donor_models
        and group.complete
        and group.state is catalog.MemberState.OPEN
        and not group.leaving
        and groups_gained(group) > 0
    ]
    return max(options, key=lambda group: (groups_gained(group), group.name), default=None)


def rebalance(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
) -> pool_state.State:
    """Returns the state, with a donor group if a model has been short of groups long enough."""
    capacities = [
        ModelCapacity(
            model=model,
            group_count=count,
            slots_wanted=view.slots_wanted.get(model.name, 0.0),
            slots_per_group=view.slots_per_group,
        )
        for model, count in _group_counts(view, groups, state)
    ]
    short = most_short_model(capacities)
    if short is None or state.donor_groups:
        return dataclasses.replace(state, shortage_since=None)
    since = view.now if state.shortage_since is None else state.shortage_since
    state = dataclasses.replace(state, shortage_since=since)
    if view.now - since < min_shortage_seconds(short):
        return state
    free = collections.Counter(
        vm.fabric_domain for vm in view.vms if reported_groups.is_spare(vm) and not vm.leaving
    )
    donor = find_donor(short, capacities, groups, free)
    if donor is None:
        return state
    reservation = pool_state.Reservation(
        model=short.model.name, until=view.now + RESERVATION_SECONDS
    )
    reservations = {reported_groups.lifetime_id(vm): reservation for vm in donor.members}
    return dataclasses.replace(
        state,
        shortage_since=None,
        donor_groups=state.donor_groups | {donor.name},
        reservation_by_vm=state.reservation_by_vm | reservations,
    )


def _group_counts(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
) -> list[tuple[catalog.Model, int]]:
    """Returns the number of groups of each model, including those to come.

    A group that has just lost a member counts: it is rebuilt, which is no reason to load other
    weights elsewhere. VMs that are reserved for a model count as the groups that they will form.
    """
    names = [
        group.model.name
        for group in groups
        if group.model is not None and group.name not in state.donor_groups
    ]
    names += [reported_groups.model_from_name(name) for name in state.forming_by_group]
    forming = {
        reported_groups.lifetime_id(vm)
        for members in state.forming_by_group.values()
        for vm in members
    }
    reserved = collections.Counter(
        reservation.model
        for key, reservation in state.reservation_by_vm.items()
        if key not in forming
    )
    return [
        (model, names.count(model.name) + reserved[model.name] // model.vms)
        for model in view.models
    ]
