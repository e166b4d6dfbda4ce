"""Nodes that are lost for good, and their records in the store."""

import asyncio
import contextlib
import random

import pytest
import structlog.testing

from basilpost.core import clock, names
from basilpost.emulator import pool_fleet
from basilpost.members import lost_nodes, node_registry, peers
from tests import pool_fleet_test

# All times of the rule are shortened alike, and so is the time between two replacements.
FASTER = 6.0
REPLACE_SECONDS = 2.4 / FASTER
APPLY_SECONDS = 1.0


@pytest.fixture(autouse=True)
def faster(monkeypatch):
    for module, name in (
        (lost_nodes, "LOST_SECONDS"),
        (lost_nodes, "CHECK_SECONDS"),
        (lost_nodes, "MAX_COUNTED_SECONDS"),
        (node_registry, "REMOVAL_DELAY_SECONDS"),
    ):
        monkeypatch.setattr(module, name, getattr(module, name) / FASTER)


@contextlib.asynccontextmanager
async def running(*, nodes):
    fleet = pool_fleet_test.Fleet(
        full_mesh_nodes=16, heartbeat=1.0 / FASTER, peer_silence=3.0 / FASTER
    )
    try:
        for number in range(nodes):
            await fleet.add(number)
        await pool_fleet.until(
            lambda: all(len(node.loads.node_ids()) == nodes for node in fleet.nodes)
        )
        yield fleet
    finally:
        for node in fleet.nodes:
            await node.kernel.stop()


async def change_reaches_all(fleet):
    """Returns the seconds until each node has a change of the store."""
    written = await fleet.store.create(f"{pool_fleet_test.PREFIX}vm", b"{}")
    started_at = clock.elapsed()
    await pool_fleet.until(
        lambda: all(
            node.seen.get(f"{pool_fleet_test.PREFIX}vm") == written.version for node in fleet.nodes
        )
    )
    return clock.elapsed() - started_at


@pytest.mark.parametrize("order", ["oldest", "random"])
async def test_records_of_replaced_nodes_fill_the_store_and_hide_changes(order):
    """Seven live nodes learned of a configuration late, as dead ones were to pass it on (review/10)."""
    rng = random.Random(1)
    async with running(nodes=7) as fleet:
        most = 0
        for number in range(7, 57):
            chosen = fleet.nodes[0] if order == "oldest" else rng.choice(fleet.nodes)
            await asyncio.gather(
                fleet.crash([chosen]), fleet.add(number), asyncio.sleep(REPLACE_SECONDS)
            )
            most = max(most, pool_fleet_test.records_in(fleet.store))
        assert most <= 14
        assert await change_reaches_all(fleet) < APPLY_SECONDS


async def test_records_of_many_nodes_that_were_lost_at_once_stay():
    """Beyond the full mesh, each node removes the records of its own neighbours only."""
    async with running(nodes=24) as fleet:
        await fleet.crash(fleet.nodes[:12])
        await pool_fleet.until(lambda: pool_fleet_test.records_in(fleet.store) <= 24, seconds=30)
        await pool_fleet.until(lambda: pool_fleet_test.records_in(fleet.store) == 12, seconds=30)
        assert await change_reaches_all(fleet) < APPLY_SECONDS


async def test_a_live_node_whose_record_was_removed_stays_unknown():
    async with running(nodes=3) as fleet:
        key = node_registry.PREFIX + "n01"
        stored = await fleet.store.get(key)
        await fleet.store.delete(key, version=stored.version)
        await pool_fleet.until(lambda: pool_fleet_test.records_in(fleet.store) == 3, seconds=2)
        await pool_fleet.until(
            lambda: all(len(node.loads.node_ids()) == 3 for node in fleet.nodes), seconds=2
        )


async def test_a_node_that_others_do_not_reach_for_a_while_stays_unknown():
    async with running(nodes=4) as fleet:
        fleet.network.partition({"n00"}, {"n01", "n02", "n03"})
        with structlog.testing.capture_logs() as lines:
            await pool_fleet.until(
                lambda: any(line["event"] == "node_record_lost" for line in lines), seconds=20
            )
        fleet.network.heal()
        await pool_fleet.until(
            lambda: all(
                len(node.kernel.find(names.PEERS, peers.PeerNetwork).neighbours()) == 3
                for node in fleet.nodes
            ),
            seconds=10,
        )
        assert pool_fleet_test.records_in(fleet.store) == 4
        removed = [line["peer"] for line in lines if line["event"] == "node_record_removed"]
        assert set(removed) == {"n00"}


async def test_a_planned_stop_leaves_a_record_that_was_written_again():
    async with running(nodes=3) as fleet:
        stopping = fleet.nodes.pop()
        key = node_registry.PREFIX + stopping.node_id
        stored = await fleet.store.get(key)
        await fleet.store.delete(key, version=stored.version)
        await pool_fleet.until(lambda: pool_fleet_test.records_in(fleet.store) == 3, seconds=2)
        await stopping.kernel.stop()
        await asyncio.sleep(0.5)
        assert pool_fleet_test.records_in(fleet.store) == 2
