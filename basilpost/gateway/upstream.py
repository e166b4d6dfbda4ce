"""Sends one request to a target over one connection of its own and reads the answer.

The caller of this module always knows whether any byte of the request can have left: connecting is
a step of its own. A connection that goes silent is closed by a shared watchdog, which costs no timer
for each read.
"""

import asyncio
import dataclasses
import socket
from collections.abc import Mapping

import tornado.http1connection
import tornado.httputil
import tornado.iostream
import tornado.tcpclient

from basilpost.core import clock, failure

_BUFFER_BYTES = 262_144
_PIECE_BYTES = 65_536
_KEEPALIVE_IDLE_SECONDS = 5
_KEEPALIVE_INTERVAL_SECONDS = 2
_KEEPALIVE_PROBES = 3
_UNACKED_MILLISECONDS = 5000
_WATCH_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectFailed(failure.Failure):
    """No connection was made, so no byte of the request has left."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broken(failure.Failure):
    """The connection ended or went silent before the answer was whole."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """Status and headers of an answer."""

    status: int
    headers: tornado.httputil.HTTPHeaders


class Exchange(tornado.httputil.HTTPMessageDelegate):
    """One request and its answer on one connection."""

    def __init__(self, *, stream: tornado.iostream.IOStream, address: str) -> None:
        self._stream = stream
        self._address = address
        parameters = tornado.http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True, max_body_size=1 << 40
        )
        self._connection = tornado.http1connection.HTTP1Connection(stream, True, parameters)
        self._head: Head | None = None
        self._pieces: list[bytes] = []
        self._buffered = 0
        self._finished = False
        self._detached = False
        self._broken: Broken | None = None
        self._wake: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None
        self._reader: asyncio.Task[bool] | None = None
        self.silent_at = float("inf")
        self.first_byte_at: float | None = None

    def send(self, method: str, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Writes the whole request; from now on it may reach the target."""
        all_headers = tornado.httputil.HTTPHeaders(dict(headers))
        all_headers["Host"] = self._address
        all_headers["Connection"] = "close"
        if body or method in ("POST", "PUT", "PATCH"):
            all_headers["Content-Length"] = str(len(body))
        start = tornado.httputil.RequestStartLine(method, path, "HTTP/1.1")
        self._connection.write_headers(start, all_headers, body)
        self._connection.finish()
        self._start_reading()

    def send_for_stream(self, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Writes a POST whose answer is a stream of events.

        It asks in HTTP/1.0, to which a target answers without chunks: the events then pass through
        without being parsed and framed one by one. Whether the stream is whole shows in its events.
        """
        fields = {**headers, "Host": self._address, "Content-Length": str(len(body))}
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([f"POST {path} HTTP/1.0", *lines, "", ""])
        self._stream.write(head.encode("latin1") + body)
        self._connection.finish()
        self._start_reading()

    @property
    def known_head(self) -> Head | None:
        """Returns the head if it has come."""
        return self._head

    async def head(self) -> Head | Broken:
        """Waits for status and headers."""
        while self._head is None and self._broken is None:
            await self._changed()
        return self._head or self._broken or Broken(reason="no answer")

    async def read(self) -> bytes | Broken:
        """Waits for more of the body; returns all that has come, empty bytes at its end."""
        if self._detached:
            return await self._read_detached()
        while not self._pieces and not self._finished and self._broken is None:
            await self._changed()
        if self._pieces:
            return self._take()
        return b"" if self._finished else self._broken or Broken(reason="no answer")

    async def read_all(self, limit: int) -> bytes | Broken:
        """Reads the whole body, which must not be larger than `limit` bytes."""
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
                return Broken(reason=f"{self._address}: the answer is over {limit} bytes")

    def break_off(self, reason: str) -> None:
        """Closes the connection; readers see the reason unless the answer is whole."""
        if not self._finished and self._broken is None:
            self._broken = Broken(reason=f"{self._address}: {reason}")
        self.close()
        self._notify()

    def close(self) -> None:
        """Closes the connection, which cancels the request at the target."""
        self.silent_at = float("inf")
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
        self._stream.close()

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> None:
        """Takes in the head; part of the library's delegate interface."""
        assert isinstance(start_line, tornado.httputil.ResponseStartLine)
        if start_line.code < 200:
            return
        self.first_byte_at = clock.monotonic()
        self._head = Head(status=start_line.code, headers=headers)
        if "Content-Length" not in headers and "Transfer-Encoding" not in headers:
            self._detached = True
            self._connection.detach()
        self._notify()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Takes in a piece of the body, and holds the reader back while too much is buffered."""
        self._pieces.append(chunk)
        self._buffered += len(chunk)
        self._notify()
        if self._buffered < _BUFFER_BYTES:
            return None
        self._room = asyncio.get_running_loop().create_future()
        return self._room

    def finish(self) -> None:
        """Notes that the answer is whole."""
        self._finished = True
        self._notify()

    def on_connection_close(self) -> None:
        """Notes that the connection ended before the answer was whole."""
        if not self._finished and self._broken is None:
            self._broken = Broken(reason=f"{self._address}: the connection was closed")
        self._notify()

    def _start_reading(self) -> None:
        loop = asyncio.get_running_loop()
        self._reader = loop.create_task(self._read(), name=f"exchange {self._address}")

    async def _read_detached(self) -> bytes | Broken:
        """Reads a body that ends with the connection."""
        try:
            piece: bytes = await self._stream.read_bytes(_PIECE_BYTES, partial=True)
            return piece
        except tornado.iostream.StreamClosedError as error:
            if self._broken is None and error.real_error is not None:
                self._broken = Broken(reason=f"{self._address}: {error.real_error}")
            return self._broken or b""

    async def _read(self) -> bool:
        try:
            return await self._connection.read_response(self)
        except tornado.iostream.StreamClosedError:
            self.on_connection_close()
            return False

    async def _changed(self) -> None:
        self._wake = asyncio.get_running_loop().create_future()
        await self._wake

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _take(self) -> bytes:
        taken = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        self._pieces.clear()
        self._buffered = 0
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
        return taken


class Upstreams:
    """Opens exchanges and closes those that go silent."""

    def __init__(self) -> None:
        self._client = tornado.tcpclient.TCPClient()
        self._open: set[Exchange] = set()

    async def connect(self, address: str, *, timeout: float) -> Exchange | ConnectFailed:
        """Connects to a target; no byte of a request has left before `Exchange.send`."""
        host, _, port = address.rpartition(":")
        connecting = self._client.connect(host, int(port), max_buffer_size=1 << 24)
        try:
            stream = await asyncio.wait_for(connecting, timeout)
        except (OSError, TimeoutError, tornado.iostream.StreamClosedError) as error:
            return ConnectFailed(reason=f"{address}: {error or 'no connection in time'}")
        stream.set_nodelay(True)
        _watch_for_silence(stream.socket)
        exchange = Exchange(stream=stream, address=address)
        self._open.add(exchange)
        return exchange

    def release(self, exchange: Exchange) -> None:
        """Closes an exchange and forgets it."""
        self._open.discard(exchange)
        exchange.close()

    async def watch(self) -> None:
        """Breaks silent exchanges off, for as long as the gateway runs."""
        while True:
            await asyncio.sleep(_WATCH_SECONDS)
            now = clock.monotonic()
            for exchange in [one for one in self._open if one.silent_at <= now]:
                exchange.break_off("the target went silent")


def _watch_for_silence(sock: socket.socket) -> None:
    """Lets the operating system notice a connection whose other end has lost track of it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        ("TCP_KEEPIDLE", _KEEPALIVE_IDLE_SECONDS),
        ("TCP_KEEPINTVL", _KEEPALIVE_INTERVAL_SECONDS),
        ("TCP_KEEPCNT", _KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", _UNACKED_MILLISECONDS),
    )
    for name, value in options:
        if hasattr(socket, name):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
