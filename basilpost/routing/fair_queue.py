"""A weighted fair queue of the requests for one service.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each workspace has a flow of its own, and the
flow with the smallest virtual start time is served next. The priority of a workspace multiplies its
weight, so a workspace of low priority gets a smaller share but never starves.
"""

import asyncio
import collections
import dataclasses
import heapq
import itertools
from collections.abc import Iterator

from basilpost.core import failure
from basilpost.routing import interfaces

# Ratio of the weights of two adjacent priorities; a lower number is a higher priority.
PRIORITY_FACTOR = 4.0
DEFAULT_PRIORITY = 1

Result = interfaces.Choice | failure.Refusal


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Waiter:
    """A request that waits for a slot.

    Attributes:
        request: The waiting request.
        exclude: Ids of the groups that have failed it.
        weight: Effective weight of its workspace.
        result: Completes with its slot or its refusal.
        enqueued_at: Event loop's time at which it joined the queue.
        timer: Ends the wait without a slot.
    """

    request: interfaces.Request
    exclude: frozenset[str]
    weight: float
    result: asyncio.Future[Result]
    enqueued_at: float
    timer: asyncio.TimerHandle | None = None

    def resolve(self, result: Result) -> None:
        """Cancels the timer and completes the result, unless the caller went away."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.result.done():
            self.result.set_result(result)


@dataclasses.dataclass(kw_only=True)
class Flow:
    """The waiting requests of one workspace, in order of arrival.

    Attributes:
        workspace: Name of the workspace.
        weight: Its effective weight.
        virtual_start: Virtual time at which its first waiting request starts.
        waiters: The requests, the one that arrived first at the front.
    """

    workspace: str
    weight: float
    virtual_start: float = 0.0
    waiters: collections.deque[Waiter] = dataclasses.field(default_factory=collections.deque)


def effective_weight(weight: float, priority: int) -> float:
    """Returns a workspace's weight multiplied by the factor of its priority."""
    return max(weight, 0.001) * PRIORITY_FACTOR ** (DEFAULT_PRIORITY - priority)


class FairQueue:
    """The waiting requests of one service; its length is their number."""

    def __init__(self) -> None:
        self._flows_by_workspace: dict[str, Flow] = {}
        self._order: list[tuple[float, int, Flow]] = []
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._active_weight = 0.0
        self._length = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Adds a request at the end of its workspace's flow."""
        flow = self._flow(waiter.request.workspace, waiter.weight)
        if not flow.waiters:
            flow.virtual_start = max(self._virtual_time, flow.virtual_start)
            flow.weight = waiter.weight
            self._active_weight += flow.weight
            heapq.heappush(self._order, (flow.virtual_start, next(self._sequence), flow))
        flow.waiters.append(waiter)
        self._length += 1

    def head(self) -> Waiter | None:
        """Returns the request to serve next, None if no request waits."""
        while self._order and not self._order[0][2].waiters:
            heapq.heappop(self._order)
        return self._order[0][2].waiters[0] if self._order else None

    def pop_head(self) -> Waiter:
        """Removes and returns the request to serve next, and advances the virtual time."""
        start, _, flow = heapq.heappop(self._order)
        waiter = flow.waiters.popleft()
        self._length -= 1
        self._virtual_time = max(self._virtual_time, start)
        flow.virtual_start = start + 1.0 / flow.weight
        if flow.waiters:
            heapq.heappush(self._order, (flow.virtual_start, next(self._sequence), flow))
        else:
            self._active_weight -= flow.weight
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Removes a request that gave up; returns False if it does not wait any more."""
        flow = self._flows_by_workspace.get(waiter.request.workspace)
        if flow is None or waiter not in flow.waiters:
            return False
        flow.waiters.remove(waiter)
        self._length -= 1
        if not flow.waiters:
            self._active_weight -= flow.weight
            self._order = [entry for entry in self._order if entry[2] is not flow]
            heapq.heapify(self._order)
        return True

    def longest_flow(self) -> Flow | None:
        """Returns the flow with the most waiting requests relative to its weight."""
        active = (flow for flow in self._flows_by_workspace.values() if flow.waiters)
        return max(active, key=lambda flow: len(flow.waiters) / flow.weight, default=None)

    def fair_share(self, workspace: str, weight: float, limit: int) -> float:
        """Returns how many of `limit` places in the queue are a workspace's by its weight."""
        return limit * weight / self._weight_with(workspace, weight)

    def backlog(self, workspace: str) -> int:
        """Returns the number of a workspace's waiting requests."""
        flow = self._flows_by_workspace.get(workspace)
        return len(flow.waiters) if flow else 0

    def estimate_wait(self, workspace: str, weight: float, rate: float) -> float:
        """Returns the seconds that a new request would wait.

        Args:
            workspace: Workspace of the request.
            weight: Its effective weight.
            rate: Requests of the service that end per second.
        """
        share = weight / self._weight_with(workspace, weight)
        own = (self.backlog(workspace) + 1) / (rate * share)
        return min(own, (self._length + 1) / rate)

    def waiters(self) -> Iterator[Waiter]:
        """Iterates over all waiting requests, workspace by workspace."""
        flows = list(self._flows_by_workspace.values())
        return itertools.chain.from_iterable(list(flow.waiters) for flow in flows)

    def _flow(self, workspace: str, weight: float) -> Flow:
        flow = self._flows_by_workspace.get(workspace)
        if flow is None:
            flow = Flow(workspace=workspace, weight=weight)
            self._flows_by_workspace[workspace] = flow
        return flow

    def _weight_with(self, workspace: str, weight: float) -> float:
        """Returns the weight of all flows with requests, and of this workspace in any case."""
        return self._active_weight + (0.0 if self.backlog(workspace) else weight)
