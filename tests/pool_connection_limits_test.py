"""Limits on the connections of callers, as real sockets at a pool's node."""

import asyncio
import contextlib

import pytest

from basilpost.emulator import pool_fleet
from tests import pool_nodes

HEADER_MS = 1000
IDLE_MS = 4000
# Sweeps of a listener come once a second, and this machine may be busy.
LATE_SECONDS = 4.0
HEAD = b"POST /lookup/a HTTP/1.1\r\nHost: %b\r\nContent-Length: 1\r\n"


def configuration(version=1, *, header_ms=HEADER_MS, idle_ms=IDLE_MS):
    spec = pool_fleet.configuration(version)
    limits = {"headerTimeoutMs": header_ms, "idleTimeoutMs": idle_ms}
    return spec | {"limits": spec["limits"] | limits}


def request_bytes(attempt):
    lines = "".join(
        f"{name}: {value}\r\n" for name, value in pool_fleet.call_headers(attempt).items()
    )
    host = pool_fleet.HOST.encode()
    head = HEAD % host + lines.replace(f"Host: {pool_fleet.HOST}\r\n", "").encode()
    return head + b"\r\nx"


@contextlib.asynccontextmanager
async def running(**limits):
    async with pool_nodes.running(vms=0, spec=configuration(**limits)) as bench:
        yield bench


@contextlib.asynccontextmanager
async def connected(bench):
    host, _, port = bench.addresses[0].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


async def seconds_until_closed(reader, *, at_most):
    """Returns the seconds until the node closes a connection; fails if it does not in time."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    with contextlib.suppress(ConnectionError):
        assert await asyncio.wait_for(reader.read(), at_most) == b""
    return loop.time() - began_at


async def read_answer(reader):
    """Returns the status line of an answer, which has a length, after reading all of it."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
    length = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    await reader.readexactly(length)
    return head.split(b"\r\n")[0]


# A head without an end kept its connection for 30 s, whatever the operators' limit.
async def test_a_head_without_an_end_keeps_its_connection_beyond_the_limit():
    async with running() as bench, connected(bench) as (reader, writer):
        writer.write(HEAD % pool_fleet.HOST.encode())
        seconds = await seconds_until_closed(reader, at_most=HEADER_MS / 1000 + LATE_SECONDS)
        assert seconds >= HEADER_MS / 1000


# A connection without a byte was kept for 30 s, whatever the operators' limit.
async def test_a_connection_without_a_request_is_kept_beyond_the_limit():
    async with running() as bench, connected(bench) as (reader, _):
        seconds = await seconds_until_closed(reader, at_most=IDLE_MS / 1000 + LATE_SECONDS)
        assert seconds >= IDLE_MS / 1000


# The limits that a later configuration names did not count for connections that were open.
async def test_a_new_limit_does_not_bind_open_connections():
    async with running(idle_ms=60_000) as bench, connected(bench) as (reader, writer):
        writer.write(request_bytes("before"))
        assert (await read_answer(reader)).startswith(b"HTTP/1.1 200")
        await bench.fleet.configure(configuration(2, idle_ms=500))
        await bench.wait_for_knowledge(lambda knowledge: knowledge.configuration.version == 2)
        await seconds_until_closed(reader, at_most=0.5 + LATE_SECONDS)


@pytest.mark.parametrize("idle_share", [0.0, 0.8])
async def test_a_caller_within_the_limits_is_served_over_a_slow_link(idle_share):
    async with running(header_ms=3000) as bench, connected(bench) as (reader, writer):
        for number in range(2):
            whole = request_bytes(f"slow-{number}")
            step = len(whole) // 10 + 1
            for begin in range(0, len(whole), step):
                writer.write(whole[begin : begin + step])
                await asyncio.sleep(0.2)
            assert (await read_answer(reader)).startswith(b"HTTP/1.1 200")
            await asyncio.sleep(idle_share * IDLE_MS / 1000)


async def test_a_node_without_a_configuration_keeps_connections():
    async with pool_nodes.running(vms=0, spec=configuration(idle_ms=500)) as bench:
        bench.relays[0].knowledge.configuration = None
        async with connected(bench) as (reader, _):
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(), 0.5 + LATE_SECONDS)


def padded_request(attempt, head_bytes):
    """Returns a request whose head has this many bytes."""
    whole = request_bytes(attempt)
    head, _, body = whole.partition(b"\r\n\r\n")
    padding = head_bytes - len(head) - len(b"\r\nX-Padding: \r\n\r\n")
    return head + b"\r\nX-Padding: " + b"p" * padding + b"\r\n\r\n" + body


async def answer_to_head_of(bench, head_bytes):
    """Returns the status line of the answer to a request with such a head, empty for none."""
    async with connected(bench) as (reader, writer):
        writer.write(padded_request(f"head-{head_bytes}", head_bytes))
        try:
            return await read_answer(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""


# A head above the operators' maxHeaderBytes was taken and passed on to a runner.
async def test_a_head_above_the_operators_limit_reaches_a_runner():
    spec = configuration()
    spec["limits"]["maxHeaderBytes"] = 9_000
    async with pool_nodes.running(vms=0, spec=spec) as bench:
        assert (await answer_to_head_of(bench, 9_000)).startswith(b"HTTP/1.1 200")
        assert (await answer_to_head_of(bench, 9_100)).startswith(b"HTTP/1.1 431")
        assert await answer_to_head_of(bench, 60_000) == b""
        assert not bench.fleet.runs_of("head-9100") and not bench.fleet.runs_of("head-60000")


async def test_a_head_of_60_kb_is_read_where_operators_allow_it():
    spec = configuration()
    spec["limits"]["maxHeaderBytes"] = 100_000
    async with pool_nodes.running(vms=0, spec=spec) as bench:
        assert (await answer_to_head_of(bench, 60_000)).startswith(b"HTTP/1.1 200")
