"""Tests of the store's adapter against the stand-in of the platform's store."""

import prometheus_client
import pytest
import structlog

from basilpost.emulator import pool_store
from basilpost.platform import store
from basilpost.store import objects

REGISTRY = prometheus_client.CollectorRegistry


@pytest.fixture
async def stand_in():
    server = pool_store.PoolStore(page=2)
    await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def client(stand_in):
    adapter = store.PlatformStore(
        address=stand_in.address, log=structlog.get_logger(), registry=REGISTRY()
    )
    yield adapter
    adapter.close()


async def test_objects_are_created_read_changed_and_removed(client):
    created = await client.create("things/a", b'{"n": 1}')
    assert isinstance(created, objects.Written)
    assert (await client.get("things/a")).value == b'{"n": 1}'
    changed = await client.update("things/a", b'{"n": 2}', version=created.version)
    assert changed.version > created.version
    assert (await client.get_maybe_stale("things/a")).version == changed.version
    assert isinstance(await client.delete("things/a", version=changed.version), objects.Written)
    assert isinstance(await client.get("things/a"), objects.Missing)


async def test_a_condition_that_does_not_hold_is_a_conflict(client):
    created = await client.create("things/a", b"1")
    assert isinstance(await client.create("things/a", b"2"), objects.Conflict)
    stale = created.version + 7
    assert isinstance(await client.update("things/a", b"2", version=stale), objects.Conflict)
    assert isinstance(await client.delete("things/a", version=stale), objects.Conflict)
    assert (await client.get("things/a")).value == b"1"


async def test_a_listing_goes_over_all_pages_and_leaves_other_kinds_out(client):
    for name in "abcde":
        await client.create(f"things/{name}", b"{}")
    await client.create("others/x", b"{}")
    found = await client.list("things/")
    assert [one.key for one in found.objects] == [f"things/{name}" for name in "abcde"]


async def test_a_watch_tells_of_changes_and_removals(client, stand_in):
    listing = await client.list("things/")
    await stand_in.put("things/a", {"n": 1})
    await stand_in.remove("things/a")
    await stand_in.put("others/x", {})
    found = await client.watch("things/", revision=listing.revision, wait=0.5)
    assert [(one.key, one.stored is None) for one in found.changes] == [
        ("things/a", False),
        ("things/a", True),
    ]
    assert found.revision >= found.changes[-1].version


async def test_a_watch_without_changes_ends_empty(client):
    found = await client.watch("things/", revision=0, wait=0.05)
    assert found.changes == ()


async def test_a_write_whose_answer_is_lost_is_unknown(client, stand_in):
    stand_in.store.faults.lose_answers = 1
    assert isinstance(await client.create("things/a", b"1"), objects.Unknown)
    assert (await client.get("things/a")).value == b"1"


async def test_a_store_that_is_away_is_unavailable(client, stand_in):
    await stand_in.stop()
    assert isinstance(await client.get("things/a", timeout=0.3), objects.Unavailable)
    assert isinstance(await client.list("things/", timeout=0.3), objects.Unavailable)
    assert isinstance(await client.create("things/a", b"1", timeout=0.3), objects.Unavailable)
    assert isinstance(await client.watch("things/", revision=0, wait=0.1), objects.Unavailable)
