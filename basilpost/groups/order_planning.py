"""Derives the orders that bring runners in line with a table, the most urgent first."""

import dataclasses
from collections.abc import Iterator

from basilpost.core import data
from basilpost.groups import lifecycle, runner_api
from basilpost.groups import view as views

_STARTING_STATES = frozenset({data.GroupState.FORMING, data.GroupState.LOADING})


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedOrder:
    """An order for one VM, with what is needed to decide when it may be sent.

    Attributes:
        vm_id: Id of the VM.
        address: Address of its runner.
        service: Service of the group; its setting says whether its runners check fencing numbers.
        loads_weights: True if the runner must load weights, which is limited by the weight store's
            rate.
        order: What the runner is ordered to do.
    """

    vm_id: str
    address: str
    service: str
    loads_weights: bool
    order: runner_api.Order


def plan_orders(
    view: views.View, table: data.FabricTable, spares: dict[views.Cell, list[data.Vm]]
) -> tuple[PlannedOrder, ...]:
    """Returns all orders that runners have yet to carry out for the table, the most urgent first.

    Joins of runners that hold the weights come first, since they cost nothing. Then come loads,
    those of the service with the largest unserved share first, and last loads for members that may
    come back.
    """
    fence = table.holder.fence if table.holder else 0
    joins = [order for group in table.groups for order in _join_orders(view, group, fence)]
    unserved_shares = view.unserved_share_by_service
    joins.sort(key=lambda order: (order.loads_weights, -unserved_shares.get(order.service, 0.0)))
    return (*joins, *_preload_orders(view, table, spares, fence))


def _join_orders(view: views.View, group: data.Group, fence: int) -> Iterator[PlannedOrder]:
    """Yields the orders that make a group's members join it.

    A runner that is loading the right weights gets no order until it has them, since the engine on
    it might start the load again.
    """
    if group.state not in _STARTING_STATES or not group.model:
        return
    for member in group.members:
        status = views.current_status(view, member.vm_id)
        if status is None or views.has_joined(status, group) or views.is_loading(status, group):
            continue
        held = views.holds_weights(status, group.model, group.model_version)
        yield PlannedOrder(
            vm_id=member.vm_id,
            address=member.address,
            service=group.service,
            loads_weights=not held,
            order=runner_api.Order(
                kind=runner_api.OrderKind.LOAD,
                fence=fence,
                group_id=group.group_id,
                generation=group.generation,
                rank=member.rank,
                members=tuple(member.address for member in group.members),
                model=group.model,
                model_version=group.model_version,
            ),
        )


def _preload_orders(
    view: views.View,
    table: data.FabricTable,
    spares: dict[views.Cell, list[data.Vm]],
    fence: int,
) -> Iterator[PlannedOrder]:
    """Yields orders that load weights on spares, for members that are silent, leaving or slow.

    The spare loads while the controller still waits for the member, or while the group still
    serves.
    """
    free = {cell: list(vms) for cell, vms in spares.items()}
    for group in table.groups:
        service = view.services_by_name.get(group.service)
        if service is None or not group.model or lifecycle.is_unwanted(view, group):
            continue
        cell = views.Cell(failure_domain=group.failure_domain, pool=service.pool)
        for member in lifecycle.members_to_preload(view, group):
            candidates = free.get(cell, [])
            if not candidates:
                break
            candidates.sort(key=lambda vm: _spare_preference(view, group, vm))
            spare = candidates.pop(0)
            status = views.current_status(view, spare.vm_id)
            if status is None or _holds_or_loads(status, group):
                continue
            yield PlannedOrder(
                vm_id=spare.vm_id,
                address=spare.address,
                service=group.service,
                loads_weights=True,
                order=runner_api.Order(
                    kind=runner_api.OrderKind.LOAD,
                    fence=fence,
                    rank=member.rank,
                    model=group.model,
                    model_version=group.model_version,
                ),
            )


def _spare_preference(view: views.View, group: data.Group, vm: data.Vm) -> tuple[bool, bool, str]:
    status = views.current_status(view, vm.vm_id)
    held = views.holds_weights(status, group.model, group.model_version)
    return not held, not (status and views.is_loading(status, group)), vm.vm_id


def _holds_or_loads(status: runner_api.RunnerStatus, group: data.Group) -> bool:
    held = views.holds_weights(status, group.model, group.model_version)
    return held or views.is_loading(status, group)
