"""The pins that one fabric domain's controller holds on VMs; see `pins`."""

import asyncio
from collections.abc import Iterable

import structlog

from basilpost.core import clock
from basilpost.groups import pins
from basilpost.store import objects

# For this long a VM that was found pinned to another domain is not used here.
_EXCLUSION_SECONDS = 10.0
_UNLISTED_SECONDS = 60.0
_MAX_CONCURRENT_PINS = 8


class DomainPins:
    """Pins VMs before the table names them, and releases those that have left the domain."""

    def __init__(self, *, store: objects.ObjectStore, fabric_domain: str) -> None:
        self._store = store
        self._fabric_domain = fabric_domain
        self._log = structlog.get_logger().bind(fabric_domain=fabric_domain)
        self._excluded_until_by_vm: dict[str, float] = {}
        self._unlisted_since_by_vm: dict[str, float] = {}
        self._pinned: set[str] | None = None

    def pinned_elsewhere(self) -> set[str]:
        """Returns the ids of VMs that were found pinned to another domain a short time ago."""
        now = clock.monotonic()
        return {vm_id for vm_id, until in self._excluded_until_by_vm.items() if until > now}

    def reset(self) -> None:
        """Clears the known pins, since the domain has another holder now."""
        self._pinned = None
        self._unlisted_since_by_vm.clear()

    async def pin(self, vm_ids: Iterable[str]) -> bool:
        """Pins VMs to this domain; returns True if all of them are pinned to it now."""
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_PINS)

        async def pin_one(vm_id: str) -> pins.Pin | pins.PinnedElsewhere | pins.PinUnknown:
            async with semaphore:
                return await pins.pin(self._store, vm_id, self._fabric_domain)

        wanted = sorted(vm_ids)
        results = await asyncio.gather(*(pin_one(vm_id) for vm_id in wanted))
        until = clock.monotonic() + _EXCLUSION_SECONDS
        for vm_id, result in zip(wanted, results, strict=True):
            if isinstance(result, pins.PinnedElsewhere):
                self._log.warning("vm_pinned_elsewhere", vm=vm_id, reason=result.reason)
                self._excluded_until_by_vm[vm_id] = until
            elif self._pinned is not None:
                self._pinned.add(vm_id)
        return all(isinstance(result, pins.Pin) for result in results)

    async def release_unlisted(self, *, members: set[str], listed: set[str]) -> None:
        """Releases VMs that the VM list has not shown in this domain for `_UNLISTED_SECONDS`.

        Only the holder may call this, with the members of its confirmed table, once that table is
        in force on all nodes and no earlier holder's order can still be in flight.
        """
        if self._pinned is None:
            pinned = await pins.pinned_to(self._store, self._fabric_domain)
            if isinstance(pinned, pins.PinUnknown):
                return
            self._pinned = set(pinned)
        unlisted = self._pinned - members - listed
        now = clock.monotonic()
        self._unlisted_since_by_vm = {
            vm_id: self._unlisted_since_by_vm.get(vm_id, now) for vm_id in unlisted
        }
        for vm_id, since in sorted(self._unlisted_since_by_vm.items()):
            if now - since < _UNLISTED_SECONDS:
                continue
            if await pins.release(self._store, vm_id, self._fabric_domain):
                self._pinned.discard(vm_id)
                self._log.info("vm_released", vm=vm_id)
