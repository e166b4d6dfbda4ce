"""Moves each group along its life by what its members report; membership stays as it is.

forming -> loading -> cold -> ready -> draining, and broken once a member no longer reports the group.
"""

import dataclasses

from basilpost.core import data
from basilpost.groups import runner_api
from basilpost.groups import view as views

_STARTING_STATES = frozenset({data.GroupState.FORMING, data.GroupState.LOADING})
LEAVING_GRACE_SECONDS = 2.0
DRAIN_REPORT_SECONDS = 1.0


def with_observed_state(view: views.View, group: data.Group) -> data.Group:
    """Returns the group in the state that its members' reports show."""
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
        # A new controller keeps its predecessor's judgement until the members have been asked.
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
    """Returns True if a member is silent or reports something else than this group."""
    seen = (one.vm_id for one in group.members if not views.awaits_first_answer(view, one.vm_id))
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
    """Returns True if the group loads_weights or holds another model or version than configured."""
    service = view.services_by_name.get(group.service)
    return service is not None and is_outdated(service, group)


def is_outdated(service: data.Service, group: data.Group) -> bool:
    """Returns True if a model group's model or version is not the configured one."""
    if service.kind is data.ServiceKind.PLAIN:
        return False
    return (group.model, group.model_version) != (service.model, service.model_version)


def is_unwanted(view: views.View, group: data.Group) -> bool:
    """Returns True if no group of this shape is configured any more, or there are too many."""
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
    """Returns the members that the group cannot keep: lost or leaving ones."""
    return tuple(
        member
        for member in group.members
        if views.is_lost(view, member.vm_id) or views.is_leaving(view, member.vm_id)
    )


def members_to_preload(view: views.View, group: data.Group) -> tuple[data.Member, ...]:
    """Returns the members whose replacement may start to load.

    One unanswered call is enough: a load in vain leaves a spare that is ready for the next loss.
    """
    return tuple(
        member
        for member in group.members
        if views.missed_last_probe(view, member.vm_id)
        or views.is_leaving(view, member.vm_id)
        or views.is_slow(view, member.vm_id)
    )


def should_drain(view: views.View, group: data.Group, free_spares: int, loaded_spares: int) -> bool:
    """Returns True if a serving group has to stop taking work so that it can be changed.

    Args:
        view: What is known.
        group: A serving group.
        free_spares: Spares in its failure domain.
        loaded_spares: Those of them that hold its weights.
    """
    if is_unwanted(view, group) or group.group_id in view.rolling_update_ids:
        return True
    leaving = [one for one in group.members if views.is_leaving(view, one.vm_id)]
    if leaving:
        ready = loaded_spares >= len(leaving)
        return ready or free_spares < len(leaving) or _leaving_grace_over(view, leaving)
    stragglers = [one for one in group.members if views.is_slow(view, one.vm_id)]
    return 0 < len(stragglers) <= loaded_spares


def _leaving_grace_over(view: views.View, leaving: list[data.Member]) -> bool:
    """Returns True if a group cannot wait any longer for the replacements of its leaving members.

    A request works all members of its group, so none of them may leave much later than the first.
    """
    since = (
        views.condition_seconds(view, views.ConditionKind.LEAVING, one.vm_id) for one in leaving
    )
    return any(seconds >= LEAVING_GRACE_SECONDS for seconds in since)


def has_drained(view: views.View, group: data.Group) -> bool:
    """Returns True if a draining group has finished its work, or has had its time."""
    waited = views.condition_seconds(view, views.ConditionKind.DRAINING, group.group_id)
    if not view.in_force_everywhere:
        return False
    if waited >= view.drain_seconds:
        return True
    first = group.members[0].vm_id
    status = views.current_status(view, first)
    if status is None:
        return False
    reported = view.probes_by_id[first].asked_at - (view.now - waited)
    return status.in_flight == 0 and reported >= DRAIN_REPORT_SECONDS
