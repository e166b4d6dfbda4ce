"""Tests of which bodies may lose their room, and in which order."""

import asyncio
import time

import pytest

from basilpost.gateway import body_progress

STALLED_SECONDS = body_progress.STALLED_SECONDS + 2 * body_progress.TICK_SECONDS


def add(arrivals, *, size=0, room=1_000):
    arrival = body_progress.Arrival(give_up=lambda: None, size=size, room=room)
    arrivals.add(arrival)
    return arrival


@pytest.fixture
def arrivals():
    return body_progress.Arrivals(on_tick=lambda: None)


@pytest.mark.looptime
async def test_a_body_yields_once_no_byte_has_come_for_some_time(arrivals):
    arrival = add(arrivals, size=500)
    await asyncio.sleep(body_progress.STALLED_SECONDS - body_progress.TICK_SECONDS)
    assert arrivals.yielding() == []
    await asyncio.sleep(STALLED_SECONDS)
    assert arrivals.yielding() == [arrival]
    arrival.idle_ticks = 0
    assert arrivals.yielding() == []


@pytest.mark.looptime
async def test_the_body_that_moved_least_for_its_room_yields_first(arrivals):
    nearly_whole = add(arrivals, size=999)
    empty = add(arrivals)
    half = add(arrivals, size=500)
    await asyncio.sleep(STALLED_SECONDS)
    assert arrivals.yielding() == [empty, half, nearly_whole]
    arrivals.remove(empty)
    assert arrivals.yielding() == [half, nearly_whole]


async def test_a_body_does_not_yield_for_a_time_in_which_the_event_loop_was_held_up(arrivals):
    add(arrivals)
    time.sleep(2 * STALLED_SECONDS)  # noqa: ASYNC251
    await asyncio.sleep(1.5 * body_progress.TICK_SECONDS)
    assert arrivals.yielding() == []
