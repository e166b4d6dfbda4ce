"""A controller's view of its fabric domain, the input of the planner, and predicates on it."""

import dataclasses
import enum
import itertools
from collections.abc import Callable, Iterable, Iterator

from basilpost.core import data
from basilpost.groups import runner_api

LOADED_STATES = frozenset({runner_api.RunnerState.COLD, runner_api.RunnerState.READY})


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProbeResult:
    """The latest results of a controller's probes of one VM.

    Attributes:
        status: Latest status, None if the VM has never answered this controller.
        asked_at: Monotonic time before the call that `status` answered; before the first answer,
            the time when this controller began to probe the VM.
        silent: True if the latest two or more calls in a row were unanswered.
        silent_seconds: Seconds from the start of the first unanswered call until the last one timed
            out; 0.0 if the latest call was answered.
        stable: False if the VM was silent and has answered again only a few seconds ago.
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
    """All input of a plan.

    Attributes:
        table: The confirmed table.
        now: Monotonic time of the view.
        vms_by_id: Listed VMs of this fabric domain that may be used.
        probes_by_id: Latest probe result of each probed VM.
        services_by_name: Services in the configuration.
        in_force_everywhere: True if the table's version is in force on every node that may
            dispatch.
        suspicion_seconds: Seconds that a silent member may stay away before it is replaced.
        drain_seconds: Longest time in seconds that a group may take to finish its work.
        since_by_condition: Monotonic time since which each condition has held; see `Condition`.
        rolling_update_ids: Ids of the groups that may be taken down now for a new model version.
        surplus_ids: Ids of the groups above their service's limit.
        quotas_by_service: Maximum number of groups in each cell, for services with a limit.
        unserved_share_by_service: Share of each service's groups that does not serve, 0.0 to 1.0.
        new_id: Returns a new group id for a service.
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
    """The kinds of conditions whose duration matters."""

    DRAINING = "draining"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Condition:
    """That a group is draining or a VM is leaving; `subject` is its id."""

    kind: ConditionKind
    subject: str


def condition_seconds(view: View, kind: ConditionKind, subject: str) -> float:
    """Returns the seconds for which a condition has held, 0.0 if it does not hold."""
    return view.now - view.since_by_condition.get(Condition(kind=kind, subject=subject), view.now)


def current_status(view: View, vm_id: str) -> runner_api.RunnerStatus | None:
    """Returns a VM's latest status, None if it is silent or has never answered."""
    probe = view.probes_by_id.get(vm_id)
    return None if probe is None or probe.silent else probe.status


def awaits_first_answer(view: View, vm_id: str) -> bool:
    """Returns True if a VM is probed, has never answered and is not silent yet."""
    probe = view.probes_by_id.get(vm_id)
    return probe is not None and probe.status is None and not probe.silent


def missed_last_probe(view: View, vm_id: str) -> bool:
    """Returns True if a VM did not answer its latest probe."""
    probe = view.probes_by_id.get(vm_id)
    return probe is not None and (probe.silent or probe.silent_seconds > 0.0)


def has_just_returned(view: View, vm_id: str) -> bool:
    """Returns True if a VM was silent and has answered again only a few seconds ago."""
    probe = view.probes_by_id.get(vm_id)
    return probe is not None and not probe.silent and not probe.stable


def is_lost(view: View, vm_id: str) -> bool:
    """Returns True if a VM is silent, and unlisted or silent for the suspicion time."""
    probe = view.probes_by_id.get(vm_id)
    if probe is None or not probe.silent:
        return False
    return vm_id not in view.vms_by_id or probe.silent_seconds >= view.suspicion_seconds


def is_slow(view: View, vm_id: str) -> bool:
    """Returns True if a VM is a straggler: far slower than its peers for some time."""
    probe = view.probes_by_id.get(vm_id)
    return probe is not None and probe.slow


def is_leaving(view: View, vm_id: str) -> bool:
    """Returns True if the platform has announced that it will remove a VM."""
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
    """Returns True if a runner reports exactly this group, generation, model and version."""
    return (
        status is not None
        and (status.group_id, status.generation) == (group.group_id, group.generation)
        and (status.model, status.model_version) == (group.model, group.model_version)
    )


def is_complete(view: View, group: data.Group) -> bool:
    """Returns True if every member answers, has joined the group and holds its weights.

    The members of a plain service's group only have to answer.
    """
    statuses = [current_status(view, member.vm_id) for member in group.members]
    if not group.model:
        return all(status is not None for status in statuses)
    return all(
        has_joined(status, group) and holds_weights(status, group.model, group.model_version)
        for status in statuses
    )


def member_ids(groups: Iterable[data.Group]) -> Iterator[str]:
    """Yields the VM ids of all members of the groups."""
    return (member.vm_id for group in groups for member in group.members)


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Cell:
    """The VMs of a pool in one failure domain, which may form groups with each other."""

    failure_domain: str
    pool: str


def cell_of(vm: data.Vm) -> Cell:
    """Returns the cell of a VM."""
    return Cell(failure_domain=vm.failure_domain, pool=vm.pool)


def spares_by_cell(view: View, groups: Iterable[data.Group]) -> dict[Cell, list[data.Vm]]:
    """Returns the VMs that may become members of a group now, by cell and ordered by id.

    A spare has to answer, since the VM list may show a VM that is gone. It has to be stable, since
    after an outage the members of its former group may be about to come back as well. There are no
    spares while some node may still act on an older table, in which a VM that is free now is in a
    group.
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
