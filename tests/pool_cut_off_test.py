"""Nodes that are cut off from all runners, while callers, the store and the other nodes reach them."""

import asyncio
import itertools
import random

import pytest

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from tests import cut_links, pool_nodes

# Users' bounds: from this long after the cut, at most one first try in 50 and one more may fail.
STABLE_SECONDS = 3.0
MAX_FAILED_SHARE = 0.02
MAX_FAILED = 1
PATHS = ("/lookup/a", "/filing/a", "/draft/a")


class Callers:
    """Open-loop callers of all nodes, which try each request once.

    Attributes:
        calls: Node, path, answer and start of each request.
    """

    def __init__(self, bench, *, seed=1, paths=PATHS):
        self.calls = []
        self._bench = bench
        self._rng = random.Random(seed)
        self._paths = itertools.cycle(paths)
        self._tasks = []

    async def run(self, *, seconds, per_second):
        end = clock.elapsed() + seconds
        while clock.elapsed() < end:
            for node in range(len(self._bench.addresses)):
                self._tasks.append(asyncio.create_task(self._send(node, next(self._paths))))
            await asyncio.sleep(self._rng.expovariate(per_second))
        await asyncio.gather(*self._tasks)

    async def _send(self, node, path):
        began_at = clock.elapsed()
        answer = await self._bench.call(path, node=node)
        self.calls.append((node, path, answer, began_at))

    def failures(self, nodes, *, since):
        """Returns the requests at some nodes that were not served, and the number of all there."""
        counted = [call for call in self.calls if call[0] in nodes and call[3] >= since]
        failed = [
            (path, answer.code, pool_nodes.error_code(answer), round(at - since, 1))
            for _, path, answer, at in counted
            if answer.code != 200 or not answer.body
        ]
        return failed, len(counted)


def check_served(callers, nodes, *, since):
    failed, count = callers.failures(nodes, since=since)
    assert count > 20
    assert len(failed) <= MAX_FAILED + count * MAX_FAILED_SHARE, failed


@pytest.mark.parametrize("kind", cut_links.Kind)
@pytest.mark.parametrize("cut_count", [2, 3])
async def test_callers_of_nodes_without_a_path_to_runners_are_not_served(kind, cut_count):
    async with pool_nodes.running(nodes=4, vms=6, plain_instances=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        callers = Callers(bench)
        running = asyncio.create_task(callers.run(seconds=7.0, per_second=4.0))
        await asyncio.sleep(1.0)
        for node in range(cut_count):
            cut_links.Links(bench.forwarders[node].pool).cut(kind)
        cut_at = clock.elapsed()
        await running
        check_served(callers, range(cut_count, 4), since=cut_at)
        check_served(callers, range(cut_count), since=cut_at + STABLE_SECONDS)
