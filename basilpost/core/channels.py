"""A pool of persistent HTTP/1.1 connections to servers, on tornado's connection class.

Tornado's clients open a connection for each request. Here a connection is kept until it has been
idle for a while, its peer asks to close it, or anything unexpected happens on it.
"""

import asyncio
import dataclasses
import re
import socket
import typing
from collections.abc import Awaitable, Callable

import tornado.http1connection
import tornado.httputil
import tornado.iostream

from basilpost.core import answer_status, clock, failure, idle_streams

MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
READ_BYTES = 65_536
# Larger bodies are written apart from their headers.
MAX_JOINED_BODY_BYTES = 65_536
# Pieces of a body after which other connections get their turn.
PIECES_PER_PASS = 32
# For servers that announce no idle time; those keep idle connections for 5 s or longer.
DEFAULT_IDLE_SECONDS = 3.0
# Margin below the idle time that a server announces, for the transfer of the next request.
IDLE_MARGIN_SECONDS = 1.0
# Idle connections to one server that are kept for reuse.
MAX_IDLE_PER_SERVER = 32
# Time in which a server process gets one request on each connection after an answer could not be
# attributed to a request. Its next such answer would cost another request.
SINGLE_USE_SECONDS = 10.0
# Requests on one connection, which remembers their ids. It bounds that memory to some 30 kB.
MAX_REQUESTS_PER_CONNECTION = 500

# A status line within a head: a server began an answer and broke off, and the next one follows. The first
# one's status would stand for that of the next.
_STATUS_LINE = re.compile(r"HTTP/[0-9]\.[0-9] [0-9]{3}")

# The line before a chunk: its size, and extensions, which are ignored. Its length is bounded.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
MAX_CHUNK_LINE_BYTES = 4_096
# A header behind the last chunk.
_TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n")
_LINE_END = b"\r\n"
_STATUSES_WITHOUT_BODY = (204, 304)

# Takes a part of a body; no more is read until what it returns is done.
OnData = Callable[[bytes], Awaitable[None] | None]

