"""The platform's store comes back from an older copy: its revisions go back and are given out again.

What nodes wrote since the copy is gone; the operator and the runners write again what they wrote.
"""

import asyncio

import pytest

from basilpost.core import clock, names
from basilpost.emulator import pool_fleet
from basilpost.members import feed
from tests import pool_nodes, pool_withdrawal_test

# Changes that the copy lacks, and time for which the store does not answer.
LOST_CHANGES = 300
AWAY_SECONDS = 0.3
REWRITE_SECONDS = 0.3
# Machines count as in touch again this long after the store's return.
STABLE_SECONDS = 3.0


async def lose_changes(bench, count):
    """Makes changes of unrelated objects, which a copy from before does not have."""
    for number in range(count):
        await bench.fleet.store.store.create(f"unrelated/{clock.elapsed()}-{number}", b"{}")


async def restore(bench, revision, **options):
    """Restores a copy of the store and returns when it answers again, on `clock.elapsed`."""
    options = {"away_seconds": AWAY_SECONDS, "rewrite_seconds": REWRITE_SECONDS} | options
    await bench.fleet.store.restore(revision, **options)
    return clock.elapsed()


def without_filing(version):
    """Returns a configuration that no longer has the route `filing`."""
    changed = pool_fleet.configuration(version)
    changed["routes"] = [route for route in changed["routes"] if route["name"] != "filing"]
    return changed


@pytest.mark.parametrize("lost_changes", [30, LOST_CHANGES])
async def test_requests_are_handled_by_an_older_configuration_after_the_store_was_restored(
    lost_changes,
):
    async with (
        pool_nodes.running(nodes=3, vms=0) as bench,
        pool_withdrawal_test.Load(bench).running() as load,
    ):
        copy = bench.fleet.store.store.revision
        await lose_changes(bench, lost_changes)
        await bench.fleet.configure(pool_fleet.configuration(2))
        await bench.wait_for_knowledge(lambda known: known.configuration.version == 2)
        await restore(bench, copy)
        await asyncio.sleep(STABLE_SECONDS)
        await bench.fleet.configure(without_filing(3))
        confirmed_at = clock.elapsed()
        await asyncio.sleep(
            pool_withdrawal_test.ROUTE_SECONDS + pool_withdrawal_test.WATCHED_SECONDS
        )
        last = load.last_run(bench.fleet.runners_by_id.values())
        assert 0.0 < last <= confirmed_at + pool_withdrawal_test.ROUTE_SECONDS


async def test_changes_are_never_seen_where_a_watch_goes_on_in_another_history():
    """The restored store has passed the nodes' revisions before they watch again."""
    async with pool_nodes.running(nodes=3, vms=0) as bench:
        copy = bench.fleet.store.store.revision
        await lose_changes(bench, 30)
        await bench.fleet.configure(pool_fleet.configuration(2))
        await bench.wait_for_knowledge(lambda known: known.configuration.version == 2)
        bench.fleet.store.store.restore(copy)
        await bench.fleet.configure(pool_fleet.configuration(3))
        await lose_changes(bench, 60)
        await asyncio.sleep(STABLE_SECONDS)
        assert {node_relay.knowledge.configuration.version for node_relay in bench.relays} == {3}


async def test_open_groups_are_broken_up_after_the_store_was_restored():
    """In the copy no VM has a group; the runners write their entries again after some time."""
    async with pool_nodes.running(nodes=3) as bench:
        copy = bench.fleet.store.store.revision
        await bench.wait_for_groups(2)
        await asyncio.sleep(1.0)
        runners = bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
        groups = bench.fleet.open_groups()
        orders = [len(runner.orders) for runner in runners]
        await restore(bench, copy, rewrite_seconds=1.5)
        await asyncio.sleep(STABLE_SECONDS)
        assert bench.fleet.open_groups() == groups
        assert [len(runner.orders) for runner in runners] == orders
        assert (await bench.draft()).code == 200


async def test_orders_are_rejected_after_the_store_was_restored():
    """VMs are added after the restore, while revisions are far below the controller's fence."""
    bench = pool_nodes.Nodes()
    await lose_changes(bench, LOST_CHANGES)
    try:
        await bench.start(nodes=3)
        await bench.wait_for_groups(2)
        await restore(bench, 10)
        (controller,) = [one for one in bench.controllers if one.is_holder]
        await controller.stop()
        await asyncio.sleep(STABLE_SECONDS)
        runners = [
            bench.fleet.add(f"vm-new-{number}", pool_fleet.MODEL_SERVICE, fabric_domain="fabric-0")
            for number in range(3)
        ]
        for runner in runners:
            await runner.start()
        await bench.wait_for_groups(3)
        assert not [
            order
            for runner in bench.fleet.runners_by_id.values()
            for order in runner.refused_orders
        ]
        fences = [order["fence"] for runner in runners for order in runner.orders]
        assert fences and min(fences) > LOST_CHANGES
        assert max(fences) < 2**40
    finally:
        await bench.stop()


async def test_a_node_that_starts_after_a_restore_runs_requests_of_a_dropped_route():
    """It starts before the operator has written the configuration to the restored store again."""
    async with pool_nodes.running(nodes=2, vms=0) as bench:
        copy = bench.fleet.store.store.revision
        await bench.fleet.configure(without_filing(2))
        await bench.wait_for_knowledge(lambda known: known.configuration.version == 2)
        restoring = asyncio.create_task(restore(bench, copy, rewrite_seconds=90.0))
        await asyncio.sleep(AWAY_SECONDS + 0.3)
        await bench.add("node-late")
        await pool_fleet.until(lambda: bench.relays[-1].ready)
        late = bench.relays[-1].knowledge
        await pool_fleet.until(lambda: late.configuration.version == 2, seconds=3)
        answer = await bench.call("/filing/a", node=2)
        assert answer.code == 404
        restoring.cancel()


async def test_nodes_that_learn_the_era_after_their_streams_opened_are_taken_for_an_older_build():
    async with pool_nodes.running(nodes=3, vms=0) as bench:
        feeds = [kernel.find(names.FEED, feed.Feed) for kernel in bench.kernels]
        node_ids = [kernel.node_id for kernel in bench.kernels]
        await pool_fleet.until(
            lambda: all(
                one.peer_versions.knows_eras(node_id)
                for one, own_id in zip(feeds, node_ids, strict=True)
                for node_id in node_ids
                if node_id != own_id
            ),
            seconds=5,
        )
