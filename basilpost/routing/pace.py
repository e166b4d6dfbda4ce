"""How fast a service works off requests on this node, as seen from the slots it held.

By Little's law a saturated service finishes as many requests a second as are in flight, divided by
the mean time that each takes. A service that takes nothing for a moment, such as through a change of
its controller, is not a slow one: what counts is the most that was in flight of late.
"""

from basilpost.core import clock

GAIN = 1 / 16
DEVIATION_GAIN = 1 / 8
SPREAD = 2.0
MIN_HOLD_SECONDS = 0.001
PEAK_SECONDS = 5.0


class Pace:
    """Smoothed mean and deviation of the time that a request holds its slot."""

    __slots__ = ("in_flight", "mean", "deviation", "_peak", "_earlier_peak", "_peak_since")

    def __init__(self) -> None:
        self.in_flight = 0
        self.mean = 0.0
        self.deviation = 0.0
        self._peak = 0
        self._earlier_peak = 0
        self._peak_since = float("-inf")

    def started(self) -> float:
        """Notes a slot taken and returns the time of it."""
        now = clock.monotonic()
        self.in_flight += 1
        self._turn(now)
        self._peak = max(self._peak, self.in_flight)
        return now

    def ended(self, started_at: float, *, used: bool) -> None:
        """Notes a slot given back; an unused one says nothing about the service."""
        self.in_flight -= 1
        if not used:
            return
        held = max(MIN_HOLD_SECONDS, clock.monotonic() - started_at)
        if self.mean == 0.0:
            self.mean, self.deviation = held, held / 4
            return
        error = held - self.mean
        self.mean += GAIN * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)

    @property
    def known(self) -> bool:
        """Returns True once a request has ended."""
        return self.mean > 0.0

    @property
    def rate(self) -> float:
        """Returns the requests that end in a second at the concurrency of late."""
        self._turn(clock.monotonic())
        return max(1, self._peak, self._earlier_peak) / max(MIN_HOLD_SECONDS, self.mean)

    @property
    def expected(self) -> float:
        """Returns a time within which nearly all requests end."""
        return self.mean + SPREAD * self.deviation

    def _turn(self, now: float) -> None:
        """Keeps the peaks of the present and the last span of time."""
        if now - self._peak_since < PEAK_SECONDS:
            return
        recent = now - self._peak_since < 2 * PEAK_SECONDS
        self._earlier_peak = self._peak if recent else self.in_flight
        self._peak = self.in_flight
        self._peak_since = now
