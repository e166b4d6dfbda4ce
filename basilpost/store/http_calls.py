"""HTTP calls to the platform's services; a failed call tells whether it may have been sent.

Connections of reads are kept for later reads, which saves most of a call's cost. A kept connection
may have gone silent or be closing at its other end. A read then needs a second try at most, but the
outcome of a write would be unknown, so each write has a new connection.
"""

import asyncio
import dataclasses
import ipaddress
import socket
import ssl
import urllib.parse

from tornado import http1connection, httputil, iostream, tcpclient

from basilpost.core import clock, idle_streams

# Bounds on the idle connections to the server that are kept for later reads.
_MAX_IDLE_CONNECTIONS = 8
_MAX_IDLE_SECONDS = 5.0
# Share of a read's timeout for its try on a kept connection.
_KEPT_SHARE_OF_TIMEOUT = 0.5
_MAX_ANSWER_BYTES = 256_000_000
_NOT_MODIFIED = 304
_PORTS_BY_SCHEME = {"http": 80, "https": 443}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request to a server; `path` includes the query."""

    method: str
    path: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """A complete HTTP answer; names of headers are matched in any case."""

    status: int
    body: bytes
    headers: httputil.HTTPHeaders = dataclasses.field(default_factory=httputil.HTTPHeaders)

    @property
    def etag(self) -> str:
        """Returns the ETag, empty if the server sent none."""
        return str(self.headers.get("Etag", ""))


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoReply:
    """No complete answer arrived; `sent` is False if the call surely did not reach the server."""

    reason: str
    sent: bool


class HttpClient:
    """HTTP client of one server, at a base URL such as `http://10.0.0.5:8000`.

    An answer longer than `max_answer_bytes` counts as none.
    """

    def __init__(self, *, base_url: str, max_answer_bytes: int = _MAX_ANSWER_BYTES) -> None:
        parts = urllib.parse.urlsplit(base_url)
        self._host = parts.hostname or ""
        self._port = parts.port or _PORTS_BY_SCHEME[parts.scheme]
        self._authority = parts.netloc
        self._base_path = parts.path.rstrip("/")
        self._tls = parts.scheme == "https"
        self._direct = not self._tls and _is_ip_address(self._host)
        self._idle: list[tuple[float, iostream.IOStream]] = []
        self._max_answer_bytes = max_answer_bytes
        self._parameters = http1connection.HTTP1ConnectionParameters(
            max_body_size=max_answer_bytes, decompress=True
        )

    def close(self) -> None:
        """Closes the connections that are kept for reuse."""
        for _, stream in self._idle:
            stream.close()
        self._idle.clear()

    async def read(
        self, path: str, *, timeout: float, wait: float = 0.0, etag: str | None = None
    ) -> Reply | NoReply:
        """Makes a GET; one that fails on a kept connection is repeated on a new one.

        Args:
            path: Path and query.
            timeout: Longest time in seconds for all tries together.
            wait: Part of the timeout that the server may wait before it answers.
            etag: For a large answer that changes seldom: the ETag of the known state, or empty. The
                answer is 304 without a body if the state is unchanged, else it may be compressed.
        """
        headers = {} if etag is None else {"Accept-Encoding": "gzip"}
        if etag:
            headers["If-None-Match"] = etag
        call = Call(method="GET", path=path, headers=headers)
        deadline = clock.monotonic() + timeout
        kept = self._pop_idle()
        if kept is not None:
            # The rest of the time is left for a new connection if the kept one has gone silent.
            first_try = wait + (timeout - wait) * _KEPT_SHARE_OF_TIMEOUT
            reply = await self._exchange(kept, call, timeout=first_try, keep=True)
            if isinstance(reply, Reply):
                return reply
        return await self._on_new_connection(call, deadline=deadline, keep=True)

    async def write(self, call: Call, *, timeout: float) -> Reply | NoReply:
        """Makes a call that may change the server's state, on a new connection."""
        deadline = clock.monotonic() + timeout
        return await self._on_new_connection(call, deadline=deadline, keep=False)

    async def _on_new_connection(
        self, call: Call, *, deadline: float, keep: bool
    ) -> Reply | NoReply:
        try:
            async with asyncio.timeout_at(deadline):
                stream = await self._connect()
        except (
            OSError,
            TimeoutError,
            ValueError,
            OverflowError,
            iostream.StreamClosedError,
        ) as error:
            # Addresses that no socket takes raise ValueError or OverflowError.
            return NoReply(reason=f"no connection to {self._authority}: {error!r}", sent=False)
        left = deadline - clock.monotonic()
        return await self._exchange(stream, call, timeout=left, keep=keep)

    async def _connect(self) -> iostream.IOStream:
        if not self._direct:
            client = tcpclient.TCPClient()
            return await client.connect(
                self._host,
                self._port,
                ssl_options=ssl.create_default_context() if self._tls else None,
                max_buffer_size=self._max_answer_bytes,
            )
        # TCPClient would resolve even an IP address in a thread, which costs time.
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        stream = iostream.IOStream(socket.socket(family), max_buffer_size=self._max_answer_bytes)
        try:
            await stream.connect((self._host, self._port))
        except BaseException:
            stream.close()
            raise
        return stream

    async def _exchange(
        self, stream: iostream.IOStream, call: Call, *, timeout: float, keep: bool
    ) -> Reply | NoReply:
        """Sends a call and reads its answer; keeps the connection for reuse or closes it."""
        answer = _Answer()
        complete = False
        stream.set_nodelay(True)
        connection = http1connection.HTTP1Connection(stream, True, self._parameters)
        try:
            async with asyncio.timeout(timeout):
                self._send(connection, call, keep=keep)
                await connection.read_response(answer)
                complete = answer.complete
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            return NoReply(reason=f"{call.method} {call.path}: {error!r}", sent=True)
        finally:
            if complete and keep and answer.keeps_connection and not stream.closed():
                self._idle.append((clock.monotonic(), stream))
            else:
                stream.close()
        if not complete:
            return NoReply(reason=f"{call.method} {call.path}: the answer is incomplete", sent=True)
        return Reply(status=answer.status, body=b"".join(answer.pieces), headers=answer.headers)

    def _send(self, connection: http1connection.HTTP1Connection, call: Call, *, keep: bool) -> None:
        headers = httputil.HTTPHeaders(call.headers)
        headers["Host"] = self._authority
        headers["Connection"] = "keep-alive" if keep else "close"
        if call.method != "GET":
            headers["Content-Length"] = str(len(call.body))
        start = httputil.RequestStartLine(call.method, self._base_path + call.path, "HTTP/1.1")
        written = connection.write_headers(start, headers, call.body or None)
        written.add_done_callback(_retrieve_error)
        connection.finish()

    def _pop_idle(self) -> iostream.IOStream | None:
        """Returns the connection that was used last, if it is open and not too old, else None."""
        oldest = clock.monotonic() - _MAX_IDLE_SECONDS
        while len(self._idle) > _MAX_IDLE_CONNECTIONS or (self._idle and self._idle[0][0] < oldest):
            self._idle.pop(0)[1].close()
        while self._idle:
            stream = self._idle.pop()[1]
            if not stream.closed() and idle_streams.is_quiet(stream):
                return stream
            stream.close()
        return None


class _Answer(httputil.HTTPMessageDelegate):
    """Collects the status, headers and body of an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.complete = False
        self.keeps_connection = False
        self.headers = httputil.HTTPHeaders()
        self.pieces: list[bytes] = []

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keeps the status and the headers."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.headers = headers
        has_no_body = start_line.code == _NOT_MODIFIED
        is_delimited = has_no_body or "Content-Length" in headers or "Transfer-Encoding" in headers
        closes = headers.get("Connection", "").lower() == "close"
        self.keeps_connection = is_delimited and not closes and start_line.version == "HTTP/1.1"

    def data_received(self, chunk: bytes) -> None:
        """Adds a piece of the body."""
        self.pieces.append(chunk)

    def finish(self) -> None:
        """Marks the answer as complete."""
        self.complete = True


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _retrieve_error(written: asyncio.Future[None]) -> None:
    """Retrieves a failed write's error, which asyncio would log; the following read fails too."""
    if not written.cancelled():
        written.exception()
