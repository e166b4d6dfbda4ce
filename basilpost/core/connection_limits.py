"""Finds the connections of a server that exceed its limits of time, without a timer for each one.

A connection that waits for a request holds a descriptor and memory for as long as its peer likes.
"""

import collections
import dataclasses
import enum
import itertools
from collections.abc import Iterable, Iterator

import tornado.iostream

from basilpost.core import clock, idle_streams

# Limits while operators name none.
DEFAULT_SECONDS = 30.0
# Connections that are looked at to find one that may be closed for a new one.
_MAX_LOOKS = 64


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
            limit. With a limit, a request that has arrived whole may make room for a new connection.
        max_connections: Largest number of open connections, None for no limit. Beyond it a new one
            replaces the one that has been without a whole request for longest.
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


_Times = collections.OrderedDict[tornado.iostream.IOStream, float]


class OpenConnections:
    """The open connections of a server, by whether they carry a request."""

    def __init__(self) -> None:
        # In the order in which they began to wait.
        self._waits_by_stream: collections.OrderedDict[tornado.iostream.IOStream, _Wait] = (
            collections.OrderedDict()
        )
        # When the head of its request arrived on each connection, in this order; the body has arrived
        # on those that are answered.
        self._arriving_since_by_stream: _Times = collections.OrderedDict()
        self._answered_since_by_stream: _Times = collections.OrderedDict()

    @property
    def busy(self) -> int:
        """Returns the number of connections that carry a request."""
        return len(self._arriving_since_by_stream) + len(self._answered_since_by_stream)

    @property
    def waiting(self) -> int:
        """Returns the number of connections that wait for a request."""
        return len(self._waits_by_stream)

    def add_waiting(self, stream: tornado.iostream.IOStream) -> None:
        """Notes that a connection waits for its first or next request."""
        self.remove(stream)
        self._waits_by_stream[stream] = _Wait(began_at=clock.monotonic())

    def add_arriving(self, stream: tornado.iostream.IOStream) -> None:
        """Notes that the head of a request has arrived on a connection."""
        self.remove(stream)
        self._arriving_since_by_stream[stream] = clock.monotonic()

    def add_answered(self, stream: tornado.iostream.IOStream) -> None:
        """Notes that a request has arrived whole, and is answered."""
        since = self._arriving_since_by_stream.pop(stream, None)
        if since is not None:
            self._answered_since_by_stream[stream] = since

    def remove(self, stream: tornado.iostream.IOStream) -> None:
        """Forgets a connection."""
        self._waits_by_stream.pop(stream, None)
        self._arriving_since_by_stream.pop(stream, None)
        self._answered_since_by_stream.pop(stream, None)

    def all_waiting(self) -> tuple[tornado.iostream.IOStream, ...]:
        """Returns the connections that wait for a request, the one that has waited longest first."""
        return tuple(self._waits_by_stream)

    def longest_unfinished(self) -> tornado.iostream.IOStream | None:
        """Returns the connection that has been without a whole request for longest.

        Those that wait for a head come before those that wait for the rest of a body. Connections on
        which something has arrived unread are left out.
        """
        groups: tuple[Iterable[tornado.iostream.IOStream], ...] = (
            self._waits_by_stream,
            self._arriving_since_by_stream,
        )
        oldest = itertools.chain.from_iterable(
            itertools.islice(group, _MAX_LOOKS) for group in groups
        )
        return next(filter(idle_streams.waits_for_bytes, oldest), None)

    def longest_answered(self) -> tornado.iostream.IOStream | None:
        """Returns the connection whose request has waited for its answer for longest."""
        return next(iter(self._answered_since_by_stream), None)

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
            for stream, since in (
                *self._arriving_since_by_stream.items(),
                *self._answered_since_by_stream.items(),
            ):
                if now >= since + limits.answer_seconds:
                    yield stream, Cause.ANSWER
