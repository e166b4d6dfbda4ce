"""A node's budget of object API calls, a token bucket with priorities.

The platform limits the rate of all calls and counts a waiting watch as one; the limit grows more
slowly than the fleet. When a node's budget is short, safety calls go first. A call that could not
start before its timeout is refused at once, so that its caller learns early that nothing has taken
effect.
"""

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable
from typing import TypeVar

import prometheus_client

from basilpost.core import clock
from basilpost.store import objects

Write = objects.Written | objects.Conflict | objects.Unavailable | objects.Unknown

T = TypeVar("T")

_Waiter = tuple[int, int, asyncio.Future[None]]


class CallBudget:
    """A token bucket that serves waiters by urgency, then in the order of arrival."""

    def __init__(self, *, calls_per_second: float, burst: float) -> None:
        self._rate = calls_per_second
        self._burst = max(1.0, burst)
        self._tokens = self._burst
        self._refilled_at: float | None = None
        self._waiters: list[_Waiter] = []
        self._sequence_numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, urgency: objects.Urgency, timeout: float) -> bool:
        """Waits for one token; returns False if none is available within `timeout` seconds."""
        self._refill()
        if not self._waiters and self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        if self._expected_wait(urgency) > timeout:
            return False
        granted = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (urgency, next(self._sequence_numbers), granted))
        self._start_timer()
        try:
            await asyncio.wait_for(granted, timeout)
        except TimeoutError:
            return False
        return True

    def _expected_wait(self, urgency: objects.Urgency) -> float:
        ahead = sum(
            1 for waiting, _, granted in self._waiters if waiting <= urgency and not granted.done()
        )
        return max(0.0, ahead + 1 - self._tokens) / self._rate

    def _refill(self) -> None:
        now = clock.monotonic()
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now

    def _start_timer(self) -> None:
        if self._timer is None and self._waiters:
            wait = max(0.0, 1.0 - self._tokens) / self._rate
            self._timer = asyncio.get_running_loop().call_later(wait, self._grant)

    def _grant(self) -> None:
        self._timer = None
        self._refill()
        # The tolerance absorbs rounding of the clock, which would cost another round of the timer.
        while self._waiters and self._tokens >= 1.0 - 1e-6:
            _, _, granted = heapq.heappop(self._waiters)
            if not granted.done():
                self._tokens -= 1.0
                granted.set_result(None)
        self._start_timer()


class BudgetedStore(objects.ObjectStore):
    """Counts all calls of a node and limits them to the node's budget."""

    def __init__(
        self,
        *,
        inner: objects.ObjectStore,
        calls_per_second: float,
        burst: float,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self._inner = inner
        self._budget = CallBudget(calls_per_second=calls_per_second, burst=burst)
        self._calls = prometheus_client.Counter(
            "basilpost_store_calls",
            "Calls made to the object API, a waiting watch included.",
            ["kind"],
            registry=registry,
        )
        self._refused = prometheus_client.Counter(
            "basilpost_store_calls_refused",
            "Calls not made because the node's budget was spent.",
            ["kind", "urgency"],
            registry=registry,
        )
        self._failed = prometheus_client.Counter(
            "basilpost_store_calls_failed",
            "Calls made without a usable answer.",
            ["kind"],
            registry=registry,
        )

    async def get(
        self,
        key: str,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Stored | objects.Missing | objects.Unavailable:
        """Reads one object."""
        return await self._call_within_budget(
            "get", urgency, timeout, lambda left: self._inner.get(key, timeout=left)
        )

    async def list(
        self,
        prefix: str,
        *,
        timeout: float = 5.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> objects.Listing | objects.Unavailable:
        """Reads all objects below a prefix."""
        return await self._call_within_budget(
            "list", urgency, timeout, lambda left: self._inner.list(prefix, timeout=left)
        )

    async def create(
        self,
        key: str,
        value: bytes,
        *,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> Write:
        """Creates an object that must not exist."""
        return await self._call_within_budget(
            "create", urgency, timeout, lambda left: self._inner.create(key, value, timeout=left)
        )

    async def update(
        self,
        key: str,
        value: bytes,
        *,
        version: int,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> Write:
        """Replaces an object whose version must be `version`."""
        return await self._call_within_budget(
            "update",
            urgency,
            timeout,
            lambda left: self._inner.update(key, value, version=version, timeout=left),
        )

    async def delete(
        self,
        key: str,
        *,
        version: int,
        timeout: float = 2.0,
        urgency: objects.Urgency = objects.Urgency.NORMAL,
    ) -> Write:
        """Deletes an object whose version must be `version`."""
        return await self._call_within_budget(
            "delete",
            urgency,
            timeout,
            lambda left: self._inner.delete(key, version=version, timeout=left),
        )

    async def watch(
        self, prefix: str, *, revision: int, wait: float = 10.0
    ) -> objects.Changes | objects.Expired | objects.Unavailable:
        """Waits for changes; time spent waiting for the budget is subtracted from `wait`."""
        return await self._call_within_budget(
            "watch",
            objects.Urgency.NORMAL,
            wait,
            lambda left: self._inner.watch(prefix, revision=revision, wait=left),
        )

    async def _call_within_budget(
        self,
        kind: str,
        urgency: objects.Urgency,
        timeout: float,
        call: Callable[[float], Awaitable[T]],
    ) -> T | objects.Unavailable:
        started = clock.monotonic()
        if not await self._budget.acquire(urgency, timeout):
            self._refused.labels(kind, urgency.name.lower()).inc()
            return objects.Unavailable(reason=f"{kind}: the node's budget of calls is spent")
        self._calls.labels(kind).inc()
        answer = await call(timeout - (clock.monotonic() - started))
        if isinstance(answer, objects.Unavailable | objects.Unknown):
            self._failed.labels(kind).inc()
        return answer
