"""Most nodes of a fleet beyond the full mesh are cut off from all runners."""

import asyncio

import pytest

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from tests import cut_links, pool_cut_off_test, pool_nodes

NODES = 24


@pytest.mark.parametrize("kind", cut_links.Kind)
async def test_callers_are_refused_though_a_few_nodes_of_a_large_fleet_have_a_path(kind):
    """Nodes know by their neighbours only who has a path, and search for one by chance."""
    cut_count = NODES - 2
    async with pool_nodes.running(
        nodes=NODES, fabric_domains=3, vms=12, plain_instances=3
    ) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        callers = pool_cut_off_test.Callers(bench)
        running = asyncio.create_task(callers.run(seconds=8.0, per_second=1.0))
        await asyncio.sleep(1.0)
        for node in range(cut_count):
            bench.links[node].cut(kind)
        cut_at = clock.elapsed()
        await running
        settled_at = cut_at + pool_cut_off_test.STABLE_SECONDS
        pool_cut_off_test.check_served(callers, range(cut_count), since=settled_at)
        failed, count = callers.failures(range(cut_count, NODES), since=cut_at)
        assert count and not failed
