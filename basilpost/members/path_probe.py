"""Connections to a few VMs, which show whether there is a path to them.

One that opens is enough. Nothing is sent on it.
"""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterable

from basilpost.core import catalog, channels

# VMs that are connected to at once.
CHECKED_VMS = 4
CONNECT_SECONDS = 0.3
# Time in which a new connection is aborted if nothing listens behind it, as by a proxy whose server is
# gone.
ABORT_SECONDS = 0.03
# The same if there is reason to doubt the path: a busy proxy aborts later.
DOUBT_ABORT_SECONDS = 0.25
# A path that was found this short a time ago is not probed again.
FRESH_SECONDS = 0.05
# After a probe that took longer, this process was itself delayed, and its failure says nothing.
LATE_SECONDS = 2 * (CONNECT_SECONDS + DOUBT_ABORT_SECONDS)

# Opens a connection to an address within some seconds.
Connect = Callable[[str, float], Awaitable[channels.Channel | channels.ConnectFailed]]


async def opens_any(
    connect: Connect, vms: Iterable[catalog.Vm], *, abort_seconds: float
) -> catalog.Vm | None:
    """Returns the first of some VMs to which a connection opens and stays open, None if none does."""

    async def opened(vm: catalog.Vm) -> catalog.Vm | None:
        return vm if await _opens(connect, vm.address, abort_seconds) else None

    attempts = [asyncio.ensure_future(opened(vm)) for vm in vms]
    try:
        for attempt in asyncio.as_completed(attempts):
            if (vm := await attempt) is not None:
                return vm
        return None
    finally:
        for task in attempts:
            task.cancel()


async def _opens(connect: Connect, address: str, abort_seconds: float) -> bool:
    channel = await connect(address, CONNECT_SECONDS)
    if isinstance(channel, channels.ConnectFailed):
        return False
    try:
        return not await channel.closes_within(abort_seconds)
    finally:
        channel.close()


def choose_vms(vms: Iterable[catalog.Vm], *, rng: random.Random) -> list[catalog.Vm]:
    """Returns up to `CHECKED_VMS` random VMs, from as many failure domains as possible.

    VMs that are leaving are passed over unless there are no others.
    """
    known = list(vms)
    candidates = [vm for vm in known if not vm.leaving] or known
    vms_by_domain: dict[str, list[catalog.Vm]] = {}
    for vm in rng.sample(candidates, len(candidates)):
        vms_by_domain.setdefault(vm.failure_domain, []).append(vm)
    in_turn = itertools.chain.from_iterable(itertools.zip_longest(*vms_by_domain.values()))
    return [vm for vm in in_turn if vm is not None][:CHECKED_VMS]
