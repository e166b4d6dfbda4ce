"""Tells at once whether the store is worth asking, so that an outage costs no caller a timeout.

A claim that cannot be confirmed is refused. Without the gate every refusal would come only after
the store's timeout, and waiting requests would pile up for the length of the outage.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from basilpost.core import clock

SLOW_SECONDS = 0.5
PROBE_SECONDS = 0.25


class StoreGate:
    """Follows the store calls of the ledger: closed after a failure until a probe succeeds."""

    def __init__(self, *, probe: Callable[[], Awaitable[bool]]) -> None:
        self._probe = probe
        self._open = True
        self._started_at_by_call: dict[int, float] = {}
        self._numbers = itertools.count()
        self._failed = asyncio.Event()

    def passable(self) -> bool:
        """Returns True unless the last call failed or a call in flight is slow."""
        oldest = next(iter(self._started_at_by_call.values()), None)
        slow = oldest is not None and clock.monotonic() - oldest > SLOW_SECONDS
        return self._open and not slow

    def begin(self) -> int:
        """Notes the start of a store call and returns its number."""
        number = next(self._numbers)
        self._started_at_by_call[number] = clock.monotonic()
        return number

    def end(self, number: int, *, answered: bool | None) -> None:
        """Notes the end of a call; None if a lost answer says nothing about the store."""
        self._started_at_by_call.pop(number, None)
        if answered is False:
            self._open = False
            self._failed.set()
        elif answered:
            self._open = True

    async def run(self) -> None:
        """Probes the store while the gate is closed; runs until cancelled."""
        while True:
            await self._failed.wait()
            self._failed.clear()
            while not self._open:
                await asyncio.sleep(PROBE_SECONDS)
                await self._try()

    async def _try(self) -> None:
        started_at = clock.monotonic()
        answered = await self._probe()
        self._open = answered and clock.monotonic() - started_at <= SLOW_SECONDS
