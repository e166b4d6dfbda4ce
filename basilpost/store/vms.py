"""The interface to the platform's list of VMs, which may lag behind the VMs' real state."""

import abc
import dataclasses

from basilpost.core import data, failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmListing:
    """The VMs as the platform last reported them."""

    vms_by_id: dict[str, data.Vm]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListUnavailable(failure.Failure):
    """The list could not be read; callers keep using the last one."""


class VmList(abc.ABC):
    """Reads the platform's list of live and leaving VMs."""

    @abc.abstractmethod
    async def fetch(self, *, timeout: float = 2.0) -> VmListing | ListUnavailable:
        """Reads the whole list within `timeout` seconds."""


class MemoryVmList(VmList):
    """A list held in memory that tests change; it is unavailable while `down` is set."""

    def __init__(self, *, vms: tuple[data.Vm, ...] = ()) -> None:
        self.vms_by_id = {vm.vm_id: vm for vm in vms}
        self.down = False

    async def fetch(self, *, timeout: float = 2.0) -> VmListing | ListUnavailable:
        """Returns a copy of the list."""
        if self.down:
            return ListUnavailable(reason="the VM list is down")
        return VmListing(vms_by_id=dict(self.vms_by_id))
