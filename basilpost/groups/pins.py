"""Pins each VM to one fabric domain, by an object in the store.

A VM list that lags or is wrong can show the same VM in one fabric domain to one controller and in
another domain to a second controller. Their tables are two objects, which no single update covers.
Therefore a VM is pinned to a fabric domain by an object of its own before any table may name it,
and the first creation wins. Only the holder of that domain's table releases the pin, once the table
no longer names the VM.
"""

import dataclasses
import uuid

from basilpost.core import codec, failure, names
from basilpost.store import objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pin:
    """The stored pin of a VM to the only fabric domain whose table may name it.

    Attributes:
        vm_id: The VM.
        fabric_domain: Its fabric domain.
        attempt_id: Unique id of the write, so that each write changes the object.
    """

    vm_id: str
    fabric_domain: str
    attempt_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PinnedElsewhere(failure.Failure):
    """The VM is pinned to another fabric domain, `fabric_domain`."""

    fabric_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PinUnknown(failure.Failure):
    """The store did not tell which domain the VM is pinned to; the VM must not be used yet."""


def key_of(vm_id: str) -> str:
    """Returns the object key of a VM's pin."""
    return names.VM_PREFIX + vm_id


async def pin(
    store: objects.ObjectStore, vm_id: str, fabric_domain: str, *, timeout: float = 2.0
) -> Pin | PinnedElsewhere | PinUnknown:
    """Pins a VM to a fabric domain, or returns which other domain it is pinned to.

    An existing pin to the domain is written again, which makes a release that is in flight fail: it
    is conditional on the old version.
    """
    wanted = Pin(vm_id=vm_id, fabric_domain=fabric_domain, attempt_id=uuid.uuid4().hex)
    value = codec.to_json(wanted)
    created = await store.create(key_of(vm_id), value, timeout=timeout)
    if isinstance(created, objects.Written):
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
    return frozenset(result.vm_id for result in decoded if isinstance(result, Pin))


async def release(
    store: objects.ObjectStore, vm_id: str, fabric_domain: str, *, timeout: float = 2.0
) -> bool:
    """Removes a VM's pin to a fabric domain; returns True if the VM is surely not pinned there now.

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
    deleted = await store.delete(key_of(vm_id), version=found.version, timeout=timeout)
    return isinstance(deleted, objects.Written)


def _decode(stored: objects.Stored, fabric_domain: str) -> Pin | PinnedElsewhere | PinUnknown:
    try:
        current = codec.from_json(stored.value, Pin)
    except ValueError as error:
        return PinUnknown(reason=f"{stored.key}: {error}")
    if current.fabric_domain == fabric_domain:
        return current
    return PinnedElsewhere(
        reason=f"{current.vm_id} is pinned to {current.fabric_domain}",
        fabric_domain=current.fabric_domain,
    )
