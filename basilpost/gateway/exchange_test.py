"""Tests of answers with unusual heads on an exchange whose answer is read whole."""

import asyncio
import contextlib

import pytest

from basilpost.gateway import exchange, upstream

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


@contextlib.asynccontextmanager
async def answered_with(data):
    """Opens an exchange with a server that writes some bytes and keeps the connection open."""

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    upstreams = upstream.Upstreams()
    opened = await upstreams.connect(f"{host}:{port}", timeout=3)
    try:
        opened.send("GET", "/", {}, b"")
        yield opened
    finally:
        upstreams.release(opened)
        server.close()


@pytest.mark.parametrize("framing", [b"Content-Length: 2\r\n\r\nno", b"\r\nno"])
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
async def test_an_answer_with_an_invalid_status_never_ends_or_is_whole(status, framing):
    async with answered_with(b"HTTP/1.1 " + status + b" Odd\r\n" + framing) as opened:
        async with asyncio.timeout(3):
            assert isinstance(await opened.head(), exchange.Broken)


async def test_an_interim_answer_is_taken_for_the_answer():
    async with answered_with(b"HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER) as opened:
        async with asyncio.timeout(3):
            assert (await opened.head()).status == 200
            assert await opened.read_all(100) == b"whole"
