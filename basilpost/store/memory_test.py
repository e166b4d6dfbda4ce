"""Tests of the object store in memory."""

import asyncio

import pytest

from basilpost.store import eras, memory, objects


@pytest.fixture
def store():
    return memory.MemoryStore()


async def test_a_write_whose_condition_does_not_hold_is_a_conflict(store):
    created = await store.create("a/1", b"one")
    assert isinstance(await store.create("a/1", b"two"), objects.Conflict)
    assert isinstance(await store.update("a/1", b"two", version=99), objects.Conflict)
    updated = await store.update("a/1", b"two", version=created.version)
    assert updated.version > created.version


async def test_a_version_rises_across_deletion(store):
    first = await store.create("a/1", b"one")
    await store.delete("a/1", version=first.version)
    second = await store.create("a/1", b"one")
    assert second.version > first.version


async def test_a_watch_reports_changes_after_the_listing(store):
    listing = await store.list("a/")
    waiting = asyncio.create_task(store.watch("a/", revision=listing.revision))
    await store.create("b/1", b"other")
    await store.create("a/1", b"one")
    changes = await waiting
    assert [change.key for change in changes.changes] == ["a/1"]


async def test_a_write_whose_answer_is_lost_takes_effect(store):
    store.faults.lose_answers = 1
    assert isinstance(await store.create("a/1", b"one"), objects.Unknown)
    assert (await store.get("a/1")).value == b"one"


@pytest.mark.looptime
async def test_calls_to_a_store_that_is_down_get_no_answer(store):
    store.faults.down = True
    assert isinstance(await store.get("a/1", timeout=2), objects.Unavailable)
    assert isinstance(await store.create("a/1", b"one", timeout=2), objects.Unknown)


async def test_a_restored_store_has_its_objects_in_a_later_era(store):
    kept = await store.create("a/1", b"one")
    lost = await store.create("a/2", b"two")
    store.restore(1)
    assert isinstance(await store.get("a/2"), objects.Missing)
    again = await store.get("a/1")
    assert again.version > lost.version > kept.version
    assert isinstance(await store.update("a/1", b"x", version=kept.version), objects.Conflict)
    assert isinstance(await store.watch("a/", revision=lost.version, wait=0), objects.Expired)
    written = await store.update("a/1", b"x", version=again.version)
    assert eras.revision_of(written.version) == eras.revision_of(lost.version)
