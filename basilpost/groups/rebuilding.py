"""Rebuilds broken groups: members that are still there keep their weights, lost ones are replaced.

Replacements are spares of the same cell. If there are too few, the broken group that costs least to
lose is dissolved, and its survivors complete another broken group.
"""

import dataclasses

from basilpost.core import data
from basilpost.groups import forming, lifecycle
from basilpost.groups import view as views


def cell_of(view: views.View, group: data.Group) -> views.Cell | None:
    """Returns the cell of a group, None if its service is not configured."""
    service = view.services_by_name.get(group.service)
    if service is None:
        return None
    return views.Cell(failure_domain=group.failure_domain, pool=service.pool)


def rebuild_groups(
    view: views.View, groups: list[data.Group], spares: dict[views.Cell, list[data.Vm]]
) -> list[data.Group]:
    """Returns the groups with lost members replaced, and removes the spares it uses from `spares`.

    Groups that lack the fewest members get spares first, which completes the most groups.
    """
    order = sorted(groups, key=lambda group: _rebuild_order(view, group))
    rebuilt_by_id = {group.group_id: _rebuild(view, group, spares) for group in order}
    return [rebuilt_by_id[group.group_id] for group in groups]


def _rebuild_order(view: views.View, group: data.Group) -> tuple[int, float, str]:
    lacking = len(_members_to_drop(view, group))
    unserved = view.unserved_share_by_service.get(group.service, 0.0)
    return lacking, -unserved, group.group_id


def _members_to_drop(view: views.View, group: data.Group) -> tuple[data.Member, ...]:
    """Returns the members that a broken group must replace, and its stragglers."""
    required = lifecycle.members_to_replace(view, group)
    stragglers = tuple(member for member in group.members if views.is_slow(view, member.vm_id))
    return required + tuple(member for member in stragglers if member not in required)


def _rebuild(
    view: views.View, group: data.Group, spares: dict[views.Cell, list[data.Vm]]
) -> data.Group:
    if group.state is not data.GroupState.BROKEN or not group.model:
        return group
    cell = cell_of(view, group)
    free = spares.get(cell, []) if cell else []
    required = lifecycle.members_to_replace(view, group)
    wanted = _members_to_drop(view, group)
    dropped = wanted if len(free) >= len(wanted) else required
    if dropped and len(free) >= len(dropped):
        return _with_replacements(view, group, dropped, free)
    if dropped or any(views.current_status(view, member.vm_id) is None for member in group.members):
        return group
    return _with_next_generation(group)


def _with_next_generation(group: data.Group) -> data.Group:
    """Returns the group as LOADING in its next generation, so that all members join anew."""
    return dataclasses.replace(
        group, generation=group.generation + 1, state=data.GroupState.LOADING
    )


def _with_replacements(
    view: views.View, group: data.Group, dropped: tuple[data.Member, ...], free: list[data.Vm]
) -> data.Group:
    free.sort(key=lambda vm: _spare_preference(view, group, vm))
    taken = {member.vm_id: free.pop(0) for member in dropped}
    members = tuple(
        (
            dataclasses.replace(
                member, vm_id=taken[member.vm_id].vm_id, address=taken[member.vm_id].address
            )
            if member.vm_id in taken
            else member
        )
        for member in group.members
    )
    return dataclasses.replace(_with_next_generation(group), members=members)


def _spare_preference(view: views.View, group: data.Group, vm: data.Vm) -> tuple[bool, bool, str]:
    status = views.current_status(view, vm.vm_id)
    held = views.holds_weights(status, group.model, group.model_version)
    same = status is not None and (status.model, status.model_version) == (
        group.model,
        group.model_version,
    )
    return not held, not same, vm.vm_id


