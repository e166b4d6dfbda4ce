"""A circuit breaker for the ledger's store calls, so that an outage costs no caller a timeout.

A claim that the store does not confirm is refused. Without the gate each refusal would come only
after the timeout of a store call, and waiting requests would accumulate during the outage.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from basilpost.core import clock

# A store call that takes longer counts as a sign of an outage.
SLOW_SECONDS = 0.5
# Time between two probes while the gate is closed.
PROBE_SECONDS = 0.25


class StoreGate:
    """Closes after a failed store call until a call or a probe succeeds."""

    def __init__(self, *, probe: Callable[[], Awaitable[bool]]) -> None:
        self._probe = probe
        self._last_succeeded = True
        self._started_at_by_call: dict[int, float] = {}
        self._call_numbers = itertools.count()
        self._call_failed = asyncio.Event()

    def is_open(self) -> bool:
        """Returns True unless the last call failed or a call in flight is slow."""
        oldest = next(iter(self._started_at_by_call.values()), None)
        slow = oldest is not None and clock.monotonic() - oldest > SLOW_SECONDS
        return self._last_succeeded and not slow

    def record_start(self) -> int:
        """Records the start of a store call; returns a number for `record_end`."""
        number = next(self._call_numbers)
        self._started_at_by_call[number] = clock.monotonic()
        return number

    def record_end(self, number: int, *, answered: bool | None) -> None:
        """Records the end of a store call.

        Args:
            number: What `record_start` returned.
            answered: Whether the store answered; None for a lost answer or a cancelled call, which
                tells nothing about the store.
        """
        self._started_at_by_call.pop(number, None)
        if answered is False:
            self._last_succeeded = False
            self._call_failed.set()
        elif answered:
            self._last_succeeded = True

    async def run(self) -> None:
        """Probes the store while the gate is closed; runs until cancelled."""
        while True:
            await self._call_failed.wait()
            self._call_failed.clear()
            while not self._last_succeeded:
                await asyncio.sleep(PROBE_SECONDS)
                await self._run_probe()

    async def _run_probe(self) -> None:
        started_at = clock.monotonic()
        answered = await self._probe()
        self._last_succeeded = answered and clock.monotonic() - started_at <= SLOW_SECONDS
