"""Tests of a node's knowledge of the store: versions only rise, and its age is known."""

import asyncio
import json
import math

import pytest

from basilpost.core import clock, kernel, names
from basilpost.emulator import pool_fleet
from basilpost.members import (
    fakes,
    feed,
    knowledge,
    node_table,
    peer_versions,
    peers,
    restored_contents,
)
from basilpost.platform import decoder
from basilpost.settings import schema as node_schema
from basilpost.store import eras, memory, objects


@pytest.fixture
def store():
    return memory.MemoryStore()


@pytest.fixture
def node_kernel(store):
    built = kernel.Kernel(node_id="n")
    built.register(
        names.SETTINGS,
        node_schema.NodeSettings(
            node_id="n",
            failure_domain="a",
            platform=node_schema.Platform(object_api="", vm_list=""),
        ),
    )
    built.register(names.OBJECTS, store)
    built.register(names.PEERS, fakes.FakePeers(node_id="n", hub=fakes.PeerHub()))
    built.register(names.FEED, feed.Feed(kernel=built, table=node_table.NodeTable()))
    built.register(
        names.KNOWLEDGE, knowledge.Knowledge(kernel=built, decoder=decoder.PlatformDecoder())
    )
    return built


@pytest.fixture
def source(node_kernel):
    return node_kernel.find(names.FEED, feed.Feed)


@pytest.fixture
async def known(node_kernel):
    yield node_kernel.find(names.KNOWLEDGE, knowledge.Knowledge)
    await node_kernel.stop()


async def put(store, key, spec):
    await store.create(key, json.dumps(spec).encode())


def change(key, version, spec):
    """Returns a change of an object; it is a deletion if `spec` is None."""
    stored = None
    if spec is not None:
        stored = objects.Stored(key=key, value=json.dumps(spec).encode(), version=version)
    return objects.Change(key=key, version=version, stored=stored)


def entry(**changes):
    return {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "sequence": 0,
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": 5,
        **changes,
    }


async def test_before_the_store_answers_there_is_no_configuration_and_its_age_is_infinite(known):
    assert known.configuration is None
    assert known.configuration_age() == math.inf


async def test_what_is_in_the_store_becomes_known_and_is_fresh(node_kernel, known, store):
    await put(store, "config/main", pool_fleet.configuration(3))
    await put(store, "servers/i-1", entry())
    await put(store, "evacuations/b", {})
    await node_kernel.start()
    await pool_fleet.until(lambda: known.configuration is not None and known.out_of_service)
    assert known.configuration.version == 3
    assert known.out_of_service == {"b"}
    await pool_fleet.until(lambda: "i-1" in known.vms_by_id)
    assert known.configuration_age() < 2


async def test_a_stale_change_does_not_undo_a_later_one(known, source):
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


async def test_a_vm_whose_entry_becomes_malformed_is_dropped(known, source):
    source.offer([change("servers/i-1", 5, entry())], source="other")
    source.offer([change("servers/i-1", 6, entry(slots="many"))], source="other")
    assert "i-1" not in known.vms_by_id


@pytest.mark.parametrize(
    "last", [None, entry(slots="many"), entry(born=6)], ids=["removed", "malformed", "restarted"]
)
async def test_the_last_entry_of_a_vm_is_forgotten(known, source, last):
    """A controller that takes over needs it to tell whether the VM's group is at work."""
    source.offer([change("servers/i-1", 5, entry())], source="other")
    assert known.removed_by_lifetime == {}
    source.offer([change("servers/i-1", 6, last)], source="other")
    assert known.removed_by_lifetime["i-1", 5].vm.slots == 4


async def test_a_failure_domain_returns_to_service(known, source):
    source.offer([change("evacuations/a", 5, {})], source="other")
    assert known.out_of_service == {"a"}
    source.offer([change("evacuations/a", 6, None)], source="other")
    assert known.out_of_service == frozenset()


async def test_cold_time_counts_from_the_receipt_of_the_report(known, source, monkeypatch):
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
    assert [published_change.version for published_change in published] == [6]


