"""Repeats of requests stay within the users' bound for all nodes together, also while nodes restart."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random

import pytest
import tornado.httpclient

from basilpost.core import clock
from basilpost.emulator import pool_fleet, second_answers
from basilpost.gateway import retry_budgets
from basilpost.soak import checks, repeat_checks
from tests import cut_links, pool_nodes

NODES = 3
BOUNDS = repeat_checks.RepeatBounds(
    share=0.2, slack=100.0, max_attempts_by_path={"lookup": 2, "filing": 1, "draft": 2}
)
# Within one window of the users' bound.
SECONDS = 9.0
REQUESTS_PER_SECOND = 20
# All nodes in turn, each as often as this, as a release that is taken back at once would do.
RESTARTS = 2
LOOKUPS = ("lookup",)
ALL_PATHS = ("lookup", "lookup", "draft", "filing")
DEADLINES_MS = (800, 2000, 4000)
# Interval at which faults change, and how many runners they change at once.
FAULT_SECONDS = 0.2
FAULTY_RUNNERS = 6


class Callers:
    """Sends requests to the running nodes in turn and records them.

    Attributes:
        calls: The requests that have ended.
        nodes: Indexes of the running nodes.
    """

    def __init__(self, bench, *, paths=LOOKUPS, deadlines_ms=(4000,)):
        self.calls = []
        self.nodes = list(range(NODES))
        self._bench = bench
        self._paths = paths
        self._deadlines_ms = deadlines_ms

    async def run(self, seconds):
        began_at = clock.elapsed()
        async with asyncio.TaskGroup() as group:
            for number in range(int(seconds * REQUESTS_PER_SECOND)):
                group.create_task(self._send(number))
                await asyncio.sleep(
                    max(0.0, began_at + (number + 1) / REQUESTS_PER_SECOND - clock.elapsed())
                )

    async def _send(self, number):
        attempt, sent_at = f"r{number}", clock.elapsed()
        path = self._paths[number % len(self._paths)]
        budget_ms = self._deadlines_ms[number % len(self._deadlines_ms)]
        answer = None
        # A stream that breaks off ends as a closed connection.
        with contextlib.suppress(tornado.httpclient.HTTPError, OSError):
            answer = await self._bench.call(
                f"/{path}/one",
                node=self.nodes[number % len(self.nodes)],
                method="GET" if path == "lookup" else "POST",
                attempt=attempt,
                X_Deadline_Ms=str(budget_ms),
            )
        self.calls.append(
            checks.Call(
                attempt=attempt,
                path=path,
                key=pool_fleet.KEY,
                sent_at=sent_at,
                status=answer.code if answer is not None else 0,
                complete=answer is not None,
                signed=False,
                body=b"",
                ended_at=clock.elapsed(),
                budget_ms=budget_ms,
            )
        )


async def restart_in_turn(bench, callers, *, seconds):
    """Restarts each node `RESTARTS` times within some seconds, one at a time."""
    for count in range(NODES * RESTARTS):
        await asyncio.sleep(seconds / (NODES * RESTARTS + 1))
        # The first one was started longest ago.
        stopped = callers.nodes.pop(0)
        await bench.kernels[stopped].stop()
        await bench.add(f"node-{count % NODES}", first_start=False)
        await pool_fleet.until(lambda: bench.relays[-1].ready)
        callers.nodes.append(len(bench.addresses) - 1)


async def test_nodes_that_restart_begin_with_a_retry_budget_that_was_spent_before():
    """All runners of a service fail; each restart allowed the share of a node once more."""
    async with pool_nodes.running(nodes=NODES, vms=0, plain_instances=6) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options = dataclasses.replace(runner.options, fail=True)
        callers = Callers(bench)
        sending = asyncio.create_task(callers.run(SECONDS))
        await restart_in_turn(bench, callers, seconds=SECONDS)
        await sending
        runners = bench.fleet.runners_by_id.values()
        repeats = repeat_checks.count_repeats(runners)
        broken = repeat_checks.check_repeats(callers.calls, runners, bounds=BOUNDS)
        assert len(callers.calls) == SECONDS * REQUESTS_PER_SECOND
        assert not broken, (broken, repeats)


async def change_faults(bench, rng):
    """Changes the faults of some runners, and of one node's links to all of them, again and again."""
    runners = list(bench.fleet.runners_by_id.values())
    while True:
        await asyncio.sleep(FAULT_SECONDS)
        for runner in rng.sample(runners, FAULTY_RUNNERS):
            twice = second_answers.SecondAnswers(
                share=0.5,
                first_status=rng.choice((200, 500, 503)),
                first_named=rng.random() < 0.5,
            )
            runner.options = dataclasses.replace(
                runner.options,
                fail=rng.random() < 0.25,
                full=rng.random() < 0.25,
                stalled=rng.random() < 0.2,
                lose_answers=rng.choice((0, 0, 3)),
                cut_streams=rng.choice((0, 0, 2)),
                slowest_work_seconds=rng.choice((0.0, 0.9)),
                answers_twice=rng.choice((None, twice)),
            )
        if rng.random() < 0.2:
            bench.links[0].cut(rng.choice(list(cut_links.Kind)))
        elif rng.random() < 0.3:
            bench.links[0].heal()


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_repeat_reaches_a_runner_without_a_retry_being_spent(seed, monkeypatch):
    """Losses, rejections, failures, stalls, stale connections and detours, each with its own way to go on."""
    decided = []
    decide = retry_budgets.RetryBudgets.decide

    def record(self, progress, cause, **options):
        allowed = decide(self, progress, cause, **options)
        decided.append((progress.admitted.call.request_id, cause, allowed))
        return allowed

    monkeypatch.setattr(retry_budgets.RetryBudgets, "decide", record)
    async with pool_nodes.running(nodes=NODES, vms=12, plain_instances=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        callers = Callers(bench, paths=ALL_PATHS, deadlines_ms=DEADLINES_MS)
        changing = asyncio.create_task(change_faults(bench, random.Random(seed)))
        await callers.run(SECONDS)
        changing.cancel()
        runners = list(bench.fleet.runners_by_id.values())
    arrivals = collections.Counter(
        arrival.attempt
        for arrival in itertools.chain.from_iterable(runner.arrival_log for runner in runners)
    )
    spent = collections.Counter(request for request, _, allowed in decided if allowed)
    causes = {cause for _, cause, allowed in decided if allowed}
    unpaid = {one: count for one, count in arrivals.items() if count > 1 + spent[one]}
    assert not unpaid
    assert len(causes) >= 4, causes
    assert sum(count - 1 for count in arrivals.values()) >= 20
    assert not repeat_checks.check_repeats(callers.calls, runners, bounds=BOUNDS)
