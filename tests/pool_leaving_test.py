"""Runners that say in their answers that they leave, while the store does not say so."""

import asyncio

import pytest

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from tests import pool_nodes, pool_traffic

# Users' bound: a request that a caller sent later than this after such an answer must not reach it.
DRAIN_SECONDS = 2.0


@pytest.mark.parametrize("path", ["/lookup/a", "/filing/a"])
async def test_a_runner_that_says_that_it_leaves_gets_new_requests(path):
    async with pool_nodes.running(nodes=3, vms=0, plain_instances=4) as bench:
        runners = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        for runner in runners[:2]:
            runner.options.leaving = True
        began_at = clock.elapsed()
        traffic = pool_traffic.Traffic(bench, path, seed=1)
        await traffic.run(seconds=4.0, per_second=60.0)
        assert set(traffic.codes) == {200}
        for runner in runners[:2]:
            assert [at for at in runner.arrivals if at > began_at + DRAIN_SECONDS] == []


async def test_a_head_that_says_that_it_leaves_gets_new_streams():
    async with pool_nodes.running(nodes=2, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        heads = [
            runner
            for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
            if runner.member and runner.member["rank"] == 0
        ]
        for runner in bench.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 20, 0.05
        heads[0].options.leaving = True
        began_at = clock.elapsed()
        traffic = pool_traffic.Traffic(bench, "/draft/a", seed=2)
        await traffic.run(seconds=4.0, per_second=8.0)
        assert [at for at in heads[0].arrivals if at > began_at + DRAIN_SECONDS] == []
        whole = [
            answer
            for answer, _ in traffic.answers
            if pool_nodes.event_ids(answer.body) == list(range(1, 21))
        ]
        assert len(whole) > 0.95 * len(traffic.answers)


async def test_nodes_without_the_store_learn_late_that_a_runner_leaves():
    """Another node tells them."""
    async with pool_nodes.running(nodes=3, vms=0, plain_instances=3) as bench:
        runners = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        await bench.fleet.store.stop()
        runners[0].options.leaving = True
        while len(runners[0].arrivals) == len(runners[0].status_requests):
            await bench.call("/lookup/a", node=0)
        before = len(runners[0].arrivals)
        await asyncio.sleep(0.2)
        for _ in range(20):
            for node in range(3):
                await bench.call("/lookup/a", node=node)
        assert len(runners[0].arrivals) == before


async def test_the_next_runner_at_the_same_address_is_taken_for_leaving():
    async with pool_nodes.running(nodes=1, vms=0, plain_instances=2) as bench:
        runner = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)[0]
        runner.options.leaving = True
        while len(runner.arrivals) == len(runner.status_requests):
            await bench.call("/lookup/a")
        runner.options.leaving = False
        runner.born += 1
        await runner.report()
        await bench.wait_for_knowledge(
            lambda knowledge: knowledge.vms_by_id[runner.vm_id].vm.incarnation == runner.born
        )
        before = len(runner.runs)
        for _ in range(20):
            await bench.call("/lookup/a")
        assert len(runner.runs) > before


async def test_the_only_runner_is_given_up_when_it_says_that_it_leaves():
    """It goes on to serve for a second, in which another one may start; then requests are refused."""
    async with pool_nodes.running(nodes=1, vms=0, plain_instances=1) as bench:
        (runner,) = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        runner.options.leaving = True
        assert [(await bench.call("/lookup/a")).code for _ in range(5)] == [200] * 5
        await asyncio.sleep(DRAIN_SECONDS)
        before = len(runner.arrivals)
        answers = [await bench.call("/lookup/a") for _ in range(5)]
        assert {answer.code for answer in answers} == {503}
        assert {pool_nodes.error_code(answer) for answer in answers} == {"leaving"}
        assert len(runner.arrivals) == before