def dissolve_groups(
    view: views.View, groups: list[data.Group], spares: dict[views.Cell, list[data.Vm]]
) -> list[data.Group]:
    """Returns the groups without those to dissolve: donors, and groups whose VMs are all removed.

    A donor's survivors become spares in a later plan, once the table without it is in force on all
    nodes.
    """
    kept = [group for group in groups if not _all_vms_removed(view, group)]
    donors = {
        donor.group_id
        for cell in {cell_of(view, group) for group in kept}
        if cell is not None
        for donor in _groups_to_dissolve(
            view, cell, [group for group in kept if cell_of(view, group) == cell], spares
        )
    }
    return [group for group in kept if group.group_id not in donors]


def _all_vms_removed(view: views.View, group: data.Group) -> bool:
    """Returns True if the group is broken and the platform has removed all its VMs."""
    return group.state is data.GroupState.BROKEN and all(
        member.vm_id not in view.vms_by_id and views.is_lost(view, member.vm_id)
        for member in group.members
    )


def _groups_to_dissolve(
    view: views.View,
    cell: views.Cell,
    groups: list[data.Group],
    spares: dict[views.Cell, list[data.Vm]],
) -> list[data.Group]:
    """Returns at most one group of a cell to dissolve; none while a member has just come back."""
    broken = [group for group in groups if group.state is data.GroupState.BROKEN]
    if any(views.has_just_returned(view, vm_id) for vm_id in views.member_ids(broken)):
        return []
    donors = _donor_for_another(view, groups, spares)
    return donors or _better_split_up(view, cell, groups, len(spares.get(cell, [])))


def _better_split_up(
    view: views.View, cell: views.Cell, groups: list[data.Group], free: int
) -> list[data.Group]:
    """Returns at most one broken group without which new groups could use more VMs.

    Only a group is dissolved whose lost VMs have all been removed by the platform.
    """
    if not view.in_force_everywhere:
        return []
    broken = [group for group in groups if group.state is data.GroupState.BROKEN]
    gains = (
        (forming.usable_vms(view, groups, cell, free + len(_survivors(view, group))), group)
        for group in broken
        if _lost_vms_removed(view, group)
    )
    now_used = forming.usable_vms(view, groups, cell, free)
    better = [(used, group) for used, group in gains if used > now_used]
    return [max(better, key=lambda option: (option[0], option[1].group_id))[1]] if better else []


def _lost_vms_removed(view: views.View, group: data.Group) -> bool:
    dropped = lifecycle.members_to_replace(view, group)
    return bool(dropped) and all(member.vm_id not in view.vms_by_id for member in dropped)


def _donor_for_another(
    view: views.View, groups: list[data.Group], spares: dict[views.Cell, list[data.Vm]]
) -> list[data.Group]:
    """Returns at most one broken group whose survivors can complete another broken group."""
    broken = [
        group
        for group in groups
        if group.state is data.GroupState.BROKEN and lifecycle.members_to_replace(view, group)
    ]
    if len(broken) < 2 or not view.in_force_everywhere:
        return []
    cell = cell_of(view, broken[0])
    free = len(spares.get(cell, [])) if cell else 0
    receiver = min(broken, key=lambda group: _rebuild_order(view, group))
    need = len(lifecycle.members_to_replace(view, receiver)) - free
    enough = [
        group for group in broken if group is not receiver and len(_survivors(view, group)) >= need
    ]
    if need <= 0 or not enough:
        return []
    return [min(enough, key=lambda group: _dissolution_cost(view, group, receiver))]


def _survivors(view: views.View, group: data.Group) -> list[data.Member]:
    dropped = lifecycle.members_to_replace(view, group)
    return [
        member
        for member in group.members
        if member not in dropped and views.current_status(view, member.vm_id) is not None
    ]


def _dissolution_cost(
    view: views.View, group: data.Group, receiver: data.Group
) -> tuple[bool, int, str]:
    """Sort key of donors: same weights first, then those with the fewest loaded survivors."""
    other = (group.model, group.model_version) != (receiver.model, receiver.model_version)
    loaded = sum(
        views.holds_weights(
            views.current_status(view, member.vm_id), group.model, group.model_version
        )
        for member in group.members
    )
    return other, loaded, group.group_id
