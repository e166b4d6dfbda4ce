"""The targets of requests: the heads of open groups, and the VMs of plain services."""

import collections
import dataclasses
from collections.abc import Iterable

import prometheus_client

from basilpost.core import catalog, clock, hashing, kernel, names
from basilpost.groups import reported_groups
from basilpost.members import knowledge as knowledges

# Targets of each model that a node of a large fleet uses first. Its requests in flight seldom need
# more.
PREFERRED_TARGETS = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A runner that takes requests; the head of a group takes those of the whole group.

    Attributes:
        target_id: Unique for one lifetime of the runner and, for a group, its epoch.
        service: Name of the service that it runs.
        model: Model that it serves, empty for plain services.
        vm_id: VM on which the runner is.
        address: `host:port`.
        failure_domain: Failure domain of the VM.
        slots: Requests that it processes at the same time.
        pace: Factor on its processing times, 1 for plain services.
        cold_until: Time on `clock.elapsed` at which its cold start ends.
        complete: False for a group that was complete before and has lost the entry of a member
            since. It still works if that member is only cut off from the store.
        lifetime: Id of the run of the runner process that answers, unique to it.
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
    lifetime: str = ""


def find_targets(
    seen_vms: Iterable[knowledges.SeenVm],
    configuration: catalog.Configuration,
    out_of_service: frozenset[str],
    previously_complete: frozenset[str],
) -> dict[str, tuple[Target, ...]]:
    """Returns the targets that may get new work, by service.

    Args:
        seen_vms: All VMs that the node knows.
        configuration: The configuration in force.
        out_of_service: Failure domains that get no new work.
        previously_complete: Ids of the targets that the last call returned. Of the incomplete
            groups only these are returned again.
    """
    seen_by_id = {
        seen.vm.vm_id: seen
        for seen in seen_vms
        if seen.vm.service in configuration.services_by_name
    }
    targets_by_service: dict[str, list[Target]] = {}
    for service in configuration.services_by_name.values():
        vms = [seen.vm for seen in seen_by_id.values() if seen.vm.service == service.name]
        if service.engine is None:
            usable = [_plain_target(seen_by_id[vm.vm_id]) for vm in vms if not vm.leaving]
        else:
            usable = [
                target
                for target in _group_targets(vms, seen_by_id, service.engine)
                if target.complete or target.target_id in previously_complete
            ]
        targets_by_service[service.name] = [
            target for target in usable if target.failure_domain not in out_of_service
        ]
    return {service: tuple(targets) for service, targets in targets_by_service.items()}


def _plain_target(seen: knowledges.SeenVm) -> Target:
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
        lifetime=reported_groups.lifetime_id(vm),
    )


def _group_targets(
    vms: list[catalog.Vm], seen_by_id: dict[str, knowledges.SeenVm], engine: catalog.Engine
) -> list[Target]:
    models_by_name = {model.name: model for model in engine.models}
    return [
        Target(
            target_id=group.target_id,
            service=group.members[0].service,
            model=group.model.name,
            vm_id=group.members[0].vm_id,
            address=group.members[0].address,
            failure_domain=group.members[0].failure_domain,
            slots=engine.slots,
            pace=group.model.pace,
            cold_until=max(seen_by_id[vm.vm_id].cold_until for vm in group.members),
            complete=group.complete,
            lifetime=reported_groups.lifetime_id(group.members[0]),
        )
        for group in reported_groups.from_vms(vms, models_by_name)
        if group.model is not None
        and group.state is catalog.MemberState.OPEN
        and not group.members[0].leaving
    ]


def find_closing(
    seen_vms: Iterable[knowledges.SeenVm], configuration: catalog.Configuration
) -> frozenset[str]:
    """Returns the ids of the groups that are closed because a member leaves or has left.

    Their heads finish the requests that they have and accept no others.
    """
    vms = [seen.vm for seen in seen_vms]
    names_closing = {
        vm.member.group
        for vm in vms
        if vm.member is not None and vm.member.state is catalog.MemberState.CLOSING
    }
    members = [vm for vm in vms if vm.member is not None and vm.member.group in names_closing]
    models_by_name = {
        model.name: model
        for service in configuration.services_by_name.values()
        if service.engine is not None
        for model in service.engine.models
    }
    return frozenset(
        group.target_id
        for group in reported_groups.from_vms(members, models_by_name)
        if group.state is catalog.MemberState.CLOSING and (group.leaving or not group.complete)
    )


