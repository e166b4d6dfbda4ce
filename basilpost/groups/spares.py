"""Decides for which models the spares of a pool prepare.

Preparation matters when VMs are lost one after another. A spare that has a model's weights in
memory joins a group at once, one that has them on its host within seconds; without them it must
load for many seconds.
"""

import collections
import itertools
from collections.abc import Iterable, Iterator, Mapping

from basilpost.core import catalog
from basilpost.groups import orders, reported_groups


def preparation_orders(
    spares: Iterable[catalog.Vm],
    models: Iterable[catalog.Model],
    *,
    loaded_by_vm: dict[str, str],
    serving_counts: Mapping[tuple[str, str], int],
    next_epoch: int,
) -> Iterator[orders.Order]:
    """Yields the orders that prepare spares: first weights on the host, then in memory.

    The spares of a fabric domain are divided among the models in proportion to the number of VMs
    that serve each model there and may be lost.

    Args:
        spares: VMs in no serving group.
        models: Models of the service.
        loaded_by_vm: Model that a VM has in memory, by lifetime id.
        serving_counts: Number of VMs in groups by fabric domain and model.
        next_epoch: Lowest epoch that no group has used.
    """
    by_size = sorted(models, key=lambda model: -model.vms)
    epochs = itertools.count(next_epoch)
    ordered = sorted(spares, key=lambda vm: (vm.fabric_domain, vm.vm_id))
    for domain, domain_spares in itertools.groupby(ordered, key=lambda vm: vm.fabric_domain):
        vms = list(domain_spares)
        at_risk = {model.name: serving_counts.get((domain, model.name), 0) for model in by_size}
        for vm, model in _assign_models(
            vms, by_size, _models_to_prepare(len(vms), by_size, at_risk)
        ):
            if model.name not in vm.staged:
                yield orders.Order(kind=orders.Kind.STAGE, vm=vm, model=model.name)
            elif model.name not in (
                loaded_by_vm.get(reported_groups.lifetime_id(vm)),
                _standby_model(vm),
            ):
                yield _standby_order(vm, model.name, next(epochs))


def _standby_model(vm: catalog.Vm) -> str:
    """Returns the model of the standby group that a spare reports, empty for none."""
    return "" if vm.member is None else reported_groups.model_from_name(vm.member.group)


def _models_to_prepare(
    count: int, by_size: list[catalog.Model], at_risk: Mapping[str, int]
) -> list[catalog.Model]:
    """Returns a model for each of a domain's spares, preferring the larger one of equal models."""
    if not any(at_risk.values()):
        return list(itertools.islice(itertools.cycle(by_size), count))
    spares_by_model: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        # The Sainte-Lague method divides whole spares in proportion.
        best = max(
            by_size, key=lambda model: at_risk[model.name] / (2 * spares_by_model[model.name] + 1)
        )
        spares_by_model[best.name] += 1
    return [model for model in by_size for _ in range(spares_by_model[model.name])]


def _assign_models(
    vms: list[catalog.Vm], by_size: list[catalog.Model], models: list[catalog.Model]
) -> list[tuple[catalog.Vm, catalog.Model]]:
    """Returns each VM with a model, such that as many VMs as possible keep their weights.

    Weights are replaced only by those of a model with more VMs, so survivors of a group keep
    theirs.
    """
    assigned: list[tuple[catalog.Vm, catalog.Model]] = []
    unassigned: list[catalog.Vm] = []
    for vm in vms:
        kept = next((model for model in models if model.name in vm.staged), None)
        if kept is None:
            unassigned.append(vm)
        else:
            models.remove(kept)
            assigned.append((vm, kept))
    for vm, model in zip(unassigned, models, strict=True):
        kept = next((held for held in by_size if held.name in vm.staged), None)
        assigned.append((vm, kept if kept is not None and kept.vms >= model.vms else model))
    return assigned


def _standby_order(vm: catalog.Vm, model: str, epoch: int) -> orders.Order:
    return orders.Order(
        kind=orders.Kind.JOIN,
        vm=vm,
        group=reported_groups.standby_name(model, epoch),
        epoch=epoch,
        model=model,
        members=(vm.vm_id,),
    )
