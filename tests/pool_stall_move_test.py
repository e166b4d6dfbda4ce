"""Streams whose runner is silent for a moment and would go on: none of them is cut for another group."""

import asyncio

import pytest

from basilpost.emulator import pool_fleet
from basilpost.gateway import stall_detector
from tests import pool_nodes

EVENTS = 20
EVENT_SECONDS = 0.03
# Longer than a node waits before it moves a stream, and shorter than the platform's stall limit.
SILENT_SECONDS = stall_detector.STALL_SECONDS + 0.4


def large_only():
    """Returns a configuration with the large model alone."""
    spec = pool_fleet.configuration()
    engine = spec["services"][0]["engine"]
    engine["models"] = [engine["models"][0] | {"share": 1.0}]
    return spec


def members_of(bench, group):
    return [
        runner
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
        if runner.member is not None and runner.member["name"] == group
    ]


# A stream was moved from a silent target to a group that rejected it, and was lost.
@pytest.mark.parametrize("trouble", ["full", "fail"])
async def test_a_stream_of_a_silent_target_is_cut_for_a_group_that_does_not_take_it(trouble):
    async with pool_nodes.running(fabric_domains=2, vms=4, spec=large_only()) as bench:
        await bench.wait_for_groups(2, pool_fleet.LARGE)
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
            runner.options.events, runner.options.event_seconds = EVENTS, EVENT_SECONDS
        attempt = bench.next_attempt_id()
        reading = asyncio.create_task(bench.draft(attempt=attempt, X_Deadline_Ms="4000"))
        await pool_fleet.until(lambda: bool(bench.fleet.runs_of(attempt)))
        await asyncio.sleep(5 * EVENT_SECONDS)
        (run,) = bench.fleet.runs_of(attempt)
        members = members_of(bench, run.group)
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
            if runner not in members:
                setattr(runner.options, trouble, True)
        members[0].options.stalled = True
        await asyncio.sleep(SILENT_SECONDS)
        members[0].options.stalled = False
        answer = await reading
        assert pool_nodes.event_ids(answer.body) == list(range(1, EVENTS + 1))
