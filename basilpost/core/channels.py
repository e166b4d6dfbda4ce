"""Kept HTTP/1.1 connections to servers, on tornado's connection class.

Tornado's clients open a connection for each request; here each one is kept until it was idle for a
while, its peer asked to close it, or anything on it was out of order.
"""

import asyncio
import dataclasses
import socket
from collections.abc import Callable

import tornado.http1connection
import tornado.httputil
import tornado.iostream

from basilpost.core import clock, failure

MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
READ_BYTES = 65_536
# Servers close idle connections after some seconds; those that say nothing keep them 5 s or longer.
DEFAULT_IDLE_SECONDS = 3.0
# Margin to the idle time that a server announces, for the way of the next request.
IDLE_MARGIN_SECONDS = 1.0
MAX_IDLE_PER_SERVER = 32

_PARAMETERS = tornado.http1connection.HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectFailed(failure.Failure):
    """No connection could be opened: nothing was sent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broken(failure.Failure):
    """The connection failed before the answer was complete."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: tornado.httputil.HTTPHeaders


class _Client(tornado.http1connection.HTTP1Connection):
    """Reads bodies that end with their connection piece by piece."""

    reset = False

    async def _read_body_until_close(self, delegate: tornado.httputil.HTTPMessageDelegate) -> None:
        while True:
            try:
                chunk = await self.stream.read_bytes(READ_BYTES, partial=True)
            except tornado.iostream.StreamClosedError as error:
                self.reset = error.real_error is not None
                return
            delegate.data_received(chunk)


class _Receiver(tornado.httputil.HTTPMessageDelegate):
    """Hands an answer on to callbacks."""

    def __init__(
        self,
        *,
        stream: tornado.iostream.IOStream,
        on_head: Callable[[Head], None],
        on_data: Callable[[bytes], None],
    ) -> None:
        self._stream = stream
        self._on_head = on_head
        self._on_data = on_data
        self.head: Head | None = None
        self.finished = False

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, tornado.httputil.ResponseStartLine)
        if start_line.code < 200:
            return
        self.head = Head(status=start_line.code, reason=start_line.reason, headers=headers)
        self._on_head(self.head)

    def data_received(self, chunk: bytes) -> None:
        self._on_data(chunk)

    def finish(self) -> None:
        self.finished = self.head is not None
        if self._stream.writing():
            # The server answered before it read the whole request. The rest of it must not be taken
            # for another request, so the connection ends here.
            self._stream.close()


class Channel:
    """One connection to a server; serves one request at a time.

    Attributes:
        address: `host:port` of the server.
        stream: The connection.
        usable_until: When the server may close it for being idle, on `clock.elapsed`.
        requests: Requests that were sent on it.
    """

    def __init__(self, *, address: str, stream: tornado.iostream.IOStream) -> None:
        self.address = address
        self.stream = stream
        self.usable_until = 0.0
        self.requests = 0
        self._connection: _Client | None = None

    def send(
        self,
        method: str,
        path: str,
        headers: tornado.httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        """Writes one request; failures show when the answer is read."""
        self.requests += 1
        if body or method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(body))
        self._connection = _Client(self.stream, True, _PARAMETERS)
        start = tornado.httputil.RequestStartLine(method, path, "HTTP/1.1")
        try:
            writing = self._connection.write_headers(start, headers, body or None)
            writing.add_done_callback(_forget_error)
            self._connection.finish()
        except tornado.iostream.StreamClosedError:
            self.stream.close()

    async def receive(
        self, *, on_head: Callable[[Head], None], on_data: Callable[[bytes], None]
    ) -> Head | Broken:
        """Reads one answer; returns its head once the body is complete."""
        connection, self._connection = self._connection, None
        if connection is None:
            # An answer that nothing was sent for: one to this request may follow it.
            connection = _Client(self.stream, True, _PARAMETERS)
            connection.finish()
        receiver = _Receiver(stream=self.stream, on_head=on_head, on_data=on_data)
        try:
            await connection.read_response(receiver)
        except tornado.iostream.StreamClosedError as error:
            return Broken(reason=f"{self.address} closed the connection: {error.real_error}")
        except tornado.httputil.HTTPInputError as error:
            return Broken(reason=f"{self.address} sent bytes that are no answer: {error}")
        if receiver.head is None or not receiver.finished or connection.reset:
            self.close()
            return Broken(reason=f"{self.address} closed the connection")
        self._note_idle_time(receiver.head.headers)
        return receiver.head

    def _note_idle_time(self, headers: tornado.httputil.HTTPHeaders) -> None:
        idle = DEFAULT_IDLE_SECONDS
        for part in headers.get("Keep-Alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                idle = max(0.0, float(value) - IDLE_MARGIN_SECONDS)
        if headers.get("Connection", "").lower() == "close":
            idle = 0.0
        self.usable_until = clock.elapsed() + idle

    def close(self) -> None:
        """Closes the connection; a server that works for it stops."""
        self.stream.close()

    @property
    def usable(self) -> bool:
        """Returns True if another request may be sent on the connection."""
        return (
            not self.stream.closed()
            and not self.stream.writing()
            and clock.elapsed() < self.usable_until
        )


class Pool:
    """Connections to many servers, those that are idle kept for reuse."""

    def __init__(self) -> None:
        self._idle_by_address: dict[str, list[Channel]] = {}

    async def acquire(
        self, address: str, *, timeout: float, fresh: bool = False
    ) -> Channel | ConnectFailed:
        """Returns a kept connection or opens one within `timeout` seconds.

        Args:
            address: `host:port` of the server.
            timeout: Longest time for opening a connection.
            fresh: True for a new connection: a kept one may have been closed by its server, and
                then it is not known whether a request sent on it has run.
        """
        idle = [] if fresh else self._idle_by_address.get(address, [])
        while idle:
            channel = idle.pop()
            if channel.usable:
                return channel
            channel.close()
        return await _open(address, timeout=timeout)

    def release(self, channel: Channel) -> None:
        """Keeps a connection whose last answer was complete, or closes it."""
        idle = self._idle_by_address.setdefault(channel.address, [])
        if channel.usable and len(idle) < MAX_IDLE_PER_SERVER:
            idle.append(channel)
        else:
            channel.close()

    def sweep(self) -> None:
        """Closes connections that were idle for too long."""
        for address, idle in list(self._idle_by_address.items()):
            kept = [one for one in idle if one.usable]
            for one in idle:
                if not one.usable:
                    one.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for channel in [one for idle in self._idle_by_address.values() for one in idle]:
            channel.close()
        self._idle_by_address.clear()


async def _open(address: str, *, timeout: float) -> Channel | ConnectFailed:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    stream = tornado.iostream.IOStream(sock, max_buffer_size=MAX_BODY_BYTES)
    stream.set_nodelay(True)
    try:
        async with asyncio.timeout(timeout):
            await stream.connect((host, int(port)))
    except (OSError, TimeoutError, tornado.iostream.StreamClosedError) as error:
        stream.close()
        return ConnectFailed(reason=f"{address}: {type(error).__name__} {error}")
    except asyncio.CancelledError:
        stream.close()
        raise
    return Channel(address=address, stream=stream)


def _forget_error(writing: "asyncio.Future[None]") -> None:
    # A failed write also fails the read that follows; this only marks the error as seen.
    if not writing.cancelled():
        writing.exception()
