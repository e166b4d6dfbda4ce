"""Decides which fabric domain a VM belongs to, once for all controllers.

A VM list that lags or errs can show a VM in one fabric domain to one controller and in another to a
second one. Their tables are two objects, which no single update covers. So a VM is pinned to one
fabric domain by an object of its own before any table may name it: the first creation wins. Only the
holder of that domain's table releases the pin, after its table no longer names the VM.
"""

import dataclasses
import uuid

from basilpost.core import codec, failure, names
from basilpost.store import objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pin:
    """The fabric domain whose table alone may name a VM.

    Attributes:
        vm_id: The VM.
        fabric_domain: Its fabric domain.
        attempt_id: Unique id of the write, so that each write is a change.
    """

    vm_id: str
    fabric_domain: str
    attempt_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PinnedElsewhere(failure.Failure):
    """The VM belongs to another fabric domain, named by `fabric_domain`."""

    fabric_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PinUnknown(failure.Failure):
    """The store did not say whose the VM is; it must not be used yet."""


def key_of(vm_id: str) -> str:
    """Returns the key of a VM's pin."""
    return names.VM_PREFIX + vm_id


async def pin(
    store: objects.ObjectStore, vm_id: str, fabric_domain: str, *, timeout: float = 2.0
) -> Pin | PinnedElsewhere | PinUnknown:
    """Pins a VM to a fabric domain, or tells whose it is.

    A pin that exists already is written anew: a release of it that is still on its way then fails.
    """
    wanted = Pin(vm_id=vm_id, fabric_domain=fabric_domain, attempt_id=uuid.uuid4().hex)
    value = codec.to_json(wanted)
    made = await store.create(key_of(vm_id), value, timeout=timeout)
    if isinstance(made, objects.Written):
        return wanted
    found = await store.get(key_of(vm_id), timeout=timeout)
    if not isinstance(found, objects.Stored):
        return PinUnknown(reason=found.reason)
    owner = _decode(found, fabric_domain)
    if not isinstance(owner, Pin) or owner.attempt_id == wanted.attempt_id:
        return owner
    renewed = await store.update(key_of(vm_id), value, version=found.version, timeout=timeout)
    return wanted if isinstance(renewed, objects.Written) else PinUnknown(reason=renewed.reason)


async def pinned_to(
    store: objects.ObjectStore, fabric_domain: str, *, timeout: float = 5.0
) -> frozenset[str] | PinUnknown:
    """Returns the ids of all VMs that are pinned to a fabric domain."""
    found = await store.list(names.VM_PREFIX, timeout=timeout)
    if isinstance(found, objects.Unavailable):
        return PinUnknown(reason=found.reason)
    decoded = (_decode(stored, fabric_domain) for stored in found.objects)
    return frozenset(one.vm_id for one in decoded if isinstance(one, Pin))


async def release(
    store: objects.ObjectStore, vm_id: str, fabric_domain: str, *, timeout: float = 2.0
) -> bool:
    """Removes a VM's pin to a fabric domain; returns True once it is surely not pinned there.

    Only the holder of that domain's table may call this, and only for a VM that its confirmed table
    does not name.
    """
    found = await store.get(key_of(vm_id), timeout=timeout)
    if isinstance(found, objects.Missing):
        return True
    if isinstance(found, objects.Unavailable):
        return False
    if not isinstance(_decode(found, fabric_domain), Pin):
        return True
    gone = await store.delete(key_of(vm_id), version=found.version, timeout=timeout)
    return isinstance(gone, objects.Written)


def _decode(stored: objects.Stored, fabric_domain: str) -> Pin | PinnedElsewhere | PinUnknown:
    try:
        found = codec.from_json(stored.value, Pin)
    except ValueError as error:
        return PinUnknown(reason=f"{stored.key}: {error}")
    if found.fabric_domain == fabric_domain:
        return found
    return PinnedElsewhere(
        reason=f"{found.vm_id} is pinned to {found.fabric_domain}",
        fabric_domain=found.fabric_domain,
    )
