"""Tests of the adapter to the platform's store, against the emulated store."""

import json

import prometheus_client
import pytest
import structlog

from basilpost.emulator import pool_store, server
from basilpost.platform import store
from basilpost.store import objects

REGISTRY = prometheus_client.CollectorRegistry


@pytest.fixture
async def emulated_store():
    server = pool_store.PoolStore(page_size=2)
    await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def client(emulated_store):
    adapter = store.PlatformStore(
        address=emulated_store.address, log=structlog.get_logger(), registry=REGISTRY()
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


async def test_a_listing_has_the_objects_of_all_pages_and_of_no_other_kind(client):
    for name in "abcde":
        await client.create(f"things/{name}", b"{}")
    await client.create("others/x", b"{}")
    listing = await client.list("things/")
    assert [stored.key for stored in listing.objects] == [f"things/{name}" for name in "abcde"]


@pytest.mark.parametrize("name", ["b\u0000", "b\udcff"], ids=["control", "no-utf-8"])
@pytest.mark.parametrize("others", ["acd", "cd"], ids=["within", "alone"])
async def test_a_page_that_ends_with_an_unusable_name_makes_the_listing_fail(
    client, emulated_store, name, others
):
    """No node that started would have learned of any runner."""
    emulated_store.page_size = len(others) - 1
    # The store orders by the marker, which stands before all that begins with the odd name.
    emulated_store.raw_text_by_marker["b"] = json.dumps(name, ensure_ascii=name.isascii())
    for each in (*others, "b"):
        await emulated_store.put(f"servers/{each}", {"n": each})
    listing = await client.list("servers/")
    assert [stored.key for stored in listing.objects] == [f"servers/{each}" for each in others]


async def test_a_watch_reports_changes_and_removals(client, emulated_store):
    listing = await client.list("things/")
    await emulated_store.put("things/a", {"n": 1})
    await emulated_store.remove("things/a")
    await emulated_store.put("others/x", {})
    watched = await client.watch("things/", revision=listing.revision, wait=0.5)
    assert [(change.key, change.stored is None) for change in watched.changes] == [
        ("things/a", False),
        ("things/a", True),
    ]
    assert watched.revision >= watched.changes[-1].version


async def test_a_watch_without_changes_returns_no_changes_after_its_wait(client):
    listing = await client.list("things/")
    watched = await client.watch("things/", revision=listing.revision, wait=0.05)
    assert watched.changes == ()


async def test_a_write_whose_answer_is_lost_is_unknown(client, emulated_store):
    emulated_store.store.faults.lose_answers = 1
    assert isinstance(await client.create("things/a", b"1"), objects.Unknown)
    assert (await client.get("things/a")).value == b"1"


async def test_calls_to_a_stopped_store_are_unavailable(client, emulated_store):
    await emulated_store.stop()
    assert isinstance(await client.get("things/a", timeout=0.3), objects.Unavailable)
    assert isinstance(await client.list("things/", timeout=0.3), objects.Unavailable)
    assert isinstance(await client.create("things/a", b"1", timeout=0.3), objects.Unavailable)
    assert isinstance(await client.watch("things/", revision=0, wait=0.1), objects.Unavailable)


async def test_a_restore_of_the_store_is_logged_once(client, emulated_store):
    await client.create("things/a", b"1")
    emulated_store.store.restore(0)
    with structlog.testing.capture_logs() as lines:
        await client.get("things/a")
        await client.list("things/")
    assert [(line["event"], line["before"], line["era"]) for line in lines] == [
        ("store_restored", 1, 2)
    ]


async def test_a_watch_does_not_go_on_from_a_revision_that_was_given_out_again(
    client, emulated_store
):
    await client.create("things/lost", b"1")
    listing = await client.list("things/")
    emulated_store.store.restore(0)
    await client.create("others/a", b"1")
    await client.create("things/new", b"2")
    watched = await client.watch("things/", revision=listing.revision, wait=0.05)
    assert isinstance(watched, objects.Expired)
    assert (await client.list("things/")).revision > listing.revision


async def test_a_write_whose_condition_is_from_before_a_restore_has_no_effect(
    client, emulated_store
):
    lost = await client.create("things/a", b"1")
    emulated_store.store.restore(0)
    present = await client.create("things/a", b"2")
    assert present.version > lost.version
    for result in (
        await client.update("things/a", b"3", version=lost.version),
        await client.delete("things/a", version=lost.version),
    ):
        assert isinstance(result, objects.Conflict)
    assert (await client.get("things/a")).value == b"2"


async def test_a_write_that_a_restored_store_took_by_chance_is_unknown(client, emulated_store):
    """The client has not seen the restore; the store has given the revision out again."""
    lost = await client.create("things/a", b"1")
    emulated_store.store.restore(0)
    await emulated_store.put("things/a", 2)
    assert isinstance(await client.update("things/a", b"3", version=lost.version), objects.Unknown)


@pytest.mark.parametrize("told", ["", "-1", "x", "9" * 30])
async def test_an_era_that_is_no_number_changes_nothing(client, emulated_store, told, monkeypatch):
    created = await client.create("things/a", b"1")
    monkeypatch.setattr(
        pool_store._StoreHandler,
        "answer",
        lambda handler, body, status=200: (
            handler.set_header("Store-Era", told),
            server.JsonHandler.answer(handler, body, status=status),
        ),
    )
    assert (await client.get("things/a")).version == created.version
