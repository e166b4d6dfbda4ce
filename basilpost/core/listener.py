"""An HTTP server with limits on its connections, which can end without cutting a request.

A count of handlers at work is no sign that a server may end: connections that callers keep open are
still read after the count was looked at, and the end of an answer may not have been written yet.
"""

import asyncio
import collections
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, cast

import tornado.http1connection
import tornado.httpserver
import tornado.httputil
import tornado.iostream

from basilpost.core import accepting, clock, connection_limits, kernel

SWEEP_SECONDS = 1.0
_POLL_SECONDS = 0.05


class Listener(tornado.httpserver.HTTPServer):
    """An HTTP server that knows which of its connections carry a request.

    A connection does so from the end of the request's head until its answer is written to the socket.

    Args:
        name: What the connections are for, in the log and the metrics.
        kernel: Takes the log lines and metrics of the server.
        limits: Returns the limits on connections, which may change.

    Attributes:
        closes_after_answer: True if callers are told that their connection is closed after its answer.
    """

    def initialize(  # type: ignore[override]
        self,
        *args: Any,
        name: str,
        kernel: kernel.Kernel,
        limits: Callable[[], connection_limits.Limits],
        **kwargs: Any,
    ) -> None:
        """Initializes the server; Tornado calls this in place of the constructor."""
        super().initialize(*args, **kwargs)
        # Tornado's limit would be one for idle connections and slow heads alike, with a timer for each.
        self.conn_params.header_timeout = None
        self._name = name
        self._kernel = kernel
        self._find_limits = limits
        self._max_header_bytes = self.conn_params.max_header_size
        self._open = connection_limits.OpenConnections()
        self._closed_by_cause: collections.Counter[connection_limits.Cause] = collections.Counter()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._draining = False
        self.closes_after_answer = False

    @property
    def busy(self) -> int:
        """Returns the number of connections that carry a request."""
        return self._open.busy

    @property
    def idle(self) -> int:
        """Returns the number of connections that wait for a request."""
        return self._open.waiting

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accepts connections on listening sockets."""
        super().add_sockets(
            cast(
                socket.socket,
                accepting.ListeningSocket(
                    inner=listening,
                    free_descriptor=self._make_room,
                    on_refused=lambda: self._count(connection_limits.Cause.REFUSED),
                ),
            )
            for listening in sockets
        )

    def handle_stream(self, stream: tornado.iostream.IOStream, address: tuple[Any, ...]) -> None:
        """Called by Tornado when a connection was accepted."""
        max_connections = self._limits().max_connections
        is_full = max_connections is not None and self.busy + self.idle >= max_connections
        if is_full and not self._make_room():
            self._close(stream, connection_limits.Cause.REFUSED)
            return
        self._open.add_waiting(stream)
        super().handle_stream(stream, address)

    def announce_close(self) -> None:
        """Makes answers tell callers that their connection is closed.

        Tornado does so in answers to requests that arrive from now on. A handler has to do so in
        answers that it begins to requests that arrived before.
        """
        self.closes_after_answer = True
        self.conn_params.no_keep_alive = True

    def start_request(
        self, server_conn: object, request_conn: tornado.httputil.HTTPConnection
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Called by Tornado when a connection is open or its answer is written."""
        assert isinstance(server_conn, tornado.http1connection.HTTP1ServerConnection)
        stream = server_conn.stream
        self._open.add_waiting(stream)
        if self._draining:
            stream.close()
        else:
            self._schedule_sweep()
        return _HeadObserver(
            inner=super().start_request(server_conn, request_conn),
            on_head=lambda: self._open.add_arriving(stream),
            on_whole=lambda: self._open.add_answered(stream),
            is_closed=stream.closed,
        )

    def on_close(self, server_conn: object) -> None:
        """Called by Tornado when a connection has ended."""
        assert isinstance(server_conn, tornado.http1connection.HTTP1ServerConnection)
        self._open.remove(server_conn.stream)
        super().on_close(server_conn)

    def _limits(self) -> connection_limits.Limits:
        """Returns the limits; from now on heads are read up to theirs."""
        limits = self._find_limits()
        self.conn_params.max_header_size = min(
            self._max_header_bytes, limits.max_header_bytes or self._max_header_bytes
        )
        return limits

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_SECONDS, self._sweep)

    def _sweep(self) -> None:
        """Closes the connections beyond their limits, and reports what was closed since the last time."""
        for stream, cause in self._open.expired(self._limits()):
            self._close(stream, cause)
        for cause, count in self._closed_by_cause.items():
            self._kernel.closed_connections.labels(self._name, cause.value).inc(count)
            self._kernel.log.info(
                "connections_closed", listener=self._name, cause=cause.value, count=count
            )
        self._closed_by_cause.clear()
        self._sweep_timer = None
        if self._open.waiting or self._open.busy:
            self._schedule_sweep()

    def _close(self, stream: tornado.iostream.IOStream, cause: connection_limits.Cause) -> None:
        self._count(cause)
        stream.close()
        self._open.remove(stream)

    def _make_room(self) -> bool:
        """Closes a connection for a new one; returns False if there is none that may be closed."""
        stream = self._open.longest_unfinished()
        if stream is None and self._limits().answer_seconds is not None:
            stream = self._open.longest_answered()
        if stream is not None:
            self._close(stream, connection_limits.Cause.REPLACED)
        return stream is not None

    def _count(self, cause: connection_limits.Cause) -> None:
        self._closed_by_cause[cause] += 1
        self._schedule_sweep()

    def stop_accepting(self) -> None:
        """Stops listening and closes the connections without a request, the others after their answer."""
        self.stop()
        self._draining = True
        for stream in self._open.all_waiting():
            stream.close()

    async def drain(self, give_up_at: float) -> int:
        """Stops listening, and closes each connection as soon as it carries no request.

        Returns the number of requests that were cut at the event loop's time `give_up_at`.
        """
        self.stop_accepting()
        while self.busy and clock.monotonic() < give_up_at:
            await asyncio.sleep(_POLL_SECONDS)
        cut = self.busy
        await self.close_all_connections()
        return cut


class _HeadObserver(tornado.httputil.HTTPMessageDelegate):
    """Passes a request on to its reader, and tells when its head and the whole of it have arrived.

    A request whose connection is closed is not handled. Tornado may have read it before the connection
    was closed, and parse it only afterwards.
    """

    def __init__(
        self,
        *,
        inner: tornado.httputil.HTTPMessageDelegate,
        on_head: Callable[[], None],
        on_whole: Callable[[], None],
        is_closed: Callable[[], bool],
    ) -> None:
        self._inner = inner
        self._on_head = on_head
        self._on_whole = on_whole
        self._is_closed = is_closed

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._on_head()
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        if self._is_closed():
            self._inner.on_connection_close()
        else:
            self._on_whole()
            self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()
