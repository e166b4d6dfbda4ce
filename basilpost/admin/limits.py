"""Rate and size limits of the administration API, so that a runaway script cannot harm a node."""

import asyncio
import dataclasses

from basilpost.core import clock, failure

REQUESTS_PER_SECOND = 100.0
REQUESTS_BURST = 300.0
REJECTED_TOKENS_PER_SECOND = 5.0
REJECTED_TOKENS_BURST = 20.0
MAX_BODY_BYTES = 128_000
# Bodies up to this size are read, so that the sender gets an error answer.
MAX_READ_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_000
BODY_SECONDS = 10.0
HEADER_SECONDS = 10.0
IDLE_SECONDS = 60.0
# Each may hold a body of `MAX_READ_BYTES`.
MAX_CONNECTIONS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimited(failure.Failure):
    """The rate limit is exceeded.

    Attributes:
        retry_after: Seconds until the next request is admitted.
    """

    retry_after: float


class TokenBucket:
    """A token bucket with monotonic time, filled at `rate` tokens a second up to `burst`."""

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at: float | None = None

    def try_acquire(self) -> RateLimited | None:
        """Removes one token; without one, returns a failure with the time until the next."""
        now = clock.monotonic()
        elapsed = now - self._filled_at if self._filled_at is not None else 0.0
        self._filled_at = now
        self._level = min(self._burst, self._level + elapsed * self._rate)
        if self._level < 1:
            wait = (1 - self._level) / self._rate
            return RateLimited(reason="too many requests to this node", retry_after=wait)
        self._level -= 1
        return None


class InFlightCounter:
    """Counts the requests in flight, so that a planned stop can wait for them."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def enter(self) -> None:
        """Counts a request that starts."""
        self._count += 1
        self._idle.clear()

    def leave(self) -> None:
        """Counts a request that has ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self, timeout: float) -> None:
        """Waits until no request is in flight, at most `timeout` seconds."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout)
        except TimeoutError:
            pass
