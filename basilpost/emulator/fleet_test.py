"""Tests of the fleet of emulated services."""

import asyncio

from basilpost.emulator import fleet
from basilpost.groups import runner_api
from basilpost.store import http_objects, http_vms


async def test_a_fleet_serves_the_platform_apis_and_can_lose_and_return_a_vm():
    plan = fleet.FleetPlan(failure_domains=("a", "b"), vms_per_fabric_domain=2, load_seconds=0)
    emulated_fleet = fleet.Fleet(plan=plan)
    await emulated_fleet.start()
    try:
        vms = http_vms.HttpVmList(base_url=emulated_fleet.vm_list_url)
        assert (await vms.fetch()).vms_by_id == emulated_fleet.vms_by_id
        assert len(emulated_fleet.vms_by_id) == 6
        objects = http_objects.HttpObjectStore(base_url=emulated_fleet.object_api_url)
        assert (await objects.list("")).objects == ()
        member = emulated_fleet.runners_by_vm_id["vm-a-1-1"]
        await member.handle_order(
            runner_api.Order(kind=runner_api.OrderKind.LOAD, fence=1, group_id="g", generation=1,
                             members=(member.address,), model="m", model_version="1")
        )  # fmt: skip
        async with asyncio.timeout(5):
            while member.refusal_code("g", 1) is not None:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await emulated_fleet.lose_vm("vm-a-1-1")
        assert "vm-a-1-1" not in (await vms.fetch()).vms_by_id
        await emulated_fleet.return_vm("vm-a-1-1")
        assert member.address == emulated_fleet.vms_by_id["vm-a-1-1"].address
        assert member.status().state is runner_api.RunnerState.EMPTY
        emulated_fleet.announce_leaving("vm-a-1-1")
        assert (await vms.fetch()).vms_by_id["vm-a-1-1"].leaving
    finally:
        await emulated_fleet.stop()
