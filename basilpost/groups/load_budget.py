"""Limits how many loads of weights are started, since the weight store's rate is shared."""

from basilpost.core import clock


class LoadBudget:
    """A token bucket of loads."""

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def set_rate(self, *, rate: float, burst: float) -> None:
        """Changes rate and burst; what has been saved up stays within the new burst."""
        self._refill()
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = min(self._tokens, self._burst)

    def try_acquire(self) -> bool:
        """Spends one load; returns False if none may start now."""
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