_PARAMETERS = tornado.http1connection.HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectFailed(failure.Failure):
    """No connection could be opened, so nothing was sent.

    Attributes:
        timed_out: True if the other end did not answer in time, False if it refused.
    """

    timed_out: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broken(failure.Failure):
    """The connection failed, or carried invalid bytes, before an answer was complete.

    Attributes:
        invalid_status: Status of an answer that has none of HTTP's, None for any other failure.
    """

    invalid_status: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """Status line and headers of an HTTP answer."""

    status: int
    reason: str
    headers: tornado.httputil.HTTPHeaders

    @property
    def has_no_length(self) -> bool:
        """Returns True if the end of the connection ends the answer."""
        return (
            "Content-Length" not in self.headers
            and "Transfer-Encoding" not in self.headers
            and self.status not in _STATUSES_WITHOUT_BODY
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reuse:
    """State of a connection when a request is about to be sent on it.

    Attributes:
        requests: Number of requests that were sent on it before.
        carried: True if one of them had the same id.
        unread: True if bytes have arrived on it that no request asked for.
    """

    requests: int = 0
    carried: bool = False
    unread: bool = False


class _StreamingConnection(tornado.http1connection.HTTP1Connection):
    """Reads a body without a length in pieces until the connection ends.

    Of a body in chunks, their extensions and the headers behind the last one are ignored; Tornado
    refuses both.

    Attributes:
        has_no_length: True if the end of the connection ends the answer.
        reset: True if the connection ended with an error, not with an orderly close.
    """

    has_no_length = False
    reset = False

    async def _read_body_until_close(self, delegate: tornado.httputil.HTTPMessageDelegate) -> None:
        self.has_no_length = True
        while True:
            try:
                chunk = await self.stream.read_bytes(READ_BYTES, partial=True)
            except tornado.iostream.StreamClosedError as error:
                self.reset = error.real_error is not None
                return
            waiting = delegate.data_received(chunk)
            if waiting is not None:
                await waiting

    async def _read_chunked_body(self, delegate: tornado.httputil.HTTPMessageDelegate) -> None:
        left = MAX_BODY_BYTES
        while size := await self._read_chunk_size():
            left -= size
            if left < 0:
                raise tornado.httputil.HTTPInputError("chunked body too large")
            await self._read_chunk(size, delegate)
            if await self.stream.read_bytes(len(_LINE_END)) != _LINE_END:
                raise tornado.httputil.HTTPInputError("a chunk without its end")
        await self._skip_trailers()

    async def _read_chunk_size(self) -> int:
        line = await self.stream.read_until(_LINE_END, max_bytes=MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise tornado.httputil.HTTPInputError("invalid chunk size")
        return int(match[1], 16)

    async def _read_chunk(self, size: int, delegate: tornado.httputil.HTTPMessageDelegate) -> None:
        while size:
            piece = await self.stream.read_bytes(min(size, READ_BYTES), partial=True)
            size -= len(piece)
            waiting = delegate.data_received(piece)
            if waiting is not None:
                await waiting

    async def _skip_trailers(self) -> None:
        left = MAX_HEADER_BYTES
        while (line := await self.stream.read_until(_LINE_END, max_bytes=left)) != _LINE_END:
            left -= len(line)
            if left < len(_LINE_END) or _TRAILER_LINE.fullmatch(line) is None:
                raise tornado.httputil.HTTPInputError("invalid headers behind the last chunk")


class _Receiver(tornado.httputil.HTTPMessageDelegate):
    """Passes the head and the body of an answer to callbacks.

    Attributes:
        head: The head, None before it has arrived.
        malformed: The failure if something is wrong with the head, else None.
        finished: True once the answer is complete.
    """

    def __init__(
        self,
        *,
        address: str,
        stream: tornado.iostream.IOStream,
        on_head: Callable[[Head], None],
        on_data: OnData,
    ) -> None:
        self._address = address
        self._stream = stream
        self._on_head = on_head
        self._on_data = on_data
        self.head: Head | None = None
        self.malformed: Broken | None = None
        self.finished = False
        self._pieces = 0

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, tornado.httputil.ResponseStartLine)
        self.malformed = _find_fault(self._address, start_line, headers)
        if self.malformed is not None:
            self._stream.close()
            return
        if answer_status.is_interim(start_line.code):
            return
        self.head = Head(status=start_line.code, reason=start_line.reason, headers=headers)
        self._on_head(self.head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.head is None:
            # What had arrived behind a malformed head.
            return None
        self._pieces += 1
        waiting = self._on_data(chunk)
        if waiting is None and self._pieces % PIECES_PER_PASS == 0:
            # Pieces that have arrived already are passed on without a return to the event loop.
            return asyncio.sleep(0)
        return waiting

    def finish(self) -> None:
        self.finished = self.head is not None
        if self._stream.writing():
            # The server answered before it read the whole request. It must not take the rest for
            # another request, so the connection is closed.
            self._stream.close()


def _find_fault(
    address: str,
    start_line: tornado.httputil.ResponseStartLine,
    headers: tornado.httputil.HTTPHeaders,
) -> Broken | None:
    """Returns what is wrong with the head of an answer from an address, None if nothing is."""
    status = start_line.code
    if _joins_answers(start_line, headers):
        return Broken(reason=f"{address} sent two answers whose heads are joined")
    if not (answer_status.is_interim(status) or answer_status.is_final(status)):
        return Broken(
            reason=f"{address} sent an answer with the status {status:03}", invalid_status=status
        )
    return None


def _joins_answers(
    start_line: tornado.httputil.ResponseStartLine, headers: tornado.httputil.HTTPHeaders
) -> bool:
    """Returns True if a head holds a second status line, in its first line or in a header's value.

    One within a header's name is malformed already, as it has characters that no name has.
    """
    # Tornado gives None for a status line without a reason, although it declares a text.
    texts = [start_line.reason or "", *(value for _, value in headers.get_all())]
    return any("HTTP/" in text and _STATUS_LINE.search(text) for text in texts)


class Channel:
    """One connection to a server, for one request at a time.

    Attributes:
        address: `host:port` of the server.
        stream: The socket's stream.
        usable_until: Time on `clock.elapsed` after which the server may close it as idle.
        requests: Number of requests sent on it.
        lifetime: Run of the server process that it was opened to, empty if unknown.
        reuse: Its state when it was acquired for the current request.
        was_idle: True once it was kept idle, so that the server may have closed it meanwhile.
        carried_extra: True once it carried an answer to no request that waited; what else comes on it may
            join with the next answer, so it is not used again.
        ended_answer: True if its orderly close was the end of the last answer, which named no length. The
            end of the server process looks the same.
    """

    def __init__(
        self, *, address: str, stream: tornado.iostream.IOStream, lifetime: str = ""
    ) -> None:
        self.address = address
        self.lifetime = lifetime
        self.stream = stream
        self.usable_until = 0.0
        self.requests = 0
        self.reuse = Reuse()
        self.was_idle = False
        self.carried_extra = False
        self.ended_answer = False
        # Hashes take less room than ids, which callers choose.
        self._carried_ids: set[int] = set()
        self._connection: _StreamingConnection | None = None
        self._closed = False

    def begin(self, request_id: str) -> None:
        """Records that a request with an id, empty if it has none, is sent next."""
        self.reuse = Reuse(
            requests=self.requests, carried=self.has_carried(request_id), unread=self.has_unread
        )
        if request_id:
            self._carried_ids.add(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Returns True if a request with this id was sent on this connection."""
        return hash(request_id) in self._carried_ids

    def send(
        self,
        method: str,
        path: str,
        headers: tornado.httputil.HTTPHeaders,
        body: bytes | bytearray,
    ) -> None:
        """Writes one request; a failure is reported when the answer is read."""
        self.requests += 1
        if body or method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(body))
        self._connection = _StreamingConnection(self.stream, True, _PARAMETERS)
        start = tornado.httputil.RequestStartLine(method, path, "HTTP/1.1")
        try:
            writing = self._write(self._connection, start, headers, body)
            writing.add_done_callback(_retrieve_error)
            self._connection.finish()
        except tornado.iostream.StreamClosedError:
            self.stream.close()

    @staticmethod
    def _write(
        connection: _StreamingConnection,
        start: tornado.httputil.RequestStartLine,
        headers: tornado.httputil.HTTPHeaders,
        body: bytes | bytearray,
    ) -> "asyncio.Future[None]":
        """Writes a request; a large body apart from the headers, as joining them would copy it."""
        if len(body) <= MAX_JOINED_BODY_BYTES:
            return connection.write_headers(start, headers, bytes(body) or None)
        connection.write_headers(start, headers).add_done_callback(_retrieve_error)
        # Tornado writes any buffer of bytes without a copy.
        return connection.write(typing.cast(bytes, body))

    async def receive(self, *, on_head: Callable[[Head], None], on_data: OnData) -> Head | Broken:
        """Reads one answer; returns its head once the body is complete.

        After an answer to another request, a further call without `send` reads the next answer.
        """
        connection, self._connection = self._connection, None
        if connection is None:
            # The previous answer did not belong to the request; its own may follow.
            connection = _StreamingConnection(self.stream, True, _PARAMETERS)
            connection.finish()
        receiver = _Receiver(
            address=self.address, stream=self.stream, on_head=on_head, on_data=on_data
        )
        try:
            await connection.read_response(receiver)
        except tornado.iostream.StreamClosedError as error:
            return receiver.malformed or Broken(
                reason=f"{self.address} closed the connection: {error.real_error}"
            )
        except tornado.httputil.HTTPInputError as error:
            return Broken(reason=f"{self.address} sent bytes that are not an HTTP answer: {error}")
        if receiver.head is None or not receiver.finished or connection.reset or self._closed:
            self.close()
            return receiver.malformed or Broken(reason=f"{self.address} closed the connection")
        self.ended_answer = connection.has_no_length
        self._set_idle_time(receiver.head.headers)
        return receiver.head

    def _set_idle_time(self, headers: tornado.httputil.HTTPHeaders) -> None:
        idle_seconds = DEFAULT_IDLE_SECONDS
        for part in headers.get("Keep-Alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isascii() and value.isdigit():
                idle_seconds = max(0.0, float(value) - IDLE_MARGIN_SECONDS)
        if headers.get("Connection", "").lower() == "close":
            idle_seconds = 0.0
        self.usable_until = clock.elapsed() + idle_seconds

    def close(self) -> None:
        """Closes the connection, which makes the server stop work on a running request.

        An answer without a length that is being read is then not complete.
        """
        self._closed = True
        self.stream.close()

    async def closes_within(self, seconds: float) -> bool:
        """Returns True if the other end closes the connection, on which nothing was sent, in time."""
        closed = asyncio.Event()
        self.stream.set_close_callback(closed.set)
        try:
            async with asyncio.timeout(seconds):
                await closed.wait()
        except TimeoutError:
            return False
        return True

    @property
    def usable(self) -> bool:
        """Returns True if another request may be sent on this connection.

        Bytes that wait on it belong to no request that is still to come.
        """
        return (
            not self.stream.closed()
            and not self.stream.writing()
            and clock.elapsed() < self.usable_until
            and self.requests < MAX_REQUESTS_PER_CONNECTION
            and not self.carried_extra
            and idle_streams.is_quiet(self.stream)
        )

    @property
    def has_unread(self) -> bool:
        """Returns True if bytes have arrived that nobody has read, also if the loop has not read them."""
        return not self.stream.closed() and idle_streams.has_unread(self.stream)


class Pool:
    """Connections to many servers; idle ones are kept for reuse."""

    def __init__(
        self, *, source_host: str = "", on_unread: Callable[[Channel], None] | None = None
    ) -> None:
        """Creates an empty pool.

        Args:
            source_host: IP address from which connections are opened, empty for the system's choice.
            on_unread: Called with a connection before it is closed because bytes wait on it.
        """
        self._source_host = source_host
        self._on_unread = on_unread
        self._idle_by_address: dict[str, list[Channel]] = {}
        # By address and lifetime.
        self._single_use_until_by_server: dict[tuple[str, str], float] = {}

    async def acquire(
        self,
        address: str,
        *,
        timeout: float,
        fresh: bool = False,
        lifetime: str = "",
        request_id: str = "",
    ) -> Channel | ConnectFailed:
        """Returns an idle connection, or opens one within `timeout` seconds.

        Args:
            address: `host:port` of the server.
            timeout: Longest time in seconds for opening a connection.
            fresh: True to open a new connection in any case. The server may have closed an idle
                one, and then it is unknown whether a request sent on it has run.
            lifetime: Run of the server process that must answer. A connection to an earlier one is not
                used: after a failure of its host, nothing tells this end that it is closed.
            request_id: Id of the request that will be sent, empty if it has none. A connection carries
                an id once: a late second answer to the earlier request could not be told from the
                answer to this one.
        """
        single_use = self._is_single_use(address, lifetime)
        channel = None if fresh or single_use else self._take_idle(address, lifetime, request_id)
        if channel is not None:
            channel.begin(request_id)
            return channel
        opened = await _open(
            address, timeout=timeout, lifetime=lifetime, source_host=self._source_host
        )
        if isinstance(opened, Channel):
            opened.begin(request_id)
        return opened

    def _take_idle(self, address: str, lifetime: str, request_id: str) -> Channel | None:
        """Returns the connection that was used last among those for a request, None without one."""
        idle = self._idle_by_address.get(address, [])
        passed_over: list[Channel] = []
        taken: Channel | None = None
        while idle and taken is None:
            channel = idle.pop()
            if not channel.usable or channel.lifetime != lifetime:
                self._drop(channel)
            elif channel.has_carried(request_id):
                passed_over.append(channel)
            else:
                taken = channel
        idle.extend(reversed(passed_over))
        return taken

    def require_single_use(self, channel: Channel) -> None:
        """Has connections to the server process of a connection carry one request each for a while.

        An answer that names no request can only be attributed on a connection with one request.
        """
        server = channel.address, channel.lifetime
        self._single_use_until_by_server[server] = clock.elapsed() + SINGLE_USE_SECONDS

    def _is_single_use(self, address: str, lifetime: str) -> bool:
        until = self._single_use_until_by_server.get((address, lifetime))
        return until is not None and clock.elapsed() < until

    def release(self, channel: Channel) -> None:
        """Keeps a connection for reuse after a complete answer, or closes it if it is unusable."""
        idle = self._idle_by_address.setdefault(channel.address, [])
        single_use = self._is_single_use(channel.address, channel.lifetime)
        if channel.usable and not single_use and len(idle) < MAX_IDLE_PER_SERVER:
            channel.was_idle = True
            idle.append(channel)
        else:
            self._drop(channel)

    def keep_unused(self, channel: Channel) -> None:
        """Keeps a new connection, on which nothing was sent, for a request."""
        channel.usable_until = clock.elapsed() + DEFAULT_IDLE_SECONDS
        self.release(channel)

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        now = clock.elapsed()
        self._single_use_until_by_server = {
            server: until
            for server, until in self._single_use_until_by_server.items()
            if until > now
        }
        for address, idle in list(self._idle_by_address.items()):
            kept = [channel for channel in idle if channel.usable]
            for channel in idle:
                if channel not in kept:
                    self._drop(channel)
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def _drop(self, channel: Channel) -> None:
        if self._on_unread is not None and channel.has_unread:
            self._on_unread(channel)
        channel.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for channel in [channel for idle in self._idle_by_address.values() for channel in idle]:
            channel.close()
        self._idle_by_address.clear()


async def _open(
    address: str, *, timeout: float, lifetime: str, source_host: str
) -> Channel | ConnectFailed:
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        # The process has no descriptor left.
        return ConnectFailed(reason=f"{address}: {type(error).__name__} {error}")
    stream = tornado.iostream.IOStream(sock, max_buffer_size=MAX_BODY_BYTES)
    stream.set_nodelay(True)
    try:
        if source_host:
            sock.bind((source_host, 0))
        async with asyncio.timeout(timeout):
            # An address that no socket takes raises ValueError or OverflowError.
            await stream.connect((host, int(port)))
    except (
        OSError,
        TimeoutError,
        ValueError,
        OverflowError,
        tornado.iostream.StreamClosedError,
    ) as error:
        stream.close()
        return ConnectFailed(
            reason=f"{address}: {type(error).__name__} {error}",
            timed_out=isinstance(error, TimeoutError),
        )
    except asyncio.CancelledError:
        stream.close()
        raise
    return Channel(address=address, stream=stream, lifetime=lifetime)


def _retrieve_error(writing: "asyncio.Future[None]") -> None:
    # A failed write also fails the read that follows; asyncio would log an error left unretrieved.
    if not writing.cancelled():
        writing.exception()
