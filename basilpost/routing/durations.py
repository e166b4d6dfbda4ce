"""How long the latest requests of each route took.

A node that stops takes a request only if it will probably have been answered when the node ends. The
deadline is an upper bound that few requests reach, so requests like it are a better estimate.
"""

import collections
import math

# Requests of a route that are remembered.
REMEMBERED_REQUESTS = 200
# Share of them that took no longer than the estimate.
QUANTILE = 0.99
# Routes that are remembered; those of old configurations make room first.
MAX_ROUTES = 1_000


class RecentDurations:
    """Times that answered requests of this node took, from the head of the request to the answer's end."""

    def __init__(self) -> None:
        self._seconds_by_route: dict[str, collections.deque[float]] = {}

    def record(self, route: str, seconds: float) -> None:
        """Records an answered request."""
        known = self._seconds_by_route.pop(route, None)
        if known is None:
            known = collections.deque(maxlen=REMEMBERED_REQUESTS)
            if len(self._seconds_by_route) >= MAX_ROUTES:
                del self._seconds_by_route[next(iter(self._seconds_by_route))]
        known.append(seconds)
        # The last key is the route that was used last.
        self._seconds_by_route[route] = known

    def estimate(self, route: str) -> float:
        """Returns the seconds that nearly all requests of a route took, infinity if there were none."""
        known = sorted(self._seconds_by_route.get(route, ()))
        return known[math.ceil(len(known) * QUANTILE) - 1] if known else math.inf
