"""What a controller knows of its fabric domain when it plans: the input of the pure functions."""

import dataclasses
import enum
import itertools
from collections.abc import Callable, Iterable, Iterator

from basilpost.core import data
from basilpost.groups import runner_api

LOADED_STATES = frozenset({runner_api.RunnerState.COLD, runner_api.RunnerState.READY})


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProbeResult:
    """What the controller last saw of a VM.

    Attributes:
        status: Latest status, None if the VM has never answered this controller.
        asked_at: Time before the call that the status answered; before the first answer, the time
            when this controller began to watch the VM.
        silent: True if the latest calls went unanswered.
        silent_seconds: Seconds from the first of them until the last one was given up.
        stable: False for a VM that was silent and has come back only just now.
        slow: True if the VM answers so much later than its peers that it slows its group down.
    """

    status: runner_api.RunnerStatus | None = None
    asked_at: float
    silent: bool = False
    silent_seconds: float = 0.0
    stable: bool = True
    slow: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """All that a plan depends on.

    Attributes:
        table: The confirmed table.
        now: Event loop's time.
        vms_by_id: Listed VMs of this fabric domain that may be used.
        probes_by_id: What was last seen of each watched VM.
        services_by_name: Services in the configuration.
        in_force_everywhere: True if the table's version is in force on every node that may dispatch.
        suspicion_seconds: Seconds that a silent member may stay away before it is replaced.
        drain_seconds: Longest time in seconds that a group may take to finish its work.
        since_by_condition: Time from which each lasting condition has been seen; see `Condition`.
        rolling_update_ids: Ids of the groups that may be taken down now for a new model version.
        surplus_ids: Ids of the groups above their service's limit.
        quotas_by_service: Most groups of each service in each cell, for services with a limit.
        unserved_share_by_service: Share of each service's groups that does not serve, 0.0 to 1.0.
        new_id: Makes the id of a new group of a service.
    """

    table: data.FabricTable
    now: float
    vms_by_id: dict[str, data.Vm]
    probes_by_id: dict[str, ProbeResult]
    services_by_name: dict[str, data.Service]
    in_force_everywhere: bool
    suspicion_seconds: float
    drain_seconds: float = 600.0
    since_by_condition: dict["Condition", float] = dataclasses.field(default_factory=dict)
    rolling_update_ids: frozenset[str] = frozenset()
    surplus_ids: frozenset[str] = frozenset()
    quotas_by_service: dict[str, dict["Cell", int]] = dataclasses.field(default_factory=dict)
    unserved_share_by_service: dict[str, float] = dataclasses.field(default_factory=dict)
    new_id: Callable[[str], str]


class ConditionKind(enum.Enum):
    """A condition whose duration matters."""

    DRAINING = "draining"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Condition:
    """A lasting condition of a group or VM."""

    kind: ConditionKind
    subject: str


def condition_seconds(view: View, kind: ConditionKind, subject: str) -> float:
    """Returns for how many seconds a condition has been seen."""
    return view.now - view.since_by_condition.get(Condition(kind=kind, subject=subject), view.now)


def current_status(view: View, vm_id: str) -> runner_api.RunnerStatus | None:
    """Returns a VM's status if the VM answers."""
    probe = view.probes_by_id.get(vm_id)
    return None if probe is None or probe.silent else probe.status


def awaits_first_answer(view: View, vm_id: str) -> bool:
    """Returns True if this controller has asked a VM but could not have heard from it yet."""
    probe = view.probes_by_id.get(vm_id)
    return probe is not None and probe.status is None and not probe.silent


def missed_last_probe(view: View, vm_id: str) -> bool:
    """Returns True if a VM's latest call went unanswered."""
    probe = view.probes_by_id.get(vm_id)
    return probe is not None and (probe.silent or probe.silent_seconds > 0.0)


def has_just_returned(view: View, vm_id: str) -> bool:
    """Returns True if a VM was silent and has come back only just now."""
    probe = view.probes_by_id.get(vm_id)
    return probe is not None and not probe.silent and not probe.stable


def is_lost(view: View, vm_id: str) -> bool:
    """Returns True if a VM is silent and is not waited for any longer."""
    probe = view.probes_by_id.get(vm_id)
    if probe is None or not probe.silent:
        return False
    return vm_id not in view.vms_by_id or probe.silent_seconds >= view.suspicion_seconds


def is_slow(view: View, vm_id: str) -> bool:
    """Returns True if a VM is a straggler."""
    probe = view.probes_by_id.get(vm_id)
    return probe is not None and probe.slow


def is_leaving(view: View, vm_id: str) -> bool:
    """Returns True if the platform has announced that a VM goes away."""
    vm = view.vms_by_id.get(vm_id)
    return vm is not None and vm.leaving


def holds_weights(status: runner_api.RunnerStatus | None, model: str, model_version: str) -> bool:
    """Returns True if a runner holds the weights of a model and version."""
    return (
        status is not None
        and status.state in LOADED_STATES
        and (status.model, status.model_version) == (model, model_version)
    )


def is_loading(status: runner_api.RunnerStatus, group: data.Group) -> bool:
    """Returns True if a runner is loading the weights that a group needs."""
    same = (status.model, status.model_version) == (group.model, group.model_version)
    return same and status.state is runner_api.RunnerState.LOADING


def has_joined(status: runner_api.RunnerStatus | None, group: data.Group) -> bool:
    """Returns True if a runner reports just this group, generation, model and version."""
    return (
        status is not None
        and (status.group_id, status.generation) == (group.group_id, group.generation)
        and (status.model, status.model_version) == (group.model, group.model_version)
    )


def is_complete(view: View, group: data.Group) -> bool:
    """Returns True if every member answers, has joined the group and holds its weights."""
    statuses = [current_status(view, member.vm_id) for member in group.members]
    if not group.model:
        return all(status is not None for status in statuses)
    return all(
        has_joined(status, group) and holds_weights(status, group.model, group.model_version)
        for status in statuses
    )


def member_ids(groups: Iterable[data.Group]) -> Iterator[str]:
    """Yields the ids of all VMs that groups hold."""
    return (member.vm_id for group in groups for member in group.members)


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Cell:
    """VMs that may form a group together."""

    failure_domain: str
    pool: str


def cell_of(vm: data.Vm) -> Cell:
    """Returns the cell of a VM."""
    return Cell(failure_domain=vm.failure_domain, pool=vm.pool)


def spares_by_cell(view: View, groups: Iterable[data.Group]) -> dict[Cell, list[data.Vm]]:
    """Returns the VMs that a group may take in now, by cell and ordered by id.

    A VM must answer, since the list may show a VM that is gone, and steadily, since its neighbours
    may be about to come back with it. There are none while some node may still act on an older
    table, in which a VM that is free by now belongs to a group.
    """
    if not view.in_force_everywhere:
        return {}
    taken = set(member_ids(groups)) | set(member_ids(view.table.groups))
    free = sorted(
        (
            vm
            for vm_id, vm in view.vms_by_id.items()
            if vm_id not in taken
            and not vm.leaving
            and not is_slow(view, vm_id)
            and current_status(view, vm_id) is not None
            and view.probes_by_id[vm_id].stable
        ),
        key=lambda vm: (cell_of(vm), vm.vm_id),
    )
    return {cell: list(vms) for cell, vms in itertools.groupby(free, key=cell_of)}
