"""An accepted configuration is in force on all nodes in time, and versions only rise."""

import asyncio

import pytest

from basilpost.core import codec, names
from tests import members_fleet

KEY = members_fleet.WORKSPACE_KEY
SETTLE_SECONDS = 5
HEALTHY_SECONDS = 5.0
CUT_OFF_SECONDS = 10.0


@pytest.mark.looptime
async def test_nodes_connect_replicate_decode_and_serve():
    async with members_fleet.Fleet(size=3) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        assert all(node.peers.live_nodes() == ("n000", "n001", "n002") for node in fleet.nodes)
        await fleet.write(KEY, members_fleet.workspace(rate=7.0))
        await fleet.store.create(
            names.FABRIC_PREFIX + "f1", codec.to_json(members_fleet.group_table("f1"))
        )
        await asyncio.sleep(1)
        for node in fleet.nodes:
            assert node.directory.config().workspaces_by_name["arkhiv"].rate == 7.0
            assert node.directory.group("g1").service == "clearance"
            assert [group.group_id for group in node.directory.groups_for("clearance")] == ["g1"]
            assert node.lease.remaining() > 5
            assert node.table_size == 3
            assert node.serving


@pytest.mark.looptime
async def test_a_node_cut_off_from_the_store_learns_from_its_peers():
    async with members_fleet.Fleet(size=5) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.cut_store("n000", "n001")
        await asyncio.sleep(20)
        version = await fleet.write(KEY, members_fleet.workspace())
        await asyncio.sleep(CUT_OFF_SECONDS)
        assert fleet.in_force(KEY, version) == set(fleet.ids)
        assert fleet.serving() == set(fleet.ids)
