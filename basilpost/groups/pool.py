"""Decides the next orders for the VMs of one service, from what they report.

Pure functions, called again after each change: an order whose effect does not show is given again,
and one whose effect shows is not. What keeps the promises:

- A VM joins a group only when it reports to be in none, or alone in one that is never opened, and a
  head leaves its group before any other member does. So no VM is in two groups, whatever orders are
  still on their way: an order names one group and epoch, and epochs never repeat.
- A group is opened only when every member has reported to be ready in it.

The load pattern it answers: VMs that vanish one after another. Survivors keep their weights and are
joined with a spare of the same fabric domain that has the weights in memory, or on its host.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterable

from basilpost.core import catalog
from basilpost.groups import balance, formation, orders, pool_state, reported_groups, spares

# An order without a visible effect is given again after this time; engines report effects at once.
REPEAT_SECONDS = 1.0
# A group whose members are not all ready after this many times the load time is given up.
FORMING_FACTOR = 3.0
FORMING_EXTRA_SECONDS = 4.0


def decide(view: pool_state.View, memory: pool_state.Memory) -> pool_state.Decision:
    """Returns the orders that are due."""
    view = dataclasses.replace(
        view, vms=tuple(vm for vm in view.vms if reported_groups.lifetime_id(vm) not in view.lost)
    )
    models_by_name = {model.name: model for model in view.models}
    groups = reported_groups.from_vms(view.vms, models_by_name)
    memory = balance.balanced(view, groups, _kept(view, groups, memory))
    due = list(_changes(view, groups, memory))
    busy = {
        reported_groups.lifetime_id(vm)
        for members in memory.forming_by_group.values()
        for vm in members
    }
    free = [vm for vm in view.vms if _is_free(vm, busy)]
    formed = formation.formed(view, groups, free, _survivors(view, groups, memory), memory)
    joins = [
        join
        for name, members in itertools.chain(memory.forming_by_group.items(), formed.items())
        for join in _joins(name, members)
    ]
    taken = {reported_groups.lifetime_id(vm) for members in formed.values() for vm in members}
    left = [vm for vm in free if reported_groups.lifetime_id(vm) not in taken]
    due += [join for join in joins if not _shows(view, join)]
    settled = [
        vm for vm in left if formation.free_for(view, memory, vm) >= formation.SETTLE_SECONDS
    ]
    prepared = list(
        spares.preparations(
            settled,
            view.models,
            loaded_by_vm=memory.loaded_by_vm,
            serving=_serving(groups, formed),
            next_epoch=view.next_epoch + len(formed),
        )
    )
    due += prepared
    now_due, loads = _bounded([one for one in due if _is_due(view, memory, one)], view.loads_left)
    memory = dataclasses.replace(
        memory,
        given_by_vm=memory.given_by_vm
        | {
            reported_groups.lifetime_id(one.vm): pool_state.Given(order=one, at=view.now)
            for one in now_due
        },
        forming_by_group=memory.forming_by_group | formed,
        formed_at_by_group=memory.formed_at_by_group | dict.fromkeys(formed, view.now),
    )
    return pool_state.Decision(
        orders=tuple(now_due),
        memory=memory,
        epochs_used=len(formed) + len(prepared),
        loads_used=loads,
    )


def _kept(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    memory: pool_state.Memory,
) -> pool_state.Memory:
    """Drops what is about VMs that are gone and groups that are formed or given up."""
    vms_by_lifetime = {reported_groups.lifetime_id(vm): vm for vm in view.vms}
    forming = {
        name: members
        for name, members in memory.forming_by_group.items()
        if _goes_on_forming(view, memory, name, members, vms_by_lifetime)
    }
    free = {key for key, vm in vms_by_lifetime.items() if reported_groups.is_spare(vm)}
    names = {vm.member.group for vm in view.vms if vm.member is not None}
    return pool_state.Memory(
        given_by_vm={k: v for k, v in memory.given_by_vm.items() if k in vms_by_lifetime},
        forming_by_group=forming,
        formed_at_by_group={
            name: at for name, at in memory.formed_at_by_group.items() if name in forming
        },
        free_since_by_vm={
            key: memory.free_since_by_vm.get(key, view.changed_at_by_vm.get(key, view.now))
            for key in free
        },
        loaded_by_vm={
            key: _loaded(vm) or memory.loaded_by_vm.get(key, "")
            for key, vm in vms_by_lifetime.items()
        },
        kept_for_by_vm={
            key: kept
            for key, kept in memory.kept_for_by_vm.items()
            if view.now < kept.until
            and key in vms_by_lifetime
            and _group_model(vms_by_lifetime[key]) != kept.model
        },
        given_up=memory.given_up & names,
        short_since=memory.short_since,
        ending_since_by_group={
            group.name: memory.ending_since_by_group.get(group.name, view.now)
            for group in groups
            if group.name not in forming and _is_ending(view, group)
        },
    )


def _serving(
    groups: tuple[reported_groups.ReportedGroup, ...], formed: dict[str, tuple[catalog.Vm, ...]]
) -> collections.Counter[tuple[str, str]]:
    """Returns the number of VMs in groups, or joining some, by fabric domain and model."""
    members = itertools.chain(
        ((group.name, group.members) for group in groups if group.complete), formed.items()
    )
    return collections.Counter(
        (vm.fabric_domain, reported_groups.model_from_name(name))
        for name, vms in members
        for vm in vms
    )


def _is_ending(view: pool_state.View, group: reported_groups.ReportedGroup) -> bool:
    """Returns True for a group that cannot serve any more, whose members will be free soon."""
    if not group.complete:
        return not _still_serves(view, group)
    return group.state is catalog.MemberState.BROKEN or _has_broken_member(group)


def _survivors(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    memory: pool_state.Memory,
) -> list[catalog.Vm]:
    """Returns the VMs of groups that are being ended and will be free in a moment."""
    recent = {
        name
        for name, since in memory.ending_since_by_group.items()
        if view.now - since < formation.PATIENCE_SECONDS
    }
    return [vm for group in groups if group.name in recent for vm in group.members]


def _group_model(vm: catalog.Vm) -> str:
    """Returns the model of the serving group that a VM reports, empty if it is in none."""
    return (
        ""
        if reported_groups.is_spare(vm) or vm.member is None
        else reported_groups.model_from_name(vm.member.group)
    )


def _loaded(vm: catalog.Vm) -> str:
    """Returns the model that a VM shows to have in memory, empty if it shows none."""
    if vm.member is None or vm.member.state is catalog.MemberState.JOINING:
        return ""
    return reported_groups.model_from_name(vm.member.group)


def _goes_on_forming(
    view: pool_state.View,
    memory: pool_state.Memory,
    name: str,
    members: tuple[catalog.Vm, ...],
    vms_by_lifetime: dict[str, catalog.Vm],
) -> bool:
    model = next(
        (one for one in view.models if one.name == reported_groups.model_from_name(name)), None
    )
    now = [vms_by_lifetime.get(reported_groups.lifetime_id(vm)) for vm in members]
    if model is None or any(vm is None or vm.leaving for vm in now):
        return False
    if all(vm is not None and vm.member is not None and vm.member.group == name for vm in now):
        return False
    patience = model.load_seconds * FORMING_FACTOR + FORMING_EXTRA_SECONDS
    return view.now - memory.formed_at_by_group[name] < patience


def _changes(
    view: pool_state.View,
    groups: tuple[reported_groups.ReportedGroup, ...],
    memory: pool_state.Memory,
) -> Iterable[orders.Order]:
    """Returns the orders that open, close and dissolve the groups that are there."""
    for group in groups:
        if group.name in memory.forming_by_group:
            continue
        if not group.complete and _still_serves(view, group):
            continue
        if not group.complete or group.state is catalog.MemberState.BROKEN:
            yield from _dissolution(group)
        elif group.name in memory.given_up:
            yield from _giving_up(group)
        elif group.leaving:
            yield from _closing(view, group)
        elif group.state is catalog.MemberState.READY and _all_ready(group):
            yield _order(orders.Kind.OPEN, group, group.members[0])
        elif _has_broken_member(group):
            yield from _dissolution(group)


def _still_serves(view: pool_state.View, group: reported_groups.ReportedGroup) -> bool:
    """Returns True for a group that answers although the entry of a member has lapsed.

    A member that is only cut off from the store works on; without it the head would stand still.
    """
    return group.state is catalog.MemberState.OPEN and group.name in view.writing


def _all_ready(group: reported_groups.ReportedGroup) -> bool:
    ready = (catalog.MemberState.READY, catalog.MemberState.OPEN)
    return all(vm.member is not None and vm.member.state in ready for vm in group.members)


def _has_broken_member(group: reported_groups.ReportedGroup) -> bool:
    return any(
        vm.member is not None and vm.member.state is catalog.MemberState.BROKEN
        for vm in group.members
    )


def _dissolution(group: reported_groups.ReportedGroup) -> Iterable[orders.Order]:
    """The head leaves first; when it reports so, the others do."""
    head = group.head
    members = (head,) if head is not None else group.members
    return [_order(orders.Kind.LEAVE, group, vm) for vm in members]


def _closing(view: pool_state.View, group: reported_groups.ReportedGroup) -> Iterable[orders.Order]:
    """Ends a group with a leaving member once its VMs can be used better."""
    if group.state is catalog.MemberState.OPEN:
        if not _has_replacement(view, group):
            return []
        # What is cut goes on at another group at once; waiting for it would cost all callers more.
        close = _order(orders.Kind.CLOSE, group, group.members[0])
        return [dataclasses.replace(close, at_once=True)]
    if group.state is catalog.MemberState.CLOSING:
        return []
    return _dissolution(group)


def _giving_up(group: reported_groups.ReportedGroup) -> Iterable[orders.Order]:
    """Ends a group for another model; its work is finished first."""
    if group.state is catalog.MemberState.OPEN:
        return [_order(orders.Kind.CLOSE, group, group.members[0])]
    return [] if group.state is catalog.MemberState.CLOSING else _dissolution(group)


def _has_replacement(view: pool_state.View, group: reported_groups.ReportedGroup) -> bool:
    domain = group.members[0].fabric_domain
    needed = sum(vm.leaving for vm in group.members)
    assert group.model is not None
    spares = sum(
        vm.fabric_domain == domain
        and reported_groups.is_spare(vm)
        and not vm.leaving
        and group.model.name in vm.staged
        for vm in view.vms
    )
    return spares >= needed


def _is_free(vm: catalog.Vm, busy: set[str]) -> bool:
    return (
        reported_groups.is_spare(vm)
        and not vm.leaving
        and reported_groups.lifetime_id(vm) not in busy
    )


def _joins(name: str, members: tuple[catalog.Vm, ...]) -> Iterable[orders.Order]:
    ids = tuple(vm.vm_id for vm in members)
    epoch = reported_groups.epoch_from_name(name)
    return [
        orders.Order(
            kind=orders.Kind.JOIN,
            vm=vm,
            group=name,
            epoch=epoch,
            model=reported_groups.model_from_name(name),
            members=ids,
        )
        for vm in members
    ]


def _shows(view: pool_state.View, join: orders.Order) -> bool:
    """Returns True if a VM reports the group that it was ordered to join."""
    return any(
        vm.vm_id == join.vm.vm_id and vm.member is not None and vm.member.group == join.group
        for vm in view.vms
    )


def _order(kind: orders.Kind, group: reported_groups.ReportedGroup, vm: catalog.Vm) -> orders.Order:
    return orders.Order(kind=kind, vm=vm, group=group.name, epoch=group.epoch)


def _is_due(view: pool_state.View, memory: pool_state.Memory, order: orders.Order) -> bool:
    """Returns False while the same order was given a moment ago."""
    given = memory.given_by_vm.get(reported_groups.lifetime_id(order.vm))
    if given is None or _same(given.order, order) is False:
        return True
    wait = REPEAT_SECONDS
    if order.kind is orders.Kind.STAGE:
        model = next(one for one in view.models if one.name == order.model)
        wait = model.load_seconds * FORMING_FACTOR
    return view.now - given.at >= wait


def _same(one: orders.Order, other: orders.Order) -> bool:
    """Returns True if one order repeats the other; each standby group has an epoch of its own."""
    if len(one.members) == len(other.members) == 1:
        return (one.kind, one.model) == (other.kind, other.model)
    return (one.kind, one.group, one.model) == (other.kind, other.group, other.model)


def _bounded(due: list[orders.Order], loads_left: int) -> tuple[list[orders.Order], int]:
    """Leaves out loads beyond the weight store's rate; joins come before stages."""
    chosen: list[orders.Order] = []
    loads = 0
    for order in due:
        loading = order.kind in (orders.Kind.JOIN, orders.Kind.STAGE) and (
            order.model not in order.vm.staged
        )
        if loading and loads >= loads_left:
            continue
        loads += loading
        chosen.append(order)
    return chosen, loads
