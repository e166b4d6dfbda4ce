"""Bounds the bytes of request bodies that a node holds together.

A body is held from its first byte until its request is answered, because the request may be sent once
more. While there is no room for a body it is not read, so that its bytes stay with the caller; a
request whose body gets no room in time is refused and has not run.
"""

import asyncio
import dataclasses
import heapq
import itertools
from collections.abc import Awaitable, Callable

from basilpost.core import failure

# Bodies up to this size do not wait behind large ones, and may exceed the bound by a share of it.
SMALL_BODY_BYTES = 65_536
SMALL_BODY_EXCESS = 0.25
# Share of the memory of a node for bodies. Requests with large bodies keep slots of targets busy while they
# are sent, so that few should be under way at once.
MEMORY_SHARE = 0.15
BYTES_PER_MB = 1_000_000
# Share of a request's time budget for which its body may wait for room, and the longest wait. Callers
# give up on a request that is not read within a second.
WAIT_SHARE = 0.25
MAX_WAIT_SECONDS = 0.9
# Shortest time after which a refused caller may return.
MIN_RETRY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class WaitTerms:
    """How the body of one request may wait for room.

    Attributes:
        priority: Rank of the request, 0 is first.
        wait_seconds: Longest time for which its body may wait for room.
    """

    priority: int
    wait_seconds: float


@dataclasses.dataclass(order=True, kw_only=True)
class _Waiter:
    priority: int
    size: int
    number: int
    room: "asyncio.Future[None]" = dataclasses.field(compare=False)


class BodyMemory:
    """Counts the bytes of bodies of one node, and lets further ones in by priority and size.

    Attributes:
        held: Bytes of bodies that are held, or for which room is kept.
        max_bytes: Bound on these, which small bodies may exceed by a share.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.held = 0
        self.max_bytes = max_bytes
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()

    def take(self, size: int) -> bool:
        """Takes room for some bytes; returns False if there is none or others wait for it.

        There is always room for one body when nothing is held.
        """
        if size <= SMALL_BODY_BYTES:
            has_room = self.held + size <= self.max_bytes * (1.0 + SMALL_BODY_EXCESS)
        else:
            has_room = not self._waiting() and self._fits(size)
        self.held += size if has_room else 0
        return has_room

    async def wait(self, size: int, terms: WaitTerms) -> bool:
        """Waits for room for some bytes and takes it; returns False if there is none in time."""
        room: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(priority=terms.priority, size=size, number=next(self._numbers), room=room)
        heapq.heappush(self._waiters, waiter)
        try:
            async with asyncio.timeout(terms.wait_seconds):
                await asyncio.shield(room)
        except TimeoutError:
            if room.done():
                return True
            room.cancel()
            self._admit_waiters()
            return False
        except asyncio.CancelledError:
            if room.done():
                self.release(size)
            room.cancel()
            raise
        return True

    def release(self, size: int) -> None:
        """Gives room back."""
        self.held -= size
        self._admit_waiters()

    def _fits(self, size: int) -> bool:
        return not self.held or self.held + size <= self.max_bytes

    def _waiting(self) -> bool:
        while self._waiters and self._waiters[0].room.done():
            heapq.heappop(self._waiters)
        return bool(self._waiters)

    def _admit_waiters(self) -> None:
        while self._waiting() and self._fits(self._waiters[0].size):
            waiter = heapq.heappop(self._waiters)
            self.held += waiter.size
            waiter.room.set_result(None)


class Body:
    """The body of one request while it arrives.

    Args:
        memory: Counts the bodies of the node.
        max_bytes: Largest body that is taken.
        terms: Returns how the body may wait for room; called only if it has to.
        excess: Refusal of a larger body; by default it tells that the operators allow none.

    Attributes:
        refusal: Why the request is refused, None unless it is. Its body is then read and discarded, so
            that the caller reads the refusal.
    """

    def __init__(
        self,
        *,
        memory: BodyMemory,
        max_bytes: int,
        terms: Callable[[], WaitTerms],
        excess: failure.Refusal | None = None,
    ) -> None:
        self.refusal: failure.Refusal | None = None
        self._memory = memory
        self._max_bytes = max_bytes
        self._excess = excess or too_large(max_bytes)
        self._terms = terms
        self._pieces: list[bytes] = []
        # A large body of known length is assembled in place: thousands of freed pieces would leave the
        # memory of the process fragmented.
        self._buffer: bytearray | None = None
        self._length = 0
        self._size = 0
        self._taken = 0

    def begin(self, length: int) -> Awaitable[None] | None:
        """Takes room for a body of a known length, 0 if it is not known; waits if there is none."""
        if length > self._max_bytes:
            self.refusal = self._excess
            return None
        self._length = length
        return self._take(length)

    def add(self, piece: bytes) -> Awaitable[None] | None:
        """Adds a piece; no further one is read before what it returns is done."""
        begin, self._size = self._size, self._size + len(piece)
        if self.refusal is None and self._size > self._max_bytes:
            self._refuse(self._excess)
        if self.refusal is not None:
            return None
        if self._buffer is None and self._length > SMALL_BODY_BYTES:
            self._buffer = bytearray(self._length)
        if self._buffer is not None:
            self._buffer[begin : self._size] = piece
            return None
        self._pieces.append(piece)
        return self._take(self._next_room()) if self._size > self._taken else None

    def join(self) -> bytes | bytearray:
        """Returns the whole body, for which room is kept until `release` is called."""
        if self._taken > self._size:
            surplus, self._taken = self._taken - self._size, self._size
            self._memory.release(surplus)
        if self._buffer is not None:
            return self._buffer
        body = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        self._pieces.clear()
        return body

    def release(self) -> None:
        """Gives the room of the body back."""
        taken, self._taken = self._taken, 0
        self._pieces.clear()
        self._buffer = None
        if taken:
            self._memory.release(taken)

    def _next_room(self) -> int:
        """Returns the room to take for a body of unknown length.

        One that is not small takes at once what it may need. Bodies that hold a part of it and wait for
        the rest would wait for each other.
        """
        missing = self._size - self._taken
        if self._size <= SMALL_BODY_BYTES:
            return missing
        return max(missing, min(self._max_bytes, self._memory.max_bytes // 2) - self._taken)

    def _take(self, size: int) -> Awaitable[None] | None:
        if not size:
            return None
        if self._memory.take(size):
            self._taken += size
            return None
        return self._wait(size)

    async def _wait(self, size: int) -> None:
        terms = self._terms()
        if await self._memory.wait(size, terms):
            self._taken += size
        else:
            self._refuse(no_room(terms.wait_seconds))

    def _refuse(self, refusal: failure.Refusal) -> None:
        self.refusal = refusal
        self.release()


def too_large(max_bytes: int) -> failure.Refusal:
    """Returns the refusal of a body above the operators' limit."""
    return failure.Refusal(
        reason=f"the body is larger than {max_bytes} bytes", code="body_too_large", status=413
    )


def no_room(waited_seconds: float) -> failure.Refusal:
    """Returns the refusal of a request whose body got no room in time."""
    return failure.Refusal(
        reason=f"no room for the body within {waited_seconds:.2f} s",
        code="memory_full",
        status=503,
        retry_after=max(MIN_RETRY_SECONDS, waited_seconds),
    )
