"""Tests of the bound on bodies: who gets room, who waits, and who is refused."""

import asyncio

import pytest

from basilpost.gateway import body_memory

MB = body_memory.BYTES_PER_MB
MAX_BYTES = 10 * MB


@pytest.fixture
def memory():
    return body_memory.BodyMemory(max_bytes=MAX_BYTES)


def make_body(memory, *, max_bytes=5 * MB, priority=1, wait_seconds=0.5):
    terms = body_memory.WaitTerms(priority=priority, wait_seconds=wait_seconds)
    return body_memory.Body(memory=memory, max_bytes=max_bytes, terms=lambda: terms)


async def begin(memory, *, size=5 * MB, **options):
    body = make_body(memory, **options)
    waiting = body.begin(size)
    if waiting is not None:
        await waiting
    return body


@pytest.mark.looptime
async def test_bodies_beyond_the_bound_are_not_read_before_others_are_answered(memory):
    held = [await begin(memory) for _ in range(2)]
    third = asyncio.create_task(begin(memory))
    await asyncio.sleep(0.1)
    assert not third.done()
    held[0].release()
    assert (await third).refusal is None
    assert memory.held == MAX_BYTES


@pytest.mark.looptime
async def test_a_body_without_room_in_time_is_refused_as_not_run(memory):
    for _ in range(2):
        await begin(memory)
    refusal = (await begin(memory)).refusal
    assert (refusal.code, refusal.status, refusal.retry_after) == ("memory_full", 503, 0.5)
    assert memory.held == MAX_BYTES


@pytest.mark.looptime
async def test_urgent_and_then_small_bodies_get_room_first(memory):
    held = await begin(memory, size=MAX_BYTES, max_bytes=MAX_BYTES)
    order = []

    async def wait(name, **options):
        await begin(memory, **options)
        order.append(name)

    waits = [
        asyncio.create_task(wait("late", priority=5)),
        asyncio.create_task(wait("large", priority=0, size=3 * MB)),
        asyncio.create_task(wait("small", priority=0, size=2 * MB)),
    ]
    await asyncio.sleep(0.1)
    held.release()
    await asyncio.gather(*waits)
    assert order == ["small", "large", "late"]


async def test_small_bodies_do_not_wait_behind_large_ones(memory):
    await begin(memory, size=MAX_BYTES, max_bytes=MAX_BYTES)
    assert make_body(memory).begin(body_memory.SMALL_BODY_BYTES) is None


async def test_a_body_above_the_limit_of_the_operators_is_refused_before_it_is_read(memory):
    body = make_body(memory, max_bytes=MB)
    assert body.begin(MB + 1) is None
    assert body.add(b"x") is None
    assert (body.refusal.status, body.join(), memory.held) == (413, b"", 0)


async def test_a_body_in_chunks_is_refused_once_it_exceeds_the_limit_of_the_operators(memory):
    body = make_body(memory, max_bytes=3)
    body.begin(0)
    assert body.add(b"abc") is None
    assert memory.held == 3
    body.add(b"d")
    assert (body.refusal.status, memory.held) == (413, 0)


@pytest.mark.looptime
async def test_bodies_in_chunks_wait_for_each_other_until_they_are_refused(memory):
    """Each of them holds a part of its room, so that none gets the rest."""

    async def upload():
        body = make_body(memory, max_bytes=2 * MB, wait_seconds=0.9)
        body.begin(0)
        for _ in range(16):
            waiting = body.add(b"x" * (2 * MB // 16))
            if waiting is not None:
                await waiting
            await asyncio.sleep(0.003)
        body.join()
        body.release()
        return body.refusal

    assert set(await asyncio.gather(*(upload() for _ in range(40)))) == {None}
    assert memory.held == 0


async def test_a_body_in_chunks_keeps_room_that_it_does_not_need(memory):
    body = make_body(memory)
    body.begin(0)
    for _ in range(3):
        body.add(b"x" * body_memory.SMALL_BODY_BYTES)
    body.join()
    assert memory.held == 3 * body_memory.SMALL_BODY_BYTES
    body.release()
    assert memory.held == 0


async def test_a_body_arrives_whole_whether_its_length_is_known_or_not(memory):
    data = bytes(range(256)) * 1024
    for length in (len(data), 0):
        body = make_body(memory)
        body.begin(length)
        for at in range(0, len(data), 10_000):
            body.add(data[at : at + 10_000])
        assert bytes(body.join()) == data
        body.release()
    assert memory.held == 0


@pytest.mark.looptime
async def test_a_caller_that_leaves_while_its_body_waits_takes_no_room(memory):
    held = await begin(memory, size=MAX_BYTES, max_bytes=MAX_BYTES)
    waiting = asyncio.create_task(begin(memory))
    await asyncio.sleep(0.1)
    waiting.cancel()
    held.release()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert memory.held == 0
