"""Finds the connections of a server that exceed its limits of time, without a timer for each one.

A connection that waits for a request holds a descriptor and memory for as long as its peer likes.
"""

import collections
import dataclasses
import enum
import itertools
from collections.abc import Iterator

import tornado.iostream

from basilpost.core import clock, idle_streams

# Limits while operators name none.
DEFAULT_SECONDS = 30.0
# Connections that are looked at to find one that may be closed for a new one.
_MAX_LOOKS = 16


class Cause(enum.Enum):
    """Why a connection was closed."""

    HEAD = "head"
    IDLE = "idle"
    ANSWER = "answer"
    # Closed so that a new connection can be accepted.
    REPLACED = "replaced"
    # Closed as soon as it was accepted.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on the connections of a server.

    Attributes:
        header_seconds: Longest time for the rest of a request's head after its first byte.
        idle_seconds: Time after which a connection on which no request has begun is closed.
        answer_seconds: Longest time from the end of a head until the answer is written, None for no
            limit. With a limit, a connection that carries a request may be closed for a new one.
        max_connections: Largest number of open connections, None for no limit.
        max_header_bytes: Bytes of a head that are read at most, None for the server's own limit. A
            connection with a longer head is closed.
    """

    header_seconds: float = DEFAULT_SECONDS
    idle_seconds: float = DEFAULT_SECONDS
    answer_seconds: float | None = None
    max_connections: int | None = None
    max_header_bytes: int | None = None


@dataclasses.dataclass(kw_only=True)
class _Wait:
    """The wait of a connection for a request.

    Attributes:
        began_at: When it was opened, or its latest answer was written.
        head_seen_at: When a part of a head was first seen on it, None before.
    """

    began_at: float
    head_seen_at: float | None = None


class OpenConnections:
    """The open connections of a server, by whether they carry a request."""

    def __init__(self) -> None:
        # In the order in which they began to wait.
        self._waits_by_stream: collections.OrderedDict[tornado.iostream.IOStream, _Wait] = (
            collections.OrderedDict()
        )
        # When the head of its request arrived on each connection, in this order.
        self._busy_since_by_stream: collections.OrderedDict[tornado.iostream.IOStream, float] = (
            collections.OrderedDict()
        )

    @property
    def busy(self) -> int:
        """Returns the number of connections that carry a request."""
        return len(self._busy_since_by_stream)

    @property
    def waiting(self) -> int:
        """Returns the number of connections that wait for a request."""
        return len(self._waits_by_stream)

    def add_waiting(self, stream: tornado.iostream.IOStream) -> None:
        """Notes that a connection waits for its first or next request."""
        self._busy_since_by_stream.pop(stream, None)
        self._waits_by_stream[stream] = _Wait(began_at=clock.monotonic())
        self._waits_by_stream.move_to_end(stream)

    def add_busy(self, stream: tornado.iostream.IOStream) -> None:
        """Notes that the head of a request has arrived on a connection."""
        self._waits_by_stream.pop(stream, None)
        self._busy_since_by_stream[stream] = clock.monotonic()

    def remove(self, stream: tornado.iostream.IOStream) -> None:
        """Forgets a connection."""
        self._waits_by_stream.pop(stream, None)
        self._busy_since_by_stream.pop(stream, None)

    def all_waiting(self) -> tuple[tornado.iostream.IOStream, ...]:
        """Returns the connections that wait for a request, the one that has waited longest first."""
        return tuple(self._waits_by_stream)

    def longest_waiting(self) -> tornado.iostream.IOStream | None:
        """Returns the connection that has waited longest and on which nothing has arrived unread."""
        oldest = itertools.islice(self._waits_by_stream, _MAX_LOOKS)
        return next(filter(idle_streams.waits_for_bytes, oldest), None)

    def longest_busy(self) -> tornado.iostream.IOStream | None:
        """Returns the connection that has carried its request for longest."""
        return next(iter(self._busy_since_by_stream), None)

    def expired(self, limits: Limits) -> Iterator[tuple[tornado.iostream.IOStream, Cause]]:
        """Yields the connections whose time has run out.

        A connection with bytes that have arrived and were not read yet is left for the next time.
        """
        now = clock.monotonic()
        for stream, wait in tuple(self._waits_by_stream.items()):
            if wait.head_seen_at is None and idle_streams.has_buffered(stream):
                wait.head_seen_at = now
            if wait.head_seen_at is None:
                cause, ends_at = Cause.IDLE, wait.began_at + limits.idle_seconds
            else:
                cause, ends_at = Cause.HEAD, wait.head_seen_at + limits.header_seconds
            if now >= ends_at and idle_streams.waits_for_bytes(stream):
                yield stream, cause
        if limits.answer_seconds is not None:
            for stream, since in tuple(self._busy_since_by_stream.items()):
                if now >= since + limits.answer_seconds:
                    yield stream, Cause.ANSWER
