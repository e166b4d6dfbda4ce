"""Tests of the causes of crashes in the store: written, learned, released, written again."""

import asyncio
import dataclasses
import math

import pytest

from basilpost.core import clock, codec, kernel, names
from basilpost.members import fakes, feed, node_table
from basilpost.routing import crash_evidence, crash_messages, crash_store, crashes
from basilpost.store import memory, objects

BAD = crash_evidence.Trait(kind="part", value="bad")
KEY = crash_store.key_of(BAD)


class FakeFeed(feed.Feed):
    """A feed that reports changes when the test says so."""

    def __init__(self):
        self.on_change = None
        self.on_restore = None
        self.known_age = math.inf

    def age(self, prefix):
        return self.known_age

    def follow(self, prefix, *, wait, on_change, age_bounded=True):
        self.on_change = on_change

    def subscribe_restore(self, listener):
        self.on_restore = listener


class Node:
    def __init__(self, node_id, store, hub):
        node_kernel = kernel.Kernel(node_id=node_id)
        node_kernel.register(names.PEERS, fakes.FakePeers(node_id=node_id, hub=hub))
        node_kernel.register(names.OBJECTS, store)
        self.feed = FakeFeed()
        node_kernel.register(names.FEED, self.feed)
        self.table = node_table.NodeTable()
        node_kernel.register(names.NODE_TABLE, self.table)
        self.tracker = crashes.CrashTracker(kernel=node_kernel)
        node_kernel.register(names.CRASHES, self.tracker)
        self.store = crash_store.CrashStore(kernel=node_kernel)

    async def read(self, stored):
        self.feed.on_change(objects.Change(key=stored.key, version=stored.version, stored=stored))

    async def close(self):
        await self.store.stop()
        await self.tracker.stop()


@pytest.fixture
def store():
    return memory.MemoryStore()


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(crash_store, "TAKE_OVER_SECONDS", (0.01, 0.02))
    monkeypatch.setattr(crash_store, "RETRY_SECONDS", 0.01)
    monkeypatch.setattr(crash_store, "CRASH_DELAY_SECONDS", (0.01, 0.02))
    monkeypatch.setattr(crash_store, "EXPIRY_CHECK_SECONDS", 0.02)


def make_cause(node_id="n0", **changes):
    cause = crash_messages.CrashCause(
        cause_id="c1",
        trait=BAD,
        found_at=clock.utc_now(),
        node_id=node_id,
        crashes=3,
        targets=("t0", "t1", "t2"),
        requests=("r0", "r1", "r2"),
    )
    return dataclasses.replace(cause, **changes)


async def stored_cause(store):
    stored = await store.get(KEY)
    return codec.from_json(stored.value, crash_messages.CrashCause)


@pytest.mark.parametrize("finder", ["n0", "gone"])
async def test_a_cause_is_written_by_the_node_that_found_it_or_by_another(store, finder):
    node = Node("n0", store, fakes.PeerHub())
    node.tracker.apply_cause(make_cause(finder))
    node.tracker.on_cause(make_cause(finder))
    await asyncio.sleep(0.1)
    assert await stored_cause(store) == make_cause(
        finder, found_at=(await stored_cause(store)).found_at
    )
    await node.close()


async def test_a_node_that_starts_without_peers_learns_causes_from_the_store(store):
    await store.create(KEY, codec.to_json(make_cause()))
    node = Node("late", store, fakes.PeerHub())
    await node.read(await store.get(KEY))
    assert node.tracker.find_cause([BAD]).cause_id == "c1"
    await node.close()


async def test_a_release_in_the_store_ends_the_refusals(store):
    node = Node("n0", store, fakes.PeerHub())
    node.tracker.apply_cause(make_cause())
    written = await store.create(KEY, codec.to_json(make_cause()))
    value = crash_store.release_cause(make_cause(), "mended")
    await store.update(KEY, value, version=written.version)
    await node.read(await store.get(KEY))
    assert node.tracker.find_cause([BAD]) is None
    assert (await stored_cause(store)).released == "mended"
    await node.close()


