"""Decides which weights are loaded next while the weight store bears only a few loads at once.

Load pattern: VMs are lost one after another and empty ones come in their place, faster than weights
can be loaded. Loads that run beside each other then all take longer, and a group can serve only
when the last of its members has loaded. So few loads run at a time, and the next one belongs to the
group that adds the most demanded capacity for each load. The other weights of the same group come
next. Weights that a VM has are replaced only for a model that lacks capacity, after the VM has
waited for partners.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

from basilpost.core import catalog
from basilpost.groups import formation, orders, pool_state, reported_groups, spares

# A model's groups below this utilization need no further group.
COMFORTABLE_UTILIZATION = 0.45
# Weights that a VM has are replaced only for a model whose groups are used more than this.
REPLACING_UTILIZATION = 0.85
# From this utilization on, callers are refused: one more group is worth all its slots.
FULL_UTILIZATION = 0.95
# Utilization to assume for all models together until demand is measured.
ASSUMED_UTILIZATION = 0.7
# A model without any group refuses all its callers, which counts this many times.
NO_GROUP_FACTOR = 2.0
# Need of a group that lost members even though its model has groups enough: more will be lost.
LEAST_REPAIR_NEED = 0.1
# VMs that a group may lack for its weights to be loaded in advance. Replacements of lost VMs come
# in ones and twos.
MAX_MISSING_VMS = 2
# Value of such a group compared with one that can be completed.
MISSING_VMS_FACTOR = 0.5
# Loads for spares begin while fewer loads are under way than this share of those that the weight
# store bears, so that they keep no group waiting.
SPARE_LOADS_SHARE = 0.5
# A load is taken to have failed after this many times the load time.
GIVE_UP_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedGroup:
    """A group that could be formed of free VMs of one fabric domain after some loads.

    Attributes:
        model: Model of the group.
        vms: The VMs, those that have the weights first. Some may be missing.
        loading: Those of the VMs that are loading the weights.
        to_load: Those of the VMs that still have to begin.
    """

    model: catalog.Model
    vms: tuple[catalog.Vm, ...]
    loading: tuple[catalog.Vm, ...]
    to_load: tuple[catalog.Vm, ...]

    @property
    def missing(self) -> int:
        """Returns the number of VMs that the group lacks."""
        return self.model.vms - len(self.vms)

    @property
    def repairs(self) -> bool:
        """Returns True if at least half of the group's VMs have the weights already."""
        staged = sum(self.model.name in vm.staged for vm in self.vms)
        return staged * 2 >= self.model.vms and not self.missing


def load_orders(
    view: pool_state.View,
    state: pool_state.State,
    free: Sequence[catalog.Vm],
    planned: Sequence[PlannedGroup],
    serving_counts: Mapping[tuple[str, str], int],
) -> list[orders.Order]:
    """Returns the orders for the loads that may begin now.

    Args:
        view: View of the pool.
        state: State that the previous decisions left.
        free: VMs that no group needs now.
        planned: Groups to load weights for, the most valuable first.
        serving_counts: Number of VMs in groups by fabric domain and model.
    """
    assert view.loads_at_once is not None
    under_way = sum(1 for vm in view.vms if model_being_loaded(view, state, vm))
    group_loads = max(0, view.loads_at_once - under_way)
    spare_loads = max(0, math.floor(view.loads_at_once * SPARE_LOADS_SHARE) - under_way)
    planned_ids = {reported_groups.lifetime_id(vm) for group in planned for vm in group.vms}
    others = [vm for vm in free if reported_groups.lifetime_id(vm) not in planned_ids]
    for_groups = [(vm, group.model.name) for group in planned for vm in group.to_load][:group_loads]
    for_spares = itertools.islice(
        _spare_loads(view, state, others, serving_counts), max(0, spare_loads - len(for_groups))
    )
    return [
        orders.Order(kind=orders.Kind.STAGE, vm=vm, model=model)
        for vm, model in itertools.chain(for_groups, for_spares)
    ]


