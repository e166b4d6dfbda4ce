"""A sound runner that falls silent for a second or so, and goes on."""

import asyncio

import pytest
import structlog.testing

from basilpost.emulator import pool_fleet
from basilpost.gateway import stall_detector
from tests import pool_nodes, pool_traffic

SILENT_SECONDS = 1.5


@pytest.mark.parametrize("rank", [0, 1])
async def test_a_silent_second_costs_a_group(rank):
    async with pool_nodes.running(nodes=2, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 20, 0.03
        name = bench.fleet.open_groups(pool_fleet.LARGE)[0]
        members = {
            runner.member["rank"]: runner
            for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
            if runner.member and runner.member["name"] == name
        }
        joins = [len(runner.joins) for runner in members.values()]
        traffic = pool_traffic.Traffic(bench, "/draft/a", seed=1)
        running = asyncio.create_task(traffic.run(seconds=4.0, per_second=15.0))
        await asyncio.sleep(1.0)
        with structlog.testing.capture_logs() as lines:
            # The group makes no progress; one member does not answer.
            members[0].options.stalled = members[rank].options.silent = True
            await asyncio.sleep(SILENT_SECONDS)
            members[0].options.stalled = members[rank].options.silent = False
            await running
        assert name in bench.fleet.open_groups(pool_fleet.LARGE)
        assert [len(runner.joins) for runner in members.values()] == joins
        assert not {"target_crashed", "runner_path_lost"} & {line["event"] for line in lines}
        whole = [
            answer
            for answer, _ in traffic.answers
            if pool_nodes.event_ids(answer.body) == list(range(1, 21))
        ]
        assert len(whole) > 0.95 * len(traffic.answers)
        # It is used again once its silence is forgotten.
        before = len(members[0].arrivals)
        await asyncio.sleep(stall_detector.SUSPECT_MEMORY_SECONDS)
        await pool_traffic.Traffic(bench, "/draft/a", seed=2).run(seconds=2.0, per_second=15.0)
        assert len(members[0].arrivals) > before
