"""Limits how fast operators' requests are taken, so that a runaway script cannot harm a node."""

import asyncio
import dataclasses

from basilpost.core import clock, failure

REQUESTS_PER_SECOND = 100.0
REQUESTS_BURST = 300.0
REJECTED_TOKENS_PER_SECOND = 5.0
REJECTED_TOKENS_BURST = 20.0
MAX_BODY_BYTES = 128_000
# A body up to this size is read, so that its sender can be told that it is too large.
MAX_READ_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_000
BODY_SECONDS = 10.0
IDLE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooFast(failure.Failure):
    """The limit is used up.

    Attributes:
        retry_after: Seconds after which another try makes sense.
    """

    retry_after: float


class Bucket:
    """A token bucket on the event loop's clock."""

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at: float | None = None

    def take(self) -> TooFast | None:
        """Takes one token, or tells when there will be one."""
        now = clock.monotonic()
        since = now - self._filled_at if self._filled_at is not None else 0.0
        self._filled_at = now
        self._level = min(self._burst, self._level + since * self._rate)
        if self._level < 1:
            wait = (1 - self._level) / self._rate
            return TooFast(reason="too many requests to this node", retry_after=wait)
        self._level -= 1
        return None


class InFlight:
    """Counts the requests that are being worked on, so that a planned stop can wait for them."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def enter(self) -> None:
        """Counts a request that begins."""
        self._count += 1
        self._idle.clear()

    def leave(self) -> None:
        """Counts a request that has ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self, timeout: float) -> None:
        """Waits until no request is left, at most `timeout` seconds."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout)
        except TimeoutError:
            pass
