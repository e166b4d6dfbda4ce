"""Tests of the delays between calls to a store that does not answer, on looptime's clock."""

import asyncio

import pytest

from basilpost.members import store_follower
from basilpost.store import memory, objects


class FailingStore(memory.MemoryStore):
    """Fails each list call at once while `fails` is set."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.fails = True

    async def list(self, prefix, **more):
        self.calls += 1
        if self.fails:
            return objects.Unavailable(reason="down")
        return await super().list(prefix, **more)


async def wait_a_second():
    await asyncio.sleep(1)
    return False


def new_follower(store):
    return store_follower.Follower(
        store=store,
        prefix="k/",
        wait=lambda: 1.0,
        after_answer=wait_a_second,
        on_listing=lambda prefix, listing: None,
        on_change=lambda change: None,
        retry_seconds=0.25,
        max_retry_seconds=0.8,
    )


@pytest.mark.looptime
async def test_a_store_that_is_down_is_called_at_growing_intervals():
    store = FailingStore()
    running = asyncio.create_task(new_follower(store).run())
    await asyncio.sleep(8)
    assert 9 <= store.calls <= 22
    running.cancel()


@pytest.mark.looptime
async def test_a_recovered_store_is_noticed_within_the_longest_delay():
    store = FailingStore()
    follower = new_follower(store)
    running = asyncio.create_task(follower.run())
    await asyncio.sleep(8)
    store.fails = False
    recovered_at = asyncio.get_running_loop().time()
    await asyncio.sleep(0.81)
    assert follower.current_at >= recovered_at
    running.cancel()


@pytest.mark.looptime
async def test_a_watch_goes_on_from_a_revision_that_was_given_out_again():
    """A restored store has the revision of the watch already, with another change before it."""
    store = memory.MemoryStore()
    listings = []
    follower = new_follower(store)
    follower._on_listing = lambda prefix, listing: listings.append(listing)
    await store.create("k/lost", b"1")
    running = asyncio.create_task(follower.run())
    await asyncio.sleep(0.5)
    store.restore(0)
    await store.create("k/other", b"2")
    await asyncio.sleep(4)
    assert [stored.key for stored in listings[-1].objects] == ["k/other"]
    running.cancel()


@pytest.mark.looptime
async def test_a_waiting_watch_ends_to_list_again():
    store = memory.MemoryStore()
    follower = new_follower(store)
    follower._wait = lambda: 20.0
    running = asyncio.create_task(follower.run())
    await asyncio.sleep(3)
    assert store.calls_by_kind == {"list": 1, "watch": 1}
    follower.list_again()
    await asyncio.sleep(1)
    assert store.calls_by_kind["list"] == 2
    running.cancel()
