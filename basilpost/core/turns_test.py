"""Tests of the turns of readers: what one pass of the event loop serves, and in which order."""

import asyncio
import collections

from basilpost.core import turns


async def read(gate, order, name, count):
    """Makes some reads as a connection does, and notes each."""
    granted = 0
    for _ in range(count):
        if granted:
            granted -= 1
        elif not gate.take():
            granted = await gate.wait() - 1
        order.append(name)


async def test_one_pass_of_the_event_loop_serves_a_bounded_number_of_reads():
    gate, order, most = turns.Turns(), [], 0
    reading = asyncio.gather(*(read(gate, order, name, 1_000) for name in range(20)))
    while not reading.done():
        before = len(order)
        await asyncio.sleep(0)
        most = max(most, len(order) - before)
    assert len(order) == 20_000
    assert most <= turns.READS_PER_PASS


async def test_readers_take_turns():
    gate, order = turns.Turns(), []
    many = asyncio.gather(*(read(gate, order, name, 2_000) for name in range(10)))
    while len(order) < 3_000:
        await asyncio.sleep(0)
    counts = collections.Counter(order)
    # The first one may have had a pass before the others came.
    ahead = turns.READS_PER_PASS + turns.READS_PER_TURN
    assert max(counts.values()) - min(counts.values()) <= ahead
    await read(gate, order, "late", 5)
    # The turns of all others are before the first read of the late one.
    assert order.index("late") < 3_000 + 11 * turns.READS_PER_TURN + turns.READS_PER_PASS
    await many


async def test_a_reader_that_left_costs_the_others_no_turn():
    gate, order = turns.Turns(), []
    leaving = [asyncio.create_task(read(gate, order, "left", 10_000)) for _ in range(5)]
    await asyncio.sleep(0)
    for task in leaving:
        task.cancel()
    await read(gate, order, "stays", 1_000)
    assert order.count("stays") == 1_000


async def test_a_single_reader_is_served_without_waiting():
    gate = turns.Turns()
    for _ in range(10):
        assert all(gate.take() for _ in range(turns.READS_PER_PASS))
        assert not gate.take()
        await asyncio.sleep(0)
