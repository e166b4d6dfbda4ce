"""Follows one prefix of the object store, and records how current that makes the replica.

Times count from before a call was sent: whatever the answer shows was true then or later. They are
read from the clock that the owner names, as freshness must count the time of a suspended machine.
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from basilpost.core import clock, failure
from basilpost.store import objects

A = TypeVar("A")

ANSWER_SECONDS = 1.0
LIST_SECONDS = 3.0
RETRY_SECONDS = 0.5
MIN_GAP_SECONDS = 0.05
# Doublings of the delay between failed calls are counted up to here.
MAX_DOUBLINGS = 8

# Waits until the next call is due, after an answer or (`hold`) before any call; True if that call is
# to list instead of watching.
Pause = Callable[[], Awaitable[bool]]
TakeListing = Callable[[str, objects.Listing], None]
TakeChange = Callable[[objects.Change], None]
# Called with the prefix and the reason of each call that did not make the replica current.
Failed = Callable[[str, failure.Failure], None]


class Follower:
    """Keeps up with the objects below one prefix.

    Attributes:
        prefix: What is followed.
        current_at: The replica lacks no change below the prefix that was made before this time.
        answered_at: When the store last answered.
    """

    def __init__(
        self,
        *,
        store: objects.ObjectStore,
        prefix: str,
        wait: Callable[[], float],
        pause: Pause,
        hold: Pause | None = None,
        take_listing: TakeListing,
        take_change: TakeChange,
        now: Callable[[], float] = clock.monotonic,
        retry: float = RETRY_SECONDS,
        longest_retry: float = RETRY_SECONDS,
        failed: Failed | None = None,
    ) -> None:
        self.prefix = prefix
        self.current_at = -math.inf
        self.answered_at = -math.inf
        self._store = store
        self._wait = wait
        self._pause = pause
        self._hold = hold or _go_on
        self._take_listing = take_listing
        self._take_change = take_change
        self._now = now
        self._retry = retry
        self._longest_retry = longest_retry
        self._failed = failed or (lambda prefix, why: None)
        self._failures = 0
        self._revision: int | None = None

    async def run(self) -> None:
        """Lists once, then watches; lists again when the watch has expired."""
        while True:
            if await self._hold():
                self._revision = None
            sent_at = self._now()
            if await self._step():
                self.current_at = sent_at
                self.answered_at = self._now()
                self._failures = 0
                if await self._pause():
                    self._revision = None
            else:
                delay = min(self._retry * 2**self._failures, self._longest_retry)
                self._failures = min(self._failures + 1, MAX_DOUBLINGS)
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))

    async def _step(self) -> bool:
        """Makes one call; returns True if the replica is current as of when it was sent."""
        if self._revision is None:
            return await self._list()
        wait = self._wait()
        found = await _bounded(
            self._store.watch(self.prefix, revision=self._revision, wait=wait),
            wait + ANSWER_SECONDS,
        )
        match found:
            case objects.Changes():
                for change in found.changes:
                    self._take_change(change)
                self._revision = max(self._revision, found.revision)
                return True
            case objects.Expired():
                self._revision = None
        self._failed(self.prefix, found)
        return False

    async def _list(self) -> bool:
        found = await _bounded(
            self._store.list(self.prefix, timeout=LIST_SECONDS), LIST_SECONDS + ANSWER_SECONDS
        )
        if not isinstance(found, objects.Listing):
            self._failed(self.prefix, found)
            return False
        self._take_listing(self.prefix, found)
        self._revision = found.revision
        return True


async def _go_on() -> bool:
    return False


async def _bounded(call: Coroutine[Any, Any, A], seconds: float) -> A | objects.Unavailable:
    """Gives up a call that went silent, whatever the store's client does about it."""
    try:
        async with asyncio.timeout(seconds):
            return await call
    except TimeoutError:
        return objects.Unavailable(reason=f"the store went silent for {seconds} s")
