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
from basilpost.groups import assembled, balance, orders, spares

# An order without a visible effect is given again after this time; engines report effects at once.
REPEAT_SECONDS = 1.0
# A group whose members are not all ready after this many times the load time is given up.
FORMING_FACTOR = 3.0
FORMING_EXTRA_SECONDS = 4.0
# Survivors wait this long for partners with the same weights, before others are loaded on several of
# them; runners that were cut off come back within that time.
PATIENCE_SECONDS = 6.0
# VMs of a domain that start together report within a heartbeat of each other; until then no group is
# formed of VMs without its weights, or the first ones would all go to one model.
SETTLE_SECONDS = 1.5
# VMs whose group is given up are kept this long for the model that needs them: the work of the group
# ends within some seconds, and the VMs report to be free.
KEEP_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """What the decision rests on.

    Attributes:
        now: Time on the controller's clock.
        vms: All live VMs of the service.
        models: Its models.
        slots: Slots of a group.
        slots_wanted: Slots of each model that would serve all callers, empty while that is not known.
        next_epoch: First epoch that no group has had.
        loads_left: Loads from the weight store that may begin now.
        lost: Lifetimes of VMs that do not answer while their group stands still.
        writing: Names of groups that nodes get answers from at this moment.
        changed_at_by_vm: When each lifetime of a VM last reported a change, as far as known. It spares
            a new controller the waits that the last one has seen through.
    """

    now: float
    vms: tuple[catalog.Vm, ...]
    models: tuple[catalog.Model, ...]
    slots: int
    slots_wanted: dict[str, float]
    next_epoch: int
    loads_left: int
    lost: frozenset[str] = frozenset()
    writing: frozenset[str] = frozenset()
    changed_at_by_vm: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Given:
    """The last order to a VM, and when it was given."""

    order: orders.Order
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kept:
    """The model that a VM is kept for, and until when."""

    model: str
    until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Memory:
    """What the controller remembers between decisions.

    Attributes:
        given_by_vm: The last order to each lifetime of a VM.
        forming_by_group: Members of the groups it is forming, by group name.
        formed_at_by_group: When it began to form them.
        free_since_by_vm: Since when each lifetime of a VM is in no group.
        loaded_by_vm: The model that each lifetime of a VM has in memory.
        kept_for_by_vm: The model that each lifetime of a VM is to serve next, for those whose group
            was given up for it.
        given_up: Names of groups that are being ended for another model.
        short_since: Since when a model has been short of groups, None while none is.
    """

    given_by_vm: dict[str, Given] = dataclasses.field(default_factory=dict)
    forming_by_group: dict[str, tuple[catalog.Vm, ...]] = dataclasses.field(default_factory=dict)
    formed_at_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    free_since_by_vm: dict[str, float] = dataclasses.field(default_factory=dict)
    loaded_by_vm: dict[str, str] = dataclasses.field(default_factory=dict)
    kept_for_by_vm: dict[str, Kept] = dataclasses.field(default_factory=dict)
    given_up: frozenset[str] = frozenset()
    short_since: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """The orders to give now, and the memory to keep."""

    orders: tuple[orders.Order, ...]
    memory: Memory
    epochs_used: int
    loads_used: int


def decide(view: View, memory: Memory) -> Decision:
    """Returns the orders that are due."""
    view = dataclasses.replace(
        view, vms=tuple(vm for vm in view.vms if assembled.lifetime(vm) not in view.lost)
    )
    models_by_name = {model.name: model for model in view.models}
    groups = assembled.assemble(view.vms, models_by_name)
    memory = _balanced(view, groups, _kept(view, memory))
    due = list(_changes(view, groups, memory))
    busy = {
        assembled.lifetime(vm) for members in memory.forming_by_group.values() for vm in members
    }
    free = [vm for vm in view.vms if _is_free(vm, busy)]
    formed = _formed(view, groups, free, memory)
    joins = [
        join
        for name, members in itertools.chain(memory.forming_by_group.items(), formed.items())
        for join in _joins(name, members)
    ]
    taken = {assembled.lifetime(vm) for members in formed.values() for vm in members}
    left = [vm for vm in free if assembled.lifetime(vm) not in taken]
    due += [join for join in joins if not _shows(view, join)]
    settled = [vm for vm in left if _free_for(view, memory, vm) >= SETTLE_SECONDS]
    prepared = list(
        spares.preparations(
            settled,
            view.models,
            loaded_by_vm=memory.loaded_by_vm,
            next_epoch=view.next_epoch + len(formed),
        )
    )
    due += prepared
    now_due, loads = _bounded([one for one in due if _is_due(view, memory, one)], view.loads_left)
    memory = dataclasses.replace(
        memory,
        given_by_vm=memory.given_by_vm
        | {assembled.lifetime(one.vm): Given(order=one, at=view.now) for one in now_due},
        forming_by_group=memory.forming_by_group | formed,
        formed_at_by_group=memory.formed_at_by_group | dict.fromkeys(formed, view.now),
    )
    return Decision(
        orders=tuple(now_due),
        memory=memory,
        epochs_used=len(formed) + len(prepared),
        loads_used=loads,
    )


