"""Tests of the controller's lease with an in-memory store and a clock that the test advances."""

import pytest

from basilpost.core import clock
from basilpost.groups import lease
from basilpost.store import eras, memory, objects

SECONDS = 3.0


@pytest.fixture
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


@pytest.fixture
def store():
    return memory.MemoryStore()


def holder(node_id, *, is_first_start=True):
    return lease.Lease(
        key="basilpost-leases/pool",
        node_id=node_id,
        incarnation=f"i-{node_id}",
        seconds=SECONDS,
        is_first_start=is_first_start,
    )


async def observe_and_acquire(candidate, store):
    return await candidate.observe(store, timeout=1) and await candidate.acquire(store, timeout=1)


async def test_only_one_node_acquires_a_free_lease(now, store):
    first, second = holder("a"), holder("b")
    assert await observe_and_acquire(first, store)
    assert first.held
    assert not await observe_and_acquire(second, store)


async def test_of_two_nodes_that_observe_a_free_lease_one_acquires_it(now, store):
    first, second = holder("a"), holder("b")
    assert await first.observe(store, timeout=1)
    assert await second.observe(store, timeout=1)
    assert await first.acquire(store, timeout=1)
    assert not await second.acquire(store, timeout=1)
    assert not second.held


async def test_a_renewed_lease_is_not_acquired_by_another_node(now, store):
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    for renewal in range(8):
        now[0] += 1.0
        assert await first.renew(store, renewal=renewal, timeout=1)
        assert not await observe_and_acquire(second, store)
    assert first.held


async def test_an_expired_lease_is_acquired_with_a_higher_fence(now, store):
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    assert not await observe_and_acquire(second, store)
    now[0] += SECONDS + 0.1
    assert not first.held
    assert await observe_and_acquire(second, store)
    assert second.fence > first.fence
    assert not await first.renew(store, renewal=1, timeout=1)
    assert first.fence == 0


async def test_time_during_which_the_machine_is_suspended_counts(now, store):
    first = holder("a")
    await observe_and_acquire(first, store)
    now[0] += 60.0
    assert not first.held


async def test_a_released_lease_is_free_at_once(now, store):
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    await first.release(store, timeout=1)
    assert not first.held
    assert await observe_and_acquire(second, store)
    assert second.fence > 0


async def test_an_acquisition_whose_reply_is_lost_is_recognised(now, store):
    first = holder("a")
    await first.observe(store, timeout=1)
    store.faults.lose_answers = 1
    assert await first.acquire(store, timeout=1)
    assert first.held


async def test_a_renewal_whose_reply_is_lost_is_recognised(now, store):
    first = holder("a")
    await observe_and_acquire(first, store)
    store.faults.lose_answers = 1
    assert await first.renew(store, renewal=1, timeout=1)
    now[0] += 1.0
    assert await first.renew(store, renewal=2, timeout=1)
    assert first.held


async def test_the_lease_expires_while_the_store_is_unreachable(now, store):
    first = holder("a")
    await observe_and_acquire(first, store)
    store.faults.down = True
    now[0] += 1.0
    await first.renew(store, renewal=1, timeout=0.01)
    assert first.held
    now[0] += SECONDS
    assert not first.held


async def test_a_lease_with_an_undecodable_record_is_acquired_after_it_expires(now, store):
    await store.create("basilpost-leases/pool", b"no json")
    first = holder("a")
    assert not await observe_and_acquire(first, store)
    now[0] += SECONDS + 0.1
    assert await observe_and_acquire(first, store)
    assert isinstance(await store.get("basilpost-leases/pool"), objects.Stored)


async def advance(store, revisions):
    for number in range(revisions):
        await store.create(f"other/{store.era}-{store.revision}-{number}", b"1")


@pytest.fixture
async def copy(store):
    """The revision of a copy from before the lease; the holder's fence is above it."""
    await advance(store, 5)
    revision = store.revision
    await advance(store, 40)
    return revision


async def test_a_lease_that_a_restored_store_has_lost_is_taken_over_from_its_holder(
    now, store, copy
):
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    fence = first.fence
    await second.observe(store, timeout=1)
    store.restore(copy)
    assert not await observe_and_acquire(second, store)
    now[0] += 1.0
    assert await first.renew(store, renewal=1, timeout=1)
    assert (first.held, first.fence) == (True, fence)
    for renewal in range(2, 8):
        now[0] += 1.0
        assert not await observe_and_acquire(second, store)
        assert await first.renew(store, renewal=renewal, timeout=1)


async def test_an_earlier_holder_in_the_copy_keeps_the_lease_from_the_present_one(now, store, copy):
    earlier, present = holder("a"), holder("b")
    await observe_and_acquire(earlier, store)
    await earlier.renew(store, renewal=1, timeout=1)
    copy_with_earlier = store.revision
    await present.observe(store, timeout=1)
    now[0] += SECONDS + 0.1
    assert await observe_and_acquire(present, store)
    store.restore(copy_with_earlier)
    now[0] += 1.0
    assert await present.renew(store, renewal=1, timeout=1)
    assert not await earlier.renew(store, renewal=2, timeout=1)
    assert present.held


