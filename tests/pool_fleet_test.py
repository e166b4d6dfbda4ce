"""Tests of a fleet without a full mesh: a few nodes watch the store and relay what they learn."""

import asyncio
import contextlib
import functools
import itertools

from basilpost.core import clock, kernel, names
from basilpost.emulator import pool_fleet
from basilpost.members import (
    feed,
    loads,
    memory_transport,
    node_registry,
    node_table,
    path_states,
    streams,
)
from basilpost.settings import schema
from basilpost.store import memory
from tests import members_fleet

PREFIX = "servers/"
FULL_MESH_NODES = 4
REGIONS = ("r/a", "r/b")
FLEET_SIZE = 16


class Node:
    """A node that follows one key prefix.

    Its `seen` has the last version of each key, its `known_keys` those that are not deleted.
    """

    def __init__(
        self, *, node_id, region, shared, network, full_mesh_nodes=FULL_MESH_NODES, **timing
    ):
        self.node_id = node_id
        self.network = network
        self.store = members_fleet.NodeStore(shared=shared)
        self.kernel = kernel.Kernel(node_id=node_id)
        self.seen = {}
        self.known_keys = set()
        settings = schema.NodeSettings(
            node_id=node_id,
            failure_domain=region,
            region=region,
            platform=schema.Platform(object_api="", vm_list=""),
            peers=schema.PeerStreams(
                full_mesh_nodes=full_mesh_nodes, neighbours=4, min_watchers=3, secret="s"
            ),
            timing=schema.Timing(**timing),
        )
        self.table = table = node_table.NodeTable()
        self.kernel.register(names.SETTINGS, settings)
        self.kernel.register(names.OBJECTS, self.store)
        self.kernel.register(names.NODE_TABLE, table)
        self.kernel.register(
            names.PEERS,
            streams.Streams(
                kernel=self.kernel, table=table, peer_transport=network.transport(node_id)
            ),
        )
        self.feed = feed.Feed(kernel=self.kernel, table=table)
        self.feed.follow(PREFIX, wait=1.3, on_change=self._record_change)
        self.kernel.register(names.FEED, self.feed)
        self.loads = loads.Loads(kernel=self.kernel)
        self.kernel.register(names.LOADS, self.loads)
        record = node_table.NodeRecord(
            node_id=node_id,
            peer_address=node_id,
            region=region,
            incarnation="1",
            lease_seconds=node_registry.LEASE_SECONDS,
        )
        self.kernel.register("registry", node_registry.Registry(kernel=self.kernel, record=record))

    def _record_change(self, change):
        self.seen[change.key] = change.version
        if change.stored is None:
            self.known_keys.discard(change.key)
        else:
            self.known_keys.add(change.key)

    @property
    def store_call_count(self):
        return sum(self.store.calls_by_kind.values())


class Fleet:
    def __init__(self, **options):
        self.options = options
        self.store = memory.MemoryStore()
        self.network = memory_transport.MemoryNetwork()
        self.nodes = []

    async def add(self, number):
        node = Node(
            node_id=f"n{number:02}",
            region=REGIONS[number % len(REGIONS)],
            shared=self.store,
            network=self.network,
            **self.options,
        )
        self.nodes.append(node)
        await node.kernel.start()

    @property
    def watchers(self):
        return [node for node in self.nodes if node.feed.is_watcher]

    @property
    def non_watchers(self):
        return [node for node in self.nodes if not node.feed.is_watcher]

    async def wait_until_settled(self):
        """Waits until all nodes know each other and have current data, from the store or peers."""
        await pool_fleet.until(
            lambda: all(len(node.loads.node_ids()) == FLEET_SIZE for node in self.nodes), seconds=20
        )
        await pool_fleet.until(
            lambda: all(not node.feed.has_stale_peer_data for node in self.non_watchers), seconds=20
        )

    async def crash(self, nodes):
        """Stops nodes without a leave message: their links are cut first."""
        for node in nodes:
            self.nodes.remove(node)
        crashed_ids = {node.node_id for node in nodes}
        self.network.partition(crashed_ids, {node.node_id for node in self.nodes})
        for node in nodes:
            node.store.cut = True
            await node.kernel.stop()


