"""Tests of the controller's lease on a store in memory and a clock that the test moves."""

import pytest

from basilpost.core import clock
from basilpost.groups import lease
from basilpost.store import memory, objects

SECONDS = 3.0


@pytest.fixture
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


@pytest.fixture
def store():
    return memory.MemoryStore()


def holder(node_id):
    return lease.Lease(
        key="basilpost-leases/pool", node_id=node_id, incarnation=f"i-{node_id}", seconds=SECONDS
    )


async def taken(one, store):
    return await one.observe(store, timeout=1) and await one.take(store, timeout=1)


async def test_one_node_takes_a_free_lease(now, store):
    first, second = holder("a"), holder("b")
    assert await taken(first, store)
    assert first.held
    assert not await taken(second, store)


async def test_of_two_that_see_it_free_one_wins(now, store):
    first, second = holder("a"), holder("b")
    assert await first.observe(store, timeout=1)
    assert await second.observe(store, timeout=1)
    assert await first.take(store, timeout=1)
    assert not await second.take(store, timeout=1)
    assert not second.held


async def test_a_renewed_lease_is_not_taken(now, store):
    first, second = holder("a"), holder("b")
    await taken(first, store)
    for renewal in range(8):
        now[0] += 1.0
        assert await first.renew(store, renewal=renewal, timeout=1)
        assert not await taken(second, store)
    assert first.held


async def test_a_lapsed_lease_is_taken_with_a_higher_fence(now, store):
    first, second = holder("a"), holder("b")
    await taken(first, store)
    assert not await taken(second, store)
    now[0] += SECONDS + 0.1
    assert not first.held
    assert await taken(second, store)
    assert second.fence > first.fence
    assert not await first.renew(store, renewal=1, timeout=1)
    assert first.fence == 0


async def test_time_in_which_a_machine_is_suspended_counts(now, store):
    first = holder("a")
    await taken(first, store)
    now[0] += 60.0
    assert not first.held


async def test_a_released_lease_is_free_at_once(now, store):
    first, second = holder("a"), holder("b")
    await taken(first, store)
    await first.release(store, timeout=1)
    assert not first.held
    assert await taken(second, store)
    assert second.fence > 0


async def test_a_take_whose_answer_is_lost_is_recognised(now, store):
    first = holder("a")
    await first.observe(store, timeout=1)
    store.faults.lose_answers = 1
    assert await first.take(store, timeout=1)
    assert first.held


async def test_a_renewal_whose_answer_is_lost_is_recognised(now, store):
    first = holder("a")
    await taken(first, store)
    store.faults.lose_answers = 1
    assert await first.renew(store, renewal=1, timeout=1)
    now[0] += 1.0
    assert await first.renew(store, renewal=2, timeout=1)
    assert first.held


async def test_a_store_that_is_away_lets_the_lease_lapse(now, store):
    first = holder("a")
    await taken(first, store)
    store.faults.down = True
    now[0] += 1.0
    await first.renew(store, renewal=1, timeout=0.01)
    assert first.held
    now[0] += SECONDS
    assert not first.held


async def test_a_broken_record_is_nobodys_lease(now, store):
    await store.create("basilpost-leases/pool", b"no json")
    first = holder("a")
    assert not await taken(first, store)
    now[0] += SECONDS + 0.1
    assert await taken(first, store)
    assert isinstance(await store.get("basilpost-leases/pool"), objects.Stored)
