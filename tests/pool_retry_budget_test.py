"""Repeats of requests stay within the users' bound for all nodes together, also while nodes restart."""

import asyncio
import dataclasses

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.soak import checks, repeat_checks
from tests import pool_nodes

NODES = 3
BOUNDS = repeat_checks.RepeatBounds(
    share=0.2, slack=100.0, max_attempts_by_path={"lookup": 2, "filing": 1, "draft": 2}
)
# Within one window of the users' bound.
SECONDS = 9.0
REQUESTS_PER_SECOND = 20
# All nodes in turn, each as often as this, as a release that is taken back at once would do.
RESTARTS = 2


class Callers:
    """Sends look-ups to the running nodes in turn and records them.

    Attributes:
        calls: The requests that were answered.
        nodes: Indexes of the running nodes.
    """

    def __init__(self, bench):
        self.calls = []
        self.nodes = list(range(NODES))
        self._bench = bench

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
        answer = await self._bench.call(
            "/lookup/one", node=self.nodes[number % len(self.nodes)], method="GET", attempt=attempt
        )
        self.calls.append(
            checks.Call(
                attempt=attempt,
                path="lookup",
                key=pool_fleet.KEY,
                sent_at=sent_at,
                status=answer.code,
                complete=True,
                signed=False,
                body=answer.body or b"",
                ended_at=clock.elapsed(),
                budget_ms=4000,
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
