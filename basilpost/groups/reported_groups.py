"""Groups as their members report them.

Nothing else records which group a VM is in: a new controller sees from the reports what the last one
had formed, and every node sees from them where requests may go.
"""

import dataclasses
import itertools
from collections.abc import Iterable

from basilpost.core import catalog

_SEPARATOR = "--"
# A spare keeps the weights of a model in memory as the only member of a group that is never opened.
_STANDBY = "standby-"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportedGroup:
    """The VMs that report the same group and epoch.

    Attributes:
        name: Name of the group.
        epoch: Its epoch.
        model: The model it was formed for, None if no service has it.
        members: Its VMs by rank.
    """

    name: str
    epoch: int
    model: catalog.Model | None
    members: tuple[catalog.Vm, ...]

    @property
    def head(self) -> catalog.Vm | None:
        """Returns the member that takes requests, None if it is gone."""
        first = self.members[0]
        return first if first.member is not None and first.member.rank == 0 else None

    @property
    def state(self) -> catalog.MemberState | None:
        """Returns the state of the head, None if it is gone."""
        head = self.head
        return head.member.state if head is not None and head.member is not None else None

    @property
    def complete(self) -> bool:
        """Returns True if each rank is taken by one VM."""
        if self.model is None:
            return False
        ranks = [vm.member.rank for vm in self.members if vm.member is not None]
        return ranks == list(range(self.model.vms))

    @property
    def leaving(self) -> bool:
        """Returns True if a member has said that it will stop."""
        return any(vm.leaving for vm in self.members)


def lifetime_id(vm: catalog.Vm) -> str:
    """Returns what names one lifetime of a VM's runner."""
    return f"{vm.vm_id}@{vm.incarnation}"


def group_name(model: str, epoch: int) -> str:
    """Returns the name of a new group."""
    return f"{model}{_SEPARATOR}{epoch}"


def standby_name(model: str, epoch: int) -> str:
    """Returns the name of the group of a spare that keeps a model's weights in memory."""
    return f"{_STANDBY}{model}{_SEPARATOR}{epoch}"


def is_spare(vm: catalog.Vm) -> bool:
    """Returns True for a VM that serves in no group, whether it stands by for one or not."""
    return vm.member is None or vm.member.group.startswith(_STANDBY)


def epoch_from_name(name: str) -> int:
    """Returns a group's epoch by its name."""
    return int(name.rpartition(_SEPARATOR)[2])


def model_from_name(name: str) -> str:
    """Returns the model that a group was formed for, by its name."""
    return name.rpartition(_SEPARATOR)[0].removeprefix(_STANDBY)


def from_vms(
    vms: Iterable[catalog.Vm], models_by_name: dict[str, catalog.Model]
) -> tuple[ReportedGroup, ...]:
    """Returns the groups that VMs report, without spares that stand by, ordered by name."""
    members = sorted((vm for vm in vms if not is_spare(vm)), key=_place)
    grouped = itertools.groupby(members, key=lambda vm: _place(vm)[:2])
    return tuple(
        ReportedGroup(
            name=name,
            epoch=epoch,
            model=models_by_name.get(model_from_name(name)),
            members=tuple(found),
        )
        for (name, epoch), found in grouped
    )


def _place(vm: catalog.Vm) -> tuple[str, int, int, str]:
    assert vm.member is not None
    return vm.member.group, vm.member.epoch, vm.member.rank, vm.vm_id