async def test_a_cause_that_the_store_has_lost_is_written_again(store):
    node = Node("n0", store, fakes.PeerHub())
    node.tracker.apply_cause(make_cause())
    written = await store.create(KEY, codec.to_json(make_cause()))
    await node.read(await store.get(KEY))
    await store.delete(KEY, version=written.version)
    node.feed.on_change(objects.Change(key=KEY, version=written.version + 1, stored=None))
    await asyncio.sleep(0.1)
    assert (await stored_cause(store)).cause_id == "c1"
    assert node.tracker.find_cause([BAD]) is not None
    await node.close()


async def test_a_cause_whose_time_is_over_is_removed_from_the_store(store):
    node = Node("n0", store, fakes.PeerHub())
    await store.create(KEY, codec.to_json(make_cause(found_at="2020-01-01T00:00:00+00:00")))
    await node.read(await store.get(KEY))
    assert node.tracker.find_cause([BAD]) is None
    await node.store.start()
    await asyncio.sleep(0.1)
    assert isinstance(await store.get(KEY), objects.Missing)
    await node.close()


async def test_a_node_waits_for_the_store_or_a_peer_before_it_serves(store, monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: now[0])
    nodes = [Node(f"n{number}", store, fakes.PeerHub()) for number in range(3)]
    assert not any(node.store.is_informed() for node in nodes)
    nodes[0].feed.known_age = 0.1
    # The records of the nodes may not have arrived yet.
    assert not nodes[0].store.is_informed()
    nodes[0].table.records_by_id["n0"] = None
    await nodes[1].tracker._on_answer_report(
        "peer", crash_messages.AnswerReport(report_id="a", answered=())
    )
    assert [node.store.is_informed() for node in nodes] == [True, True, False]
    # What a node has begun to do it goes on with, when a record of another node arrives.
    nodes[0].table.records_by_id["other"] = None
    assert nodes[0].store.is_informed()
    # A node alone beside a store that refuses these objects serves all the same.
    now[0] += crash_store.MAX_WAIT_SECONDS * 1.1
    assert nodes[2].store.is_informed()
    for node in nodes:
        await node.close()


async def test_a_node_waits_for_a_peer_that_may_know_causes_that_the_store_lacks(
    store, monkeypatch
):
    now = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: now[0])
    node = Node("n0", store, fakes.PeerHub())
    node.table.records_by_id |= {"n0": None, "other": None}
    node.feed.known_age = 0.1
    assert not node.store.is_informed()
    now[0] += crash_store.MAX_WAIT_FOR_PEER_SECONDS * 1.1
    assert node.store.is_informed()
    await node.close()


async def test_malformed_objects_are_no_causes(store):
    node = Node("n0", store, fakes.PeerHub())
    for number, value in enumerate([b"null", b"{}", b'{"trait": 3}']):
        await node.read(objects.Stored(key=KEY, value=value, version=number + 1))
    assert not node.tracker.causes_by_trait
    await node.close()


def test_keys_are_plain_whatever_the_id_of_a_part():
    odd = crash_evidence.Trait(kind="part", value="a/b c" * 30)
    name = crash_store.key_of(odd).removeprefix(crash_store.PREFIX)
    assert name.removeprefix("part-").isalnum() and len(name) < 80
    assert KEY == f"{crash_store.PREFIX}part-bad"


async def test_a_cause_that_was_written_after_the_copy_of_a_restored_store_is_lost(store):
    """The node has not seen its own write when the store goes back, so nothing tells it of a loss."""
    node = Node("n0", store, fakes.PeerHub())
    node.tracker.apply_cause(make_cause("n0"))
    node.tracker.on_cause(make_cause("n0"))
    await asyncio.sleep(0.1)
    store.restore(0)
    node.feed.on_restore()
    await asyncio.sleep(0.1)
    assert (await stored_cause(store)).cause_id == "c1"
    await node.close()


