"""Decides on groups that are given up as the configuration removes their model or changes its size.

All members are there, so the head can finish its requests. Its report tells when it has: it is ready
again after an order to close. The counts that nodes share and the silence of a target do not tell; a
node may be cut off, and a sound group may send nothing for a second.
"""

import dataclasses
from collections.abc import Iterable

from basilpost.core import catalog
from basilpost.groups import orders, pool_state, reported_groups

# A group at which no node knows of work, or that is silent, for this long is dissolved even if its
# head does not report that it has finished.
IDLE_SECONDS = 10.0


def with_sizes_and_work_times(
    view: pool_state.View, groups: Iterable[reported_groups.ReportedGroup], state: pool_state.State
) -> pool_state.State:
    """Returns the state with the sizes of groups, and when those that are given up were at work."""
    sizes = {
        group.name: group.model.vms
        for group in groups
        if group.model is not None and group.complete
    }
    reported = {group.name for group in groups}
    known = {name: size for name, size in state.size_by_group.items() if name in reported}
    state = dataclasses.replace(state, size_by_group=sizes | known)
    at_work = view.working - view.stalled
    worked_at = {
        group.name: (
            view.now
            if group.name in at_work
            else state.worked_at_by_group.get(group.name, view.now)
        )
        for group in groups
        if is_given_up(group, state)
    }
    return dataclasses.replace(state, worked_at_by_group=worked_at)


def is_given_up(group: reported_groups.ReportedGroup, state: pool_state.State) -> bool:
    """Returns True if the group has all its members, but the configuration no longer its model.

    A model of another size is another one. A controller that does not know the size of the group takes
    the members that it sees for all, unless the model has more: then some were probably lost. If a
    member is missing nevertheless, the group breaks.
    """
    known_size = state.size_by_group.get(group.name)
    size = known_size if known_size is not None else len(group.members)
    if group.model is not None and (
        size == group.model.vms or (known_size is None and size < group.model.vms)
    ):
        return False
    return group.has_ranks(size)


def still_works(
    view: pool_state.View, group: reported_groups.ReportedGroup, state: pool_state.State
) -> bool:
    """Returns True if the head of a group that is given up may still work on requests."""
    return (
        group.state in (catalog.MemberState.OPEN, catalog.MemberState.CLOSING)
        and not group.has_broken_member
        and view.now - state.worked_at_by_group.get(group.name, view.now) < IDLE_SECONDS
    )


def orders_for(
    view: pool_state.View, group: reported_groups.ReportedGroup, state: pool_state.State
) -> Iterable[orders.Order]:
    """Returns the orders that close a group that is given up, and dissolve it once it has finished."""
    head = group.members[0]
    if not still_works(view, group, state):
        kind = orders.Kind.LEAVE
    elif group.state is catalog.MemberState.OPEN:
        kind = orders.Kind.CLOSE
    else:
        return []
    cause = orders.Cause.BROKEN if group.has_broken_member else orders.Cause.GIVEN_UP
    return [orders.Order(kind=kind, vm=head, group=group.name, epoch=group.epoch, cause=cause)]
