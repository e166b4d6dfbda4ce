"""What happens to sound requests after a runner has crashed, until its entry is removed."""

import asyncio

import pytest
import structlog.testing

from basilpost.core import clock, names
from basilpost.emulator import pool_fleet
from basilpost.gateway import relay
from tests import pool_nodes

ENTRY_SECONDS = 1.5
NODES = 2


def heads(bench):
    return [
        runner
        for runner in bench.fleet.runners_by_id.values()
        if runner.member is not None
        and runner.member["state"] == "open"
        and runner.member["rank"] == 0
        and runner.member["name"].startswith(pool_fleet.LARGE)
    ]


async def test_a_crashed_target_attracts_requests_until_its_entry_is_removed():
    """It has no requests in flight, so by load alone each node would choose it first."""
    async with pool_nodes.running(nodes=NODES, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.entry_seconds, runner.options.down_seconds = ENTRY_SECONDS, 30.0
            runner.options.events, runner.options.event_seconds = 10, 0.05
        calls = [asyncio.create_task(bench.draft(node=number % NODES)) for number in range(6)]
        await asyncio.sleep(0.2)
        heads(bench)[0].crash()
        for runner in bench.fleet.runners_by_id.values():
            runner.options.event_seconds = 0.001
        await asyncio.gather(*calls)
        crashed_at = clock.elapsed()
        with structlog.testing.capture_logs() as lines:
            answers = []
            while clock.elapsed() < crashed_at + ENTRY_SECONDS / 2:
                answers.append(await bench.draft(node=len(answers) % NODES))
        assert {answer.code for answer in answers} == {200}
        assert [line for line in lines if line["event"] == "attempt_failed"] == []


async def test_a_kept_connection_to_an_ended_runner_is_used_for_the_next_one_at_its_address():
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        assert (await bench.call("/lookup/a", method="GET")).code == 200
        forwarder = bench.kernels[0].find(names.RELAY, relay.Relay).forwarder
        (idle,) = forwarder.sender.pool._idle_by_address.values()
        # The runner's host fails: nothing tells the node that the connection has ended.
        (runner,) = bench.fleet.runners_by_id.values()
        kept = list(idle)
        runner.born += 1
        await runner.report()
        await bench.wait_for_knowledge(
            lambda knowledge: all(
                seen.vm.incarnation == runner.born for seen in knowledge.vms_by_id.values()
            )
        )
        assert (await bench.call("/lookup/a", method="GET")).code == 200
        assert all(channel.requests == 1 for channel in kept)


@pytest.mark.parametrize("closes_idle", [False, True])
async def test_an_address_that_refuses_connections_is_avoided_for_a_while(closes_idle):
    async with pool_nodes.running(vms=0, plain_instances=3) as bench:
        runners = list(bench.fleet.runners_by_id.values())
        runners[0].options.entry_seconds = 30.0
        if closes_idle:
            await bench.call("/lookup/a", method="GET")
        runners[0].crash()
        await asyncio.sleep(0.1)
        with structlog.testing.capture_logs() as lines:
            answers = [await bench.call("/lookup/a", method="GET") for _ in range(20)]
        assert {answer.code for answer in answers} == {200}
        failed = [line for line in lines if line["event"] == "attempt_failed"]
        assert len(failed) <= 1