@contextlib.asynccontextmanager
async def running(*, era=0):
    fleet = Fleet()
    fleet.store.era = era
    try:
        for number in range(FLEET_SIZE):
            await fleet.add(number)
        await fleet.wait_until_settled()
        yield fleet
    finally:
        for node in fleet.nodes:
            await node.kernel.stop()


async def test_a_few_nodes_watch_and_all_learn_each_change():
    async with running() as fleet:
        assert len(fleet.watchers) == 6
        calls_before = [node.store_call_count for node in fleet.non_watchers]
        started_at = clock.elapsed()
        for number in range(5):
            written = await fleet.store.create(f"{PREFIX}vm-{number}", b"{}")
            key, version = f"{PREFIX}vm-{number}", written.version
            await pool_fleet.until(
                lambda key=key, version=version: all(
                    node.seen.get(key) == version for node in fleet.nodes
                ),
                seconds=2.0,
            )
        await pool_fleet.until(lambda: clock.elapsed() - started_at > 4.0, seconds=5)
        assert [node.store_call_count for node in fleet.non_watchers] == calls_before
        assert max(node.feed.age(PREFIX) for node in fleet.nodes) < 3.5


async def test_a_node_that_starts_gets_all_objects_from_its_peers():
    """Many nodes may be replaced at once; if each listed all VMs, the store would bear nodes times VMs."""
    async with running() as fleet:
        keys = {f"{PREFIX}vm-{number}" for number in range(20)}
        for key in keys:
            await fleet.store.create(key, b"{}")
        for number in range(FLEET_SIZE, FLEET_SIZE + 4):
            await fleet.add(number)
            late = fleet.nodes[-1]
            await pool_fleet.until(lambda late=late: late.seen.keys() >= keys, seconds=3)
            # Until a node knows its own record, it counts as a watcher.
            await pool_fleet.until(
                lambda late=late: late.node_id in late.table.records_by_id, seconds=3
            )
            if not late.feed.is_watcher:
                break
        assert not late.feed.is_watcher
        listed = late.store.calls_by_kind.get("list", 0)
        assert listed <= 1, "only the records of the nodes are listed"


async def test_the_age_of_a_node_s_data_counts_the_whole_outage_of_the_store():
    async with running() as fleet:
        cut_at = clock.elapsed()
        for node in fleet.nodes:
            node.store.cut = True
        await pool_fleet.until(lambda: clock.elapsed() - cut_at > 3.0, seconds=4)
        assert all(node.feed.age(PREFIX) >= clock.elapsed() - cut_at for node in fleet.nodes)


async def test_nodes_still_learn_changes_after_all_watchers_crash():
    async with running() as fleet:
        await fleet.crash(fleet.watchers)
        written = await fleet.store.create(f"{PREFIX}late", b"{}")
        await pool_fleet.until(
            lambda: all(node.seen.get(f"{PREFIX}late") == written.version for node in fleet.nodes),
            seconds=10,
        )


async def test_nodes_that_do_not_watch_learn_that_the_store_has_recovered():
    """Every node must know of the outage, so that none drops entries at once that expired in it."""
    async with running() as fleet:
        recovered_ids = []
        for node in fleet.nodes:
            node.feed.subscribe_store_recovery(lambda node=node: recovered_ids.append(node.node_id))
        cut_at = clock.elapsed()
        for node in fleet.nodes:
            node.store.cut = True
        await pool_fleet.until(lambda: clock.elapsed() - cut_at > 4.5, seconds=6)
        assert recovered_ids == []
        for node in fleet.nodes:
            node.store.cut = False
        await pool_fleet.until(lambda: len(recovered_ids) >= FLEET_SIZE, seconds=8)
        assert sorted(recovered_ids) == sorted(node.node_id for node in fleet.nodes)


