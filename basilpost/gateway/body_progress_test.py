"""Tests of which bodies may lose their room, and in which order."""

import asyncio
import time

import pytest

from basilpost.gateway import body_progress

LIMITS = body_progress.Limits(idle_seconds=3.0, whole_seconds=10.0)
STALLED_SECONDS = body_progress.STALLED_SECONDS + 2 * body_progress.TICK_SECONDS


def add(arrivals, *, size=0, room=1_000):
    given_up = []
    arrival = body_progress.Arrival(
        give_up=given_up.append, limits=lambda: LIMITS, size=size, room=room
    )
    arrival.given_up = given_up
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


@pytest.mark.looptime
async def test_a_body_without_a_byte_for_the_limit_is_given_up_though_nobody_waits(arrivals):
    arrival = add(arrivals, size=500)
    await asyncio.sleep(LIMITS.idle_seconds - 2 * body_progress.TICK_SECONDS)
    assert arrival.given_up == []
    await asyncio.sleep(1.0)
    assert arrival.given_up == [body_progress.Cause.IDLE]


@pytest.mark.looptime
async def test_a_slow_body_is_given_up_once_its_time_is_over(arrivals):
    arrival = add(arrivals)
    for _ in range(49):
        await asyncio.sleep(LIMITS.whole_seconds / 50)
        arrival.idle_ticks = 0
    assert arrival.given_up == []
    await asyncio.sleep(0.5)
    assert arrival.given_up == [body_progress.Cause.DEADLINE]


@pytest.mark.looptime
async def test_the_time_in_which_a_body_waits_for_room_does_not_count(arrivals):
    arrival = add(arrivals)
    arrival.waits = True
    await asyncio.sleep(2 * LIMITS.whole_seconds)
    assert (arrival.given_up, arrival.ticks) == ([], 0)
