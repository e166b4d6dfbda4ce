"""The interface to the platform's list of VMs, which lags behind the truth."""

import abc
import dataclasses

from basilpost.core import data, failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmListing:
    """The VMs as the platform last knew them."""

    vms_by_id: dict[str, data.Vm]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListUnavailable(failure.Failure):
    """The list could not be read; the last one read stays in use."""


class VmList(abc.ABC):
    """The platform's list of live and leaving VMs."""

    @abc.abstractmethod
    async def fetch(self, *, timeout: float = 2.0) -> VmListing | ListUnavailable:
        """Reads the whole list."""


class MemoryVmList(VmList):
    """A list held in memory, for tests and the demo."""

    def __init__(self, *, vms: tuple[data.Vm, ...] = ()) -> None:
        self.vms_by_id = {vm.vm_id: vm for vm in vms}
        self.down = False

    async def fetch(self, *, timeout: float = 2.0) -> VmListing | ListUnavailable:
        """Returns a copy of the list, or nothing while `down` is set."""
        if self.down:
            return ListUnavailable(reason="the VM list is down")
        return VmListing(vms_by_id=dict(self.vms_by_id))
