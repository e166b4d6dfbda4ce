"""Limits that hold over a change of the controller, which knows only of its own orders."""

import asyncio
import contextlib
import itertools

import pytest

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from tests import pool_nodes

LOADS_PER_SECOND = 1.0
# Of the users' rules: a span of time, and the loads that may begin within any such span.
CEILING_SECONDS = 5.0
CEILING_LOADS = LOADS_PER_SECOND * CEILING_SECONDS * 1.1 + 3
LOAD_SECONDS = 8.0
# Time that an order takes to a busy runner.
LATE_SECONDS = 0.2
VMS = 24


@contextlib.asynccontextmanager
async def loading(*, nodes, late_orders=0):
    """Starts nodes of a system that is not new before VMs without weights.

    The first `late_orders` orders take some time on the way. Yields the bench and the list of the times
    at which loads begin.
    """
    late = itertools.chain(itertools.repeat(LATE_SECONDS, late_orders), itertools.repeat(0.0))
    spec = pool_fleet.configuration(1)
    engine = spec["services"][0]["engine"]
    engine["loadsPerS"] = LOADS_PER_SECOND
    for model in engine["models"]:
        model["loadS"] = LOAD_SECONDS
    bench = pool_nodes.Nodes(vms=VMS, spec=spec)
    begun_at = []
    for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
        runner.options.load_seconds = LOAD_SECONDS
        runner.handle_order = _recording(runner, begun_at, late)
    try:
        await bench.fleet.start()
        for number in range(nodes):
            await bench.add(f"node-{number}", first_start=False)
        yield bench, begun_at
    finally:
        await bench.stop()


def _recording(runner, begun_at, late):
    """Returns the method that carries out a runner's orders, recording the loads that it begins."""
    handle_order = runner.handle_order

    async def handle(order):
        await asyncio.sleep(next(late))
        loads = order["operation"] in ("join", "stage") and order["model"] not in runner.staged
        status = await handle_order(order)
        if loads and status == 202:
            begun_at.append(clock.elapsed())
        return status

    return handle


def most_in_a_span(times, seconds):
    times = sorted(times)
    return max(sum(at <= other < at + seconds for other in times) for at in times)


@pytest.mark.parametrize("times", [1, 2])
async def test_each_new_controller_starts_as_many_loads_as_the_weight_store_bears(times):
    """It did not know of the loads that the controller before it had started."""
    async with loading(nodes=1 + times) as (bench, begun_at):
        for _ in range(times):
            count = len(begun_at)
            await pool_fleet.until(
                lambda count=count: len(begun_at) > count, seconds=4 * CEILING_SECONDS
            )
            holder = [controller.is_holder for controller in bench.controllers].index(True)
            await bench.kernels.pop(holder).stop()
        count = len(begun_at)
        await pool_fleet.until(lambda: len(begun_at) > count, seconds=4 * CEILING_SECONDS)
        await asyncio.sleep(CEILING_SECONDS)
        assert most_in_a_span(begun_at, CEILING_SECONDS) <= CEILING_LOADS


async def test_loads_whose_orders_arrive_late_add_up_with_the_next_ones():
    async with loading(nodes=1, late_orders=5) as (_, begun_at):
        await pool_fleet.until(lambda: len(begun_at) > 5, seconds=4 * CEILING_SECONDS)
        await asyncio.sleep(LATE_SECONDS)
        assert most_in_a_span(begun_at, CEILING_SECONDS) <= CEILING_LOADS
