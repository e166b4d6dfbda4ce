"""Plans the next table of a fabric domain and the orders that carry it out.

The functions are pure: the same view gives the same plan. In every plan no VM is in two groups, and
all members of a group are in one cell (one fabric domain, failure domain and pool). A VM that
leaves a group joins another one only in a later plan, whose view says that the table without it is
in force on all nodes.
"""

import dataclasses

from basilpost.core import data
from basilpost.groups import forming, lifecycle, order_planning, rebuilding
from basilpost.groups import view as views


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The next table, and the orders that may be sent once the store has confirmed it."""

    table: data.FabricTable
    orders: tuple[order_planning.PlannedOrder, ...]


def plan(view: views.View) -> Plan:
    """Returns the next table of the view's domain and the orders for it."""
    groups = [lifecycle.with_observed_state(view, group) for group in view.table.groups]
    groups = _drain_groups(view, groups)
    groups = _update_idle_groups(view, groups)
    spares = views.spares_by_cell(view, groups)
    groups = rebuilding.rebuild_groups(view, groups, spares)
    groups = rebuilding.dissolve_groups(view, groups, spares)
    groups = [*groups, *forming.form_groups(view, groups, spares)]
    table = dataclasses.replace(
        view.table, groups=tuple(sorted(groups, key=lambda group: group.group_id))
    )
    return Plan(table=table, orders=order_planning.plan_orders(view, table, spares))


def _drain_groups(view: views.View, groups: list[data.Group]) -> list[data.Group]:
    spares = views.spares_by_cell(view, groups)
    result = []
    for group in groups:
        if group.serving and _must_drain(view, group, spares):
            group = dataclasses.replace(group, state=data.GroupState.DRAINING)
        result.append(group)
    return result


def _must_drain(
    view: views.View, group: data.Group, spares: dict[views.Cell, list[data.Vm]]
) -> bool:
    cell = rebuilding.cell_of(view, group)
    free = spares.get(cell, []) if cell else []
    loaded = sum(
        views.holds_weights(views.current_status(view, vm.vm_id), group.model, group.model_version)
        for vm in free
    )
    return lifecycle.should_drain(view, group, len(free), loaded)


def _update_idle_groups(view: views.View, groups: list[data.Group]) -> list[data.Group]:
    """Removes, updates or reopens groups that do not serve: unwanted, outdated and drained ones."""
    result = []
    for group in groups:
        idle = not group.serving and (
            group.state is not data.GroupState.DRAINING or lifecycle.has_drained(view, group)
        )
        if idle and lifecycle.is_unwanted(view, group):
            continue
        if idle and lifecycle.has_outdated_model(view, group):
            group = _with_configured_model(view, group)
        elif idle and group.state is data.GroupState.DRAINING:
            group = _after_drain(view, group)
        result.append(group)
    return result


def _with_configured_model(view: views.View, group: data.Group) -> data.Group:
    service = view.services_by_name[group.service]
    return dataclasses.replace(
        group,
        model=service.model,
        model_version=service.model_version,
        generation=group.generation + 1,
        state=data.GroupState.LOADING,
    )


def _after_drain(view: views.View, group: data.Group) -> data.Group:
    """Returns a drained group as broken if it has to replace members, or one restarted meanwhile.

    Any other drained group serves again, as a cold one.
    """
    replaceable = lifecycle.members_to_replace(view, group) or any(
        views.is_slow(view, member.vm_id) for member in group.members
    )
    serves = views.is_complete(view, group) and not replaceable
    state = data.GroupState.COLD if serves else data.GroupState.BROKEN
    return dataclasses.replace(group, state=state)
