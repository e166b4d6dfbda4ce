"""Tests of the fleet of stand-ins."""

import asyncio

from basilpost.emulator import fleet
from basilpost.groups import runner_api
from basilpost.store import http_objects, http_vms


async def test_a_fleet_serves_its_platform_and_loses_a_vm():
    plan = fleet.FleetPlan(failure_domains=("a", "b"), vms_per_fabric_domain=2, load_seconds=0)
    whole = fleet.Fleet(plan=plan)
    await whole.start()
    try:
        vms = http_vms.HttpVmList(base_url=whole.vm_list_url)
        assert (await vms.fetch()).vms_by_id == whole.vms_by_id
        assert len(whole.vms_by_id) == 6
        objects = http_objects.HttpObjectStore(base_url=whole.object_api_url)
        assert (await objects.list("")).objects == ()
        one = whole.runners_by_vm_id["vm-a-1-1"]
        await one.handle_order(
            runner_api.Order(kind=runner_api.OrderKind.LOAD, fence=1, group_id="g", generation=1,
                             members=(one.address,), model="m", model_version="1")
        )  # fmt: skip
        async with asyncio.timeout(5):
            while one.refusal_code("g", 1) is not None:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await whole.lose_vm("vm-a-1-1")
        assert "vm-a-1-1" not in (await vms.fetch()).vms_by_id
        await whole.return_vm("vm-a-1-1")
        assert one.address == whole.vms_by_id["vm-a-1-1"].address
        assert one.status().state is runner_api.RunnerState.EMPTY
        whole.announce_leaving("vm-a-1-1")
        assert (await vms.fetch()).vms_by_id["vm-a-1-1"].leaving
    finally:
        await whole.stop()