async def test_fences_go_down_when_the_store_was_restored(now, store, copy):
    first, second, third = holder("a"), holder("b"), holder("c")
    await observe_and_acquire(first, store)
    await second.observe(store, timeout=1)
    store.restore(copy)
    now[0] += SECONDS + 0.1
    await second.observe(store, timeout=1)
    now[0] += SECONDS + 0.1
    assert await observe_and_acquire(second, store)
    assert eras.revision_of(second._version) < first.fence < second.fence
    # A node that has seen no earlier holder goes by what runners have seen.
    now[0] += SECONDS + 0.1
    await second.release(store, timeout=1)
    assert await third.observe(store, timeout=1)
    assert await third.acquire(store, timeout=1, used_fence=second.fence)
    assert third.fence > second.fence


async def test_a_holder_that_missed_a_later_one_takes_the_lease_back(now, store, copy):
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    await second.observe(store, timeout=1)
    store.restore(copy)
    now[0] += 1.0
    second._reclaimable_until = now[0]
    await second.observe(store, timeout=1)
    now[0] += SECONDS + 0.1
    assert await observe_and_acquire(second, store)
    assert not await first.renew(store, renewal=1, timeout=1)
    assert second.held


async def test_a_fence_has_the_era_in_it(now, store):
    """Runners count with 53 bits, of which epochs need more than fences."""
    store.era = 7
    first = holder("a")
    assert await observe_and_acquire(first, store)
    assert first.fence == store.revision


async def test_a_node_that_starts_after_a_restore_takes_the_lease_from_its_holder(now, store, copy):
    first, late = holder("a"), holder("late", is_first_start=False)
    await observe_and_acquire(first, store)
    store.restore(copy)
    assert not await observe_and_acquire(late, store)
    now[0] += 1.0
    assert await first.renew(store, renewal=1, timeout=1)
    assert not await observe_and_acquire(late, store)


async def test_a_restarted_node_acquires_a_free_lease_in_the_end(now, store):
    late = holder("late", is_first_start=False)
    assert not await observe_and_acquire(late, store)
    now[0] += SECONDS
    assert await observe_and_acquire(late, store)


async def test_the_time_to_write_a_lost_lease_again_passes_while_the_store_is_away(
    now, store, copy
):
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    await second.observe(store, timeout=1)
    store.restore(copy)
    assert not await observe_and_acquire(second, store)
    store.faults.down = True
    for _ in range(5):
        now[0] += 0.7
        assert not await second.observe(store, timeout=0.01)
    store.faults.down = False
    assert not await observe_and_acquire(second, store)
    now[0] += SECONDS
    assert await observe_and_acquire(second, store)


class LosingStore(memory.MemoryStore):
    """Leaves updates unanswered; they have no effect unless the test carries them out later.

    Attributes:
        loses: True to lose updates.
    """

    loses = False

    async def update(self, key, value, **options):
        if not self.loses:
            return await super().update(key, value, **options)
        self._lost = key, value, options
        return objects.Unknown(reason="no answer")

    async def carry_out(self):
        key, value, options = self._lost
        return await super().update(key, value, **options)


async def test_a_holder_whose_renewals_get_lost_holds_the_lease_beside_the_next_one(now):
    """It found its own record in the store, and took an earlier renewal for the one it had sent."""
    store = LosingStore()
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    assert not await observe_and_acquire(second, store)
    store.loses = True
    for renewal in (1, 2):
        now[0] += 1.0
        await first.renew(store, renewal=renewal, timeout=1)
        assert first.held
    store.loses = False
    now[0] += SECONDS - 2.0 + 0.1
    assert await observe_and_acquire(second, store)
    assert not first.held


async def test_a_renewal_that_is_carried_out_late_prolongs_the_lease_from_a_later_time(now):
    """Others count from the time at which it was carried out, the holder from when it was sent."""
    store = LosingStore()
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    store.loses = True
    now[0] += 1.0
    await first.renew(store, renewal=1, timeout=1)
    store.loses = False
    await store.carry_out()
    assert not await observe_and_acquire(second, store)
    now[0] += 1.5
    assert await first.renew(store, renewal=2, timeout=1)
    now[0] += SECONDS - 1.5 + 0.1
    assert await observe_and_acquire(second, store)
    assert not first.held


async def test_an_acquisition_that_got_lost_is_taken_for_done(now):
    """The record of an earlier time as the holder was found in its place."""
    store = LosingStore()
    first, second = holder("a"), holder("b")
    await observe_and_acquire(first, store)
    first.mark_lost()
    assert not await first.observe(store, timeout=1)
    assert not await observe_and_acquire(second, store)
    now[0] += SECONDS + 0.1
    store.loses = True
    assert await first.observe(store, timeout=1)
    assert not await first.acquire(store, timeout=1)
    store.loses = False
    assert await observe_and_acquire(second, store)
    assert not first.held
