"""A bounded weighted fair queue by workspace.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each workspace has a line of its own, and
the line with the smallest virtual start time is served next. A priority multiplies the weight, so
that a low one gets less, but is never starved.
"""

import asyncio
import collections
import dataclasses
import heapq
import itertools
from collections.abc import Iterator

from basilpost.core import failure
from basilpost.routing import interfaces

PRIORITY_FACTOR = 4.0
DEFAULT_PRIORITY = 1

Result = interfaces.Choice | failure.Refusal


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Waiter:
    """A request that waits for a slot."""

    request: interfaces.Request
    exclude: frozenset[str]
    weight: float
    result: asyncio.Future[Result]
    enqueued_at: float
    timer: asyncio.TimerHandle | None = None

    def resolve(self, result: Result) -> None:
        """Ends the wait."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.result.done():
            self.result.set_result(result)


@dataclasses.dataclass(kw_only=True)
class Line:
    """The waiting requests of one workspace."""

    workspace: str
    weight: float
    start: float = 0.0
    waiters: collections.deque[Waiter] = dataclasses.field(default_factory=collections.deque)


def effective_weight(weight: float, priority: int) -> float:
    """Returns the share of a workspace after its priority, relative to the others'."""
    return max(weight, 0.001) * PRIORITY_FACTOR ** (DEFAULT_PRIORITY - priority)


class FairQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        self._lines_by_workspace: dict[str, Line] = {}
        self._order: list[tuple[float, int, Line]] = []
        self._sequence = itertools.count()
        self._virtual = 0.0
        self._active_weight = 0.0
        self._length = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Adds a request at the end of its workspace's line."""
        line = self._line(waiter.request.workspace, waiter.weight)
        if not line.waiters:
            line.start = max(self._virtual, line.start)
            line.weight = waiter.weight
            self._active_weight += line.weight
            heapq.heappush(self._order, (line.start, next(self._sequence), line))
        line.waiters.append(waiter)
        self._length += 1

    def head(self) -> Waiter | None:
        """Returns the request to serve next."""
        while self._order and not self._order[0][2].waiters:
            heapq.heappop(self._order)
        return self._order[0][2].waiters[0] if self._order else None

    def serve(self) -> Waiter:
        """Removes the request to serve next and moves the virtual time on."""
        start, _, line = heapq.heappop(self._order)
        waiter = line.waiters.popleft()
        self._length -= 1
        self._virtual = max(self._virtual, start)
        line.start = start + 1.0 / line.weight
        if line.waiters:
            heapq.heappush(self._order, (line.start, next(self._sequence), line))
        else:
            self._active_weight -= line.weight
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Removes a request that gave up; returns False if it does not wait any more."""
        line = self._lines_by_workspace.get(waiter.request.workspace)
        if line is None or waiter not in line.waiters:
            return False
        line.waiters.remove(waiter)
        self._length -= 1
        if not line.waiters:
            self._active_weight -= line.weight
            self._order = [one for one in self._order if one[2] is not line]
            heapq.heapify(self._order)
        return True

    def longest_line(self) -> Line | None:
        """Returns the line with the most waiting requests for its weight."""
        active = (line for line in self._lines_by_workspace.values() if line.waiters)
        return max(active, key=lambda line: len(line.waiters) / line.weight, default=None)

    def fair_share(self, workspace: str, weight: float, limit: int) -> float:
        """Returns the places of a queue of `limit` that a workspace may count on."""
        return limit * weight / self._weight_with(workspace, weight)

    def backlog(self, workspace: str) -> int:
        """Returns the waiting requests of a workspace."""
        line = self._lines_by_workspace.get(workspace)
        return len(line.waiters) if line else 0

    def wait_for(self, workspace: str, weight: float, rate: float) -> float:
        """Estimates how long a request that comes now would wait at a service rate."""
        share = weight / self._weight_with(workspace, weight)
        own = (self.backlog(workspace) + 1) / (rate * share)
        return min(own, (self._length + 1) / rate)

    def waiters(self) -> Iterator[Waiter]:
        """Iterates over all waiting requests, in no order that matters."""
        lines = list(self._lines_by_workspace.values())
        return itertools.chain.from_iterable(list(line.waiters) for line in lines)

    def _line(self, workspace: str, weight: float) -> Line:
        line = self._lines_by_workspace.get(workspace)
        if line is None:
            line = Line(workspace=workspace, weight=weight)
            self._lines_by_workspace[workspace] = line
        return line

    def _weight_with(self, workspace: str, weight: float) -> float:
        """Returns the weight of all active lines, counting this workspace as active."""
        return self._active_weight + (0.0 if self.backlog(workspace) else weight)
