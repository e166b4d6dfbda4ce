"""Streams whose target or node is silent: what they wait for, and what they are cut for."""

import asyncio

import pytest

from basilpost.emulator import pool_fleet
from basilpost.gateway import stall_detector
from tests import cut_links, pool_cut_off_test, pool_nodes
from tests import pool_planned_close_test as planned_closes
from tests import pool_stream_handover_test as handovers

SILENT_SECONDS = stall_detector.STALL_SECONDS + 0.4
# Time after which a frozen group answers again; callers wait longer for an event.
FROZEN_SECONDS = 1.5


# The other group was asked once, while it was full, and never again.
async def test_a_stream_of_a_silent_group_waits_in_vain_for_one_that_was_full_for_a_moment():
    async with handovers.one_stream() as handover:
        await asyncio.sleep(0.3)
        for runner in handover.others:
            runner.options.full = True
        for runner in handover.old:
            runner.options.stalled = True
        await pool_fleet.until(lambda: any(runner.rejections for runner in handover.others))
        await asyncio.sleep(0.1)
        for runner in handover.others:
            runner.options.full = False
        answer = await handover.task
        handovers.assert_in_order(answer)


# A node that sent a stream for another one broke it off for a target that the other one could not use.
@pytest.mark.parametrize("trouble", ["full", "fail"])
async def test_a_stream_that_another_node_sends_is_cut_as_its_target_is_silent(trouble):
    async with planned_closes.running(groups=2) as bench:
        await pool_cut_off_test.lose_path(bench, 0, cut_links.Kind.RESET)
        attempt = bench.next_attempt_id()
        reading = asyncio.create_task(bench.draft(attempt=attempt, node=0, X_Deadline_Ms="8000"))
        await pool_fleet.until(lambda: bool(bench.fleet.runs_of(attempt)))
        await asyncio.sleep(0.3)
        (run,) = bench.fleet.runs_of(attempt)
        members = planned_closes.members_of(bench, run.group)
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
            if runner not in members:
                setattr(runner.options, trouble, True)
        members[0].options.stalled = True
        await asyncio.sleep(SILENT_SECONDS)
        members[0].options.stalled = False
        answer = await reading
        assert pool_nodes.event_ids(answer.body) == planned_closes.EVENT_IDS


# A stream was broken off because the group that resumes it did not answer for a moment; no other was left.
async def test_a_resumed_stream_is_cut_as_its_next_group_does_not_answer_for_a_moment():
    options = {"cut_streams": 1, "cut_after_events": 5}
    async with handovers.one_stream(maxAttempts=3, old_options=options) as handover:
        for runner in handover.others:
            runner.options.silent = True
        await asyncio.sleep(5 * planned_closes.EVENT_SECONDS + FROZEN_SECONDS)
        for runner in handover.others:
            runner.options.silent = False
        handovers.assert_in_order(await handover.task)
