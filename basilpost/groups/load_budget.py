"""Limits the rate of weight loads that a node starts, since nodes share the weight store."""

from basilpost.core import clock


class LoadBudget:
    """A token bucket; each token allows one load of weights."""

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def set_rate(self, *, rate: float, burst: float) -> None:
        """Changes rate (loads a second) and burst; drops tokens above the new burst."""
        self._refill()
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = min(self._tokens, self._burst)

    def try_acquire(self) -> bool:
        """Takes one token; returns False if no load may start now."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now = clock.monotonic()
        if self._refilled_at is not None:
            added = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now
