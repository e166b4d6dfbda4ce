"""Tests of followed knowledge: it only moves forward, and knows how current it is."""

import json
import math

import pytest

from basilpost.core import clock, kernel, names
from basilpost.emulator import pool_fleet
from basilpost.members import knowledge
from basilpost.platform import schema
from basilpost.store import memory, objects


@pytest.fixture
def store():
    return memory.MemoryStore()


@pytest.fixture
async def known(store):
    node = kernel.Kernel(node_id="n")
    node.register(names.OBJECTS, store)
    followed = knowledge.Knowledge(kernel=node, decoder=schema.PlatformDecoder())
    yield followed
    await followed.stop()


async def put(store, key, spec):
    await store.create(key, json.dumps(spec).encode())


def change(key, version, spec):
    stored = None
    if spec is not None:
        stored = objects.Stored(key=key, value=json.dumps(spec).encode(), version=version)
    return objects.Change(key=key, version=version, stored=stored)


def entry(**changes):
    return {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": 5,
        **changes,
    }


async def test_nothing_is_known_and_nothing_fresh_before_the_store_answers(known):
    assert known.configuration is None
    assert known.configuration_age() == math.inf


async def test_what_is_in_the_store_becomes_known_and_is_fresh(known, store):
    await put(store, "config/main", pool_fleet.configuration(3))
    await put(store, "servers/i-1", entry())
    await put(store, "evacuations/b", {})
    await known.start()
    await pool_fleet.until(lambda: known.configuration is not None and known.out_of_service)
    assert known.configuration.version == 3
    assert known.out_of_service == {"b"}
    await pool_fleet.until(lambda: "i-1" in known.vms_by_id)
    assert known.configuration_age() < 2


async def test_a_stale_change_takes_nothing_back(known):
    known.offer([change("servers/i-1", 9, entry(state="draining"))])
    known.offer([change("servers/i-1", 8, entry())])
    assert known.vms_by_id["i-1"].vm.leaving
    known.offer([change("servers/i-1", 10, None)])
    known.offer([change("servers/i-1", 9, entry())])
    assert "i-1" not in known.vms_by_id


async def test_an_older_configuration_never_replaces_a_newer_one(known):
    known.offer([change("config/main", 5, pool_fleet.configuration(7))])
    known.offer([change("config/main", 6, pool_fleet.configuration(6))])
    assert known.configuration.version == 7


async def test_a_configuration_that_is_removed_stays_in_force(known):
    known.offer([change("config/main", 5, pool_fleet.configuration(7))])
    known.offer([change("config/main", 6, None)])
    assert known.configuration.version == 7


async def test_an_entry_that_breaks_names_no_vm(known):
    known.offer([change("servers/i-1", 5, entry())])
    known.offer([change("servers/i-1", 6, entry(slots="many"))])
    assert "i-1" not in known.vms_by_id


async def test_a_failure_domain_comes_back(known):
    known.offer([change("evacuations/a", 5, {})])
    assert known.out_of_service == {"a"}
    known.offer([change("evacuations/a", 6, None)])
    assert known.out_of_service == frozenset()


async def test_cold_time_counts_from_when_the_report_was_seen(known, monkeypatch):
    monkeypatch.setattr(clock, "elapsed", lambda: 50.0)
    known.offer([change("servers/i-1", 5, entry(coldRemainingMs=2500))])
    assert known.vms_by_id["i-1"].cold_until == 52.5


async def test_only_the_controller_publishes(known):
    published = []
    known.publish = published.append
    known._take_change(change("servers/i-1", 5, entry()))
    assert published == []
    known.controls = True
    known._take_change(change("servers/i-1", 6, entry(state="draining")))
    known._take_change(change("servers/i-1", 6, entry(state="draining")))
    assert [one.version for one in published] == [6]


class Clock:
    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clock, "elapsed", lambda: self.now)


async def test_entries_that_lapsed_while_the_store_was_away_do_not_count_at_once(
    known, monkeypatch
):
    """They are back within two seconds; groups must not be torn apart for them."""
    monkeypatch.setattr(knowledge, "RETURN_SECONDS", 0.1)
    time = Clock(monkeypatch)
    known._take_change(change("servers/i-1", 5, entry()))
    known._take_change(change("servers/i-2", 6, entry()))
    time.now += 8.0
    known._take_change(change("servers/i-1", 7, None))
    known._take_change(change("servers/i-2", 8, None))
    assert {"i-1", "i-2"} <= known.vms_by_id.keys()
    known._take_change(change("servers/i-1", 9, entry()))
    await pool_fleet.until(lambda: "i-2" not in known.vms_by_id)
    assert "i-1" in known.vms_by_id


async def test_an_entry_that_lapses_while_the_store_answers_is_gone_at_once(known, monkeypatch):
    time = Clock(monkeypatch)
    known._take_change(change("servers/i-1", 5, entry()))
    time.now += 1.5
    known._take_change(change("servers/i-1", 7, None))
    assert "i-1" not in known.vms_by_id