def _kept(view: View, memory: Memory) -> Memory:
    """Drops what is about VMs that are gone and groups that are formed or given up."""
    vms_by_lifetime = {assembled.lifetime(vm): vm for vm in view.vms}
    forming = {
        name: members
        for name, members in memory.forming_by_group.items()
        if _goes_on_forming(view, memory, name, members, vms_by_lifetime)
    }
    free = {key for key, vm in vms_by_lifetime.items() if assembled.is_spare(vm)}
    names = {vm.member.group for vm in view.vms if vm.member is not None}
    return Memory(
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
    )


def _balanced(view: View, groups: tuple[assembled.Assembled, ...], memory: Memory) -> Memory:
    """Gives a group up for a model that has been short of groups for a while."""
    capacities = [
        balance.Capacity(
            model=model,
            groups=count,
            wanted=view.slots_wanted.get(model.name, 0.0),
            slots=view.slots,
        )
        for model, count in _counted(view, groups, memory)
    ]
    short = balance.shortest(capacities)
    if short is None or memory.given_up:
        return dataclasses.replace(memory, short_since=None)
    since = view.now if memory.short_since is None else memory.short_since
    memory = dataclasses.replace(memory, short_since=since)
    if view.now - since < balance.waits(short):
        return memory
    free = collections.Counter(vm.fabric_domain for vm in view.vms if _is_free(vm, set()))
    giver = balance.giver(short, capacities, groups, free)
    if giver is None:
        return memory
    keep = Kept(model=short.model.name, until=view.now + KEEP_SECONDS)
    kept = {assembled.lifetime(vm): keep for vm in giver.members}
    return dataclasses.replace(
        memory,
        short_since=None,
        given_up=memory.given_up | {giver.name},
        kept_for_by_vm=memory.kept_for_by_vm | kept,
    )


