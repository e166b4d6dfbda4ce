"""Tests of persistent connections against a server whose answers are given byte by byte."""

import asyncio
import contextlib
import errno
import socket
import struct

import pytest
import tornado.httputil

from basilpost.core import channels


@contextlib.asynccontextmanager
async def run_server(serve):
    """Runs a server that handles each connection with `serve(reader, writer)`."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        # A writer that is collected after its loop was closed raises an error wherever that happens.
        for writer in getattr(serve, "connections", ()):
            writer.close()


async def request(pool, address, body=b"", *, fresh=False, request_id=""):
    """Sends one request; returns the head or the failure, the body and the connection."""
    pieces = []
    channel = await pool.acquire(address, timeout=1, fresh=fresh, request_id=request_id)
    channel.send("POST", "/", tornado.httputil.HTTPHeaders({"Host": "h"}), body)
    async with asyncio.timeout(3):
        head = await channel.receive(on_head=lambda head: None, on_data=pieces.append)
    if isinstance(head, channels.Head):
        pool.release(channel)
    return head, b"".join(pieces), channel


def make_handler(data, *, close=False, reset=False):
    """Returns a connection handler that answers the head of each request with the same bytes."""
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(data)
                await writer.drain()
                if reset:
                    await asyncio.sleep(0.02)
                    linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                if close or reset:
                    writer.close()
                    return

    serve.connections = connections
    return serve


async def test_a_connection_is_kept_for_the_next_request():
    serve = make_handler(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    async with run_server(serve) as address:
        pool = channels.Pool()
        for _ in range(3):
            head, body, _ = await request(pool, address)
            assert (head.status, body) == (200, b"ok")
        assert len(serve.connections) == 1
        await request(pool, address, fresh=True)
        assert len(serve.connections) == 2
        pool.close()


async def test_a_kept_connection_is_used_although_its_end_has_arrived():
    """The event loop reads it only after the next request has chosen the connection."""
    serve = make_handler(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    async with run_server(serve) as address:
        pool = channels.Pool()
        _, _, kept = await request(pool, address)
        assert kept.usable
        serve.connections[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
        assert not kept.usable
        head, _, channel = await request(pool, address)
        assert head.status == 200
        assert channel is not kept
        pool.close()


async def test_a_request_is_sent_on_a_connection_with_unread_bytes():
    """They may wait in the stream's buffer, with the answer before them, or in the socket."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    async with run_server(serve := make_handler(answer + answer)) as address:
        pool = channels.Pool()
        for _ in range(3):
            head, body, channel = await request(pool, address)
            assert (head.status, body) == (200, b"ok")
            assert channel.stream.closed()
        assert len(serve.connections) == 3
    async with run_server(serve := make_handler(answer)) as address:
        _, _, kept = await request(pool, address)
        assert kept.usable
        serve.connections[0].write(answer)
        await serve.connections[0].drain()
        assert not kept.usable
        _, _, channel = await request(pool, address)
        assert channel is not kept
        assert len(serve.connections) == 2
        pool.close()


