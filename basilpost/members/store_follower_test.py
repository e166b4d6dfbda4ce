"""Tests of the pace at which a follower asks a store that does not answer, on the loop's paused clock."""

import asyncio

import pytest

from basilpost.members import store_follower
from basilpost.store import memory, objects


class Refusing(memory.MemoryStore):
    """Refuses every call at once."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.refuses = True

    async def list(self, prefix, **more):
        self.calls += 1
        if self.refuses:
            return objects.Unavailable(reason="down")
        return await super().list(prefix, **more)


async def pause():
    await asyncio.sleep(1)
    return False


def follower(store):
    return store_follower.Follower(
        store=store,
        prefix="k/",
        wait=lambda: 1.0,
        pause=pause,
        take_listing=lambda prefix, listing: None,
        take_change=lambda change: None,
        retry=0.25,
        longest_retry=0.8,
    )


@pytest.mark.looptime
async def test_a_store_that_is_down_is_asked_less_and_less_often():
    store = Refusing()
    running = asyncio.create_task(follower(store).run())
    await asyncio.sleep(8)
    assert 9 <= store.calls <= 22
    running.cancel()


@pytest.mark.looptime
async def test_a_store_that_is_back_is_noticed_within_the_longest_delay():
    store = Refusing()
    followed = follower(store)
    running = asyncio.create_task(followed.run())
    await asyncio.sleep(8)
    store.refuses = False
    back_at = asyncio.get_running_loop().time()
    await asyncio.sleep(0.81)
    assert followed.current_at >= back_at
    running.cancel()
