"""Streams whose target is silent for a while: looking for another group must not cost them the one they have."""

import asyncio

import pytest

from basilpost.emulator import pool_fleet
from basilpost.gateway import stall_detector
from tests import pool_planned_close_test as planned_close

# Longer than a target may be silent before its streams look for another one, and shorter than callers
# wait for the next event of a stream.
SILENT_SECONDS = stall_detector.STALL_SECONDS + 0.4


async def stall_for_a_while(head):
    head.options.stalled = True
    await asyncio.sleep(SILENT_SECONDS)
    head.options.stalled = False


@pytest.mark.parametrize("trouble", ["full", "fail", "silent"])
async def test_a_stream_is_cut_for_a_group_that_does_not_take_it_when_its_target_is_silent(trouble):
    async with planned_close.running(groups=2) as bench:
        streams = planned_close.Streams(bench)
        await planned_close.start_streams(bench, streams, 2)
        group, attempts = planned_close.busiest_group(bench)
        assert attempts
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
            if runner.member is not None and runner.member["name"] != group:
                setattr(runner.options, trouble, True)
        await stall_for_a_while(planned_close.members_of(bench, group)[0])
        await streams.end()
        assert streams.lost == []


async def test_streams_of_a_silent_target_are_cut_for_the_same_free_slots():
    """All of them are moved at once, to a group that has room for one."""
    async with planned_close.running(groups=2) as bench:
        streams = planned_close.Streams(bench)
        await planned_close.start_streams(bench, streams, 7)
        group, attempts = planned_close.busiest_group(bench)
        assert len(attempts) == 4
        await stall_for_a_while(planned_close.members_of(bench, group)[0])
        await streams.end()
        assert streams.lost == []
