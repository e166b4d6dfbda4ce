"""Checks the history of a load on a node's gateway whose runners are faulty."""

import asyncio
import contextlib

from basilpost.core import names
from basilpost.emulator import records as back_ends
from basilpost.emulator import runner
from basilpost.gateway import server
from basilpost.groups import runner_api
from basilpost.load import generator, logs, records, relay_node, schedule

OPTIONS = back_ends.RunnerOptions(
    token_interval=0.005, prefill_seconds=0, load_seconds=0, warm_seconds=0
)


@contextlib.asynccontextmanager
async def node_and_runners(count=3):
    """Runs a node and runners that each are a group of one; yields gateway URL and runners."""
    runners = [runner.Runner(vm_id=f"vm-{number}", options=OPTIONS) for number in range(count)]
    addresses = [await emulated.start() for emulated in runners]
    for number, emulated in enumerate(runners):
        group = relay_node.make_group(emulated.address, number)
        await emulated.handle_order(
            runner_api.Order(kind=runner_api.OrderKind.LOAD, fence=1, group_id=group.group_id,
                             generation=1, members=(emulated.address,), model=group.model,
                             model_version="1")
        )  # fmt: skip
    node = relay_node.make_node(addresses)
    await node.start()
    port = node.find(names.GATEWAY, server.Gateway).port
    try:
        yield f"http://127.0.0.1:{port}", runners
    finally:
        await node.stop()
        for emulated in runners:
            await emulated.stop()


def plan_for(gateway, **changes):
    weights = {records.Kind.COMPLETION: 1.0, records.Kind.STREAM: 2.0}
    options = {"rate": 60.0, "seconds": 2.0, "max_tokens": 20, "deadline_seconds": 10.0} | changes
    return schedule.Plan(
        gateways=(gateway,), weights_by_kind=weights, model=relay_node.MODEL,
        callers=(schedule.Caller(workspace="relay", api_key=relay_node.API_KEY),), **options,
    )  # fmt: skip


def merged_logs(runners):
    return logs.Logs(
        runs=tuple(run for emulated in runners for run in emulated.runs),
        memberships=tuple(span for emulated in runners for span in emulated.memberships),
        vm_ids_by_address={emulated.address: emulated.vm_id for emulated in runners},
    )


async def test_all_requests_succeed_without_faults():
    async with node_and_runners() as (gateway, runners):
        result = await generator.run(plan_for(gateway))
        assert all(record.succeeded for record in result.records)
        assert logs.check(result.records, merged_logs(runners)) == []


async def test_no_caller_takes_a_crossed_or_truncated_answer_for_its_own():
    async with node_and_runners() as (gateway, runners):
        faults = back_ends.RunnerFaults(cross_answers=8, truncate=8)
        runners[1].set_faults(faults)
        result = await generator.run(plan_for(gateway))
        assert runners[1].faults.cross_answers < 8
        assert logs.check(result.records, merged_logs(runners)) == []
        failed = [record for record in result.records if not record.succeeded]
        assert all(record.error for record in failed)
        assert len(failed) < len(result.records) / 4


async def test_streams_survive_a_runner_that_dies():
    async with node_and_runners() as (gateway, runners):
        load = asyncio.create_task(generator.run(plan_for(gateway, max_tokens=60)))
        await asyncio.sleep(1.2)
        await runners[1].stop()
        result = await load
        assert any(run.outcome == "broken" for run in runners[1].runs)
        assert logs.check(result.records, merged_logs(runners)) == []
        answered = sum(record.succeeded for record in result.records)
        assert answered > len(result.records) * 0.8
