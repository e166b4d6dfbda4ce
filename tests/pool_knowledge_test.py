"""Tests of followed knowledge: it only moves forward, and knows how current it is."""

import json
import math

import pytest

from basilpost.core import clock, kernel, names
from basilpost.emulator import pool_fleet
from basilpost.members import fakes, feed, knowledge, node_table
from basilpost.platform import schema
from basilpost.settings import schema as node_schema
from basilpost.store import memory, objects


@pytest.fixture
def store():
    return memory.MemoryStore()


@pytest.fixture
def fed(store):
    node = kernel.Kernel(node_id="n")
    node.register(
        names.SETTINGS,
        node_schema.NodeSettings(
            node_id="n",
            failure_domain="a",
            platform=node_schema.Platform(object_api="", vm_list=""),
        ),
    )
    node.register(names.OBJECTS, store)
    node.register(names.PEERS, fakes.FakePeers(node_id="n", hub=fakes.PeerHub()))
    node.register(names.FEED, feed.Feed(kernel=node, table=node_table.NodeTable()))
    node.register(
        names.KNOWLEDGE, knowledge.Knowledge(kernel=node, decoder=schema.PlatformDecoder())
    )
    return node


@pytest.fixture
def source(fed):
    return fed.find(names.FEED, feed.Feed)


@pytest.fixture
async def known(fed):
    yield fed.find(names.KNOWLEDGE, knowledge.Knowledge)
    await fed.stop()


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


async def test_what_is_in_the_store_becomes_known_and_is_fresh(fed, known, store):
    await put(store, "config/main", pool_fleet.configuration(3))
    await put(store, "servers/i-1", entry())
    await put(store, "evacuations/b", {})
    await fed.start()
    await pool_fleet.until(lambda: known.configuration is not None and known.out_of_service)
    assert known.configuration.version == 3
    assert known.out_of_service == {"b"}
    await pool_fleet.until(lambda: "i-1" in known.vms_by_id)
    assert known.configuration_age() < 2


async def test_a_stale_change_takes_nothing_back(known, source):
    source.offer([change("servers/i-1", 9, entry(state="draining"))], source="other")
    source.offer([change("servers/i-1", 8, entry())], source="other")
    assert known.vms_by_id["i-1"].vm.leaving
    source.offer([change("servers/i-1", 10, None)], source="other")
    source.offer([change("servers/i-1", 9, entry())], source="other")
    assert "i-1" not in known.vms_by_id


async def test_an_older_configuration_never_replaces_a_newer_one(known, source):
    source.offer([change("config/main", 5, pool_fleet.configuration(7))], source="other")
    source.offer([change("config/main", 6, pool_fleet.configuration(6))], source="other")
    assert known.configuration.version == 7


async def test_a_configuration_that_is_removed_stays_in_force(known, source):
    source.offer([change("config/main", 5, pool_fleet.configuration(7))], source="other")
    source.offer([change("config/main", 6, None)], source="other")
    assert known.configuration.version == 7


async def test_an_entry_that_breaks_names_no_vm(known, source):
    source.offer([change("servers/i-1", 5, entry())], source="other")
    source.offer([change("servers/i-1", 6, entry(slots="many"))], source="other")
    assert "i-1" not in known.vms_by_id


async def test_a_failure_domain_comes_back(known, source):
    source.offer([change("evacuations/a", 5, {})], source="other")
    assert known.out_of_service == {"a"}
    source.offer([change("evacuations/a", 6, None)], source="other")
    assert known.out_of_service == frozenset()


async def test_cold_time_counts_from_when_the_report_was_seen(known, source, monkeypatch):
    monkeypatch.setattr(clock, "elapsed", lambda: 50.0)
    source.offer([change("servers/i-1", 5, entry(coldRemainingMs=2500))], source="other")
    assert known.vms_by_id["i-1"].cold_until == 52.5


async def test_only_the_controller_publishes(known, source):
    published = []
    source.publish = published.append
    source._apply_change(change("servers/i-1", 5, entry()))
    assert published == []
    source.is_controller = True
    source._apply_change(change("servers/i-1", 6, entry(state="draining")))
    source._apply_change(change("servers/i-1", 6, entry(state="draining")))
    assert [one.version for one in published] == [6]


class Clock:
    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clock, "elapsed", lambda: self.now)


async def test_entries_that_lapsed_while_the_store_was_away_do_not_count_at_once(
    known, source, monkeypatch
):
    """They are back within two seconds; groups must not be torn apart for them."""
    monkeypatch.setattr(knowledge, "RETURN_GRACE_SECONDS", 0.1)
    time = Clock(monkeypatch)
    source._apply_change(change("servers/i-1", 5, entry()))
    source._apply_change(change("servers/i-2", 6, entry()))
    time.now += 8.0
    source._apply_change(change("servers/i-1", 7, None))
    source._apply_change(change("servers/i-2", 8, None))
    assert {"i-1", "i-2"} <= known.vms_by_id.keys()
    source._apply_change(change("servers/i-1", 9, entry()))
    await pool_fleet.until(lambda: "i-2" not in known.vms_by_id)
    assert "i-1" in known.vms_by_id


async def test_an_entry_that_lapses_while_the_store_answers_is_gone_at_once(
    known, source, monkeypatch
):
    time = Clock(monkeypatch)
    source._apply_change(change("servers/i-1", 5, entry()))
    time.now += 1.5
    source._apply_change(change("servers/i-1", 7, None))
    assert "i-1" not in known.vms_by_id
