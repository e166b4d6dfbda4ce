"""Reads requests from callers and writes the answers, on Tornado's HTTP server connections."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import tornado.http1connection
import tornado.httputil
import tornado.iostream

from basilpost.core import caller_stream, clock, failure, listener
from basilpost.gateway import body_memory

Handler = Callable[["Request", "Reply"], Coroutine[Any, Any, None]]
# Returns the collector of a request's body, whose headers have arrived.
MakeBody = Callable[["Request"], body_memory.Body]
# Called with a request whose head has arrived and whose handler will not run.
OnDropped = Callable[["Request"], None]
_NO_BODY_STATUSES = frozenset({204, 304})


class Request(tornado.httputil.HTTPMessageDelegate):
    """One incoming request; its handler is started once the whole body has arrived.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: All headers.
        body: The whole body, empty before it has arrived.
        received_at: When the headers arrived, on `clock.elapsed`.
        caller_left: True once the caller has closed the connection.
        close_error: The error with which the connection ended, such as a reset; empty for none.
        body_refusal: Why the request is refused for its body, None unless it is.
    """

    def __init__(
        self,
        *,
        connection: tornado.httputil.HTTPConnection,
        server: listener.Listener,
        handler: Handler,
        make_body: MakeBody,
        spawn: Callable[[Coroutine[Any, Any, None]], "asyncio.Task[None]"],
        on_dropped: OnDropped | None = None,
    ) -> None:
        assert isinstance(connection, tornado.http1connection.HTTP1Connection)
        self._connection = connection
        self._server = server
        self._handler = handler
        self._make_body = make_body
        self._spawn = spawn
        self._on_dropped = on_dropped
        self._is_handled = False
        self._arriving: body_memory.Body | None = None
        self._task: asyncio.Task[None] | None = None
        self.method = ""
        self.target = ""
        self.headers = tornado.httputil.HTTPHeaders()
        self.body: bytes | bytearray = b""
        self.received_at = 0.0
        self.caller_left = False
        self.close_error = ""
        self.body_refusal: failure.Refusal | None = None

    @property
    def path(self) -> str:
        """Returns the path without the query."""
        return self.target.partition("?")[0]

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Stores method, target and headers; part of Tornado's delegate interface.

        The body is read when what it returns is done.
        """
        assert isinstance(start_line, tornado.httputil.RequestStartLine)
        self.method, self.target = start_line.method, start_line.path
        self.headers = headers
        self.received_at = clock.elapsed()
        length = headers.get("Content-Length", "0")
        if length == "0" and "Transfer-Encoding" not in headers:
            return None
        self._arriving = self._make_body(self)
        self._arriving.on_given_up = self._refuse_early
        # Tornado refuses a length that is not a number when it begins to read the body.
        return self._arriving.begin(int(length) if length.isdecimal() else 0)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Stores a chunk of the body; part of Tornado's delegate interface."""
        assert self._arriving is not None
        if isinstance(self._connection.stream, caller_stream.CallerStream):
            self._connection.stream.note_piece(len(chunk))
        waiting = self._arriving.add(chunk)
        return None if waiting is None else self._wait_for_room(waiting, len(chunk))

    async def _wait_for_room(self, waiting: Awaitable[None], size: int) -> None:
        stream = self._connection.stream
        if not isinstance(stream, caller_stream.CallerStream):
            await waiting
            return
        stream.waiting_bytes = size
        try:
            await waiting
        finally:
            stream.waiting_bytes = 0

    def finish(self) -> None:
        """Starts the handler; part of Tornado's delegate interface."""
        if self._task is not None:
            return
        if self._arriving is not None:
            self.body_refusal = self._arriving.refusal
            self.body = self._arriving.join()
        if isinstance(self._connection.stream, caller_stream.CallerStream):
            self._connection.stream.parsed_bytes = 0
        self._connection.set_close_callback(self.on_connection_close)
        self._start_handler(closes=False)

    def _refuse_early(self) -> None:
        """Starts the handler of a request that is refused while its body arrives."""
        if self._task is None and not self.caller_left:
            assert self._arriving is not None
            self.body_refusal = self._arriving.refusal
            self._start_handler(closes=True)

    def _start_handler(self, *, closes: bool) -> None:
        reply = Reply(
            connection=self._connection, server=self._server, method=self.method, closes=closes
        )
        self._task = self._spawn(self._handle(reply))
        # A task that is cancelled before its first step never runs.
        self._task.add_done_callback(lambda task: self._drop())

    def on_connection_close(self) -> None:
        """Cancels the handler, because the caller is gone; part of Tornado's delegate interface."""
        self.caller_left = True
        error = self._connection.stream.error
        self.close_error = type(error).__name__ if error is not None else ""
        if self._task is not None:
            self._task.cancel()
        else:
            self._drop()

    def _drop(self) -> None:
        """Ends a request that no handler has handled."""
        if self._is_handled:
            return
        self._is_handled = True
        self._release_body()
        if self._on_dropped is not None:
            self._on_dropped(self)

    def _release_body(self) -> None:
        """Frees the body: reference cycles may keep the request itself for a while."""
        if self._arriving is not None:
            self._arriving.release()
        self.body = b""

    async def _handle(self, reply: "Reply") -> None:
        self._is_handled = True
        self._set_carries_request(True)
        try:
            await self._handler(self, reply)
        except BaseException:
            # The caller must not wait for an answer that nobody sends any more.
            self._connection.close()
            raise
        finally:
            self._set_carries_request(False)
            self._release_body()

    def _set_carries_request(self, carries: bool) -> None:
        if isinstance(self._connection.stream, caller_stream.CallerStream):
            self._connection.stream.carries_request = carries


