"""Runners that reject requests and ask a node for a pause."""

import asyncio

import pytest
import structlog.testing

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.routing import pauses
from tests import pool_nodes, pool_traffic

# Users' bounds: so many requests of one node may reach a runner from this long after its answer until
# the end of the pause that it asked for.
SETTLE_SECONDS = 0.5
MAX_ARRIVALS = 2


def ask_for_pause(runner, text):
    """Makes a runner reject all requests and ask for a pause."""
    runner.options.full, runner.options.retry_after = True, text


def most_in_pause(runner, *, seconds):
    """Returns the largest number of arrivals in the pause that follows a rejection."""
    return max(
        (
            sum(at + SETTLE_SECONDS < later < at + seconds for later in runner.arrivals)
            for at in runner.rejections
        ),
        default=0,
    )


def ninth_decile(traffic):
    """Returns the seconds within which nine of ten requests were answered."""
    taken = sorted(seconds for _, seconds in traffic.answers)
    return taken[len(taken) * 9 // 10]


@pytest.mark.parametrize("seconds", [1.5, 3.0])
async def test_a_runner_that_asked_for_a_pause_gets_requests(seconds):
    async with pool_nodes.running(nodes=1, vms=0, plain_instances=5) as bench:
        runners = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        for runner in runners[:3]:
            ask_for_pause(runner, str(seconds))
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=1)
        await traffic.run(seconds=5.0, per_second=40.0)
        for runner in runners[:3]:
            assert most_in_pause(runner, seconds=seconds) <= MAX_ARRIVALS
        # Those that did not ask serve the rest.
        assert traffic.codes[200] > 0.95 * len(traffic.answers)


async def test_groups_that_asked_for_a_pause_get_streams():
    async with pool_nodes.running(nodes=2, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        heads = [
            runner
            for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
            if runner.member and runner.member["rank"] == 0
        ]
        for runner in heads[:-2]:
            ask_for_pause(runner, "3")
        traffic = pool_traffic.Traffic(bench, "/draft/a", seed=2)
        await traffic.run(seconds=4.0, per_second=15.0)
        for runner in heads[:-2]:
            assert most_in_pause(runner, seconds=3.0) <= MAX_ARRIVALS * len(bench.addresses)
        assert traffic.codes[200] > 0.9 * len(traffic.answers)


async def test_requests_try_one_pausing_runner_after_the_other():
    """They are refused at once, as not run, and told when the first pause ends."""
    async with pool_nodes.running(nodes=2, vms=0, plain_instances=3) as bench:
        for runner in bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE):
            ask_for_pause(runner, "4")
        began_at = clock.elapsed()
        await pool_traffic.Traffic(bench, "/lookup/a", seed=3).run(seconds=0.7, per_second=40.0)
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=4)
        await traffic.run(seconds=2.0, per_second=40.0)
        ended_at = clock.elapsed()
        assert set(traffic.codes) == {503}
        assert {pool_nodes.error_code(answer) for answer, _ in traffic.answers} == {"paused"}
        assert {answer.headers["Basilpost-Outcome"] for answer, _ in traffic.answers} == {"not-run"}
        waits = [float(answer.headers["Retry-After"]) for answer, _ in traffic.answers]
        assert min(waits) >= began_at + 4.0 - ended_at
        assert max(waits) - min(waits) > 0.5
        assert sorted(seconds for _, seconds in traffic.answers)[len(waits) * 9 // 10] < 0.05


async def test_all_nodes_return_at_once_at_the_end_of_a_pause():
    async with pool_nodes.running(nodes=3, vms=0, plain_instances=1) as bench:
        (runner,) = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        ask_for_pause(runner, "1")
        await pool_traffic.Traffic(bench, "/lookup/a", seed=5).run(seconds=0.5, per_second=60.0)
        runner.options.work_seconds = 0.3
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=6)
        running = asyncio.create_task(traffic.run(seconds=3.0, per_second=60.0))
        await asyncio.sleep(0.4)
        runner.options.full = False
        await running
        first = next(run.at for run in runner.runs)
        # Until the first answer each node has one request there.
        assert sum(at < first + 0.25 for at in runner.arrivals if at >= first) <= 3
        assert traffic.codes[200] > 20