def model_being_loaded(view: pool_state.View, state: pool_state.State, vm: catalog.Vm) -> str:
    """Returns the model that a VM is loading from the weight store, empty if it loads none."""
    if vm.member is not None and vm.member.state is catalog.MemberState.JOINING:
        joined = reported_groups.model_from_name(vm.member.group)
        if joined not in vm.staged:
            return joined
    last = state.last_order_by_vm.get(reported_groups.lifetime_id(vm))
    if last is None or not last.order.model or vm.staged != last.order.vm.staged:
        # A load that has ended shows in the weights on the host.
        return ""
    if last.order.model in vm.staged:
        return ""
    if last.order.kind not in (orders.Kind.STAGE, orders.Kind.JOIN):
        return ""
    load_seconds = next(
        (model.load_seconds for model in view.models if model.name == last.order.model), 0.0
    )
    return last.order.model if view.now - last.sent_at < load_seconds * GIVE_UP_FACTOR else ""


def plan_groups(
    view: pool_state.View,
    state: pool_state.State,
    free: Sequence[catalog.Vm],
    group_counts: Mapping[str, int],
) -> list[PlannedGroup]:
    """Returns the groups to load weights for, the most valuable for each load first.

    Args:
        view: View of the pool.
        state: State that the previous decisions left.
        free: VMs that no group needs now.
        group_counts: Number of groups by model, including those that are being formed.
    """
    wanted = _wanted_groups(view)
    counts = collections.Counter(group_counts)
    vms_by_domain: dict[str, list[catalog.Vm]] = {}
    for vm in sorted(free, key=lambda vm: vm.vm_id):
        vms_by_domain.setdefault(vm.fabric_domain, []).append(vm)
    planned: list[PlannedGroup] = []
    held_models: set[str] = set()
    while True:
        options = [
            (value, -len(option.loading), domain, option)
            for model in view.models
            for domain, vms in vms_by_domain.items()
            for may_replace in [wanted[model.name] > REPLACING_UTILIZATION * counts[model.name]]
            for option in [_best_group(view, state, model, vms, may_replace=may_replace)]
            if option is not None
            and not (option.missing and (model.name in held_models or not may_replace))
            and (value := _value_per_load(option, wanted[model.name], counts[model.name])) > 0.0
        ]
        if not options:
            return planned
        _, _, domain, best = max(options, key=lambda option: option[:3])
        planned.append(best)
        counts[best.model.name] += 1
        if best.missing:
            held_models.add(best.model.name)
        vms_by_domain[domain] = [vm for vm in vms_by_domain[domain] if vm not in best.vms]


def _wanted_groups(view: pool_state.View) -> dict[str, float]:
    """Returns how many fully used groups would serve the demand, by model."""
    if view.slots_wanted:
        return {
            model.name: view.slots_wanted.get(model.name, 0.0) / max(1, view.slots_per_group)
            for model in view.models
        }
    # Until demand is measured, each model's share of the VMs follows its share of the work.
    work = sum(model.work_share for model in view.models) or 1.0
    return {
        model.name: ASSUMED_UTILIZATION * len(view.vms) * model.work_share / work / model.vms
        for model in view.models
    }


def _best_group(
    view: pool_state.View,
    state: pool_state.State,
    model: catalog.Model,
    vms: Iterable[catalog.Vm],
    *,
    may_replace: bool,
) -> PlannedGroup | None:
    """Returns the group of a model that needs the fewest loads, of the free VMs of one domain."""
    vms = list(vms)
    holders = collections.Counter(itertools.chain.from_iterable(vm.staged for vm in vms))
    allowed = [vm for vm in vms if _is_usable(view, state, model, vm, may_replace=may_replace)]
    usable = sorted(
        (vm for vm in vms if vm in allowed or _is_lone_spare(view, state, vm, holders)),
        key=lambda vm: _load_priority(view, state, model, vm),
    )
    members = tuple(usable[: model.vms])
    if len(members) < model.vms or sum(model.name in vm.staged for vm in members) * 2 < model.vms:
        # Spares of other models are kept unless they complete a group that lost members.
        members = tuple(vm for vm in members if vm in allowed)
    if model.vms - len(members) > min(MAX_MISSING_VMS, model.vms - 1):
        return None
    loading = [vm for vm in members if model_being_loaded(view, state, vm) == model.name]
    to_load = [vm for vm in members if model.name not in vm.staged and vm not in loading]
    if len(members) < model.vms and not to_load:
        # It lacks VMs, and there is nothing to load for it.
        return None
    return PlannedGroup(
        model=model,
        vms=members,
        loading=tuple(loading),
        to_load=tuple(to_load),
    )