def _counted(
    view: View, groups: tuple[assembled.Assembled, ...], memory: Memory
) -> list[tuple[catalog.Model, int]]:
    """Returns how many groups each model has, with those that are coming.

    VMs that were given up for a model count as the groups that they will form.
    """
    names = [
        group.model.name
        for group in groups
        if group.model is not None and group.complete and group.name not in memory.given_up
    ]
    names += [assembled.model_of(name) for name in memory.forming_by_group]
    forming = {
        assembled.lifetime(vm) for members in memory.forming_by_group.values() for vm in members
    }
    kept = collections.Counter(
        one.model for key, one in memory.kept_for_by_vm.items() if key not in forming
    )
    return [
        (model, names.count(model.name) + kept[model.name] // model.vms) for model in view.models
    ]


def _group_model(vm: catalog.Vm) -> str:
    """Returns the model of the serving group that a VM reports, empty if it is in none."""
    return (
        "" if assembled.is_spare(vm) or vm.member is None else assembled.model_of(vm.member.group)
    )


def _loaded(vm: catalog.Vm) -> str:
    """Returns the model that a VM shows to have in memory, empty if it shows none."""
    if vm.member is None or vm.member.state is catalog.MemberState.JOINING:
        return ""
    return assembled.model_of(vm.member.group)


def _goes_on_forming(
    view: View,
    memory: Memory,
    name: str,
    members: tuple[catalog.Vm, ...],
    vms_by_lifetime: dict[str, catalog.Vm],
) -> bool:
    model = next((one for one in view.models if one.name == assembled.model_of(name)), None)
    now = [vms_by_lifetime.get(assembled.lifetime(vm)) for vm in members]
    if model is None or any(vm is None or vm.leaving for vm in now):
        return False
    if all(vm is not None and vm.member is not None and vm.member.group == name for vm in now):
        return False
    patience = model.load_seconds * FORMING_FACTOR + FORMING_EXTRA_SECONDS
    return view.now - memory.formed_at_by_group[name] < patience


def _changes(
    view: View, groups: tuple[assembled.Assembled, ...], memory: Memory
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


def _still_serves(view: View, group: assembled.Assembled) -> bool:
    """Returns True for a group that answers although the entry of a member has lapsed.

    A member that is only cut off from the store works on; without it the head would stand still.
    """
    return group.state is catalog.MemberState.OPEN and group.name in view.writing


def _all_ready(group: assembled.Assembled) -> bool:
    ready = (catalog.MemberState.READY, catalog.MemberState.OPEN)
    return all(vm.member is not None and vm.member.state in ready for vm in group.members)


def _has_broken_member(group: assembled.Assembled) -> bool:
    return any(
        vm.member is not None and vm.member.state is catalog.MemberState.BROKEN
        for vm in group.members
    )


def _dissolution(group: assembled.Assembled) -> Iterable[orders.Order]:
    """The head leaves first; when it reports so, the others do."""
    head = group.head
    members = (head,) if head is not None else group.members
    return [_order(orders.Kind.LEAVE, group, vm) for vm in members]


def _closing(view: View, group: assembled.Assembled) -> Iterable[orders.Order]:
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


def _giving_up(group: assembled.Assembled) -> Iterable[orders.Order]:
    """Ends a group for another model; its work is finished first."""
    if group.state is catalog.MemberState.OPEN:
        return [_order(orders.Kind.CLOSE, group, group.members[0])]
    return [] if group.state is catalog.MemberState.CLOSING else _dissolution(group)


def _has_replacement(view: View, group: assembled.Assembled) -> bool:
    domain = group.members[0].fabric_domain
    needed = sum(vm.leaving for vm in group.members)
    assert group.model is not None
    spares = sum(
        vm.fabric_domain == domain
        and assembled.is_spare(vm)
        and not vm.leaving
        and group.model.name in vm.staged
        for vm in view.vms
    )
    return spares >= needed


def _is_free(vm: catalog.Vm, busy: set[str]) -> bool:
    return assembled.is_spare(vm) and not vm.leaving and assembled.lifetime(vm) not in busy


def _formed(
    view: View,
    groups: tuple[assembled.Assembled, ...],
    free: list[catalog.Vm],
    memory: Memory,
) -> dict[str, tuple[catalog.Vm, ...]]:
    """Returns new groups by name, the model that has least for its work first."""
    capacity_by_model = _capacity(view, groups, memory)
    work_by_model = view.slots_wanted or {
        model.name: model.work_share * model.pace for model in view.models
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
        ]
        if not options:
            return formed
        _, _, domain, model = min(options, key=lambda option: option[:3])
        found = _open_to(memory, model, free_by_domain[domain])
        members = _best(memory, model, found)[: model.vms]
        name = assembled.group_name(model.name, view.next_epoch + len(formed))
        formed[name] = tuple(members)
        loads_left -= sum(model.name not in vm.staged for vm in members)
        capacity_by_model[model.name] += 1
        free_by_domain[domain] = [vm for vm in free_by_domain[domain] if vm not in members]


def _open_to(memory: Memory, model: catalog.Model, vms: list[catalog.Vm]) -> list[catalog.Vm]:
    """Returns the VMs that may serve a model: all but those that are kept for another one."""
    kept = (memory.kept_for_by_vm.get(assembled.lifetime(vm)) for vm in vms)
    return [vm for vm, one in zip(vms, kept, strict=True) if one is None or one.model == model.name]


def _capacity(
    view: View, groups: tuple[assembled.Assembled, ...], memory: Memory
) -> dict[str, int]:
    """Returns how many groups each model has, with those being formed."""
    living = [group.model.name for group in groups if group.model is not None and group.complete]
    coming = [assembled.model_of(name) for name in memory.forming_by_group]
    return {
        model.name: living.count(model.name) + coming.count(model.name) for model in view.models
    }


def _can_form(
    view: View,
    memory: Memory,
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
    settled = all(_free_for(view, memory, vm) >= SETTLE_SECONDS for vm in vms if not vm.staged)
    return settled and all(
        not vm.staged
        or assembled.lifetime(vm) in memory.kept_for_by_vm
        or _free_for(view, memory, vm) >= PATIENCE_SECONDS
        for vm in unstaged
    )


def _waits(vm: catalog.Vm, vms: list[catalog.Vm], model: catalog.Model) -> bool:
    """Returns True for a survivor that waits, with others of its group, for a partner."""
    return any(
        other is not vm and set(vm.staged) & set(other.staged) - {model.name} for other in vms
    )


def _free_for(view: View, memory: Memory, vm: catalog.Vm) -> float:
    """Returns the seconds for which a VM has been in no group."""
    return view.now - memory.free_since_by_vm.get(assembled.lifetime(vm), view.now)


def _best(memory: Memory, model: catalog.Model, vms: list[catalog.Vm]) -> list[catalog.Vm]:
    """Orders VMs by how soon they can serve a model."""
    return sorted(
        vms,
        key=lambda vm: (
            model.name not in vm.staged,
            bool(vm.staged),
            memory.loaded_by_vm.get(assembled.lifetime(vm)) != model.name,
            vm.cold_seconds > 0,
        ),
    )


def _joins(name: str, members: tuple[catalog.Vm, ...]) -> Iterable[orders.Order]:
    ids = tuple(vm.vm_id for vm in members)
    epoch = assembled.epoch_of(name)
    return [
        orders.Order(
            kind=orders.Kind.JOIN,
            vm=vm,
            group=name,
            epoch=epoch,
            model=assembled.model_of(name),
            members=ids,
        )
        for vm in members
    ]


def _shows(view: View, join: orders.Order) -> bool:
    """Returns True if a VM reports the group that it was ordered to join."""
    return any(
        vm.vm_id == join.vm.vm_id and vm.member is not None and vm.member.group == join.group
        for vm in view.vms
    )


def _order(kind: orders.Kind, group: assembled.Assembled, vm: catalog.Vm) -> orders.Order:
    return orders.Order(kind=kind, vm=vm, group=group.name, epoch=group.epoch)


def _is_due(view: View, memory: Memory, order: orders.Order) -> bool:
    """Returns False while the same order was given a moment ago."""
    given = memory.given_by_vm.get(assembled.lifetime(order.vm))
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