@pytest.mark.parametrize("text", ["soon", "-5", "nan", "inf", "x" * 5000])
async def test_a_bad_pause_silences_a_runner(text):
    async with pool_nodes.running(nodes=1, vms=0, plain_instances=1) as bench:
        (runner,) = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        ask_for_pause(runner, text)
        with structlog.testing.capture_logs() as lines:
            for _ in range(5):
                await bench.call("/lookup/a")
        runner.options.full = False
        assert (await bench.call("/lookup/a")).code == 200
        assert sum(line["event"] == "target_pause_ignored" for line in lines) == 1


async def test_huge_pauses_of_all_runners_silence_a_service(monkeypatch):
    """Nodes keep to them: requests are refused at once, until the runners are started again."""
    monkeypatch.setattr(pauses, "TEST_SECONDS", (0.6, 0.6))
    async with pool_nodes.running(nodes=2, vms=0, plain_instances=2) as bench:
        runners = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        for runner in runners:
            ask_for_pause(runner, "1e12")
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=7)
        await traffic.run(seconds=4.0, per_second=40.0)
        for runner in runners:
            assert most_in_pause(runner, seconds=1e12) <= MAX_ARRIVALS * len(bench.addresses)
        waits = [float(answer.headers["Retry-After"]) for answer, _ in traffic.answers]
        assert max(waits) < pauses.LONG_PAUSE_SECONDS + 3.0
        # Requests without a route show how long the machine takes for a refusal now.
        without_route = pool_traffic.Traffic(bench, "/none/a", seed=9)
        await without_route.run(seconds=2.0, per_second=40.0)
        assert set(without_route.codes) == {404}
        assert ninth_decile(traffic) < ninth_decile(without_route) + 0.05
        for runner in runners:
            runner.options.full = False
            await runner.vanish()
            runner.born += 1
            await runner.start()
        await asyncio.sleep(1.5)
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=8)
        await traffic.run(seconds=1.0, per_second=40.0)
        assert traffic.codes[200] > 0.9 * len(traffic.answers)


async def test_a_runner_that_recovers_in_a_long_pause_is_lost_to_all_nodes(monkeypatch):
    """The node that it asked tests it; the others, which it did not ask, use it then."""
    monkeypatch.setattr(pauses, "TEST_SECONDS", (0.6, 600.0))
    async with pool_nodes.running(nodes=3, vms=0, plain_instances=1) as bench:
        (runner,) = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        ask_for_pause(runner, "1e6")
        assert (await bench.call("/lookup/a", node=0)).code == 503
        runner.options.full = False
        await asyncio.sleep(1.0)
        assert (await bench.call("/lookup/a", node=0)).code == 200
        asked = [await bench.call("/lookup/a", node=0) for _ in range(10)]
        assert {answer.code for answer in asked} == {503}
        others = [await bench.call("/lookup/a", node=1 + number % 2) for number in range(10)]
        assert {answer.code for answer in others} == {200}


async def test_other_nodes_learn_a_pause_by_a_rejection_of_their_own():
    async with pool_nodes.running(nodes=3, vms=0, plain_instances=3) as bench:
        runners = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        ask_for_pause(runners[0], "5")
        while not runners[0].rejections:
            await bench.call("/lookup/a", node=0)
        await asyncio.sleep(0.2)
        before = len(runners[0].arrivals)
        traffic = pool_traffic.Traffic(bench, "/lookup/a", seed=9)
        await traffic.run(seconds=2.0, per_second=30.0)
        assert set(traffic.codes) == {200}
        assert len(runners[0].arrivals) == before


async def test_the_head_of_a_stalled_group_gets_status_requests_in_its_pause():
    async with pool_nodes.running(nodes=1, vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        (head,) = [
            runner
            for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
            if runner.member and runner.member["rank"] == 0
        ]
        head.options.events, head.options.event_seconds = 100, 0.05
        streams = [asyncio.create_task(bench.draft()) for _ in range(2)]
        await asyncio.sleep(0.4)
        head.options.stalled = True
        ask_for_pause(head, "4")
        assert pool_nodes.error_code(await bench.draft()) == "paused"
        await asyncio.sleep(4.0)
        assert most_in_pause(head, seconds=4.0) <= MAX_ARRIVALS
        head.options.stalled = False
        await asyncio.gather(*streams, return_exceptions=True)
