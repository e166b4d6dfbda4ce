"""A failure that a runner has answered reaches its caller if the request cannot be sent once more."""

import dataclasses

import pytest

from basilpost.emulator import pool_fleet, pool_runner
from tests import pool_nodes

CALLS = 20


def set_options(bench, vm_id, **options):
    runner = bench.fleet.runners_by_id[vm_id]
    runner.options = dataclasses.replace(runner.options, **options)


def retries_left(bench):
    registry = bench.kernels[0].registry
    service = {"service": pool_fleet.PLAIN_SERVICE}
    return registry.get_sample_value("basilpost_retry_budget_left", service)


def is_failure_of_runner(answer):
    return (answer.code, answer.body, pool_runner.SIGNATURE in answer.headers) == (
        500,
        b"failed",
        True,
    )


async def test_the_failure_of_the_only_runner_is_replaced_by_the_nodes_own():
    """A retry was spent although no other runner was left, and the answer became a 502."""
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        set_options(bench, "desk-0", fail=True)
        answers = [await bench.call("/lookup/one", method="GET") for _ in range(CALLS)]
        assert all(map(is_failure_of_runner, answers)), [answer.code for answer in answers]
        assert retries_left(bench) > CALLS * 0.2 * 0.7


@pytest.mark.parametrize("options", [{"full": True}, {"lose_answers": 1000}, {"silent": True}])
async def test_a_failure_is_lost_if_the_next_runner_gives_no_answer(options):
    """The node's own 502 or 504 took the place of an answer that a runner had given."""
    async with pool_nodes.running(vms=0, plain_instances=2) as bench:
        set_options(bench, "desk-0", fail=True)
        set_options(bench, "desk-1", **options)
        answers = [
            await bench.call("/lookup/one", method="GET", X_Deadline_Ms="400") for _ in range(CALLS)
        ]
        failed_first = {run.attempt for run in bench.fleet.runners_by_id["desk-0"].runs}
        answered = [answer for answer in answers if answer.attempt in failed_first]
        assert answered
        assert all(map(is_failure_of_runner, answered)), [answer.code for answer in answered]


async def test_a_failure_in_place_of_a_stream_is_replaced_by_the_nodes_own():
    """The same for a stream that no group began."""
    async with pool_nodes.running(vms=3, plain_instances=0) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        for vm_id in bench.fleet.runners_by_id:
            set_options(bench, vm_id, fail=True)
        answer = await bench.draft()
        assert is_failure_of_runner(answer), (answer.code, answer.body)


async def test_another_runner_still_serves_what_one_has_failed():
    """A failure must not be returned while another runner may answer the request."""
    async with pool_nodes.running(vms=0, plain_instances=2) as bench:
        set_options(bench, "desk-0", fail=True)
        answers = [await bench.call("/lookup/one", method="GET") for _ in range(4)]
        assert [answer.code for answer in answers] == [200] * 4
