"""Forms new groups from free VMs, such that as few VMs as possible stay without a group."""

import collections
import functools
import itertools
from collections.abc import Iterable

from basilpost.core import data
from basilpost.groups import view as views


def form_groups(
    view: views.View, groups: list[data.Group], spares: dict[views.Cell, list[data.Vm]]
) -> list[data.Group]:
    """Returns new groups, and removes the VMs that they use from `spares`."""
    return [
        group
        for cell in sorted(spares)
        for group in _form_in_cell(view, groups, cell, spares[cell])
    ]


def _form_in_cell(
    view: views.View, groups: list[data.Group], cell: views.Cell, free: list[data.Vm]
) -> list[data.Group]:
    wanted = _services_to_form(view, groups, cell, len(free))
    return [_new_group(view, service, free) for service in wanted]


def usable_vms(view: views.View, groups: list[data.Group], cell: views.Cell, free: int) -> int:
    """Returns how many VMs new groups could use if a cell had `free` free VMs."""
    return sum(group_size(service) for service in _services_to_form(view, groups, cell, free))


def _services_to_form(
    view: views.View, groups: list[data.Group], cell: views.Cell, free: int
) -> list[data.Service]:
    """Returns the service of each group to form from `free` free VMs, one entry for each group."""
    services = sorted(
        (service for service in view.services_by_name.values() if service.pool == cell.pool),
        key=lambda service: (-view.unserved_share_by_service.get(service.name, 0.0), service.name),
    )
    sizes = tuple(group_size(service) for service in services)
    limits = tuple(_max_new_groups(view, groups, cell, service, free) for service in services)
    counts = best_counts(free, sizes, limits)
    return [service for service, count in zip(services, counts, strict=True) for _ in range(count)]


def group_size(service: data.Service) -> int:
    """Returns the number of VMs in a group of the service."""
    return 1 if service.kind is data.ServiceKind.PLAIN else service.vms_per_group


def _max_new_groups(
    view: views.View,
    groups: list[data.Group],
    cell: views.Cell,
    service: data.Service,
    free: int,
) -> int:
    quota = view.quotas_by_service.get(service.name, {}).get(cell)
    most = free // group_size(service)
    if service.max_groups == 0:
        return most
    present = sum(
        group.service == service.name and group.failure_domain == cell.failure_domain
        for group in groups
    )
    return max(0, min(most, (quota or 0) - present))


def best_counts(free: int, sizes: tuple[int, ...], limits: tuple[int, ...]) -> tuple[int, ...]:
    """Returns how many groups of each size to form so that the most VMs are used.

    If several choices use as many VMs, the one with more groups of the earlier sizes is returned.
    """

    @functools.cache
    def best(left: int, index: int) -> tuple[int, tuple[int, ...]]:
        if index == len(sizes):
            return 0, ()
        size = sizes[index]
        most = min(limits[index], left // size)
        options = (
            (count * size + rest, (count, *counts))
            for count in range(most + 1)
            for rest, counts in [best(left - count * size, index + 1)]
        )
        return max(options)

    return best(free, 0)[1]


def _new_group(view: views.View, service: data.Service, free: list[data.Vm]) -> data.Group:
    free.sort(key=lambda vm: (not _has_weights(view, service, vm), vm.vm_id))
    size = group_size(service)
    vms = [free.pop(0) for _ in range(size)]
    plain = service.kind is data.ServiceKind.PLAIN
    return data.Group(
        group_id=view.new_id(service.name),
        service=service.name,
        model="" if plain else service.model,
        model_version="" if plain else service.model_version,
        generation=1,
        state=data.GroupState.READY if plain else data.GroupState.FORMING,
        fabric_domain=view.table.fabric_domain,
        failure_domain=vms[0].failure_domain,
        members=tuple(
            data.Member(vm_id=vm.vm_id, address=vm.address, rank=rank)
            for rank, vm in enumerate(vms)
        ),
    )


def _has_weights(view: views.View, service: data.Service, vm: data.Vm) -> bool:
    status = views.current_status(view, vm.vm_id)
    return views.holds_weights(status, service.model, service.model_version)


def quotas(
    services: Iterable[data.Service], vms: Iterable[data.Vm], *, fabric_domain: str
) -> dict[str, dict[views.Cell, int]]:
    """Returns the most groups that each limited service may have in each cell of a fabric domain.

    Every controller divides the whole fleet in the same way from the same VM list, so that all
    groups together stay within the service's limit (`max_groups`).
    """
    listed = [vm for vm in vms if not vm.leaving]
    divided = {
        service.name: _divide_quota(service, listed) for service in services if service.max_groups
    }
    return {
        name: {cell: count for (domain, cell), count in parts.items() if domain == fabric_domain}
        for name, parts in divided.items()
    }


def _divide_quota(
    service: data.Service, vms: list[data.Vm]
) -> collections.Counter[tuple[str, views.Cell]]:
    """Divides a service's groups among fabric domains and cells; failure domains take turns."""
    places = collections.Counter(
        (vm.fabric_domain, views.cell_of(vm)) for vm in vms if vm.pool == service.pool
    )
    turns = sorted(
        (turn, fabric_domain, cell)
        for (fabric_domain, cell), count in places.items()
        for turn in range(count // group_size(service))
    )
    by_failure_domain = itertools.groupby(
        sorted(turns, key=lambda turn: turn[2].failure_domain),
        key=lambda turn: turn[2].failure_domain,
    )
    columns = [list(found) for _, found in by_failure_domain]
    rows = itertools.chain.from_iterable(itertools.zip_longest(*columns))
    chosen = itertools.islice((turn for turn in rows if turn is not None), service.max_groups)
    return collections.Counter((fabric_domain, cell) for _, fabric_domain, cell in chosen)
