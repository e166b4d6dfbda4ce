"""Decides when refused callers return, and who is served as one that returns.

Load pattern: a burst is refused and its callers come back together, while new ones keep arriving; and
some callers ignore Retry-After and ask again at once. Returns are spread over the time that callers
accept to wait. A caller that returns after that time finds a part of the room kept for it. One that
asks again at once meets the same decision at every node, so that asking often gains it nothing.
"""

import enum
import math
import random

import xxhash

# Callers wait for as long as Retry-After says, up to a third of the time that they have left.
ACCEPTED_WAIT_SHARE = 1.0 / 3.0
# Share of that time after which the first callers may return. A shorter pause would bring them back
# into the same overload.
FIRST_RETURN_SHARE = 0.5
# Share of the largest time budget that a caller has spent if it was told to return. Budgets of first
# attempts differ by some 15 parts in 100, so a smaller share says nothing.
RETURNED_AFTER_SHARE = FIRST_RETURN_SHARE * ACCEPTED_WAIT_SHARE
# Callers that repeat at once have given up, or returned as told, within this time.
PERIOD_SECONDS = 4.0
# Routes whose budgets are remembered. Configurations change, and some hold over a thousand routes.
MAX_ROUTES = 4096
_HASH_RANGE = 1 << 64


class Arrival(enum.Enum):
    """How often the caller of a request has asked, as its time budget shows."""

    FIRST = "first"
    RETURNED = "returned"


class BudgetLearner:
    """Learns the time budget of first attempts by route: the largest one that callers sent."""

    def __init__(self) -> None:
        self._largest_by_route: dict[str, float] = {}

    def classify(self, route: str, budget: float | None) -> Arrival:
        """Returns how often the caller of a request has asked; a request without a budget is new."""
        if budget is None or budget <= 0.0:
            return Arrival.FIRST
        if len(self._largest_by_route) >= MAX_ROUTES:
            self._largest_by_route.clear()
        largest = max(budget, self._largest_by_route.get(route, 0.0))
        self._largest_by_route[route] = largest
        spent = 1.0 - budget / largest
        return Arrival.RETURNED if spent >= RETURNED_AFTER_SHARE else Arrival.FIRST


def is_admitted(fingerprint: str, arrival: Arrival, share: float, *, period: int) -> bool:
    """Returns True for a share of the requests, and the same each time and at each node for one request.

    The decision holds for a period, so that a request which many callers send is not always refused.

    Args:
        fingerprint: Identifies requests with the same workspace, path and body.
        arrival: Whether the caller returns as it was told to; then the decision is a new one.
        share: Share of the requests to admit.
        period: Number of the period, see `period_of`.
    """
    text = f"{fingerprint} {arrival.value} {period}"
    return xxhash.xxh3_64_intdigest(text.encode()) / _HASH_RANGE < share


def period_of(wall_seconds: float) -> int:
    """Returns the number of the period that a time of day lies in; nodes' clocks agree closely enough."""
    return math.floor(wall_seconds / PERIOD_SECONDS)


def retry_after(seconds_left: float, rng: random.Random) -> float:
    """Returns the seconds after which a refused caller may return, drawn anew for each caller.

    Args:
        seconds_left: Time until the caller's deadline.
        rng: Source of the draw.
    """
    longest = max(0.0, seconds_left) * ACCEPTED_WAIT_SHARE
    return rng.uniform(FIRST_RETURN_SHARE * longest, longest)
