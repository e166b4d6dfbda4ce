"""Tests of the bound on what connections hold: which are closed, and when."""

import asyncio

import prometheus_client
import pytest
import structlog.testing

from basilpost.core import connection_memory

MAX_BYTES = 1_000


class Connection(connection_memory.HoldingConnection):
    def __init__(self, memory, *, held=0, moved=0, carries_request=False):
        self.progress = connection_memory.Progress(now=moved)
        self.held = held
        self.carries_request = carries_request
        self.dropped = False
        self._memory = memory
        memory.add(self)
        memory.note_held(self, held)

    @property
    def held_bytes(self):
        return self.held

    @property
    def may_be_dropped(self):
        return not self.carries_request

    def drop(self):
        self.dropped = True
        self.held = 0
        self._memory.remove(self)

    def read(self, size):
        self.held += size
        self.progress.now += size
        self._memory.note_held(self, size)


@pytest.fixture
def memory():
    return connection_memory.ConnectionMemory(
        max_bytes=MAX_BYTES,
        log=structlog.get_logger(),
        registry=prometheus_client.CollectorRegistry(),
    )


def test_connections_within_the_bound_are_kept(memory):
    connections = [Connection(memory) for _ in range(10)]
    for each in connections:
        each.read(MAX_BYTES // 10)
    assert not any(each.dropped for each in connections)


def test_the_connections_that_moved_least_for_what_they_hold_are_closed_first(memory):
    stalled = [Connection(memory, held=200) for _ in range(2)]
    slow = Connection(memory, held=200, moved=20)
    quick = Connection(memory, held=200, moved=2_000)
    Connection(memory).read(300)
    assert [each.dropped for each in (*stalled, slow, quick)] == [True, True, False, False]


def test_a_connection_whose_request_runs_is_kept(memory):
    running = Connection(memory, held=800, carries_request=True)
    other = Connection(memory, held=200, moved=200)
    Connection(memory).read(300)
    assert (running.dropped, other.dropped) == (False, True)


def test_the_bytes_are_counted_again_before_any_connection_is_closed(memory):
    connection = Connection(memory)
    for _ in range(100):
        connection.read(100)
        connection.held = 0
    other = Connection(memory, held=10)
    connection.read(100)
    assert not other.dropped


@pytest.mark.looptime
async def test_progress_is_that_of_the_latest_periods(memory):
    with structlog.testing.capture_logs() as lines:
        running = asyncio.create_task(memory.run())
        old = Connection(memory, held=400, moved=5_000)
        await asyncio.sleep(2.5 * connection_memory.PROGRESS_SECONDS)
        new = Connection(memory, held=400, moved=400)
        Connection(memory).read(300)
        await asyncio.sleep(connection_memory.PROGRESS_SECONDS)
        running.cancel()
    assert (old.dropped, new.dropped) == (True, False)
    (line,) = lines
    assert (line["event"], line["count"], line["bytes"]) == ("connections_dropped", 1, 400)


@pytest.mark.looptime
async def test_one_connection_beyond_the_bound_by_itself_is_closed_at_the_next_period(memory):
    running = asyncio.create_task(memory.run())
    connection = Connection(memory)
    connection.read(2 * MAX_BYTES)
    assert not connection.dropped
    await asyncio.sleep(1.5 * connection_memory.PROGRESS_SECONDS)
    running.cancel()
    assert connection.dropped
