"""Most nodes of a fleet beyond the full mesh are cut off from all runners."""

import asyncio

import pytest

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.groups import pool_controller
from tests import cut_links, pool_cut_off_test, pool_nodes

NODES = 18


@pytest.mark.parametrize("kind", cut_links.Kind)
async def test_callers_are_refused_though_a_few_nodes_of_a_large_fleet_have_a_path(kind):
    """Nodes know by their neighbours only who has a path, and search for one by chance."""
    cut_count = NODES - 2
    async with pool_nodes.running(
        nodes=NODES, fabric_domains=3, vms=12, plain_instances=6
    ) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        # All nodes send at the same moments; there are slots for all of these requests.
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


async def test_a_pool_has_no_controller_while_all_nodes_that_watch_the_store_are_cut_off():
    """Control stays with the watchers of a large fleet, of which there are two here."""
    async with pool_nodes.running(nodes=NODES, vms=6) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        watchers = [number for number, feed in enumerate(bench.feeds) if feed.is_watcher]
        assert len(watchers) == 2
        # While the nodes started, one that does not watch may have become the controller.
        holders = [number for number, one in enumerate(bench.controllers) if one.is_holder]
        for node in {*watchers, *holders}:
            bench.links[node].cut(cut_links.Kind.RESET)
            while bench.reachabilities[node].has_path:
                await bench.call("/lookup/notice", node=node)
                await asyncio.sleep(0.05)

        def has_controller():
            return any(
                controller.is_holder and reachable.has_path
                for controller, reachable in zip(
                    bench.controllers, bench.reachabilities, strict=True
                )
            )

        await pool_fleet.until(has_controller, seconds=2 * pool_controller.LEASE_SECONDS)
        lost_group = bench.fleet.open_groups(pool_fleet.LARGE)[0]
        member = next(
            runner
            for runner in bench.fleet.runners_by_id.values()
            if runner.member is not None and runner.member["name"] == lost_group
        )
        member.crash()
        await pool_fleet.until(
            lambda: any(name != lost_group for name in bench.fleet.open_groups(pool_fleet.LARGE))
        )
