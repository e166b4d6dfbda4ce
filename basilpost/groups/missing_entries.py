"""Derives what the missing entries of a group's members showed while they were there.

Every node remembers the entries that it saw removed, so a node that takes over as the controller knows
the same as the one before it.
"""

from collections.abc import Iterable

from basilpost.groups import reported_groups
from basilpost.members import knowledge


def target_ids(
    groups: Iterable[reported_groups.ReportedGroup],
    removed: Iterable[knowledge.RemovedVm],
    told: Iterable[str] = (),
) -> dict[str, str]:
    """Returns the target id of each group by name, empty if it is not known.

    Args:
        groups: Reported groups; some lack the entry of their head.
        removed: VMs whose entries were removed.
        told: Ids of targets without an entry at which other nodes have requests in flight.
    """
    unlisted = {reported_groups.group_of_target(target_id): target_id for target_id in told}
    unlisted |= {
        reported_groups.group_of_target(target_id): target_id
        for target_id in unlisted_target_ids(removed)
    }
    return {group.name: group.target_id or unlisted.get(group.name, "") for group in groups}


def unlisted_target_ids(removed: Iterable[knowledge.RemovedVm]) -> list[str]:
    """Returns the target ids of the groups whose heads are among the removed VMs."""
    return [
        reported_groups.target_id(one.vm.member.group, one.vm.incarnation)
        for one in removed
        if one.vm.member is not None
        and one.vm.member.rank == 0
        and reported_groups.is_serving(one.vm.member.group)
    ]


def missing_since(
    groups: Iterable[reported_groups.ReportedGroup], removed: Iterable[knowledge.RemovedVm]
) -> dict[str, float]:
    """Returns when the first missing entry of a member was removed, by the name of its group.

    Groups whose members have all their entries, as far as is known, are left out.
    """
    removed_at: dict[str, dict[int, float]] = {}
    for one in removed:
        if one.vm.member is not None:
            by_rank = removed_at.setdefault(one.vm.member.group, {})
            by_rank[one.vm.member.rank] = one.removed_at
    missing = {
        group.name: [
            at
            for rank, at in removed_at.get(group.name, {}).items()
            if rank not in {vm.member.rank for vm in group.members if vm.member is not None}
        ]
        for group in groups
    }
    return {name: min(times) for name, times in missing.items() if times}
