"""How long the latest requests of each route took.

A node that stops takes a request only if it will probably have been answered when the node ends. The
deadline is an upper bound that few requests reach, so requests like it are a better estimate. Those that
still run count with the time that they have taken so far: the longest ones are among them.
"""

import collections
import dataclasses
import math

from basilpost.core import clock

# Answered requests of a route that are remembered.
REMEMBERED_REQUESTS = 200
# Below this number of requests an estimate would be exceeded too often.
MIN_REQUESTS = 20
# Share of the requests that took no longer than the estimate.
QUANTILE = 0.99
# Routes that are remembered; those of old configurations make room first.
MAX_ROUTES = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Running:
    """A request that is not answered yet, and when it began on `clock.elapsed`."""

    route: str
    began_at: float


class RecentDurations:
    """Times that requests of this node took, from the head of the request to the answer's end."""

    def __init__(self) -> None:
        self._seconds_by_route: dict[str, collections.deque[float]] = {}
        self._running: set[Running] = set()

    def begin(self, route: str, *, began_at: float) -> Running:
        """Records that a request has begun."""
        running = Running(route=route, began_at=began_at)
        self._running.add(running)
        return running

    def end(self, running: Running, *, answered: bool) -> None:
        """Records that a request has ended; only those with an answer are remembered."""
        self._running.discard(running)
        if not answered:
            return
        known = self._seconds_by_route.pop(running.route, None)
        if known is None:
            known = collections.deque(maxlen=REMEMBERED_REQUESTS)
            if len(self._seconds_by_route) >= MAX_ROUTES:
                del self._seconds_by_route[next(iter(self._seconds_by_route))]
        known.append(clock.elapsed() - running.began_at)
        # The last key is the route that was used last.
        self._seconds_by_route[running.route] = known

    def estimate(self, route: str) -> float:
        """Returns the seconds that nearly all requests of a route take, infinity if too few are known."""
        now = clock.elapsed()
        running = (now - one.began_at for one in self._running if one.route == route)
        known = sorted((*self._seconds_by_route.get(route, ()), *running))
        return (
            known[math.ceil(len(known) * QUANTILE) - 1] if len(known) >= MIN_REQUESTS else math.inf
        )
