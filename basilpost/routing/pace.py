"""How fast a service works off requests on this node, as seen from the slots it held.

By Little's law a saturated service finishes as many requests a second as are in flight, divided by
the mean time that each takes.
"""

from basilpost.core import clock

GAIN = 1 / 16
DEVIATION_GAIN = 1 / 8
SPREAD = 2.0
MIN_HOLD_SECONDS = 0.001


class Pace:
    """Smoothed mean and deviation of the time that a request holds its slot."""

    __slots__ = ("in_flight", "mean", "deviation")

    def __init__(self) -> None:
        self.in_flight = 0
        self.mean = 0.0
        self.deviation = 0.0

    def started(self) -> float:
        """Notes a slot taken and returns the time of it."""
        self.in_flight += 1
        return clock.monotonic()

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
        """Returns the requests that end in a second at the present concurrency."""
        return max(1, self.in_flight) / max(MIN_HOLD_SECONDS, self.mean)

    @property
    def expected(self) -> float:
        """Returns a time within which nearly all requests end."""
        return self.mean + SPREAD * self.deviation
