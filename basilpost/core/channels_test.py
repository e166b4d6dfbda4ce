"""Tests of kept connections against a server that is scripted byte by byte."""

import asyncio
import contextlib
import socket
import struct

import tornado.httputil

from basilpost.core import channels


@contextlib.asynccontextmanager
async def scripted(serve):
    """Runs a server that handles each connection with `serve(reader, writer)`."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


async def ask(pool, address, body=b"", *, fresh=False):
    """Sends one request; returns the head or what went wrong, and the body."""
    pieces = []
    channel = await pool.acquire(address, timeout=1, fresh=fresh)
    channel.send("POST", "/", tornado.httputil.HTTPHeaders({"Host": "h"}), body)
    async with asyncio.timeout(3):
        head = await channel.receive(on_head=lambda head: None, on_data=pieces.append)
    if isinstance(head, channels.Head):
        pool.release(channel)
    return head, b"".join(pieces), channel


def answering(data, *, close=False, reset=False):
    """Returns a server that answers each head with the same bytes."""
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
    serve = answering(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    async with scripted(serve) as address:
        pool = channels.Pool()
        for _ in range(3):
            head, body, _ = await ask(pool, address)
            assert (head.status, body) == (200, b"ok")
        assert len(serve.connections) == 1
        await ask(pool, address, fresh=True)
        assert len(serve.connections) == 2
        pool.close()


async def test_a_connection_that_its_server_wants_closed_is_not_kept():
    serve = answering(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    async with scripted(serve) as address:
        pool = channels.Pool()
        await ask(pool, address)
        await ask(pool, address)
        assert len(serve.connections) == 2
        pool.close()


async def test_idle_time_that_a_server_announces_is_kept_with_a_margin():
    serve = answering(b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
    async with scripted(serve) as address:
        pool = channels.Pool()
        await ask(pool, address)
        await ask(pool, address)
        assert len(serve.connections) == 2
        pool.close()


async def test_a_body_without_a_length_ends_with_its_connection():
    async with scripted(answering(b"HTTP/1.1 200 OK\r\n\r\nall of it", close=True)) as address:
        head, body, channel = await ask(channels.Pool(), address)
        assert (head.status, body) == (200, b"all of it")
        assert not channel.usable


async def test_a_body_without_a_length_whose_connection_is_reset_is_not_whole():
    async with scripted(answering(b"HTTP/1.1 200 OK\r\n\r\nsome", reset=True)) as address:
        head, _, _ = await ask(channels.Pool(), address)
        assert isinstance(head, channels.Broken)


async def test_a_truncated_body_is_not_whole():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort"
    async with scripted(answering(data, close=True)) as address:
        head, _, _ = await ask(channels.Pool(), address)
        assert isinstance(head, channels.Broken)


async def test_bytes_that_are_no_answer_are_not_taken_for_one():
    async with scripted(answering(b"garbage\r\n\r\n", close=True)) as address:
        head, _, _ = await ask(channels.Pool(), address)
        assert isinstance(head, channels.Broken)


async def test_an_answer_before_the_whole_request_was_read_ends_the_connection():
    """The rest of the request must not be taken for another one."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(5)

    async with scripted(serve) as address:
        pool = channels.Pool()
        head, _, channel = await ask(pool, address, b"x" * 30_000_000)
        assert head.status == 413
        assert not channel.usable


async def test_a_second_answer_can_be_read_after_a_stray_one():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    async with scripted(answering(data + b"1" + data + b"2")) as address:
        pool = channels.Pool()
        channel = await pool.acquire(address, timeout=1)
        channel.send("GET", "/", tornado.httputil.HTTPHeaders({"Host": "h"}), b"")
        pieces = []
        for _ in range(2):
            async with asyncio.timeout(3):
                await channel.receive(on_head=lambda head: None, on_data=pieces.append)
        assert pieces == [b"1", b"2"]
        channel.close()


async def test_no_connection_is_told_from_a_broken_one():
    async with scripted(answering(b"")) as address:
        pass
    found = await channels.Pool().acquire(address, timeout=1)
    assert isinstance(found, channels.ConnectFailed)
