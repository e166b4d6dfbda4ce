"""Where requests of a service may go: open, complete groups, and instances of plain services."""

import collections
import dataclasses
from collections.abc import Iterable

import prometheus_client

from basilpost.core import catalog, clock, kernel, names
from basilpost.groups import reported_groups
from basilpost.members import knowledge as knowledges


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A runner that takes requests, for a whole group if it is the head of one.

    Attributes:
        target_id: Unique for one lifetime of the runner and, for a group, its epoch.
        service: Its service.
        model: Model that it serves, empty for plain services.
        vm_id: Id of the runner.
        address: `host:port`.
        failure_domain: Where it is.
        slots: Requests that it works on at once.
        pace: Factor on its times, 1 for plain services.
        cold_until: Time on `clock.elapsed` until which it bears little load.
        complete: False for a group that was complete, and of which an entry has lapsed since. It
            still works if the member is only cut off from the store.
    """

    target_id: str
    service: str
    model: str
    vm_id: str
    address: str
    failure_domain: str
    slots: int
    pace: float
    cold_until: float
    complete: bool = True


def find_targets(
    seen_vms: Iterable[knowledges.SeenVm],
    configuration: catalog.Configuration,
    out_of_service: frozenset[str],
    were_complete: frozenset[str],
) -> dict[str, tuple[Target, ...]]:
    """Returns the targets that may get new work, by service.

    Args:
        seen_vms: All VMs.
        configuration: The configuration in force.
        out_of_service: Failure domains that get no new work.
        were_complete: Ids of targets that were complete when they were looked at before.
    """
    seen_by_id = {
        seen.vm.vm_id: seen
        for seen in seen_vms
        if seen.vm.service in configuration.services_by_name
    }
    found: dict[str, list[Target]] = {}
    for service in configuration.services_by_name.values():
        vms = [seen.vm for seen in seen_by_id.values() if seen.vm.service == service.name]
        if service.engine is None:
            chosen = [_plain(seen_by_id[vm.vm_id]) for vm in vms if not vm.leaving]
        else:
            chosen = [
                one
                for one in _groups(vms, seen_by_id, service.engine)
                if one.complete or one.target_id in were_complete
            ]
        found[service.name] = [one for one in chosen if one.failure_domain not in out_of_service]
    return {service: tuple(targets) for service, targets in found.items()}


def _plain(seen: knowledges.SeenVm) -> Target:
    vm = seen.vm
    return Target(
        target_id=f"{vm.vm_id}@{vm.incarnation}",
        service=vm.service,
        model="",
        vm_id=vm.vm_id,
        address=vm.address,
        failure_domain=vm.failure_domain,
        slots=vm.slots,
        pace=1.0,
        cold_until=seen.cold_until,
    )


def _groups(
    vms: list[catalog.Vm], seen_by_id: dict[str, knowledges.SeenVm], engine: catalog.Engine
) -> list[Target]:
    models_by_name = {model.name: model for model in engine.models}
    return [
        Target(
            target_id=f"{group.name}@{group.members[0].incarnation}",
            service=group.members[0].service,
            model=group.model.name,
            vm_id=group.members[0].vm_id,
            address=group.members[0].address,
            failure_domain=group.members[0].failure_domain,
            slots=engine.slots,
            pace=group.model.pace,
            cold_until=max(seen_by_id[vm.vm_id].cold_until for vm in group.members),
            complete=group.complete,
        )
        for group in reported_groups.from_vms(vms, models_by_name)
        if group.model is not None
        and group.state is catalog.MemberState.OPEN
        and not group.members[0].leaving
    ]


STATES = ("warm", "cold", "incomplete")


def _state_of(target: Target, cold: bool) -> str:
    if not target.complete:
        return "incomplete"
    return "cold" if cold else "warm"


class Targets(kernel.Service):
    """The targets of all services, found anew after each change."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._knowledge = kernel.find(names.KNOWLEDGE, knowledges.Knowledge)
        self._targets_by_service: dict[str, tuple[Target, ...]] = {}
        self._were_complete: frozenset[str] = frozenset()
        self._stale = True
        self._counts = prometheus_client.Gauge(
            "basilpost_targets",
            "Targets that may get new work, by service and state",
            ["service", "state"],
            registry=kernel.registry,
        )
        self._knowledge.subscribe(self._forget)

    def matching(self, service: str, model: str) -> tuple[Target, ...]:
        """Returns the targets of a service that serve a model; any for an empty name."""
        if self._stale and self._knowledge.configuration is not None:
            self._targets_by_service = find_targets(
                self._knowledge.vms_by_id.values(),
                self._knowledge.configuration,
                self._knowledge.out_of_service,
                self._were_complete,
            )
            self._were_complete = frozenset(
                one.target_id for found in self._targets_by_service.values() for one in found
            )
            self._stale = False
            self._count()
        found = self._targets_by_service.get(service, ())
        return tuple(one for one in found if one.model == model) if model else found

    def _count(self) -> None:
        for service, found in self._targets_by_service.items():
            states = collections.Counter(_state_of(one, self.is_cold(one)) for one in found)
            for state in STATES:
                self._counts.labels(service, state).set(states[state])

    def is_cold(self, target: Target) -> bool:
        """Returns True while a target bears little load."""
        return clock.elapsed() < target.cold_until

    def _forget(self) -> None:
        self._stale = True
