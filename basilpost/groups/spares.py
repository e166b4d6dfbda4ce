"""Decides what the spares of a pool get ready for.

The load pattern it answers: losses one after another. A spare that has a model's weights on its host
joins a group in seconds, one that has them in memory at once; without them it loads for many seconds.
"""

import collections
import itertools
from collections.abc import Iterable, Iterator, Mapping

from basilpost.core import catalog
from basilpost.groups import orders, reported_groups


def preparations(
    spares: Iterable[catalog.Vm],
    models: Iterable[catalog.Model],
    *,
    loaded_by_vm: dict[str, str],
    serving: Mapping[tuple[str, str], int],
    next_epoch: int,
) -> Iterator[orders.Order]:
    """Gets spares ready for the losses to come: weights on the host, then in memory.

    Args:
        spares: VMs in no serving group.
        models: The service's models.
        loaded_by_vm: The model that each lifetime of a VM has in memory.
        serving: Number of VMs in groups by fabric domain and model.
        next_epoch: First epoch that no group has had.

    The spares of a domain stand by for its models by the number of VMs that these may lose there.
    """
    by_size = sorted(models, key=lambda model: -model.vms)
    epochs = itertools.count(next_epoch)
    ordered = sorted(spares, key=lambda vm: (vm.fabric_domain, vm.vm_id))
    for domain, found in itertools.groupby(ordered, key=lambda vm: vm.fabric_domain):
        vms = list(found)
        at_risk = {model.name: serving.get((domain, model.name), 0) for model in by_size}
        for vm, model in _matched(vms, by_size, _wanted(len(vms), by_size, at_risk)):
            if model.name not in vm.staged:
                yield orders.Order(kind=orders.Kind.STAGE, vm=vm, model=model.name)
            elif model.name not in (
                loaded_by_vm.get(reported_groups.lifetime_id(vm)),
                _joining(vm),
            ):
                yield _standby(vm, model.name, next(epochs))


def _joining(vm: catalog.Vm) -> str:
    """Returns the model that a spare is taking into memory, empty for none."""
    return "" if vm.member is None else reported_groups.model_from_name(vm.member.group)


def _wanted(
    count: int, by_size: list[catalog.Model], at_risk: Mapping[str, int]
) -> list[catalog.Model]:
    """Returns the models that a domain's spares are best for, the larger one first among equals."""
    if not any(at_risk.values()):
        return list(itertools.islice(itertools.cycle(by_size), count))
    given: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        # Sainte-Lague's rule shares whole spares out in proportion.
        best = max(by_size, key=lambda model: at_risk[model.name] / (2 * given[model.name] + 1))
        given[best.name] += 1
    return [model for model in by_size for _ in range(given[model.name])]


def _matched(
    vms: list[catalog.Vm], by_size: list[catalog.Model], wanted: list[catalog.Model]
) -> list[tuple[catalog.Vm, catalog.Model]]:
    """Pairs VMs with models, so that as many as possible keep the weights that they have.

    Weights only give way to those of a model of more VMs: the survivors of a group keep theirs.
    """
    matched: list[tuple[catalog.Vm, catalog.Model]] = []
    unmatched: list[catalog.Vm] = []
    for vm in vms:
        held = next((model for model in wanted if model.name in vm.staged), None)
        if held is None:
            unmatched.append(vm)
        else:
            wanted.remove(held)
            matched.append((vm, held))
    for vm, model in zip(unmatched, wanted, strict=True):
        held = next((one for one in by_size if one.name in vm.staged), None)
        matched.append((vm, held if held is not None and held.vms >= model.vms else model))
    return matched


def _standby(vm: catalog.Vm, model: str, epoch: int) -> orders.Order:
    return orders.Order(
        kind=orders.Kind.JOIN,
        vm=vm,
        group=reported_groups.standby_name(model, epoch),
        epoch=epoch,
        model=model,
        members=(vm.vm_id,),
    )