class Reply:
    """The answer to one request.

    Args:
        connection: The connection of the request.
        server: Tells whether connections are closed after their answer.
        method: HTTP method of the request.
        closes: True if this connection is closed after its answer.

    Attributes:
        started: True once its head was written.
        aborted: True once the node has closed the connection before the end of the answer.
        written: True once the whole answer is written to the socket.
        added_headers: Headers that are added to those of the answer.
    """

    def __init__(
        self,
        *,
        connection: tornado.http1connection.HTTP1Connection,
        server: listener.Listener,
        method: str,
        closes: bool,
    ) -> None:
        self._connection = connection
        self._server = server
        self._method = method
        self._closes = closes
        self._announced_close = False
        self.started = False
        self.aborted = False
        self.written = False
        self._ended = False
        self.added_headers: dict[str, str] = {}

    def send_whole(
        self, status: int, reason: str, headers: tornado.httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Sends head and body, without the body if the method or status allows none."""
        without_body = self._method == "HEAD" or status in _NO_BODY_STATUSES
        if not without_body:
            headers["Content-Length"] = str(len(body))
        self._write_head(status, reason, headers, None if without_body else body)
        self._finish()

    def send_head(self, status: int, reason: str, headers: tornado.httputil.HTTPHeaders) -> None:
        """Sends the head of an answer whose body follows by `send_piece`, without a length."""
        if "Content-Length" in headers:
            del headers["Content-Length"]
        self._write_head(status, reason, headers, None)

    def send_piece(self, data: bytes) -> None:
        """Sends a piece of the body; aborts if the caller has closed the connection."""
        try:
            _ignore_write_error(self._connection.write(data))
        except tornado.iostream.StreamClosedError:
            self.abort()

    async def wait_written(self) -> None:
        """Waits until the caller's connection has taken all that was sent, or is closed."""
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            # The result of an empty write comes after all earlier ones.
            await self._connection.stream.write(b"")

    def end(self) -> None:
        """Marks an answer that was sent in pieces as complete."""
        self._finish()

    async def wait_sent(self) -> None:
        """Waits until the whole answer is written to the socket or the connection is closed.

        Closes the connection if the answer says so.
        """
        await self.wait_written()
        self.written = self._ended and _has_written_all(self._connection.stream)
        if self._announced_close:
            self._connection.close()

    def abort(self) -> None:
        """Closes the connection, so that an incomplete answer is not taken for complete."""
        self.aborted = self.aborted or not self._connection.stream.closed()
        self._connection.close()

    def _write_head(
        self,
        status: int,
        reason: str,
        headers: tornado.httputil.HTTPHeaders,
        body: bytes | None,
    ) -> None:
        self.started = True
        headers.update(self.added_headers)
        if self._closes or self._server.closes_after_answer:
            headers["Connection"] = "close"
            self._announced_close = True
        line = tornado.httputil.ResponseStartLine("HTTP/1.1", status, reason)
        try:
            _ignore_write_error(self._connection.write_headers(line, headers, body))
        except tornado.iostream.StreamClosedError:
            self.abort()

    def _finish(self) -> None:
        self._ended = not self._connection.stream.closed()
        try:
            self._connection.finish()
        except tornado.iostream.StreamClosedError:
            self.abort()


def _has_written_all(stream: tornado.iostream.IOStream) -> bool:
    """Returns True if the socket has taken all bytes that were written to a stream, closed or not."""
    # Tornado empties its buffer when it closes a stream, and keeps these counts only.
    return stream._total_write_done_index == stream._total_write_index


def _ignore_write_error(writing: "asyncio.Future[None]") -> None:
    """Retrieves the error of a failed write, so that asyncio does not log it as unhandled.

    Nothing else has to be done: the closed connection cancels the handler.
    """
    writing.add_done_callback(lambda done: done.cancelled() or done.exception())