def preferred_targets(
    known: Iterable[Target], node_id: str, failure_domain: str
) -> tuple[Target, ...]:
    """Returns the targets that a node of a large fleet uses first.

    They are few, so that its connections are used again, and near, so that little crosses failure
    domains. Each node has others, so that all targets are used alike.
    """
    by_id = {target.target_id: target for target in known}
    order = hashing.rendezvous_order(node_id, by_id)
    nearest_first = sorted(order, key=lambda name: by_id[name].failure_domain != failure_domain)
    return tuple(by_id[name] for name in nearest_first[:PREFERRED_TARGETS])


STATES = ("warm", "cold", "incomplete")


def _state_of(target: Target, cold: bool) -> str:
    if not target.complete:
        return "incomplete"
    return "cold" if cold else "warm"


class Targets(kernel.Service):
    """The targets of all services, derived again after a change of VMs or configuration."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._knowledge = kernel.find(names.KNOWLEDGE, knowledges.Knowledge)
        self._node_id = kernel.node_id
        self._targets_by_service: dict[str, tuple[Target, ...]] = {}
        self._preferred_by_model: dict[tuple[str, str], tuple[Target, ...]] = {}
        self._previously_complete: frozenset[str] = frozenset()
        self._stale = True
        # None after a change, until it is asked for again.
        self._closing: frozenset[str] | None = None
        self._target_counts = prometheus_client.Gauge(
            "basilpost_targets",
            "Targets that may get new work, by service and state",
            ["service", "state"],
            registry=kernel.registry,
        )
        self._knowledge.subscribe(self._mark_stale)

    def vms_by_target(self) -> dict[str, str]:
        """Returns the VM of each target of all services, by target id."""
        self._derive()
        return {
            target.target_id: target.vm_id
            for targets in self._targets_by_service.values()
            for target in targets
        }

    def matching(self, service: str, model: str) -> tuple[Target, ...]:
        """Returns the targets of a service that serve a model, all of them for an empty name."""
        self._derive()
        targets = self._targets_by_service.get(service, ())
        return tuple(target for target in targets if target.model == model) if model else targets

    def _derive(self) -> None:
        """Derives the targets again if VMs or configuration have changed."""
        if self._stale and self._knowledge.configuration is not None:
            self._targets_by_service = find_targets(
                self._knowledge.vms_by_id.values(),
                self._knowledge.configuration,
                self._knowledge.out_of_service,
                self._previously_complete,
            )
            self._previously_complete = frozenset(
                target.target_id
                for targets in self._targets_by_service.values()
                for target in targets
            )
            self._stale = False
            self._preferred_by_model.clear()
            self._update_metrics()

    def closing(self) -> frozenset[str]:
        """Returns the ids of the groups that are closed because a member leaves or has left."""
        configuration = self._knowledge.configuration
        if self._closing is None and configuration is not None:
            self._closing = find_closing(self._knowledge.vms_by_id.values(), configuration)
        return self._closing or frozenset()

    def has_ended(self, lifetime: str) -> bool:
        """Returns True if the platform lists another run of a runner process, or none any more."""
        seen = self._knowledge.vms_by_id.get(reported_groups.vm_id_of(lifetime))
        return seen is None or reported_groups.lifetime_id(seen.vm) != lifetime

    def is_replaced(self, lifetime: str) -> bool:
        """Returns True if the platform lists another run of a runner process.

        One that it does not list any more may still serve.
        """
        seen = self._knowledge.vms_by_id.get(reported_groups.vm_id_of(lifetime))
        return seen is not None and reported_groups.lifetime_id(seen.vm) != lifetime

    def preferred(self, service: str, model: str, failure_domain: str) -> tuple[Target, ...]:
        """Returns the few targets that this node uses first in a large fleet, the nearest ones."""
        known = self.matching(service, model)
        preferred = self._preferred_by_model.get((service, model))
        if preferred is None:
            preferred = preferred_targets(known, self._node_id, failure_domain)
            self._preferred_by_model[service, model] = preferred
        return preferred

    def _update_metrics(self) -> None:
        for service, targets in self._targets_by_service.items():
            states = collections.Counter(
                _state_of(target, self.is_cold(target)) for target in targets
            )
            for state in STATES:
                self._target_counts.labels(service, state).set(states[state])

    def is_cold(self, target: Target) -> bool:
        """Returns True during a target's cold start, in which it takes few requests."""
        return clock.elapsed() < target.cold_until

    def _mark_stale(self) -> None:
        self._stale = True
        self._closing = None
