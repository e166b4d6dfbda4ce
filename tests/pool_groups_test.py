"""Groups of a pool when VMs vanish or leave, orders arrive late and the controller changes."""

import asyncio
import itertools

from basilpost.core import names
from basilpost.emulator import pool_fleet
from basilpost.groups import pool_controller
from basilpost.platform import store as platform_store
from tests import pool_nodes


def assert_no_vm_in_two_groups(bench):
    """Checks that no VM joined a group while it was a member of another one that could serve."""
    joins = itertools.chain(*(runner.joins for runner in bench.fleet.runners_by_id.values()))
    assert [join for join in joins if join[1] and not join[1].startswith("standby-")] == []


def head_runners(bench):
    return [
        runner
        for runner in bench.fleet.runners_by_id.values()
        if runner.member is not None and runner.member["state"] == "open"
    ]


def members_of(bench, group):
    return [
        runner
        for runner in bench.fleet.runners_by_id.values()
        if runner.member is not None and runner.member["name"] == group
    ]


async def test_a_group_that_lost_a_member_is_rebuilt_with_the_spare():
    async with pool_nodes.running(vms=4) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        (before,) = bench.fleet.open_groups(pool_fleet.LARGE)
        await pool_fleet.until(lambda: any(map(_is_spare, _accelerator_runners(bench))))
        lost = members_of(bench, before)[1]
        await lost.vanish()
        await pool_fleet.until(
            lambda: [
                group for group in bench.fleet.open_groups(pool_fleet.LARGE) if group != before
            ]
        )
        (after,) = bench.fleet.open_groups(pool_fleet.LARGE)
        assert len(members_of(bench, after)) == 3
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        assert (await bench.draft()).code == 200
        assert_no_vm_in_two_groups(bench)


async def test_a_group_that_lost_its_head_is_rebuilt():
    async with pool_nodes.running(vms=4) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        (before,) = bench.fleet.open_groups(pool_fleet.LARGE)
        await head_runners(bench)[0].vanish()
        await pool_fleet.until(
            lambda: [
                group for group in bench.fleet.open_groups(pool_fleet.LARGE) if group != before
            ]
        )
        assert_no_vm_in_two_groups(bench)


