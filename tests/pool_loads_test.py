"""What nodes tell each other about targets, over real peer streams."""

import asyncio

from basilpost.core import names
from basilpost.emulator import pool_fleet
from basilpost.members import loads
from tests import pool_nodes


def loads_of(kernel):
    return kernel.find(names.LOADS, loads.Loads)


async def test_a_node_knows_what_another_one_has_in_flight_and_gets_answers_from():
    async with pool_nodes.running(nodes=2, vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        (target,) = bench.targets[0].matching(pool_fleet.MODEL_SERVICE, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.event_seconds = 0.1
        other = loads_of(bench.kernels[1])
        await pool_fleet.until(lambda: other.node_count() == 2)
        call = asyncio.create_task(bench.draft(node=0))
        await pool_fleet.until(lambda: other.total_in_flight(target.target_id) == 1, seconds=1)
        await pool_fleet.until(lambda: target.target_id in other.writing_targets(), seconds=1)
        assert target.target_id not in other.stalled_targets()
        for runner in bench.fleet.runners_by_id.values():
            runner.options.still = True
        await pool_fleet.until(lambda: target.target_id in other.stalled_targets(), seconds=1)
        assert target.target_id not in other.writing_targets()
        for runner in bench.fleet.runners_by_id.values():
            runner.options.still = False
        await call
        await pool_fleet.until(lambda: other.total_in_flight(target.target_id) == 0, seconds=1)


async def test_a_group_that_answers_is_kept_when_the_entry_of_a_member_lapses():
    """The runner is cut off from the store only; its group must not be torn apart."""
    async with pool_nodes.running(nodes=2, vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        (before,) = bench.fleet.open_groups(pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.event_seconds = 0.1
            runner.options.events = 30
        call = asyncio.create_task(bench.draft(node=0))
        await asyncio.sleep(0.8)
        cut = next(r for r in bench.fleet.runners_by_id.values() if (r.member or {}).get("rank"))
        await bench.fleet.store.remove(f"servers/{cut.vm_id}")
        answer = await call
        assert len(pool_nodes.event_ids(answer.body)) == 30
        (ran,) = bench.fleet.ran(answer.attempt)
        assert ran.group == before


async def test_nodes_know_what_callers_want_of_each_model_anywhere():
    async with pool_nodes.running(nodes=2, vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        answers = await asyncio.gather(*(bench.draft(node=0) for _ in range(4)))
        assert {answer.code for answer in answers} == {200}
        other = loads_of(bench.kernels[1])
        await pool_fleet.until(lambda: pool_fleet.LARGE in other.demand_by_model(), seconds=5)
        seen = other.demand_by_model()[pool_fleet.LARGE]
        assert 1.0 < seen.ended <= 4.0
        # Four requests, spread over the least time that rates are worked out of, and faded since.
        assert 1.0 < seen.arrived_per_second < 5.0
        assert seen.held_seconds > 0.0
