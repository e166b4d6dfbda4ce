"""Decides which free VMs form new groups, and for which model.

Losses leave survivors that have weights beside spares that have none. A group whose members have
the weights serves within a second and is worth waiting for. A group that must load weights for many
seconds is formed only if no better one becomes possible in the meantime.
"""

import itertools

from basilpost.core import catalog
from basilpost.groups import pool_state, reported_groups

# Survivors wait this long for partners with the same weights before several of them load other
# weights. Runners that were cut off come back within this time.
PARTNER_WAIT_SECONDS = 6.0
# Spares that a fabric domain keeps for a larger model's groups. VMs are lost in ones and twos.
SPARES_PER_DOMAIN = 2
# VMs of a domain that start together report within one heartbeat of each other. Until then no group
# is formed of VMs without its weights, because the first ones would all be assigned to one model.
SETTLE_SECONDS = 1.5


def form_groups(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    free: list[catalog.Vm],
    survivors: list[catalog.Vm],
    state: pool_state.State,
) -> dict[str, tuple[catalog.Vm, ...]]:
    """Returns the members of new groups, the head first, by group name.

    Groups are formed first for the model that has the fewest groups for its demand.

    Args:
        view: View of the pool.
        groups: All reported groups.
        free: VMs that are in no serving group.
        survivors: VMs of groups that are being dissolved, which will soon be free.
        state: State that the previous decisions left.
    """
    groups_by_model = _group_counts(view, groups, state)
    # Until demand is measured, each model's share of the VMs follows its share of the work.
    demand_by_model = view.slots_wanted or {
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
                groups_by_model[model.name] / max(0.01, demand_by_model.get(model.name, 0.0)),
                -model.vms,
                domain,
                model,
            )
            for domain, vms in free_by_domain.items()
            for model in view.models
            if (
                not groups_by_model[model.name]
                or len(vms) - model.vms >= _spares_to_keep(view, state, formed, model, domain)
            )
            and _can_form(view, state, model, _eligible(state, model, vms), loads_left)
            and not _awaits_survivors(state, model, _eligible(state, model, vms), survivors)
        ]
        if not options:
            return formed
        _, _, domain, model = min(options, key=lambda option: option[:3])
        eligible = _eligible(state, model, free_by_domain[domain])
        members = _fastest_first(state, model, eligible)[: model.vms]
        name = reported_groups.group_name(model.name, view.next_epoch + len(formed))
        formed[name] = tuple(members)
        loads_left -= sum(model.name not in vm.staged for vm in members)
        groups_by_model[model.name] += 1
        free_by_domain[domain] = [vm for vm in free_by_domain[domain] if vm not in members]


def _spares_to_keep(
    view: pool_state.View,
    state: pool_state.State,
    formed: dict[str, tuple[catalog.Vm, ...]],
    model: catalog.Model,
    domain: str,
) -> int:
    """Returns the free VMs of a fabric domain that a new group of a model has to leave.

    They replace lost members of a larger model's groups: without them all survivors of such a group
    serve nobody for as long as a load takes. A group is not given up for fewer VMs than it has.
    """
    if view.loads_at_once is not None or model.vms > SPARES_PER_DOMAIN:
        # With few loads at once, only VMs that have the weights form groups, and spares have others.
        return 0
    in_domain = [vm for vm in view.vms if vm.fabric_domain == domain]
    if any(reported_groups.lifetime_id(vm) in state.reservation_by_vm for vm in in_domain):
        # A group was dissolved there to have more groups of this model.
        return 0
    reported = (vm.member.group for vm in in_domain if vm.member is not None)
    forming = (
        name
        for name, members in (state.forming_by_group | formed).items()
        if members[0].fabric_domain == domain
    )
    models = set(map(reported_groups.model_from_name, itertools.chain(reported, forming)))
    serves_larger = any(other.name in models and other.vms > model.vms for other in view.models)
    return SPARES_PER_DOMAIN if serves_larger else 0