async def test_without_a_spare_survivors_serve_the_smaller_model():
    async with pool_nodes.running(vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        await head_runners(bench)[0].vanish()
        await bench.wait_for_groups(1, pool_fleet.SMALL)
        assert_no_vm_in_two_groups(bench)


async def test_a_leaving_member_is_replaced_before_it_is_gone():
    async with pool_nodes.running(vms=4) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        (before,) = bench.fleet.open_groups(pool_fleet.LARGE)
        await pool_fleet.until(lambda: any(map(_is_spare, _accelerator_runners(bench))))
        leaving = members_of(bench, before)[2]
        leaving.state = "draining"
        await leaving.report()
        await pool_fleet.until(
            lambda: [
                group for group in bench.fleet.open_groups(pool_fleet.LARGE) if group != before
            ]
        )
        (after,) = bench.fleet.open_groups(pool_fleet.LARGE)
        assert leaving not in members_of(bench, after)
        assert_no_vm_in_two_groups(bench)


async def test_orders_that_are_carried_out_late_put_no_vm_in_two_groups():
    async with pool_nodes.running(vms=6) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        await pool_fleet.until(lambda: any(map(_is_spare, _accelerator_runners(bench))))
        for runner in _accelerator_runners(bench):
            runner.options.order_delay = 0.3
        (before,) = bench.fleet.open_groups(pool_fleet.LARGE)
        await members_of(bench, before)[1].vanish()
        await asyncio.sleep(1.0)
        for runner in _accelerator_runners(bench):
            runner.options.order_delay = 0.0
        await pool_fleet.until(
            lambda: [
                group for group in bench.fleet.open_groups(pool_fleet.LARGE) if group != before
            ]
        )
        await asyncio.sleep(0.5)
        assert_no_vm_in_two_groups(bench)
        for group in bench.fleet.open_groups():
            size = 3 if group.startswith(pool_fleet.LARGE) else 2
            assert len(members_of(bench, group)) == size


async def test_only_one_node_controls_and_another_takes_over():
    async with pool_nodes.running(nodes=3, vms=4) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        assert [controller.is_holder for controller in bench.controllers].count(True) == 1
        first_controller = next(kernel for kernel in bench.kernels if _is_controller(kernel))
        bench.kernels.remove(first_controller)
        await first_controller.stop()
        await pool_fleet.until(lambda: any(map(_is_controller, bench.kernels)))
        orders = [runner.orders[-1] for runner in _accelerator_runners(bench) if runner.orders]
        (before,) = bench.fleet.open_groups(pool_fleet.LARGE)
        await members_of(bench, before)[1].vanish()
        await pool_fleet.until(
            lambda: [
                group for group in bench.fleet.open_groups(pool_fleet.LARGE) if group != before
            ]
        )
        later = [runner.orders[-1] for runner in _accelerator_runners(bench) if runner.orders]
        assert max(order["fence"] for order in later) > max(order["fence"] for order in orders)
        assert_no_vm_in_two_groups(bench)


async def test_a_new_controller_leaves_open_groups_alone():
    async with pool_nodes.running(nodes=2, vms=5) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        await bench.wait_for_groups(1, pool_fleet.SMALL)
        before = bench.fleet.open_groups()
        first_controller = next(kernel for kernel in bench.kernels if _is_controller(kernel))
        bench.kernels.remove(first_controller)
        await first_controller.stop()
        await pool_fleet.until(lambda: any(map(_is_controller, bench.kernels)))
        await asyncio.sleep(0.6)
        assert bench.fleet.open_groups() == before


def _accelerator_runners(bench):
    return [runner for runner in bench.fleet.runners_by_id.values() if runner.fabric_domain]


def _is_controller(kernel):
    return kernel.find(names.CONTROLLER, pool_controller.Controller).is_holder


def _is_spare(runner):
    member = runner.member
    return (
        member is not None
        and member["name"].startswith(f"standby-{pool_fleet.LARGE}")
        and member["state"] == "ready"
    )


async def test_control_is_taken_soon_although_cheap_reads_are_old(monkeypatch):
    """Cheap reads are stale after an outage: a failed claim is not retried with what they return."""
    async with pool_nodes.running(vms=3) as bench:
        await pool_fleet.until(lambda: any(map(_is_controller, bench.kernels)))
        key = pool_controller.LEASE_KEY
        store = bench.kernels[0].find(names.OBJECTS, platform_store.PlatformStore)
        old_record = await store.get(key)

        async def get_maybe_stale(key, *, timeout):
            return old_record

        kernel = await bench.add("node-late")
        late_store = kernel.find(names.OBJECTS, platform_store.PlatformStore)
        monkeypatch.setattr(late_store, "get_maybe_stale", get_maybe_stale)
        await asyncio.sleep(1.2)
        first_kernel = bench.kernels[0]
        await first_kernel.find(names.CONTROLLER, pool_controller.Controller)._tasks.close()
        await pool_fleet.until(
            lambda: _is_controller(kernel), seconds=pool_controller.LEASE_SECONDS * 2 + 2
        )


async def test_a_controller_whose_fence_a_runner_refuses_stops_at_once(monkeypatch):
    """The runners know the fence of a later controller, whose lease this one has not read yet."""
    monkeypatch.setattr(pool_controller, "RENEW_SECONDS", 60.0)
    monkeypatch.setattr(pool_controller, "LEASE_SECONDS", 60.0)
    async with pool_nodes.running(vms=4) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        (before,) = bench.fleet.open_groups(pool_fleet.LARGE)
        (controller,) = bench.controllers
        first_fence = controller._lease.fence
        for runner in _accelerator_runners(bench):
            runner.highest_fence = first_fence + 1
        started_at = asyncio.get_running_loop().time()
        await members_of(bench, before)[1].vanish()
        await pool_fleet.until(lambda: controller._lease.fence != first_fence, seconds=3.0)
        refused = [
            order for runner in _accelerator_runners(bench) for order in runner.refused_orders
        ]
        assert refused, f"no order was refused since loop time {started_at}"
        await asyncio.sleep(1.5)
        assert [
            order for runner in _accelerator_runners(bench) for order in runner.refused_orders
        ] == refused


async def test_a_controller_keeps_its_lease_when_an_order_is_refused_for_its_epoch_only(
    monkeypatch,
):
    async with pool_nodes.running(vms=4) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        (before,) = bench.fleet.open_groups(pool_fleet.LARGE)
        (controller,) = bench.controllers
        fence = controller._lease.fence
        spare = next(
            runner
            for runner in _accelerator_runners(bench)
            if runner not in members_of(bench, before)
        )
        spare.highest_epoch = 10**12
        await members_of(bench, before)[1].vanish()
        await pool_fleet.until(lambda: bool(spare.refused_orders))
        await asyncio.sleep(0.5)
        assert controller._lease.fence == fence and controller.is_holder
