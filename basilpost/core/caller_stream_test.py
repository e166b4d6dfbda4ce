"""Tests of what the connections of callers report to the bound on it."""

import asyncio
import contextlib
import socket

import prometheus_client
import pytest
import structlog
import tornado.iostream

from basilpost.core import caller_stream, connection_memory, turns

LARGE = 8_000_000


@pytest.fixture
def memory():
    return connection_memory.ConnectionMemory(
        max_bytes=10 * LARGE,
        log=structlog.get_logger(),
        registry=prometheus_client.CollectorRegistry(),
    )


@pytest.fixture
async def ends(memory):
    near, far = socket.socketpair()
    far.setblocking(False)
    near.setblocking(False)
    stream = caller_stream.CallerStream(
        near, memory=memory, read_turns=turns.Turns(), max_buffer_size=LARGE
    )
    with contextlib.closing(far):
        yield stream, far
    stream.close()


async def test_bytes_that_are_not_parsed_are_held(ends):
    stream, far = ends
    reading = asyncio.ensure_future(stream.read_until(b"\r\n", max_bytes=100_000))
    far.send(b"x" * 1_000)
    await asyncio.sleep(0.05)
    assert (stream.held_bytes, stream.progress.now) == (1_000, 1_000)
    far.send(b"\r\nnext")
    await reading
    assert stream.held_bytes == 4


async def test_an_answer_is_held_until_its_caller_takes_it(ends):
    stream, far = ends
    writing = stream.write(b"x" * LARGE)
    assert 0 < stream.held_bytes == LARGE - stream.progress.now
    while not writing.done():
        with contextlib.suppress(BlockingIOError):
            far.recv(1_000_000)
        await asyncio.sleep(0)
    assert (stream.held_bytes, stream.progress.now) == (0, LARGE)


async def test_a_request_that_runs_keeps_its_connection_until_its_answer_has_begun(ends):
    stream, _ = ends
    assert stream.may_be_dropped
    stream.carries_request = True
    assert not stream.may_be_dropped
    stream.write(b"x" * LARGE)
    assert stream.may_be_dropped


async def test_nothing_is_parsed_of_what_a_dropped_connection_had_read(ends):
    stream, far = ends
    reading = asyncio.ensure_future(stream.read_until(b"\r\n", max_bytes=100_000))
    far.send(b"x" * 1_000)
    await asyncio.sleep(0.05)
    stream.drop()
    assert stream.held_bytes == 0
    with pytest.raises(tornado.iostream.StreamClosedError):
        await reading


async def test_a_connection_parses_its_lines_in_turns(ends):
    stream, far = ends
    lines = 4 * turns.READS_PER_PASS
    far.send(b"\r\n" * lines)
    passes = 0

    async def count_passes():
        nonlocal passes
        while True:
            passes += 1
            await asyncio.sleep(0)

    counting = asyncio.create_task(count_passes())
    for _ in range(lines):
        await stream.read_until(b"\r\n", max_bytes=64)
    counting.cancel()
    assert passes >= lines // turns.READS_PER_PASS


async def test_a_connection_that_is_closed_while_it_waits_for_its_turn_ends_there(ends):
    stream, far = ends
    while stream._turns.take():
        pass
    reading = asyncio.ensure_future(stream.read_until(b"\r\n", max_bytes=64))
    await asyncio.sleep(0)
    stream.close()
    with pytest.raises(tornado.iostream.StreamClosedError):
        await reading


async def test_the_pieces_of_a_body_that_arrives_are_held(ends):
    stream, _ = ends
    stream.note_piece(100)
    assert stream.held_bytes == 200
    for _ in range(10):
        stream.note_piece(caller_stream.READ_BYTES)
    assert stream.held_bytes == 2 * caller_stream.READ_BYTES