async def test_a_server_that_needs_single_use_gets_two_requests_on_a_connection(monkeypatch):
    monkeypatch.setattr(channels, "SINGLE_USE_SECONDS", 0.2)
    serve = make_handler(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    async with run_server(serve) as address:
        pool = channels.Pool()
        _, _, channel = await request(pool, address)
        pool.require_single_use(channel)
        for _ in range(2):
            await request(pool, address)
        assert len(serve.connections) == 3
        await asyncio.sleep(0.25)
        pool.sweep()
        for _ in range(2):
            await request(pool, address)
        # The first one was kept before, and is used again.
        assert len(serve.connections) == 3
        pool.close()


async def test_a_connection_carries_a_request_id_twice():
    """A late second answer to the first request would be taken for that to the second one."""
    serve = make_handler(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    async with run_server(serve) as address:
        pool = channels.Pool()
        _, _, first = await request(pool, address, request_id="one")
        _, _, second = await request(pool, address, request_id="one")
        assert second is not first
        _, _, third = await request(pool, address, request_id="one")
        assert third not in (first, second)
        # The connections that were passed over stay in use for other requests.
        _, _, other = await request(pool, address, request_id="two")
        assert other is third
        assert len(serve.connections) == 3
        pool.close()


async def test_requests_without_an_id_lose_their_kept_connection():
    serve = make_handler(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    async with run_server(serve) as address:
        pool = channels.Pool()
        for _ in range(3):
            await request(pool, address)
        assert len(serve.connections) == 1
        pool.close()


async def test_the_ids_of_a_connection_are_remembered_without_bound(monkeypatch):
    monkeypatch.setattr(channels, "MAX_REQUESTS_PER_CONNECTION", 10)
    serve = make_handler(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    async with run_server(serve) as address:
        pool = channels.Pool()
        for number in range(30):
            await request(pool, address, request_id=str(number))
        assert len(serve.connections) == 3
        pool.close()


async def test_a_connection_with_connection_close_is_not_kept():
    serve = make_handler(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    async with run_server(serve) as address:
        pool = channels.Pool()
        await request(pool, address)
        await request(pool, address)
        assert len(serve.connections) == 2
        pool.close()


async def test_a_connection_is_not_reused_near_the_end_of_the_announced_idle_time():
    serve = make_handler(b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
    async with run_server(serve) as address:
        pool = channels.Pool()
        await request(pool, address)
        await request(pool, address)
        assert len(serve.connections) == 2
        pool.close()


async def test_a_body_without_a_length_ends_with_its_connection():
    async with run_server(make_handler(b"HTTP/1.1 200 OK\r\n\r\nall of it", close=True)) as address:
        head, body, channel = await request(channels.Pool(), address)
        assert (head.status, body) == (200, b"all of it")
        assert not channel.usable


async def test_a_body_without_a_length_on_a_reset_connection_is_incomplete():
    async with run_server(make_handler(b"HTTP/1.1 200 OK\r\n\r\nsome", reset=True)) as address:
        head, _, _ = await request(channels.Pool(), address)
        assert isinstance(head, channels.Broken)


async def test_a_truncated_body_is_incomplete():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort"
    async with run_server(make_handler(data, close=True)) as address:
        head, _, _ = await request(channels.Pool(), address)
        assert isinstance(head, channels.Broken)


async def test_bytes_that_are_not_http_are_a_failure():
    async with run_server(make_handler(b"garbage\r\n\r\n", close=True)) as address:
        head, _, _ = await request(channels.Pool(), address)
        assert isinstance(head, channels.Broken)


async def test_an_answer_before_the_whole_request_was_read_closes_the_connection():
    """Otherwise the server could take the rest of the request for the next one."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(5)

    async with run_server(serve) as address:
        pool = channels.Pool()
        head, _, channel = await request(pool, address, b"x" * 30_000_000)
        assert head.status == 413
        assert not channel.usable


async def test_another_answer_can_be_read_after_one_to_another_request():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    async with run_server(make_handler(data + b"1" + data + b"2")) as address:
        pool = channels.Pool()
        channel = await pool.acquire(address, timeout=1)
        channel.send("GET", "/", tornado.httputil.HTTPHeaders({"Host": "h"}), b"")
        pieces = []
        for _ in range(2):
            async with asyncio.timeout(3):
                await channel.receive(on_head=lambda head: None, on_data=pieces.append)
        assert pieces == [b"1", b"2"]
        channel.close()


# A request ended with an internal error, though nothing had been sent.
async def test_a_connection_without_a_free_descriptor_raises_an_error(monkeypatch):
    def fail(*args):
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(channels.socket, "socket", fail)
    opened = await channels.Pool().acquire("127.0.0.1:1", timeout=1)
    assert isinstance(opened, channels.ConnectFailed) and "Too many open files" in opened.reason


async def test_a_refused_connection_is_a_failure_to_connect():
    async with run_server(make_handler(b"")) as address:
        pass
    failure = await channels.Pool().acquire(address, timeout=1)
    assert isinstance(failure, channels.ConnectFailed)


def answer_bytes(order, *, request_id, status, body, is_chunked):
    """Returns an answer whose headers come in one of the orders that usual HTTP servers write."""
    reason = {200: "OK", 500: "Internal Server Error"}[status]
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
    lines_by_kind = {
        "server": "Server: records/4.2",
        "date": "Date: Sun, 06 Dec 2026 12:00:00 GMT",
        "type": "Content-Type: text/plain; charset=utf-8",
        "framing": framing,
        "id": f"X-Attempt-Id: {request_id}",
        "signature": f"X-Runner-Signature: s.{status}.{len(body)}",
    }
    lines = [f"HTTP/1.1 {status} {reason}", *(lines_by_kind[kind] for kind in order), "", ""]
    content = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if is_chunked else body
    return "\r\n".join(lines).encode() + content


HEADER_ORDERS = {
    "id-last": ("server", "date", "type", "framing", "id", "signature"),
    "id-first": ("id", "signature", "date", "type", "server", "framing"),
    "framing-first": ("framing", "type", "date", "server", "signature", "id"),
    "few": ("framing", "id"),
}


@pytest.mark.parametrize("is_fresh", [False, True], ids=["kept", "fresh"])
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("order", HEADER_ORDERS.values(), ids=HEADER_ORDERS)
async def test_the_beginning_of_an_extra_answer_is_read_as_one_head_with_the_next_answer(
    order, is_chunked, is_fresh
):
    """The status of the extra answer then stands for that of the request's own one."""
    extra = answer_bytes(
        order, request_id="first", status=200, body=b"record 17\n", is_chunked=is_chunked
    )
    own = answer_bytes(
        order, request_id="second", status=500, body=b"it is locked\n", is_chunked=is_chunked
    )
    left_over = b""

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(left_over + own if b"/second" in head else extra)
        writer.close()

    async with run_server(serve) as address:
        for size in range(1, len(extra) + 1):
            left_over = extra[:size]
            pool = channels.Pool()
            channel = await pool.acquire(address, timeout=1)
            headers = {"Host": "h"}
            if not is_fresh:
                channel.send("GET", "/first", tornado.httputil.HTTPHeaders(headers), b"")
                await channel.receive(on_head=lambda head: None, on_data=lambda data: None)
            channel.send("GET", "/second", tornado.httputil.HTTPHeaders(headers), b"")
            while True:
                pieces = []
                async with asyncio.timeout(3):
                    head = await channel.receive(on_head=lambda head: None, on_data=pieces.append)
                if isinstance(head, channels.Broken):
                    break
                if head.headers["X-Attempt-Id"] == "second":
                    assert (head.status, b"".join(pieces)) == (500, b"it is locked\n"), left_over
                    break
            channel.close()
            pool.close()


@pytest.mark.parametrize("line", [b"HTTP/1.1 200 OK", b"HTTP/1.1 200 "])
async def test_a_sound_head_is_refused_as_two(line):
    """It names the protocol in a header, or no reason."""
    data = line + b"\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 2\r\n\r\nok"
    async with run_server(make_handler(data)) as address:
        pool = channels.Pool()
        head, body, _ = await request(pool, address)
        assert (head.status, body) == (200, b"ok")
        pool.close()


async def test_a_status_line_within_the_name_of_a_header_is_passed_over():
    data = b"HTTP/1.1 200 OK\r\nX-AttHTTP/1.1 500 Error: locked\r\nContent-Length: 2\r\n\r\nok"
    async with run_server(make_handler(data)) as address:
        pool = channels.Pool()
        head, _, _ = await request(pool, address)
        assert isinstance(head, channels.Broken)
        pool.close()


@pytest.mark.parametrize("keep_alive", ["timeout=\xb2", "timeout=", "timeout=" + "9" * 400, "=;,"])
async def test_an_odd_idle_time_breaks_a_sound_answer(keep_alive):
    """Its time cannot be parsed, or is no finite number."""
    data = f"HTTP/1.1 200 OK\r\nKeep-Alive: {keep_alive}\r\nContent-Length: 2\r\n\r\nok"
    async with run_server(make_handler(data.encode("latin-1"))) as address:
        pool = channels.Pool()
        head, body, _ = await request(pool, address)
        assert (head.status, body) == (200, b"ok")
        pool.close()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "body",
    [
        b"2;name=value\r\nok\r\n0\r\n\r\n",
        b'2 ; a;b="c;d"\r\nok\r\n0;last\r\n\r\n',
        b"1\r\no\r\n01\r\nk\r\n000\r\n\r\n",
        b"2\r\nok\r\n0\r\nExpires: never\r\nX-Sum: 3\r\n\r\n",
    ],
    ids=["extension", "extensions", "zeros", "trailers"],
)
async def test_a_sound_answer_in_chunks_is_taken_for_a_lost_one(body):
    """Chunks may have extensions, and headers may follow them; both are ignored (RFC 9112, 7.1)."""
    async with run_server(make_handler(CHUNKED + body)) as address:
        pool = channels.Pool()
        for _ in range(2):
            head, content, channel = await request(pool, address)
            assert (head.status, content, channel.requests) == (200, b"ok", _ + 1)
        pool.close()


@pytest.mark.parametrize(
    "body",
    [
        b"2\r\nok\r\n0\r\n",
        b"2\r\nok\r\n0\r\nX-Sum: 3\r\n",
        b"2\r\nok0\r\n\r\n",
        b"\r\nok\r\n0\r\n\r\n",
        b"-2\r\nok\r\n0\r\n\r\n",
        b"+2\r\nok\r\n0\r\n\r\n",
        b"0x2\r\nok\r\n0\r\n\r\n",
        b"1_0\r\nok\r\n0\r\n\r\n",
        b";name\r\nok\r\n0\r\n\r\n",
        b"2\r\nok\r\n" + b"1" * 20 + b"\r\n",
        b"2" + b" " * 100_000 + b"\r\nok\r\n0\r\n\r\n",
        b"2\r\nok\r\n0\r\n" + b"X-Sum: 3\r\n" * 10_000 + b"\r\n",
    ],
)
async def test_an_answer_in_unsound_chunks_is_whole(body):
    async with run_server(make_handler(CHUNKED + body, close=True)) as address:
        pool = channels.Pool()
        head, _, _ = await request(pool, address)
        assert isinstance(head, channels.Broken)
        pool.close()