def _load_priority(
    view: pool_state.View, state: pool_state.State, model: catalog.Model, vm: catalog.Vm
) -> tuple[bool, bool, bool]:
    """Returns a sort key: VMs with the weights, those loading them, empty ones, all others."""
    being_loaded = model_being_loaded(view, state, vm)
    return (
        model.name not in vm.staged and being_loaded != model.name,
        model.name not in vm.staged,
        bool(vm.staged) and model.name not in vm.staged,
    )


def _is_usable(
    view: pool_state.View,
    state: pool_state.State,
    model: catalog.Model,
    vm: catalog.Vm,
    *,
    may_replace: bool,
) -> bool:
    """Returns True if a VM may be used for a model.

    One that has other weights keeps them until it has waited for partners, and longer unless
    `may_replace`. One that is loading other weights keeps those.
    """
    reservation = state.reservation_by_vm.get(reported_groups.lifetime_id(vm))
    if reservation is not None:
        return reservation.model == model.name
    if model.name in vm.staged:
        return True
    being_loaded = model_being_loaded(view, state, vm)
    if being_loaded:
        return being_loaded == model.name
    if not vm.staged:
        return True
    waited = formation.free_seconds(view, state, vm) >= formation.PARTNER_WAIT_SECONDS
    return may_replace and waited


def _is_lone_spare(
    view: pool_state.View,
    state: pool_state.State,
    vm: catalog.Vm,
    holders: collections.Counter[str],
) -> bool:
    """Returns True if a VM with weights has no partner with the same ones to form a group with."""
    return (
        reported_groups.lifetime_id(vm) not in state.reservation_by_vm
        and not model_being_loaded(view, state, vm)
        and all(holders[model] == 1 for model in vm.staged)
    )


def _value_per_load(group: PlannedGroup, wanted: float, count: int) -> float:
    """Returns the value of one more group of a model for each load that it still needs.

    It is the share of the group's slots that is expected to be used, 0 if the model has groups
    enough.
    """
    if not wanted:
        return 0.0
    utilization = wanted / count if count else float("inf")
    span = FULL_UTILIZATION - COMFORTABLE_UTILIZATION
    least = LEAST_REPAIR_NEED if group.repairs else 0.0
    need = min(1.0, max(least, (utilization - COMFORTABLE_UTILIZATION) / span))
    if not count:
        need *= NO_GROUP_FACTOR
    if group.missing:
        need *= MISSING_VMS_FACTOR
    cost = len(group.to_load) + 0.5 * len(group.loading)
    return need / (cost + 0.25)


def _spare_loads(
    view: pool_state.View,
    state: pool_state.State,
    others: Iterable[catalog.Vm],
    serving_counts: Mapping[tuple[str, str], int],
) -> Iterator[tuple[catalog.Vm, str]]:
    """Yields the loads that make the spares ready to replace lost members."""
    idle = [
        vm
        for vm in others
        if not model_being_loaded(view, state, vm)
        and formation.free_seconds(view, state, vm) >= formation.SETTLE_SECONDS
    ]
    for order in spares.preparation_orders(
        idle, view.models, loaded_by_vm={}, serving_counts=serving_counts, next_epoch=0
    ):
        if order.kind is orders.Kind.STAGE and not order.vm.staged:
            yield order.vm, order.model
