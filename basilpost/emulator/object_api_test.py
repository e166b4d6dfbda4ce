"""Tests of the HTTP object store against the emulated object API."""

import asyncio
import contextlib

from basilpost.emulator import object_api
from basilpost.store import http_objects, objects


@contextlib.asynccontextmanager
async def serving():
    api = object_api.ObjectApi()
    client = http_objects.HttpObjectStore(base_url=f"http://{await api.start()}")
    try:
        yield api, client
    finally:
        client.close()
        await api.stop()


async def test_conditional_updates():
    async with serving() as (_, client):
        created = await client.create("config/a b", b'{"x":"\xc3\xa9"}')
        assert isinstance(await client.create("config/a b", b"2"), objects.Conflict)
        updated = await client.update("config/a b", b"2", version=created.version)
        assert updated.version > created.version
        assert isinstance(await client.update("none", b"2", version=1), objects.Conflict)
        found = await client.get("config/a b")
        assert found == objects.Stored(key="config/a b", value=b"2", version=updated.version)
        assert isinstance(await client.delete("config/a b", version=created.version),
                          objects.Conflict)  # fmt: skip
        assert isinstance(await client.delete("config/a b", version=updated.version),
                          objects.Written)  # fmt: skip
        assert isinstance(await client.get("config/a b"), objects.Missing)


async def test_a_watch_continues_from_the_revision_of_a_listing():
    async with serving() as (_, client):
        await client.create("a/1", b"one")
        listing = await client.list("a/")
        waiting = asyncio.create_task(client.watch("a/", revision=listing.revision, wait=10))
        written = await client.create("a/2", b"two")
        await client.delete("a/2", version=written.version)
        changes = await waiting
        assert changes.changes[0].stored.value == b"two"
        rest = await client.watch("a/", revision=changes.revision, wait=10)
        assert rest.changes[-1].stored is None


async def test_a_watch_from_a_revision_that_is_no_longer_kept_expires():
    async with serving() as (api, client):
        for number in range(10_002):
            await api.store.create(f"a/{number}", b"")
        assert isinstance(await client.watch("a/", revision=0, wait=1), objects.Expired)


async def test_a_lost_answer_of_a_write_is_unknown():
    async with serving() as (api, client):
        api.store.faults.lose_answers = 1
        assert isinstance(await client.create("a", b"one"), objects.Unknown)
        assert (await client.get("a")).value == b"one"


async def test_a_refused_connection_is_unavailable():
    async with serving() as (api, client):
        await api.stop()
        assert isinstance(await client.create("a", b"one"), objects.Unavailable)
        assert isinstance(await client.get("a"), objects.Unavailable)


async def test_a_write_past_its_deadline_is_unknown_and_a_read_unavailable():
    async with serving() as (api, client):
        api.store.faults.delay = 0.5
        assert isinstance(await client.create("a", b"one", timeout=0.1), objects.Unknown)
        assert isinstance(await client.get("a", timeout=0.1), objects.Unavailable)


async def test_a_store_that_is_down_answers_nothing():
    async with serving() as (api, client):
        api.store.faults.down = True
        assert isinstance(await client.create("a", b"one", timeout=0.1), objects.Unknown)
        assert isinstance(await client.list("a", timeout=0.1), objects.Unavailable)