async def test_all_nodes_know_the_same_number_of_requests_in_flight():
    async with running() as fleet:
        for node in fleet.nodes:
            node.loads.request_started("target")
        fleet.nodes[0].loads.local_stalled = lambda: ("still",)
        await pool_fleet.until(
            lambda: all(node.loads.total_in_flight("target") == FLEET_SIZE for node in fleet.nodes),
            seconds=5,
        )
        await pool_fleet.until(
            lambda: all(node.loads.stalled_among(["still"]) for node in fleet.nodes),
            seconds=5,
        )
        fleet.nodes[1].loads.local_writing = lambda: ("still",)
        await pool_fleet.until(
            lambda: not any(node.loads.stalled_among(["still"]) for node in fleet.nodes),
            seconds=5,
        )
        for node in fleet.nodes:
            node.loads.request_ended("target")
        await pool_fleet.until(
            lambda: all(node.loads.total_in_flight("target") == 0 for node in fleet.nodes),
            seconds=5,
        )


async def test_who_has_a_path_is_known_to_neighbours_only_or_long_after_a_crash():
    """All nodes learn within the users' 3 s who has one; one that crashes is soon not named."""
    async with running() as fleet:
        cut_off, others = fleet.nodes[:-4], fleet.nodes[-4:]
        for node in fleet.nodes:
            node.loads.local_path = functools.partial(
                path_states.entries_of, node.node_id, lost_scopes=(), has_path=True
            )
        await asyncio.sleep(0.5)
        assert not any(node.loads.paths.with_path for node in fleet.non_watchers)
        for node in cut_off:
            node.loads.local_path = functools.partial(
                path_states.entries_of, node.node_id, lost_scopes=("",), has_path=False
            )

        def knows(node, named):
            return all(
                node.loads.paths.confirms(other.node_id) == (other in named)
                and node.loads.paths.denies(other.node_id, "s") == (other in cut_off)
                for other in fleet.nodes
                if other is not node
            )

        await pool_fleet.until(
            lambda: all(knows(node, others) for node in fleet.nodes), seconds=3.0
        )
        crashed = others.pop()
        await fleet.crash([crashed])
        await pool_fleet.until(
            lambda: not any(node.loads.paths.confirms(crashed.node_id) for node in cut_off),
            seconds=loads.MAX_REPORT_AGE_SECONDS + 1.5,
        )
        assert all(knows(node, others) for node in cut_off if node in fleet.nodes)


async def test_counts_of_requests_in_flight_recover_when_hubs_crash():
    async with running() as fleet:
        for node in fleet.nodes:
            node.loads.request_started("target")
        await pool_fleet.until(
            lambda: all(node.loads.total_in_flight("target") == FLEET_SIZE for node in fleet.nodes),
            seconds=5,
        )
        crashed = list(itertools.islice(fleet.watchers, 2))
        await fleet.crash(crashed)
        await pool_fleet.until(
            lambda: all(
                node.loads.total_in_flight("target") == FLEET_SIZE - 2 for node in fleet.nodes
            ),
            seconds=10,
        )


async def test_nodes_that_do_not_watch_keep_objects_that_a_restored_store_has_lost():
    """In the copy no node has a record; revisions are far below those before."""
    async with running(era=1) as fleet:
        copy = fleet.store.revision
        key = f"{PREFIX}vm"
        for _ in range(5):
            await fleet.store.create(f"{PREFIX}lost-{_}", b"{}")
        await pool_fleet.until(
            lambda: all(f"{PREFIX}lost-4" in node.known_keys for node in fleet.nodes), seconds=3
        )
        fleet.store.restore(copy - FLEET_SIZE)
        written = await fleet.store.create(key, b"{}")
        await pool_fleet.until(
            lambda: all(
                node.seen.get(key) == written.version and node.known_keys == {key}
                for node in fleet.nodes
            ),
            seconds=6,
        )


async def test_records_of_nodes_are_lost_when_the_store_was_restored():
    async with running(era=1) as fleet:
        fleet.store.restore(0)
        fewest = FLEET_SIZE
        ends_at = clock.elapsed() + 5.0
        while clock.elapsed() < ends_at:
            fewest = min(fewest, *(len(node.table.records_by_id) for node in fleet.nodes))
            await asyncio.sleep(0.02)
        assert records_in(fleet.store) == FLEET_SIZE
        assert fewest == FLEET_SIZE


def records_in(store):
    return sum(key.startswith(node_registry.PREFIX) for key in store._stored_by_key)
