"""One request to a target and its answer, on a connection of its own.

An exchange is connected when it is created and sends nothing before `send` is called. So the code
that uses it always knows whether a byte of the request may have been sent.
"""

import abc
import asyncio
import dataclasses
from collections.abc import Mapping

import tornado.http1connection
import tornado.httputil
import tornado.iostream

from basilpost.core import answer_status, clock, failure

_MAX_BUFFERED_BYTES = 262_144


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectFailed(failure.Failure):
    """No connection could be opened, so no byte of the request was sent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broken(failure.Failure):
    """The connection ended or went silent before the answer was complete."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """Status and headers of an answer."""

    status: int
    headers: tornado.httputil.HTTPHeaders


class Exchange(abc.ABC):
    """One request and its answer on one connection.

    Attributes:
        address: Address of the target.
        silent_at: Event loop's time at which the watchdog aborts the exchange as silent.
        first_byte_at: Event loop's time at which the head arrived, None before.
        received_head: The head, None before it has arrived.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.silent_at = float("inf")
        self.first_byte_at: float | None = None
        self.received_head: Head | None = None
        self._finished = False
        self._broken: Broken | None = None
        self._wake: asyncio.Future[None] | None = None

    @abc.abstractmethod
    def send(self, method: str, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Writes the whole request; from then on it may reach the target."""

    @abc.abstractmethod
    async def read(self) -> bytes | Broken:
        """Waits for more of the body; returns all that is buffered, or empty bytes at its end."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection, which cancels the request at the target."""

    async def head(self) -> Head | Broken:
        """Waits for the status and headers of the answer."""
        while self.received_head is None and self._broken is None:
            await self._wait_for_change()
        return self.received_head or self._broken or Broken(reason="no answer")

    async def read_all(self, limit: int) -> bytes | Broken:
        """Returns the whole body, or `Broken` if it is larger than `limit` bytes."""
        pieces: list[bytes] = []
        size = 0
        while True:
            piece = await self.read()
            if isinstance(piece, Broken):
                return piece
            if not piece:
                return b"".join(pieces)
            pieces.append(piece)
            size += len(piece)
            if size > limit:
                return Broken(reason=f"{self.address}: the answer is over {limit} bytes")

    def abort(self, reason: str) -> None:
        """Closes the connection; readers get `Broken` with the reason unless the answer is complete."""
        self._fail(reason)
        self.close()

    def _fail(self, reason: str) -> None:
        if not self._finished and self._broken is None:
            self._broken = Broken(reason=f"{self.address}: {reason}")
        self._notify()

    async def _wait_for_change(self) -> None:
        self._wake = asyncio.get_running_loop().create_future()
        await self._wake

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)


class WholeExchange(Exchange, tornado.httputil.HTTPMessageDelegate):
    """An exchange whose answer is read whole, by Tornado's HTTP client connection."""

    def __init__(self, *, stream: tornado.iostream.IOStream, address: str) -> None:
        super().__init__(address=address)
        self._stream = stream
        parameters = tornado.http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True, max_body_size=1 << 40
        )
        self._connection = tornado.http1connection.HTTP1Connection(stream, True, parameters)
        self._pieces: list[bytes] = []
        self._buffered = 0
        self._room_available: asyncio.Future[None] | None = None
        self._reader: asyncio.Task[bool] | None = None

    def send(self, method: str, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Writes the whole request; from then on it may reach the target."""
        all_headers = tornado.httputil.HTTPHeaders(dict(headers))
        all_headers["Host"] = self.address
        all_headers["Connection"] = "close"
        if body or method in ("POST", "PUT", "PATCH"):
            all_headers["Content-Length"] = str(len(body))
        start = tornado.httputil.RequestStartLine(method, path, "HTTP/1.1")
        self._connection.write_headers(start, all_headers, body)
        self._connection.finish()
        self._start_reading()

    async def read(self) -> bytes | Broken:
        """Waits for more of the body; returns all that is buffered, or empty bytes at its end."""
        while not self._pieces and not self._finished and self._broken is None:
            await self._wait_for_change()
        if self._pieces:
            return self._pop_buffered()
        return b"" if self._finished else self._broken or Broken(reason="no answer")

    def close(self) -> None:
        """Closes the connection, which cancels the request at the target."""
        self.silent_at = float("inf")
        if self._room_available is not None and not self._room_available.done():
            self._room_available.set_result(None)
        self._stream.close()

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> None:
        """Stores the head; part of Tornado's delegate interface."""
        assert isinstance(start_line, tornado.httputil.ResponseStartLine)
        if answer_status.is_interim(start_line.code):
            return
        if not answer_status.is_final(start_line.code):
            self.abort(f"an answer with the status {start_line.code:03}")
            return
        self.first_byte_at = clock.monotonic()
        self.received_head = Head(status=start_line.code, headers=headers)
        self._notify()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Buffers a chunk of the body; makes Tornado wait while too much is buffered."""
        self._pieces.append(chunk)
        self._buffered += len(chunk)
        self._notify()
        if self._buffered < _MAX_BUFFERED_BYTES:
            return None
        self._room_available = asyncio.get_running_loop().create_future()
        return self._room_available

    def finish(self) -> None:
        """Marks the answer as complete; part of Tornado's delegate interface."""
        self._finished = True
        self._notify()

    def on_connection_close(self) -> None:
        """Fails the exchange; part of Tornado's delegate interface."""
        self._fail("the connection was closed")

    def _start_reading(self) -> None:
        loop = asyncio.get_running_loop()
        self._reader = loop.create_task(self._read(), name=f"exchange {self.address}")

    async def _read(self) -> bool:
        try:
            return await self._connection.read_response(self)
        except tornado.iostream.StreamClosedError:
            self.on_connection_close()
            return False

    def _pop_buffered(self) -> bytes:
        data = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        self._pieces.clear()
        self._buffered = 0
        if self._room_available is not None and not self._room_available.done():
            self._room_available.set_result(None)
        return data
