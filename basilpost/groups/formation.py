"""Decides which free VMs form new groups, and for which model.

The load pattern it answers: losses that leave survivors with weights beside spares without. A group that
serves in a second is worth waiting for; one that loads for many is formed when nothing better comes.
"""

import itertools

from basilpost.core import catalog
from basilpost.groups import pool_state, reported_groups

# Survivors wait this long for partners with the same weights, before others are loaded on several of
# them; runners that were cut off come back within that time.
PATIENCE_SECONDS = 6.0
# VMs of a domain that start together report within a heartbeat of each other; until then no group is
# formed of VMs without its weights, or the first ones would all go to one model.
SETTLE_SECONDS = 1.5


def formed(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    free: list[catalog.Vm],
    survivors: list[catalog.Vm],
    memory: pool_state.Memory,
) -> dict[str, tuple[catalog.Vm, ...]]:
    """Returns the members of new groups by name, the model that has least for its work first.

    Args:
        view: What is known.
        groups: All groups.
        free: VMs in no serving group.
        survivors: VMs that will be free in a moment.
        memory: What was decided before.
    """
    capacity_by_model = _capacity(view, groups, memory)
    # Until the demand is measured, a model's share of the work is taken for its share of the VMs.
    work_by_model = view.slots_wanted or {
        model.name: model.work_share / model.vms for model in view.models
    }
    free_by_domain = {
        domain: sorted(vms, key=lambda vm: vm.vm_id)
        for domain, vms in itertools.groupby(
            sorted(free, key=lambda vm: vm.fabric_domain), key=lambda vm: vm.fabric_domain
        )
    }
    formed: dict[str, tuple[catalog.Vm, ...]] = {}
    loads_left = view.loads_left
    while True:
        options = [
            (
                capacity_by_model[model.name] / max(0.01, work_by_model.get(model.name, 0.0)),
                -model.vms,
                domain,
                model,
            )
            for domain, vms in free_by_domain.items()
            for model in view.models
            if _can_form(view, memory, model, _open_to(memory, model, vms), loads_left)
            and not _is_early(memory, model, _open_to(memory, model, vms), survivors)
        ]
        if not options:
            return formed
        _, _, domain, model = min(options, key=lambda option: option[:3])
        found = _open_to(memory, model, free_by_domain[domain])
        members = _best(memory, model, found)[: model.vms]
        name = reported_groups.group_name(model.name, view.next_epoch + len(formed))
        formed[name] = tuple(members)
        loads_left -= sum(model.name not in vm.staged for vm in members)
        capacity_by_model[model.name] += 1
        free_by_domain[domain] = [vm for vm in free_by_domain[domain] if vm not in members]


def _open_to(
    memory: pool_state.Memory, model: catalog.Model, vms: list[catalog.Vm]
) -> list[catalog.Vm]:
    """Returns the VMs that may serve a model: all but those that are kept for another one."""
    kept = (memory.kept_for_by_vm.get(reported_groups.lifetime_id(vm)) for vm in vms)
    return [vm for vm, one in zip(vms, kept, strict=True) if one is None or one.model == model.name]


def _capacity(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    memory: pool_state.Memory,
) -> dict[str, int]:
    """Returns how many groups each model has, with those being formed."""
    living = [group.model.name for group in groups if group.model is not None and group.complete]
    coming = [reported_groups.model_from_name(name) for name in memory.forming_by_group]
    return {
        model.name: living.count(model.name) + coming.count(model.name) for model in view.models
    }


def _can_form(
    view: pool_state.View,
    memory: pool_state.Memory,
    model: catalog.Model,
    vms: list[catalog.Vm],
    loads_left: int,
) -> bool:
    """Returns True if a domain's free VMs can form a group of a model now.

    Weights of another model on several VMs are thrown away only when no partner came for a while.
    """
    if len(vms) < model.vms:
        return False
    members = _best(memory, model, vms)[: model.vms]
    unstaged = [vm for vm in members if model.name not in vm.staged]
    if len(unstaged) > loads_left:
        return False
    if len(unstaged) <= 1 < model.vms and not any(_waits(vm, vms, model) for vm in unstaged):
        # One spare takes the place of a lost member; there is no sooner way to serve again.
        return True
    settled = all(free_for(view, memory, vm) >= SETTLE_SECONDS for vm in vms if not vm.staged)
    return settled and all(
        not vm.staged
        or reported_groups.lifetime_id(vm) in memory.kept_for_by_vm
        or free_for(view, memory, vm) >= PATIENCE_SECONDS
        for vm in unstaged
    )


def _is_early(
    memory: pool_state.Memory,
    model: catalog.Model,
    vms: list[catalog.Vm],
    survivors: list[catalog.Vm],
) -> bool:
    """Returns True if several VMs would load weights while survivors are about to be free.

    These may bring the weights, or need the VMs beside them.
    """
    unstaged = [vm for vm in _best(memory, model, vms)[: model.vms] if model.name not in vm.staged]
    return len(unstaged) > 1 and any(
        vm.fabric_domain == unstaged[0].fabric_domain and vm.staged and not vm.leaving
        for vm in survivors
    )


def _waits(vm: catalog.Vm, vms: list[catalog.Vm], model: catalog.Model) -> bool:
    """Returns True for a survivor that waits, with others of its group, for a partner."""
    return any(
        other is not vm and set(vm.staged) & set(other.staged) - {model.name} for other in vms
    )


def free_for(view: pool_state.View, memory: pool_state.Memory, vm: catalog.Vm) -> float:
    """Returns the seconds for which a VM has been in no group."""
    return view.now - memory.free_since_by_vm.get(reported_groups.lifetime_id(vm), view.now)


def _best(
    memory: pool_state.Memory, model: catalog.Model, vms: list[catalog.Vm]
) -> list[catalog.Vm]:
    """Orders VMs by how soon they can serve a model."""
    return sorted(
        vms,
        key=lambda vm: (
            model.name not in vm.staged,
            bool(vm.staged),
            memory.loaded_by_vm.get(reported_groups.lifetime_id(vm)) != model.name,
            vm.cold_seconds > 0,
        ),
    )
