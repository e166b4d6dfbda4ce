"""Tests of tables and pins in the store."""

import pytest

from basilpost.core import data
from basilpost.groups import fabric_table, pins
from basilpost.members import fakes
from basilpost.store import memory, objects

EMPTY = data.FabricTable(fabric_domain="fab-1")


@pytest.fixture
def store():
    return memory.MemoryStore()


async def test_a_confirmed_write_is_in_force_on_this_node_at_once(store):
    replica = fakes.FakeReplica()
    written = await fabric_table.write(store, replica, EMPTY, version=0)
    assert replica.get("fabric/fab-1").version == written.version
    assert (await fabric_table.read(store, "fab-1")).table == written.table


async def test_a_lost_answer_is_recognised_by_its_attempt(store):
    store.faults.lose_answers = 1
    written = await fabric_table.write(store, fakes.FakeReplica(), EMPTY, version=0)
    assert isinstance(written, fabric_table.VersionedTable)


async def test_a_write_on_an_old_version_is_superseded(store):
    first = await fabric_table.write(store, fakes.FakeReplica(), EMPTY, version=0)
    await fabric_table.write(store, fakes.FakeReplica(), EMPTY, version=first.version)
    late = await fabric_table.write(store, fakes.FakeReplica(), EMPTY, version=first.version)
    assert isinstance(late, fabric_table.Superseded)


async def test_a_malformed_table_is_left_alone(store):
    await store.create("fabric/fab-1", b'{"surprise": 1}')
    assert isinstance(await fabric_table.read(store, "fab-1"), fabric_table.Malformed)


async def test_the_first_pin_wins_until_it_is_released(store):
    assert isinstance(await pins.pin(store, "vm-1", "fab-1"), pins.Pin)
    assert isinstance(await pins.pin(store, "vm-1", "fab-2"), pins.PinnedElsewhere)
    assert await pins.release(store, "vm-9", "fab-2") is not False
    assert await pins.release(store, "vm-1", "fab-1")
    assert isinstance(await pins.pin(store, "vm-1", "fab-2"), pins.Pin)


async def test_pinning_again_makes_a_release_in_flight_fail(store):
    await pins.pin(store, "vm-1", "fab-1")
    seen = await store.get(pins.key_of("vm-1"))
    await pins.pin(store, "vm-1", "fab-1")
    late = await store.delete(pins.key_of("vm-1"), version=seen.version)
    assert isinstance(late, objects.Conflict)