class FakeClock:
    """Replaces the elapsed time, in seconds, with `now`."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clock, "elapsed", lambda: self.now)


async def test_entries_that_expired_in_an_outage_of_the_store_are_kept_for_a_grace_time(
    known, source, monkeypatch
):
    """VMs write their entries again within two seconds; their groups must not be dissolved."""
    monkeypatch.setattr(knowledge, "RETURN_GRACE_SECONDS", 0.1)
    fake_clock = FakeClock(monkeypatch)
    source._apply_change(change("servers/i-1", 5, entry()))
    source._apply_change(change("servers/i-2", 6, entry()))
    fake_clock.now += 8.0
    source._apply_change(change("servers/i-1", 7, None))
    source._apply_change(change("servers/i-2", 8, None))
    assert {"i-1", "i-2"} <= known.vms_by_id.keys()
    source._apply_change(change("servers/i-1", 9, entry()))
    await pool_fleet.until(lambda: "i-2" not in known.vms_by_id)
    assert "i-1" in known.vms_by_id


async def test_an_entry_that_expires_while_the_store_answers_is_dropped_at_once(
    known, source, monkeypatch
):
    fake_clock = FakeClock(monkeypatch)
    source._apply_change(change("servers/i-1", 5, entry()))
    fake_clock.now += 1.5
    source._apply_change(change("servers/i-1", 7, None))
    assert "i-1" not in known.vms_by_id


def restored(key, revision, spec, *, era=2):
    """Returns a change in a restored store."""
    return change(key, eras.version(era=era, revision=revision), spec)


@pytest.fixture
def before_restore(known, source, monkeypatch):
    """A node that has known a store in its first era; the clock is returned."""
    monkeypatch.setattr(restored_contents, "REWRITE_SECONDS", 0.1)
    monkeypatch.setattr(knowledge, "RETURN_GRACE_SECONDS", 0.1)
    fake_clock = FakeClock(monkeypatch)
    first = [
        restored("config/main", 90, pool_fleet.configuration(7), era=1),
        restored("servers/i-1", 91, entry(state="draining"), era=1),
        restored("servers/i-2", 92, entry(), era=1),
        restored("evacuations/b", 93, {}, era=1),
    ]
    source.offer(first, source="other")
    monkeypatch.setattr(source, "_max_age", lambda: 0.0)
    return fake_clock


async def test_older_contents_of_a_restored_store_undo_what_is_known(known, source, before_restore):
    """A leaving VM is ready again in the copy, a VM and an evacuation are missing."""
    source.offer(
        [
            restored("config/main", 20, pool_fleet.configuration(6)),
            restored("servers/i-1", 21, entry()),
            restored("servers/i-2", 30, None),
            restored("evacuations/b", 30, None),
        ],
        source="other",
    )
    assert known.configuration.version == 7
    assert known.vms_by_id["i-1"].vm.leaving
    assert "i-2" in known.vms_by_id
    assert known.out_of_service == {"b"}


async def test_what_is_written_again_to_a_restored_store_is_applied_at_once(
    known, source, before_restore
):
    source.offer(
        [
            restored("servers/i-1", 21, entry(born=9)),
            restored("servers/i-2", 22, entry(state="draining")),
            restored("servers/i-3", 23, entry()),
            restored("evacuations/a", 24, {}),
            restored("evacuations/b", 25, None),
            restored("evacuations/b", 26, {}),
            restored("evacuations/b", 27, None),
        ],
        source="other",
    )
    assert not known.vms_by_id["i-1"].vm.leaving
    assert known.vms_by_id["i-2"].vm.leaving
    assert "i-3" in known.vms_by_id
    assert known.out_of_service == {"a"}


async def test_what_nobody_writes_again_is_believed_after_a_time(known, source, before_restore):
    source.offer(
        [
            restored("servers/i-1", 21, entry()),
            restored("servers/i-2", 30, None),
            restored("evacuations/b", 30, None),
        ],
        source="other",
    )
    before_restore.now += 0.2
    await pool_fleet.until(lambda: "i-2" not in known.vms_by_id)
    assert not known.vms_by_id["i-1"].vm.leaving
    assert known.out_of_service == frozenset()


async def test_a_vm_that_was_removed_returns_with_the_copy(known, source, before_restore):
    source.offer([restored("servers/i-2", 94, None, era=1)], source="other")
    source.offer([restored("servers/i-2", 20, entry())], source="other")
    assert "i-2" not in known.vms_by_id


async def test_a_store_that_is_restored_twice_in_a_row(known, source, before_restore):
    source.offer([restored("servers/i-1", 21, entry())], source="other")
    before_restore.now += 0.05
    source.offer([restored("evacuations/b", 10, None, era=3)], source="other")
    source.offer([restored("servers/i-1", 9, entry(), era=3)], source="other")
    assert known.vms_by_id["i-1"].vm.leaving
    assert known.out_of_service == {"b"}
    before_restore.now += 0.2
    await pool_fleet.until(lambda: not known.out_of_service)


async def test_a_cold_start_begins_anew_when_the_store_was_restored(known, source, before_restore):
    source.offer([restored("servers/i-3", 95, entry(coldRemainingMs=2500), era=1)], source="other")
    before_restore.now += 1.0
    for revision in (31, 32):
        again = restored("servers/i-3", revision, entry(coldRemainingMs=2500))
        source.offer([again], source="other")
    assert known.vms_by_id["i-3"].cold_until == 102.5


async def test_a_node_that_starts_serves_by_the_older_configuration_of_a_copy(node_kernel, known):
    """A peer tells it the configuration that the restored store has lost."""
    source = node_kernel.find(names.FEED, feed.Feed)
    source.offer([restored("config/main", 20, pool_fleet.configuration(6))], source="")
    lost = restored("config/main", 90, pool_fleet.configuration(7), era=1)
    source.offer([lost], source="peer")
    assert known.configuration.version == 7
    source.offer([restored("config/main", 21, pool_fleet.configuration(8))], source="")
    source.offer([lost], source="peer")
    assert known.configuration.version == 8
    source.offer([restored("config/main", 95, pool_fleet.configuration(8), era=1)], source="peer")
    assert eras.era_of(known._in_force.version) == 2


async def test_a_peer_is_not_told_the_configuration_that_a_restored_store_has_lost(
    node_kernel, known, source, before_restore
):
    sent = []
    node_kernel.find(names.PEERS, peers.PeerNetwork).send = lambda node_id, message: sent.append(
        (node_id, message)
    )
    era_entry = dict([peer_versions.ERA_ENTRY])
    source.peer_versions.versions_from_peer("early", era_entry)
    assert sent == []
    source.offer([restored("servers/i-9", 22, entry())], source="other")
    source.peer_versions.versions_from_peer("late", era_entry)
    ((node_id, message),) = sent
    assert node_id == "late"
    lost = [eras.version(era=1, revision=revision) for revision in (90, 93)]
    assert [one.version for one in message.changes] == lost
    again = [
        restored("config/main", 25, pool_fleet.configuration(7)),
        restored("evacuations/b", 26, {}),
    ]
    source.offer(again, source="other")
    source.peer_versions.versions_from_peer("later", era_entry)
    assert len(sent) == 1


async def test_two_nodes_that_list_the_copy_undo_what_is_known(known, source, before_restore):
    for revision in (30, 31):
        source.offer(
            [
                restored("servers/i-2", revision, None),
                restored("evacuations/b", revision, None),
            ],
            source="other",
        )
    assert "i-2" in known.vms_by_id
    assert known.out_of_service == {"b"}


async def test_a_vm_is_dropped_whose_entry_is_back_after_an_outage_with_a_restore(
    known, source, before_restore
):
    """The entry is missing at first, which is told twice, and then written again as it was."""
    before_restore.now += 8.0
    source.offer([restored("servers/i-2", 30, None)], source="other")
    source.offer([restored("servers/i-2", 31, None)], source="other")
    source.offer([restored("servers/i-2", 32, entry())], source="other")
    before_restore.now += 0.2
    await asyncio.sleep(0.3)
    assert "i-2" in known.vms_by_id


async def test_the_copy_is_believed_while_the_store_is_out_of_reach_again(
    known, source, before_restore, monkeypatch
):
    """The evacuation was written again meanwhile, but this node cannot see it."""
    age = [0.0]
    monkeypatch.setattr(source, "_max_age", lambda: age[0])
    source.offer([restored("evacuations/b", 30, None)], source="other")
    before_restore.now += 3.0
    age[0] = 3.0
    await asyncio.sleep(0.4)
    assert known.out_of_service == {"b"}
    source.offer([restored("evacuations/b", 31, {})], source="other")
    age[0] = 0.0
    await asyncio.sleep(0.4)
    assert known.out_of_service == {"b"}
    source.offer([restored("evacuations/b", 32, None)], source="other")
    assert known.out_of_service == frozenset()


async def test_a_node_that_starts_after_a_restore_uses_a_domain_that_is_out(
    known, source, monkeypatch
):
    """A peer tells it what the copy lacks; it counts until the operator has had time to write it."""
    monkeypatch.setattr(restored_contents, "REWRITE_SECONDS", 0.1)
    monkeypatch.setattr(source, "_max_age", lambda: 0.0)
    source.offer([restored("servers/i-1", 3, entry())], source="")
    source.offer([restored("evacuations/b", 93, {}, era=1)], source="peer")
    source.offer([restored("evacuations/c", 94, {}, era=1)], source="peer")
    assert known.out_of_service == {"b", "c"}
    source.offer([restored("evacuations/c", 20, {})], source="")
    await pool_fleet.until(lambda: known.out_of_service == {"c"})


async def test_the_controller_acts_on_the_copy_of_a_restored_store(known, source, before_restore):
    assert known.is_settled
    source.offer([restored("servers/i-9", 21, entry())], source="other")
    assert not known.is_settled
    before_restore.now += 0.2
    await pool_fleet.until(lambda: known.is_settled)
