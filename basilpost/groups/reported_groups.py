"""Derives the groups of a pool from the reports of its VMs.

The reports are the only record of which group a VM is in. A new controller learns from them which
groups its predecessor formed, and every node learns from them which targets may receive requests.
"""

import dataclasses
import itertools
from collections.abc import Iterable

from basilpost.core import catalog

_LIFETIME_SEPARATOR = "@"
_EPOCH_SEPARATOR = "--"
# A spare holds a model's weights in memory as the only member of a group that is never opened.
_STANDBY_PREFIX = "standby-"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportedGroup:
    """A group, made of the VMs that report the same group name and epoch.

    Attributes:
        name: Name of the group.
        epoch: Epoch of the group.
        model: Model that the group was formed for; None if the service no longer has that model.
        members: VMs that report the group, ordered by rank.
    """

    name: str
    epoch: int
    model: catalog.Model | None
    members: tuple[catalog.Vm, ...]

    @property
    def head(self) -> catalog.Vm | None:
        """Returns the member with rank 0, which receives the requests; None if it is missing."""
        first = self.members[0]
        return first if first.member is not None and first.member.rank == 0 else None

    @property
    def target_id(self) -> str:
        """Returns the id under which requests are placed on the group, empty without a head."""
        head = self.head
        return target_id(self.name, head.incarnation) if head is not None else ""

    @property
    def state(self) -> catalog.MemberState | None:
        """Returns the state that the head reports; None if the head is missing."""
        head = self.head
        return head.member.state if head is not None and head.member is not None else None

    @property
    def complete(self) -> bool:
        """Returns True if exactly one VM reports each rank that the model requires."""
        return self.model is not None and self.has_ranks(self.model.vms)

    @property
    def has_broken_member(self) -> bool:
        """Returns True if any member, the head included, reports that the group is broken."""
        return any(
            vm.member is not None and vm.member.state is catalog.MemberState.BROKEN
            for vm in self.members
        )

    @property
    def leaving(self) -> bool:
        """Returns True if any member has announced that it will stop."""
        return any(vm.leaving for vm in self.members)

    def has_ranks(self, count: int) -> bool:
        """Returns True if exactly one VM reports each rank below the count, and none a higher one."""
        ranks = [vm.member.rank for vm in self.members if vm.member is not None]
        return ranks == list(range(count))


def lifetime_id(vm: catalog.Vm) -> str:
    """Returns an id that is unique to one run of the VM's runner process."""
    return f"{vm.vm_id}{_LIFETIME_SEPARATOR}{vm.incarnation}"


def vm_id_of(lifetime: str) -> str:
    """Returns the id of the VM of an id from `lifetime_id`."""
    return lifetime.rpartition(_LIFETIME_SEPARATOR)[0]


def group_name(model: str, epoch: int) -> str:
    """Returns the name of a serving group."""
    return f"{model}{_EPOCH_SEPARATOR}{epoch}"


def target_id(group: str, incarnation: int) -> str:
    """Returns the id of a group as a target of requests, unique to one run of its head."""
    return f"{group}{_LIFETIME_SEPARATOR}{incarnation}"


def group_of_target(target: str) -> str:
    """Returns the name of the group of an id from `target_id`."""
    return target.rpartition(_LIFETIME_SEPARATOR)[0]


def standby_name(model: str, epoch: int) -> str:
    """Returns the name of the group of a single spare that holds a model's weights in memory."""
    return f"{_STANDBY_PREFIX}{model}{_EPOCH_SEPARATOR}{epoch}"


def is_spare(vm: catalog.Vm) -> bool:
    """Returns True if the VM is in no serving group; it may be in a standby group."""
    return vm.member is None or not is_serving(vm.member.group)


def is_serving(name: str) -> bool:
    """Returns True for the name of a serving group, False for a standby group or an empty name."""
    return bool(name) and not name.startswith(_STANDBY_PREFIX)


def epoch_from_name(name: str) -> int:
    """Returns the epoch that is part of a group's name."""
    return int(name.rpartition(_EPOCH_SEPARATOR)[2])


def has_own_name(member: catalog.Membership) -> bool:
    """Returns True if a group's name ends in its epoch, as those of all groups of a controller do."""
    return member.group.endswith(f"{_EPOCH_SEPARATOR}{member.epoch}")


def model_from_name(name: str) -> str:
    """Returns the model name that is part of the name of a serving or standby group."""
    return name.rpartition(_EPOCH_SEPARATOR)[0].removeprefix(_STANDBY_PREFIX)


def from_vms(
    vms: Iterable[catalog.Vm], models_by_name: dict[str, catalog.Model]
) -> tuple[ReportedGroup, ...]:
    """Returns the serving groups that the VMs report, ordered by name, without standby groups."""
    members = sorted((vm for vm in vms if not is_spare(vm)), key=_sort_key)
    grouped = itertools.groupby(members, key=lambda vm: _sort_key(vm)[:2])
    return tuple(
        ReportedGroup(
            name=name,
            epoch=epoch,
            model=models_by_name.get(model_from_name(name)),
            members=tuple(group_members),
        )
        for (name, epoch), group_members in grouped
    )


def _sort_key(vm: catalog.Vm) -> tuple[str, int, int, str]:
    assert vm.member is not None
    return vm.member.group, vm.member.epoch, vm.member.rank, vm.vm_id