def _eligible(
    state: pool_state.State, model: catalog.Model, vms: list[catalog.Vm]
) -> list[catalog.Vm]:
    """Returns the VMs that may serve a model: all except those reserved for another model."""
    reservations = (state.reservation_by_vm.get(reported_groups.lifetime_id(vm)) for vm in vms)
    return [
        vm
        for vm, reservation in zip(vms, reservations, strict=True)
        if reservation is None or reservation.model == model.name
    ]


def _group_counts(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    state: pool_state.State,
) -> dict[str, int]:
    """Returns the number of complete groups of each model, including those being formed."""
    complete = [group.model.name for group in groups if group.model is not None and group.complete]
    forming = [reported_groups.model_from_name(name) for name in state.forming_by_group]
    return {
        model.name: complete.count(model.name) + forming.count(model.name) for model in view.models
    }


def _can_form(
    view: pool_state.View,
    state: pool_state.State,
    model: catalog.Model,
    vms: list[catalog.Vm],
    loads_left: int,
) -> bool:
    """Returns True if a group of a model can be formed now of a fabric domain's free VMs.

    Several VMs discard the weights of another model only after they have waited for a partner.
    """
    if len(vms) < model.vms:
        return False
    members = _fastest_first(state, model, vms)[: model.vms]
    unstaged = [vm for vm in members if model.name not in vm.staged]
    if view.loads_at_once is not None:
        # Weights are staged first, in the order that `weight_loads` decides. Members that wait
        # for a load in a group could not form another one meanwhile.
        return not unstaged
    if len(unstaged) > loads_left:
        return False
    if len(unstaged) <= 1 < model.vms and not any(
        _shares_other_weights(vm, vms, model) for vm in unstaged
    ):
        # One spare replaces a lost member; no other choice restores service sooner.
        return True
    settled = all(free_seconds(view, state, vm) >= SETTLE_SECONDS for vm in vms if not vm.staged)
    return settled and all(
        not vm.staged
        or reported_groups.lifetime_id(vm) in state.reservation_by_vm
        or free_seconds(view, state, vm) >= PARTNER_WAIT_SECONDS
        for vm in unstaged
    )


def _awaits_survivors(
    state: pool_state.State,
    model: catalog.Model,
    vms: list[catalog.Vm],
    survivors: list[catalog.Vm],
) -> bool:
    """Returns True if several VMs would load weights although survivors will soon be free.

    The survivors, in the same domain, may have the weights or may need these VMs as partners.
    """
    unstaged = [
        vm for vm in _fastest_first(state, model, vms)[: model.vms] if model.name not in vm.staged
    ]
    return len(unstaged) > 1 and any(
        vm.fabric_domain == unstaged[0].fabric_domain and vm.staged and not vm.leaving
        for vm in survivors
    )


def _shares_other_weights(vm: catalog.Vm, vms: list[catalog.Vm], model: catalog.Model) -> bool:
    """Returns True if the VM and another free one both have the weights of some other model.

    Such VMs are survivors of a group that may still find a partner to replace its lost member.
    """
    return any(
        other is not vm and set(vm.staged) & set(other.staged) - {model.name} for other in vms
    )


def free_seconds(view: pool_state.View, state: pool_state.State, vm: catalog.Vm) -> float:
    """Returns the seconds for which a VM has been in no serving group."""
    return view.now - state.free_since_by_vm.get(reported_groups.lifetime_id(vm), view.now)


def _fastest_first(
    state: pool_state.State, model: catalog.Model, vms: list[catalog.Vm]
) -> list[catalog.Vm]:
    """Returns the VMs ordered by how soon they can serve a model, the soonest first."""
    return sorted(
        vms,
        key=lambda vm: (
            model.name not in vm.staged,
            bool(vm.staged),
            state.loaded_by_vm.get(reported_groups.lifetime_id(vm)) != model.name,
            vm.cold_seconds > 0,
        ),
    )
