"""Bounds the bytes of request bodies that a node holds together.

A body is held from its first byte until its request is answered, because the request may be sent once
more. While there is no room for a body it is not read, so that its bytes stay with the caller; a
request whose body gets no room in time is refused and has not run. While others wait, bodies that move
little for the room that they hold lose it: their requests are refused at once and have not run.
"""

import asyncio
import dataclasses
import functools
import heapq
import itertools
from collections.abc import Awaitable, Callable

from basilpost.core import failure
from basilpost.gateway import body_progress

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
# Bytes of the bound for each body that may wait while it holds a piece which is not counted. Further
# ones are refused at once.
BYTES_PER_WAITING_PIECE = 131_072
# Most that is read of the body of a refused request, as a multiple of the largest body and at least. A
# caller that has sent its body whole reads the refusal; after this it may only see a closed connection.
DISCARDED_MULTIPLE = 4
MIN_DISCARDED_BYTES = 1_048_576
# Limits of time on a body for which none are given.
DEFAULT_SECONDS = 30.0
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimeLimits:
    """Limits of time on the body of one request.

    Attributes:
        idle_seconds: Longest time without a byte.
        whole_seconds: Longest time until it is whole.
    """

    idle_seconds: float = DEFAULT_SECONDS
    whole_seconds: float = DEFAULT_SECONDS


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
        arrivals: The bodies that are not whole yet.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.held = 0
        self.max_bytes = max_bytes
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._waiting_pieces = 0
        self.arrivals = body_progress.Arrivals(on_tick=self._make_room)

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

    async def wait_with_piece(self, size: int, terms: WaitTerms) -> bool:
        """Waits as `wait` does, unless too many bodies wait that have arrived in part."""
        if self._waiting_pieces >= self.max_bytes // BYTES_PER_WAITING_PIECE:
            return False
        self._waiting_pieces += 1
        try:
            return await self.wait(size, terms)
        finally:
            self._waiting_pieces -= 1

    async def wait(self, size: int, terms: WaitTerms) -> bool:
        """Waits for room for some bytes and takes it; returns False if there is none in time."""
        room: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(priority=terms.priority, size=size, number=next(self._numbers), room=room)
        heapq.heappush(self._waiters, waiter)
        self._make_room()
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

    def _make_room(self) -> None:
        """Takes room from bodies that move little for it, as long as others wait."""
        if not self._waiting():
            return
        for arrival in self.arrivals.yielding():
            arrival.give_up(body_progress.Cause.ROOM)
            if not self._waiting():
                return

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
        time_limits: Returns the limits of time on the body.

    Attributes:
        refusal: Why the request is refused, None unless it is. Its body is then read and discarded, so
            that the caller reads the refusal.
        on_given_up: Called when the request is refused though the rest of its body may never come.
    """

    def __init__(
        self,
        *,
        memory: BodyMemory,
        max_bytes: int,
        terms: Callable[[], WaitTerms],
        excess: failure.Refusal | None = None,
        time_limits: Callable[[], TimeLimits] = TimeLimits,
    ) -> None:
        self.refusal: failure.Refusal | None = None
        self._memory = memory
        self._max_bytes = max_bytes
        self._excess = excess or too_large(max_bytes)
        self._terms = terms
        # Bodies are assembled in place: thousands of freed pieces would leave the memory of the process
        # fragmented, and a piece costs more than its bytes if these are few.
        self._buffer = bytearray()
        self._length = 0
        self._time_limits = time_limits
        self._arrival = body_progress.Arrival(give_up=self._give_up, limits=lambda: self._limits)
        self.on_given_up: Callable[[], None] = lambda: None

    @property
    def _size(self) -> int:
        return self._arrival.size

    def begin(self, length: int) -> Awaitable[None] | None:
        """Takes room for a body of a known length, 0 if it is not known; waits if there is none."""
        self._memory.arrivals.add(self._arrival)
        if length > self._max_bytes:
            self._refuse(self._excess)
            return None
        self._length = length
        return self._take(length)

    def add(self, piece: bytes) -> Awaitable[None] | None:
        """Adds a piece; no further one is read before what it returns is done."""
        begin = self._size
        self._arrival.size += len(piece)
        self._arrival.idle_ticks = 0
        if self.refusal is None and self._size > self._max_bytes:
            self._refuse(self._excess)
        if self.refusal is not None:
            if self._size > max(MIN_DISCARDED_BYTES, DISCARDED_MULTIPLE * self._max_bytes):
                self._end()
            return None
        if self._length:
            if not self._buffer:
                self._buffer = bytearray(self._length)
            self._buffer[begin : self._size] = piece
            return None
        self._buffer += piece
        missing_room = self._size - self._arrival.room
        return self._take(self._next_room()) if missing_room > 0 else None

    def join(self) -> bytearray:
        """Returns the whole body, for which room is kept until `release` is called."""
        self._memory.arrivals.remove(self._arrival)
        if self._arrival.room > self._size:
            surplus, self._arrival.room = self._arrival.room - self._size, self._size
            self._memory.release(surplus)
        return self._buffer

    def release(self) -> None:
        """Gives the room of the body back, and ends its arrival."""
        self._memory.arrivals.remove(self._arrival)
        self._free()

    def _free(self) -> None:
        taken, self._arrival.room = self._arrival.room, 0
        self._buffer = bytearray()
        if taken:
            self._memory.release(taken)

    def _next_room(self) -> int:
        """Returns the room to take for a body of unknown length.

        One that is not small takes at once what it may need. Bodies that hold a part of it and wait for
        the rest would wait for each other.
        """
        missing = self._size - self._arrival.room
        if self._size <= SMALL_BODY_BYTES:
            return missing
        return max(missing, min(self._max_bytes, self._memory.max_bytes // 2) - self._arrival.room)

    def _take(self, size: int) -> Awaitable[None] | None:
        if not size:
            return None
        if self._memory.take(size):
            self._arrival.room += size
            return None
        return self._wait(size)

    async def _wait(self, size: int) -> None:
        terms = self._terms()
        self._arrival.waits = True
        try:
            wait = self._memory.wait_with_piece if self._size else self._memory.wait
            has_room = await wait(size, terms)
        finally:
            self._arrival.waits = False
        if has_room:
            self._arrival.room += size
        else:
            self._refuse(no_room(terms.wait_seconds))

    @functools.cached_property
    def _times(self) -> TimeLimits:
        return self._time_limits()

    @functools.cached_property
    def _limits(self) -> body_progress.Limits:
        return body_progress.Limits(
            idle_seconds=self._times.idle_seconds,
            whole_seconds=self._times.whole_seconds,
        )

    def _give_up(self, cause: body_progress.Cause) -> None:
        """Ends the arrival; a refusal that was decided before stays."""
        if self.refusal is None:
            stopped = cause is body_progress.Cause.ROOM
            self._refuse(_stopped() if stopped else _not_whole(cause, self._times))
        self._end()

    def _end(self) -> None:
        self.release()
        self.on_given_up()

    def _refuse(self, refusal: failure.Refusal) -> None:
        self.refusal = refusal
        self._free()


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


def _stopped() -> failure.Refusal:
    """Returns the refusal of a request whose body moved too little while others waited for room."""
    return failure.Refusal(
        reason="the body moved too little for the room that it held",
        code="memory_full",
        status=503,
        retry_after=MAX_WAIT_SECONDS,
    )


def _not_whole(cause: body_progress.Cause, limits: TimeLimits) -> failure.Refusal:
    """Returns the refusal of a request whose body did not come within its limits of time."""
    if cause is body_progress.Cause.IDLE:
        reason = f"no byte of the body came for {limits.idle_seconds:.2f} s"
    else:
        reason = f"the body was not whole after {limits.whole_seconds:.2f} s"
    return failure.Refusal(
        reason=reason, code="body_timeout", status=408, retry_after=MIN_RETRY_SECONDS
    )
