"""Gives readers of many connections turns, so that each pass of the event loop takes a bounded time.

What a connection has ready is parsed without a pause. With many connections one pass of the event loop
would take seconds, in which nothing else runs.
"""

import asyncio
import collections

# Reads that are served in one pass of the event loop.
READS_PER_PASS = 256
# Reads of one turn of a reader that had to wait.
READS_PER_TURN = 32


class Turns:
    """The reads of one pass of the event loop, which go round among the readers that wait."""

    def __init__(self) -> None:
        self._left = READS_PER_PASS
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self._is_scheduled = False

    def take(self) -> bool:
        """Takes one read; returns False if the reader has to wait for its turn."""
        if self._waiters or not self._left:
            return False
        self._left -= 1
        self._schedule()
        return True

    async def wait(self) -> int:
        """Waits for a turn; returns the number of its reads."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(turn)
        self._schedule()
        await turn
        return READS_PER_TURN

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_pass)

    def _begin_pass(self) -> None:
        self._is_scheduled = False
        self._left = READS_PER_PASS
        while self._waiters and self._left >= READS_PER_TURN:
            turn = self._waiters.popleft()
            if not turn.done():
                turn.set_result(None)
                self._left -= READS_PER_TURN
        if self._waiters:
            self._schedule()
