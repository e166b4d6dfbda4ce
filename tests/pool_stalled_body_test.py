"""Bodies that stop, trickle or go on after they were refused: when a node ends them, and how."""

import asyncio
import contextlib

import pytest

from basilpost.emulator import pool_fleet
from tests import pool_nodes

MAX_BODY_BYTES = 65_536
HEADER_SECONDS = 1.0
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": int(HEADER_SECONDS * 1000),
    "idleTimeoutMs": 15_000,
}
PIECE_SECONDS = 0.3
ANSWER_SECONDS = 10.0


class Caller:
    """A connection that sends one filing as its test likes."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    def begin(self, name, *, length=None, budget_ms=8_000):
        headers = pool_fleet.call_headers(name, budget_ms=budget_ms)
        framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
        lines = [f"{key}: {value}" for key, value in headers.items()]
        self.send("\r\n".join(["POST /filing/a HTTP/1.1", *lines, framing, "", ""]).encode())

    def send(self, data):
        self._writer.write(data)

    async def drain(self):
        async with asyncio.timeout(ANSWER_SECONDS):
            await self._writer.drain()

    async def read_status(self):
        async with asyncio.timeout(ANSWER_SECONDS):
            return int((await self._reader.readline()).split()[1])

    async def is_closed(self):
        """Reads until the end of the connection; returns True once it has come."""
        async with asyncio.timeout(ANSWER_SECONDS):
            with contextlib.suppress(OSError):
                await self._reader.read()
        return True


@pytest.fixture
async def bench():
    spec = pool_fleet.configuration() | {"limits": LIMITS}
    async with pool_nodes.running(vms=0, spec=spec) as running:
        yield running


@contextlib.asynccontextmanager
async def calling(bench):
    host, _, port = bench.addresses[0].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()


@pytest.mark.parametrize("length", [1_000, None])
async def test_a_body_that_stops_is_held_for_ever(bench, length):
    async with calling(bench) as caller:
        caller.begin("stopped", length=length)
        caller.send(b"x" if length else b"1\r\nx\r\n")
        assert await caller.read_status() == 408
        assert await caller.is_closed()
    assert not bench.fleet.runs_of("stopped")
    assert bench.relays[0].in_flight == 0


async def test_a_body_on_a_slow_link_is_refused(bench):
    async with calling(bench) as caller:
        caller.begin("slow", length=10)
        for _ in range(10):
            await asyncio.sleep(PIECE_SECONDS)
            caller.send(b"x")
        assert await caller.read_status() == 200


async def test_a_body_that_trickles_is_read_beyond_its_deadline(bench):
    async with calling(bench) as caller:
        caller.begin("trickle", length=1_000, budget_ms=1_500)
        answer = asyncio.create_task(caller.read_status())
        while not answer.done():
            caller.send(b"x")
            await asyncio.sleep(PIECE_SECONDS)
        assert await answer == 408
    assert not bench.fleet.runs_of("trickle")


async def test_a_refused_body_that_stops_keeps_its_connection_open(bench):
    async with calling(bench) as caller:
        caller.begin("refused", length=2 * MAX_BODY_BYTES)
        caller.send(b"x")
        assert await caller.read_status() == 413
        assert await caller.is_closed()


async def test_a_refused_body_that_goes_on_is_read_to_its_end(bench):
    length, piece, sent = 32_000_000, bytes(65_536), 0
    async with calling(bench) as caller:
        caller.begin("endless", length=length)
        with contextlib.suppress(OSError):
            while sent < length:
                caller.send(piece)
                await caller.drain()
                sent += len(piece)
        assert await caller.is_closed()
    assert sent < length
