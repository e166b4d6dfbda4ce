"""Follows one prefix of the object store, and records how current that makes the replica.

Times are taken before a call is sent, as its answer shows the store's state at that time or later.
The owner chooses the clock, as some owners need one that also counts the time of a suspended
machine.
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from basilpost.core import clock, failure
from basilpost.store import objects

A = TypeVar("A")

# Time allowed for an answer beyond the wait of a watch or the timeout of a list.
ANSWER_SECONDS = 1.0
LIST_SECONDS = 3.0
RETRY_SECONDS = 0.5
MIN_GAP_SECONDS = 0.05
# The delay between failed calls is doubled at most this many times.
MAX_DOUBLINGS = 8

# Waits until the next call is due; returns True if that call is to list instead of watching.
WaitUntilDue = Callable[[], Awaitable[bool]]
# Takes the prefix and its listing.
OnListing = Callable[[str, objects.Listing], None]
OnChange = Callable[[objects.Change], None]
# Takes the prefix and the failure of a call that did not make the replica current.
OnFailure = Callable[[str, failure.Failure], None]


class Follower:
    """Lists the objects below one prefix of the store and then watches them.

    Attributes:
        prefix: The followed prefix.
        current_at: The replica lacks no change below the prefix that was made before this time.
        answered_at: When the store last answered.
    """

    def __init__(
        self,
        *,
        store: objects.ObjectStore,
        prefix: str,
        wait: Callable[[], float],
        after_answer: WaitUntilDue,
        before_call: WaitUntilDue | None = None,
        on_listing: OnListing,
        on_change: OnChange,
        now: Callable[[], float] = clock.monotonic,
        retry_seconds: float = RETRY_SECONDS,
        max_retry_seconds: float = RETRY_SECONDS,
        on_failure: OnFailure | None = None,
    ) -> None:
        """Starts nothing; `run` follows the prefix.

        Args:
            store: The store to call.
            prefix: Prefix to follow.
            wait: Returns the wait of the next watch call in seconds.
            after_answer: Waits after each successful call.
            before_call: Waits before each call.
            on_listing: Called with each listing.
            on_change: Called with each change that a watch returns.
            now: Clock of `current_at` and `answered_at`.
            retry_seconds: Delay after the first failed call; it doubles with each further one.
            max_retry_seconds: Upper limit of that delay.
            on_failure: Called after each failed call.
        """
        self.prefix = prefix
        self.current_at = -math.inf
        self.answered_at = -math.inf
        self._store = store
        self._wait = wait
        self._after_answer = after_answer
        self._before_call = before_call or _continue
        self._on_listing = on_listing
        self._on_change = on_change
        self._now = now
        self._retry_seconds = retry_seconds
        self._max_retry_seconds = max_retry_seconds
        self._on_failure = on_failure or (lambda prefix, why: None)
        self._failures = 0
        self._revision: int | None = None
        self._watching: asyncio.Future[Any] | None = None

    def list_again(self) -> None:
        """Makes the next call a listing, and ends a watch that waits."""
        self._revision = None
        if self._watching is not None:
            self._watching.cancel()

    async def run(self) -> None:
        """Lists once, then watches; lists again once the store has discarded the revision."""
        while True:
            if await self._before_call():
                self._revision = None
            sent_at = self._now()
            if await self._call_safely():
                self.current_at = sent_at
                self.answered_at = self._now()
                self._failures = 0
                if await self._after_answer():
                    self._revision = None
            else:
                delay = min(self._retry_seconds * 2**self._failures, self._max_retry_seconds)
                self._failures = min(self._failures + 1, MAX_DOUBLINGS)
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))

    async def _call_safely(self) -> bool:
        """Makes one call; an answer that cannot be applied counts as failed, and all is listed again.

        Whatever another program has written to the store must not end the following.
        """
        try:
            return await self._call()
        except Exception as error:
            self._revision = None
            reason = f"{self.prefix}: the answer cannot be applied: {type(error).__name__} {error}"
            self._on_failure(self.prefix, objects.Unavailable(reason=reason))
            return False

    async def _call(self) -> bool:
        """Makes one call; returns True if the replica is current as of when it was sent."""
        if self._revision is None:
            return await self._list()
        wait = self._wait()
        revision = self._revision
        result = await _with_timeout(self._watch(revision, wait), wait + ANSWER_SECONDS)
        match result:
            case objects.Changes():
                for change in result.changes:
                    self._on_change(change)
                if self._revision is not None:
                    self._revision = max(revision, result.revision)
                return True
            case objects.Expired():
                self._revision = None
        self._on_failure(self.prefix, result)
        return False

    async def _watch(
        self, revision: int, wait: float
    ) -> objects.Changes | objects.Expired | objects.Unavailable:
        """Watches from a revision until there is an answer or `list_again` is called."""
        watching = asyncio.ensure_future(
            self._store.watch(self.prefix, revision=revision, wait=wait)
        )
        self._watching = watching
        try:
            await asyncio.wait([watching])
        finally:
            self._watching = None
            watching.cancel()
        if watching.cancelled():
            return objects.Expired(reason=f"watch {self.prefix}: the store was restored")
        return watching.result()

    async def _list(self) -> bool:
        listing = await _with_timeout(
            self._store.list(self.prefix, timeout=LIST_SECONDS), LIST_SECONDS + ANSWER_SECONDS
        )
        if not isinstance(listing, objects.Listing):
            self._on_failure(self.prefix, listing)
            return False
        self._on_listing(self.prefix, listing)
        self._revision = listing.revision
        return True


async def _continue() -> bool:
    return False


async def _with_timeout(call: Coroutine[Any, Any, A], seconds: float) -> A | objects.Unavailable:
    """Cancels a call that gets no answer, in case the store's client does not time out itself."""
    try:
        async with asyncio.timeout(seconds):
            return await call
    except TimeoutError:
        return objects.Unavailable(reason=f"the store did not answer within {seconds} s")
