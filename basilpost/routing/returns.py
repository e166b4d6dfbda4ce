"""Decides when refused callers return, and who is served as one that returns.

Load pattern: a burst is refused and its callers come back together, while new ones keep arriving; and
some callers ignore Retry-After and ask again at once. Returns are spread over the time that callers
accept to wait. A caller that returns after that time finds a part of the room kept for it. One that
asks again at once counts neither as new demand nor as a return, so it gains nothing and takes nothing
from others.
"""

import enum
import random

# Callers wait for as long as Retry-After says, up to a third of the time that they have left.
ACCEPTED_WAIT_SHARE = 1.0 / 3.0
# Share of that time after which the first callers may return. A shorter pause would bring them back
# into the same overload.
FIRST_RETURN_SHARE = 0.4
# Share of its first time budget after which a repeated request is one that was told to return.
RETURNED_AFTER_SHARE = FIRST_RETURN_SHARE * ACCEPTED_WAIT_SHARE
# Budgets of first attempts differ by rounding and by the time of their way.
FIRST_ATTEMPT_SHARE = 0.02


class Arrival(enum.Enum):
    """How often the caller of a request has asked, as its time budget shows."""

    FIRST = "first"
    AT_ONCE = "at_once"
    RETURNED = "returned"


class BudgetLearner:
    """Learns the time budget of first attempts by route: the largest one that callers sent."""

    def __init__(self) -> None:
        self._largest_by_route: dict[str, float] = {}

    def classify(self, route: str, budget: float | None) -> Arrival:
        """Returns how often the caller of a request has asked; a request without a budget is new."""
        if budget is None or budget <= 0.0:
            return Arrival.FIRST
        largest = max(budget, self._largest_by_route.get(route, 0.0))
        self._largest_by_route[route] = largest
        spent = 1.0 - budget / largest
        if spent <= FIRST_ATTEMPT_SHARE:
            return Arrival.FIRST
        return Arrival.RETURNED if spent >= RETURNED_AFTER_SHARE else Arrival.AT_ONCE

    def keep(self, routes: frozenset[str]) -> None:
        """Forgets all other routes."""
        self._largest_by_route = {
            route: budget for route, budget in self._largest_by_route.items() if route in routes
        }


def retry_after(seconds_left: float, rng: random.Random) -> float:
    """Returns the seconds after which a refused caller may return, drawn anew for each caller.

    Args:
        seconds_left: Time until the caller's deadline.
        rng: Source of the draw.
    """
    longest = max(0.0, seconds_left) * ACCEPTED_WAIT_SHARE
    return rng.uniform(FIRST_RETURN_SHARE * longest, longest)
