"""What another writer does during a run: odd entries among those of the runners, for good or for a time."""

import asyncio
import contextlib
import random

from basilpost.emulator import odd_entries, pool_fleet
from basilpost.soak import faults

# Odd entries that are there from before the first node starts to the end.
LASTING_ENTRIES = 6


def _without_runner() -> list[odd_entries.OddEntry]:
    return [odd for odd in odd_entries.entries() if not odd.is_whole]


async def leave_lasting(
    fleet: pool_fleet.PoolFleet, stack: contextlib.AsyncExitStack, *, seed: int
) -> None:
    """Writes odd entries: some drawn ones, those of the highest epochs, and those of unknown services.

    The last ones name an address that stays silent.
    """
    server = await asyncio.start_server(_hold, odd_entries.HOST, 0)
    stack.callback(server.close)
    host, port = server.sockets[0].getsockname()
    drawn = random.Random(f"odd/{seed}").sample(_without_runner(), LASTING_ENTRIES)
    unknown = odd_entries.of_unknown_services(f"{host}:{port}")
    for odd in [*drawn, *odd_entries.of_highest_epochs(), *unknown]:
        await odd_entries.leave(fleet.store, odd)


async def leave_for_a_while(fleet: pool_fleet.PoolFleet, fault: faults.Fault) -> None:
    """Writes an odd entry for the time of a fault."""
    choices = _without_runner()
    odd = choices[fault.target_index % len(choices)]
    await odd_entries.leave(fleet.store, odd)
    await asyncio.sleep(fault.seconds)
    await fleet.store.remove(odd.key)


async def _hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads from a connection until it ends, and answers nothing."""
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            pass
    writer.close()
