"""Assembles a node: registers all its services by name, in the order in which they start."""

import dataclasses

from basilpost.admin import install as admin_install
from basilpost.core import kernel as kernel_
from basilpost.core import names
from basilpost.gateway import install as gateway_install
from basilpost.groups import install as groups_install
from basilpost.members import install as members_install
from basilpost.routing import install as routing_install
from basilpost.runs import install as runs_install
from basilpost.settings import schema
from basilpost.store import budget, http_objects, http_vms, objects, vms


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """The interfaces to the platform that a node uses."""

    store: objects.ObjectStore
    vm_list: vms.VmList


def http_platform(settings: schema.NodeSettings) -> Platform:
    """Returns HTTP clients for the platform's URLs in the settings."""
    return Platform(
        store=http_objects.HttpObjectStore(base_url=settings.platform.object_api),
        vm_list=http_vms.HttpVmList(base_url=settings.platform.vm_list),
    )


def build(settings: schema.NodeSettings, *, platform: Platform) -> kernel_.Kernel:
    """Returns the kernel of a node, with all services registered and none started."""
    kernel = kernel_.Kernel(node_id=settings.node_id)
    store = budget.BudgetedStore(
        inner=platform.store,
        calls_per_second=settings.platform.calls_per_second,
        burst=settings.platform.calls_burst,
        registry=kernel.registry,
    )
    kernel.register(names.SETTINGS, settings)
    kernel.register(names.OBJECTS, store)
    kernel.register(names.VM_LIST, platform.vm_list)
    members_install.install(kernel)
    groups_install.install(kernel)
    runs_install.install(kernel)
    routing_install.install(kernel)
    gateway_install.install(kernel)
    admin_install.install(kernel)
    return kernel
