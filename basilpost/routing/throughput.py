"""Estimates the rate at which a service ends requests, from the slots that this node held on it.

By Little's law a saturated service ends as many requests per second as are in flight, divided by the
mean time that each takes. A service that gets no work for a moment, such as during a change of its
controller, is not slow for that reason, so the highest recent number in flight is used.
"""

from basilpost.core import clock

# Weights of a new sample in the moving averages of the mean and of the deviation.
GAIN = 1 / 16
DEVIATION_GAIN = 1 / 8
# Deviations above the mean within which nearly all requests end.
SPREAD = 2.0
MIN_HOLD_SECONDS = 0.001
# Length of the two consecutive periods whose peaks are kept.
PEAK_SECONDS = 5.0


class Throughput:
    """Moving averages of the time that a request holds its slot, and recent concurrency.

    Attributes:
        in_flight: Slots held now.
        mean_seconds: Mean time that a request holds its slot, 0 before the first has ended.
        deviation_seconds: Mean absolute deviation of that time.
    """

    __slots__ = (
        "in_flight",
        "mean_seconds",
        "deviation_seconds",
        "_peak",
        "_earlier_peak",
        "_peak_since",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.mean_seconds = 0.0
        self.deviation_seconds = 0.0
        self._peak = 0
        self._earlier_peak = 0
        self._peak_since = float("-inf")

    def record_start(self) -> float:
        """Counts a slot that was taken; returns the event loop's time."""
        now = clock.monotonic()
        self.in_flight += 1
        self._rotate_peaks(now)
        self._peak = max(self._peak, self.in_flight)
        return now

    def record_end(self, started_at: float, *, used: bool) -> None:
        """Counts a slot that was released; only the time of a used one enters the averages."""
        self.in_flight -= 1
        if not used:
            return
        held_seconds = max(MIN_HOLD_SECONDS, clock.monotonic() - started_at)
        if self.mean_seconds == 0.0:
            self.mean_seconds, self.deviation_seconds = held_seconds, held_seconds / 4
            return
        error = held_seconds - self.mean_seconds
        self.mean_seconds += GAIN * error
        self.deviation_seconds += DEVIATION_GAIN * (abs(error) - self.deviation_seconds)

    @property
    def is_known(self) -> bool:
        """Returns True once a request has ended."""
        return self.mean_seconds > 0.0

    @property
    def rate(self) -> float:
        """Returns the requests that end per second at the highest recent concurrency."""
        self._rotate_peaks(clock.monotonic())
        return max(1, self._peak, self._earlier_peak) / max(MIN_HOLD_SECONDS, self.mean_seconds)

    @property
    def expected_seconds(self) -> float:
        """Returns a time within which nearly all requests end."""
        return self.mean_seconds + SPREAD * self.deviation_seconds

    def _rotate_peaks(self, now: float) -> None:
        """Starts a new period if the current one is over; its peak becomes the earlier one."""
        if now - self._peak_since < PEAK_SECONDS:
            return
        recent = now - self._peak_since < 2 * PEAK_SECONDS
        self._earlier_peak = self._peak if recent else self.in_flight
        self._peak = self.in_flight
        self._peak_since = now