def lost(*fingerprints, parts=()):
    return [
        crash_evidence.LostRequest(fingerprint=fingerprint, parts=parts)
        for fingerprint in fingerprints
    ]


def stored_crashes(store):
    return [
        codec.from_json(value.value, crash_messages.StoredCrash)
        for key, value in store._stored_by_key.items()
        if key.startswith(f"{crash_store.PREFIX}crash-")
    ]


async def read_all(node, store):
    for stored in (await store.list(crash_store.PREFIX)).objects:
        await node.read(stored)


async def test_crashes_before_a_cause_are_forgotten_when_all_nodes_are_killed(store):
    """A request crashed three more runners each time that all nodes were killed (review/9 at c313194)."""
    for number in range(crash_evidence.MIN_CRASHES):
        node = Node(f"n{number}", store, fakes.PeerHub())
        await read_all(node, store)
        node.tracker.record_crash(f"t{number}", lost("bad", f"other-{number}"))
        await asyncio.sleep(max(crash_evidence.SEPARATE_SECONDS, crashes.DECISION_DELAY_SECONDS))
        await asyncio.sleep(0.1)
        causes = list(node.tracker.causes_by_trait)
        await node.close()
    assert causes == [crash_evidence.Trait(kind="request", value="bad")]


async def test_requests_that_were_answered_since_are_kept_as_suspects(store):
    node = Node("n0", store, fakes.PeerHub())
    await node.store.start()
    sound = lost("sound")[0]
    node.tracker.record_crash("t0", lost("bad", "sound"))
    node.tracker.record_answer(sound.traits)
    node.tracker.record_crash("t1", lost("sound"))
    await asyncio.sleep(0.1)
    (kept,) = stored_crashes(store)
    assert (kept.target_id, kept.requests) == ("t0", ("bad",))
    await read_all(node, store)
    node.tracker.record_answer(lost("bad")[0].traits)
    await asyncio.sleep(0.1)
    assert not stored_crashes(store)
    await node.close()


async def test_a_part_is_blamed_for_crashes_before_the_answers_that_cleared_it_were_forgotten(
    store,
):
    """Nodes that start know no answers from before; only a request that nobody answered may count."""
    for number in range(crash_evidence.MIN_CRASHES_IN_DOUBT):
        node = Node(f"n{number}", store, fakes.PeerHub())
        await read_all(node, store)
        node.tracker.record_crash(f"t{number}", lost(f"r{number}", parts=("shared",)))
        await asyncio.sleep(crash_evidence.SEPARATE_SECONDS + 0.1)
        assert not node.tracker.causes_by_trait
        await node.close()


async def test_the_loss_of_many_targets_at_once_fills_the_store(store):
    node = Node("n0", store, fakes.PeerHub())
    for number in range(100):
        node.tracker.record_crash(f"t{number}", lost(f"r{number}"))
        if number % 10 == 9:
            await asyncio.sleep(0.03)
            await read_all(node, store)
    assert len(stored_crashes(store)) <= crash_store.MAX_STORED_CRASHES + 10
    await node.close()


async def test_a_crash_of_long_ago_or_a_malformed_one_speaks_against_a_request(store):
    node = Node("n0", store, fakes.PeerHub())
    await node.store.start()
    old = crash_messages.StoredCrash(
        target_id="t0", crashed_at="2020-01-01T00:00:00+00:00", requests=("bad",)
    )
    await store.create(crash_store.crash_key("t0"), codec.to_json(old))
    for number, value in enumerate([b"null", b"{}", b'{"crashed_at": 3}', b"\xff"]):
        await store.create(crash_store.crash_key(f"odd-{number}"), value)
    await read_all(node, store)
    assert node.tracker.unexplained("t0") is None
    await asyncio.sleep(0.1)
    left = {stored.key for stored in (await store.list(crash_store.PREFIX)).objects}
    assert left == {crash_store.crash_key(f"odd-{number}") for number in range(4)}
    await node.close()
