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


async def hold(memory, *, size=5 * MB):
    """Returns a body that has arrived whole."""
    body = await begin(memory, size=size)
    body.add(b"x" * size)
    body.join()
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
        await hold(memory)
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


@pytest.mark.looptime
async def test_a_body_that_stops_loses_its_room_to_one_that_waits(memory):
    whole, stopped = await hold(memory), await begin(memory)
    given_up = []
    stopped.on_given_up = lambda: given_up.append(stopped.refusal)
    assert (await begin(memory)).refusal is None
    (refusal,) = given_up
    assert (refusal.status, refusal.code, refusal.outcome.value) == (503, "memory_full", "not-run")
    assert whole.refusal is None
    assert memory.held == MAX_BYTES


@pytest.mark.looptime
async def test_a_body_that_stops_keeps_its_room_while_nobody_waits(memory):
    stopped = await begin(memory)
    await asyncio.sleep(0.8 * body_memory.DEFAULT_SECONDS)
    assert stopped.refusal is None
    for _ in range(5):
        stopped.add(b"x" * MB)
    assert len(stopped.join()) == 5 * MB


@pytest.mark.looptime
async def test_a_slow_body_keeps_its_room_and_one_of_single_bytes_loses_it(memory):
    slow, trickling = await begin(memory), await begin(memory)

    async def send(body, size):
        for _ in range(30):
            body.add(b"x" * size)
            await asyncio.sleep(0.1)

    sending = asyncio.gather(send(slow, 5 * MB // 100), send(trickling, 1))
    await asyncio.sleep(2.0)
    assert (await begin(memory)).refusal is None
    await sending
    assert (slow.refusal, trickling.refusal.code) == (None, "memory_full")


@pytest.mark.looptime
async def test_a_body_that_waits_for_more_room_itself_is_not_taken_for_stopped(memory):
    for _ in range(2):
        await hold(memory, size=4 * MB)
    chunked = make_body(memory, wait_seconds=0.9)
    chunked.begin(0)
    chunked.add(b"x" * 1_000)
    waiting = asyncio.create_task(chunked.add(b"x" * body_memory.SMALL_BODY_BYTES))
    await asyncio.sleep(0.6)
    others = make_body(memory, wait_seconds=0.1).begin(2 * MB)
    await others
    assert chunked.refusal is None
    await waiting
    assert chunked.refusal.code == "memory_full"


@pytest.mark.looptime
async def test_many_bodies_in_chunks_do_not_all_wait_with_their_pieces(memory):
    await begin(memory, size=MAX_BYTES, max_bytes=MAX_BYTES)
    piece = b"x" * (2 * body_memory.SMALL_BODY_BYTES)
    may_wait = MAX_BYTES // body_memory.BYTES_PER_WAITING_PIECE
    bodies = [make_body(memory, wait_seconds=0.1) for _ in range(may_wait + 1)]
    waits = [asyncio.create_task(body.add(piece)) for body in bodies]
    await asyncio.sleep(0.05)
    assert [wait.done() for wait in waits] == [False] * may_wait + [True]
    assert bodies[-1].refusal.code == "memory_full"
    await asyncio.gather(*waits)
    again = make_body(memory, wait_seconds=0.1)
    waiting = asyncio.create_task(again.add(piece))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await waiting


@pytest.mark.looptime
async def test_a_body_that_stops_for_good_is_refused_as_not_run(memory):
    stopped, given_up = await begin(memory), []
    stopped.on_given_up = lambda: given_up.append(stopped.refusal)
    await asyncio.sleep(1.2 * body_memory.DEFAULT_SECONDS)
    (refusal,) = given_up
    assert (refusal.status, refusal.code, refusal.outcome.value) == (408, "body_timeout", "not-run")
    assert memory.held == 0


@pytest.mark.looptime
async def test_a_refused_body_that_stops_keeps_its_refusal(memory):
    body, given_up = make_body(memory, max_bytes=MB), []
    body.on_given_up = lambda: given_up.append(body.refusal.status)
    body.begin(2 * MB)
    body.add(b"x")
    await asyncio.sleep(1.2 * body_memory.DEFAULT_SECONDS)
    assert given_up == [413]


async def test_the_body_of_a_refused_request_is_not_read_for_ever(memory):
    body, given_up = make_body(memory, max_bytes=MB), []
    body.on_given_up = lambda: given_up.append(body.refusal.status)
    body.begin(100 * MB)
    for _ in range(body_memory.DISCARDED_MULTIPLE):
        body.add(b"x" * MB)
    assert given_up == []
    body.add(b"x")
    assert given_up == [413]
