"""Runners that name a limit on the requests per second that they take from all nodes together."""

import asyncio
import itertools

import pytest
import structlog.testing

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from tests import pool_nodes, pool_traffic

# Bounds of the users' pages.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
STABLE_SECONDS = 3.0
NODES = 3


def most_in_window(times):
    """Returns the largest number of arrivals in any window."""
    times = sorted(times)
    return max(
        (
            sum(1 for later in times[i:] if later < at + WINDOW_SECONDS)
            for i, at in enumerate(times)
        ),
        default=0,
    )


def excess(bench, limit, since):
    """Returns by how much the limited runners got more than allowed; none of them if empty."""
    allowed = limit * WINDOW_SECONDS * LIMIT_FACTOR + LIMIT_SLACK
    counts = {
        runner.vm_id: most_in_window(at for at in runner.arrivals if at > since)
        for runner in bench.fleet.runners_by_id.values()
        if runner.options.limit_per_second is not None
    }
    return {vm_id: (count, allowed) for vm_id, count in counts.items() if count > allowed}


@pytest.mark.parametrize("limit", [0.5, 3.0, 8.0])
async def test_runners_get_more_requests_than_the_limit_that_they_named(limit):
    async with pool_nodes.running(nodes=NODES, vms=0, plain_instances=3) as bench:
        for runner in itertools.islice(bench.fleet.runners_by_id.values(), 2):
            runner.options.limit_per_second = limit
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=1)
        began_at = clock.elapsed()
        await traffic.run(seconds=8.0, per_second=60.0)
        assert excess(bench, limit, began_at + STABLE_SECONDS) == {}
        # The runner without a limit takes what the others do not.
        assert sum(answer.code == 200 for answer, _ in traffic.answers) > 0.95 * len(
            traffic.answers
        )


async def test_a_limited_runner_is_left_idle():
    """Requests reach it at most at the limit, but nearly so if there are enough of them."""
    async with pool_nodes.running(nodes=NODES, vms=0, plain_instances=1) as bench:
        (runner,) = bench.fleet.runners_by_id.values()
        runner.options.limit_per_second = 10.0
        began_at = clock.elapsed()
        await pool_traffic.Traffic(bench, "/lookup/a", seed=2).run(seconds=8.0, per_second=60.0)
        late = [at for at in runner.arrivals if at > began_at + STABLE_SECONDS]
        assert 0.6 * 10.0 <= len(late) / 5.0 <= 1.5 * 10.0
        assert excess(bench, 10.0, began_at + STABLE_SECONDS) == {}


async def test_requests_beyond_all_limits_wait_for_a_place():
    """They are refused at once, as not run, and come back at different times."""
    async with pool_nodes.running(nodes=NODES, vms=0, plain_instances=2) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.limit_per_second = 1.0
        warm_up = pool_traffic.Traffic(bench, "/lookup/a", seed=3)
        await warm_up.run(seconds=3.0, per_second=20.0)
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=4)
        await traffic.run(seconds=3.0, per_second=30.0)
        refused = [(answer, seconds) for answer, seconds in traffic.answers if answer.code != 200]
        assert len(refused) > 30
        assert {answer.code for answer, _ in refused} == {503}
        assert {pool_nodes.error_code(answer) for answer, _ in refused} == {"limited"}
        assert {answer.headers["Basilpost-Outcome"] for answer, _ in refused} == {"not-run"}
        waits = [float(answer.headers["Retry-After"]) for answer, _ in refused]
        assert max(waits) - min(waits) > 0.5
        assert sorted(seconds for _, seconds in refused)[int(len(refused) * 0.9)] < 0.05


async def test_a_limit_that_is_no_longer_named_still_holds():
    async with pool_nodes.running(nodes=NODES, vms=0, plain_instances=1) as bench:
        (runner,) = bench.fleet.runners_by_id.values()
        runner.options.limit_per_second = 2.0
        with structlog.testing.capture_logs() as lines:
            await pool_traffic.Traffic(bench, "/lookup/a", seed=5).run(seconds=3.0, per_second=30.0)
            runner.options.limit_per_second = None
            await asyncio.sleep(1.0)
            await pool_traffic.Traffic(bench, "/lookup/a", seed=6).run(seconds=2.0, per_second=20.0)
            traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=7)
            await traffic.run(seconds=2.0, per_second=30.0)
        assert {answer.code for answer, _ in traffic.answers} == {200}
        limits = {line["per_second"] for line in lines if line["event"] == "target_limit"}
        assert limits == {2.0, None}


async def test_nodes_that_start_exceed_a_limit_that_others_know():
    async with pool_nodes.running(nodes=NODES, vms=0, plain_instances=2) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.limit_per_second = 3.0
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=8)
        began_at = clock.elapsed()
        running = asyncio.create_task(traffic.run(seconds=9.0, per_second=60.0))
        await asyncio.sleep(4.0)
        await bench.add("late-1")
        await asyncio.sleep(1.0)
        await bench.add("late-2")
        await running
        assert excess(bench, 3.0, began_at + STABLE_SECONDS) == {}


async def test_streams_exceed_the_limit_of_a_groups_head():
    async with pool_nodes.running(nodes=NODES, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.limit_per_second = 2.0
        began_at = clock.elapsed()
        await pool_traffic.Traffic(bench, "/draft/a", seed=9).run(seconds=8.0, per_second=40.0)
        assert excess(bench, 2.0, began_at + STABLE_SECONDS) == {}
