"""An exchange whose answer is a stream of events that this node relays.

A node spends most of its processor time on relaying tokens, so the path of a token is short. The
request is sent as HTTP/1.0, to which a target answers without chunked encoding. The event loop passes
what it has read directly to the receiver, without waking a task. A task wakes only at the end of the
stream and when the connection to the HTTP caller is congested. HTTP/1.0 does not tell whether the body is
complete; the events do.
"""

import abc
import asyncio
from collections.abc import Mapping

import tornado.httputil

from basilpost.core import answer_status, clock
from basilpost.gateway import exchange

_END_OF_HEAD = b"\r\n\r\n"
_MAX_HEAD_BYTES = 65_536
# Interim heads, such as 100 Continue, before that of the answer.
_MAX_INTERIM_HEADS = 8
_MAX_BUFFERED_BYTES = 262_144


class Receiver(abc.ABC):
    """Receives a stream in pieces."""

    @abc.abstractmethod
    def receive(self, piece: bytes) -> None:
        """Processes a piece; must not raise."""

    @property
    @abc.abstractmethod
    def ended(self) -> bool:
        """Returns True if no more pieces are needed."""

    @property
    @abc.abstractmethod
    def congested(self) -> bool:
        """Returns True while no more should be read from the target."""

    @abc.abstractmethod
    async def wait_writable(self) -> None:
        """Waits until the receiver is no longer congested."""


class EventExchange(exchange.Exchange, asyncio.Protocol):
    """One request whose answer is usually a stream of events.

    The code that opened it awaits `forward_stream` for a stream of events, or `read` for an answer that
    has a Content-Length.
    """

    def __init__(self, *, address: str) -> None:
        super().__init__(address=address)
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._receiver: Receiver | None = None
        self._length: int | None = None
        self._interim_heads = 0
        self._max_silence = float("inf")

    def send(self, method: str, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Writes the whole request; from then on it may reach the target."""
        fields = {**headers, "Host": self.address, "Content-Length": str(len(body))}
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([f"{method} {path} HTTP/1.0", *lines, "", ""])
        if self._transport is not None:
            self._transport.write(head.encode("latin1") + body)

    async def forward_stream(
        self, receiver: Receiver, *, max_silence: float
    ) -> exchange.Broken | None:
        """Forwards the stream to the receiver until the answer or the receiver ends.

        Args:
            receiver: Gets each piece as soon as it is read.
            max_silence: Longest time in seconds without a piece.

        Returns:
            None if the receiver or the answer ended, else the failure that broke the stream off.
        """
        self._max_silence = max_silence
        self._receiver = receiver
        buffered, self._buffer = self._buffer, b""
        self._resume()
        if buffered:
            self._deliver(buffered)
        while not receiver.ended and not self._finished and self._broken is None:
            await self._wait_for_change()
            if receiver.congested:
                await self._wait_for_room(receiver)
        return self._broken

    async def read(self) -> bytes | exchange.Broken:
        """Waits for more of a body that is not a stream; the answer must have a Content-Length."""
        if self.received_head is not None and self._length is None:
            return exchange.Broken(reason=f"{self.address}: the answer names no length")
        while not self._buffer and not self._finished and self._broken is None:
            await self._wait_for_change()
        if self._buffer:
            body_part, self._buffer = self._buffer, b""
            self._resume()
            return body_part
        if self._length:
            return exchange.Broken(reason=f"{self.address}: the body was cut short")
        return self._broken or b""

    def close(self) -> None:
        """Closes the connection, which cancels the request at the target."""
        self.silent_at = float("inf")
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; part of asyncio's protocol interface."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Delivers or buffers what was read; part of asyncio's protocol interface."""
        if self._receiver is not None:
            self._deliver(data)
            return
        self._buffer += data
        if self.received_head is None:
            self._read_head()
        elif self._length is not None:
            self._count_body(len(data))
        self._notify()
        if len(self._buffer) > _MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the answer; part of asyncio's protocol interface."""
        if error is None and self.received_head is not None:
            self._finished = True
        self._fail(str(error) if error is not None else "the connection was closed")

    def _deliver(self, piece: bytes) -> None:
        receiver = self._receiver
        assert receiver is not None
        self.silent_at = clock.monotonic() + self._max_silence
        receiver.receive(piece)
        if receiver.ended or receiver.congested:
            self._notify()

    async def _wait_for_room(self, receiver: Receiver) -> None:
        """Stops reading while the caller's connection is congested; this does not count as silence."""
        assert self._transport is not None
        self._transport.pause_reading()
        self.silent_at = float("inf")
        await receiver.wait_writable()
        self.silent_at = clock.monotonic() + self._max_silence
        self._resume()

    def _read_head(self) -> None:
        """Reads the head of the answer once it is complete, and passes over interim ones before it."""
        while self.received_head is None and self._broken is None:
            end = self._buffer.find(_END_OF_HEAD)
            if end < 0:
                if len(self._buffer) > _MAX_HEAD_BYTES:
                    self.abort("the head of the answer is too large")
                return
            raw = self._buffer[:end].decode("latin1")
            self._buffer = self._buffer[end + len(_END_OF_HEAD) :]
            try:
                self._parse_head(raw)
            except (tornado.httputil.HTTPInputError, ValueError) as error:
                self.abort(f"malformed head: {error}")

    def _parse_head(self, raw: str) -> None:
        first, _, rest = raw.partition("\r\n")
        start = tornado.httputil.parse_response_start_line(first)
        if answer_status.is_interim(start.code):
            self._interim_heads += 1
            if self._interim_heads > _MAX_INTERIM_HEADS:
                self.abort("too many interim heads")
            return
        if not answer_status.is_final(start.code):
            self.abort(f"an answer with the status {start.code:03}")
            return
        headers = tornado.httputil.HTTPHeaders.parse(rest)
        if "Transfer-Encoding" in headers:
            self.abort("chunks in answer to HTTP/1.0")
            return
        self.first_byte_at = clock.monotonic()
        if "Content-Length" in headers:
            length = headers["Content-Length"]
            if not (length.isascii() and length.isdigit()):
                raise ValueError(f"the length is {length!r}")
            self._length = int(length)
            self._count_body(len(self._buffer))
        self.received_head = exchange.Head(status=start.code, headers=headers)

    def _count_body(self, count: int) -> None:
        assert self._length is not None
        self._length = max(0, self._length - count)
        self._finished = self._length == 0
