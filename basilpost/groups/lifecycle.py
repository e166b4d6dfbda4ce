"""Derives each group's state from the status of its members, and what the group needs next.

The states are forming -> loading -> cold -> ready -> draining, and broken once a member no longer
reports the group. Nothing here changes a group's members.
"""

import dataclasses

from basilpost.core import data
from basilpost.groups import runner_api
from basilpost.groups import view as views

_STARTING_STATES = frozenset({data.GroupState.FORMING, data.GroupState.LOADING})
# How long a group with a leaving member goes on serving while the replacement loads.
LEAVING_GRACE_SECONDS = 2.0
# An empty group counts as drained only if it was probed this long after the drain began.
DRAIN_REPORT_SECONDS = 1.0


def with_observed_state(view: views.View, group: data.Group) -> data.Group:
    """Returns the group with the state that its members' statuses show."""
    return dataclasses.replace(group, state=_observed_state(view, group))


def _observed_state(view: views.View, group: data.Group) -> data.GroupState:
    if group.state is data.GroupState.DRAINING:
        gone = any(views.is_lost(view, member.vm_id) for member in group.members)
        return data.GroupState.BROKEN if gone else data.GroupState.DRAINING
    leaving = any(views.is_leaving(view, member.vm_id) for member in group.members)
    if group.state is data.GroupState.BROKEN and leaving:
        return data.GroupState.BROKEN
    if views.is_complete(view, group):
        return _serving_state(view, group)
    if group.state not in _STARTING_STATES:
        # A new controller keeps the state that its predecessor wrote until all members were probed.
        waits = any(views.awaits_first_answer(view, member.vm_id) for member in group.members)
        return (
            group.state
            if waits and not _any_member_missing(view, group)
            else data.GroupState.BROKEN
        )
    if any(views.is_lost(view, member.vm_id) for member in group.members):
        return data.GroupState.BROKEN
    reached = any(
        views.has_joined(views.current_status(view, member.vm_id), group)
        for member in group.members
    )
    return data.GroupState.LOADING if reached else data.GroupState.FORMING


def _any_member_missing(view: views.View, group: data.Group) -> bool:
    """Returns True if a probed member is silent, or does not report this group and its weights."""
    seen = (
        member.vm_id
        for member in group.members
        if not views.awaits_first_answer(view, member.vm_id)
    )
    statuses = [views.current_status(view, vm_id) for vm_id in seen]
    if not group.model:
        return any(status is None for status in statuses)
    return any(
        not views.has_joined(status, group)
        or not views.holds_weights(status, group.model, group.model_version)
        for status in statuses
    )


def _serving_state(view: views.View, group: data.Group) -> data.GroupState:
    status = views.current_status(view, group.members[0].vm_id)
    ready = status is not None and status.state is runner_api.RunnerState.READY
    return data.GroupState.READY if ready else data.GroupState.COLD


def has_outdated_model(view: views.View, group: data.Group) -> bool:
    """Returns True if the group's model or version differs from its service's, if there is one."""
    service = view.services_by_name.get(group.service)
    return service is not None and is_outdated(service, group)


def is_outdated(service: data.Service, group: data.Group) -> bool:
    """Returns True if a model group's model or version is not the service's."""
    if service.kind is data.ServiceKind.PLAIN:
        return False
    return (group.model, group.model_version) != (service.model, service.model_version)


def is_unwanted(view: views.View, group: data.Group) -> bool:
    """Returns True if the group is surplus, or no longer fits its service's size, kind or pool."""
    service = view.services_by_name.get(group.service)
    if service is None or group.group_id in view.surplus_ids:
        return True
    plain = service.kind is data.ServiceKind.PLAIN
    size = 1 if plain else service.vms_per_group
    pools = {
        view.vms_by_id[member.vm_id].pool
        for member in group.members
        if member.vm_id in view.vms_by_id
    }
    return size != len(group.members) or plain is bool(group.model) or bool(pools - {service.pool})


def members_to_replace(view: views.View, group: data.Group) -> tuple[data.Member, ...]:
    """Returns the members that are lost or leaving, which the group cannot keep."""
    return tuple(
        member
        for member in group.members
        if views.is_lost(view, member.vm_id) or views.is_leaving(view, member.vm_id)
    )


def members_to_preload(view: views.View, group: data.Group) -> tuple[data.Member, ...]:
    """Returns the members for whose replacement a spare may start to load weights.

    One unanswered call is enough: if the member comes back, the loaded spare is ready for the next
    loss.
    """
    return tuple(
        member
        for member in group.members
        if views.missed_last_probe(view, member.vm_id)
        or views.is_leaving(view, member.vm_id)
        or views.is_slow(view, member.vm_id)
    )


def should_drain(view: views.View, group: data.Group, free_spares: int, loaded_spares: int) -> bool:
    """Returns True if a serving group has to stop taking requests so that it can be changed.

    Args:
        view: The controller's view.
        group: A serving group.
        free_spares: Number of spares in the group's cell.
        loaded_spares: Number of those spares that hold the group's weights.
    """
    if is_unwanted(view, group) or group.group_id in view.rolling_update_ids:
        return True
    leaving = [member for member in group.members if views.is_leaving(view, member.vm_id)]
    if leaving:
        ready = loaded_spares >= len(leaving)
        return ready or free_spares < len(leaving) or _leaving_grace_over(view, leaving)
    stragglers = [member for member in group.members if views.is_slow(view, member.vm_id)]
    return 0 < len(stragglers) <= loaded_spares


def _leaving_grace_over(view: views.View, leaving: list[data.Member]) -> bool:
    """Returns True if a member has been leaving for too long to wait for its replacement.

    Every request uses all members of its group, so the group has to stop soon after the first of
    them is announced to leave.
    """
    since = (
        views.condition_seconds(view, views.ConditionKind.LEAVING, member.vm_id)
        for member in leaving
    )
    return any(seconds >= LEAVING_GRACE_SECONDS for seconds in since)


def has_drained(view: views.View, group: data.Group) -> bool:
    """Returns True if a draining group has no request left, or its time to drain is over.

    Neither counts before the table that drains the group is in force on all nodes.
    """
    waited = views.condition_seconds(view, views.ConditionKind.DRAINING, group.group_id)
    if not view.in_force_everywhere:
        return False
    if waited >= view.drain_seconds:
        return True
    first = group.members[0].vm_id
    status = views.current_status(view, first)
    if status is None:
        return False
    probed_after = view.probes_by_id[first].asked_at - (view.now - waited)
    return status.in_flight == 0 and probed_after >= DRAIN_REPORT_SECONDS
