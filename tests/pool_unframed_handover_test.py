"""Answers without a length whose end is still being checked: a handover or a limit takes them meanwhile."""

import asyncio

from basilpost.emulator import pool_fleet, unframed_answers
from basilpost.gateway import answer_ends, answer_sinks
from tests import pool_stream_handover_test as stream_handovers
from tests import pool_unframed_answer_test as unframed

# The caller's stream is moved when so many events are left at the old group.
EVENTS_LEFT = 6


class HeldCheck:
    """The check whether the runner of an answer that has ended still lives, held open by a test.

    Attributes:
        begun: Number of answers that have ended.
    """

    def __init__(self, monkeypatch):
        self.begun = 0
        self._released = asyncio.Event()
        find_evidence = answer_ends.Watch.find_evidence

        async def hold(watch):
            self.begun += 1
            await self._released.wait()
            return await find_evidence(watch)

        monkeypatch.setattr(answer_ends.Watch, "find_evidence", hold)

    def release(self):
        self._released.set()


async def until_moved(bench):
    """Waits until the next target of the only stream has sent an event."""
    handovers = bench.forwarders[0]._handovers._handovers_by_trunk
    await pool_fleet.until(lambda: any(handover.has_taken for handover in handovers.values()))


# The stream ended as complete, without the events that were held back for the handover.
async def test_a_stream_that_a_handover_takes_after_its_end_ends_as_complete_too_early(monkeypatch):
    plan = unframed_answers.UnframedAnswers(share=1.0)
    async with stream_handovers.one_stream(old_options={"unframed": plan}) as handover:
        check = HeldCheck(monkeypatch)
        for runner in handover.others:
            runner.options.stalled = True
        events = handover.old[0].options.events
        pause = handover.old[0].options.event_seconds
        await asyncio.sleep((events - EVENTS_LEFT) * pause)
        await handover.begin()
        await pool_fleet.until(lambda: check.begun > 0)
        for runner in handover.others:
            runner.options.stalled = False
        await until_moved(handover.bench)
        check.release()
        stream_handovers.assert_in_order(await handover.task)
        assert len(handover.runs) == 2


# A look-up was answered with a success without a body.
async def test_an_answer_that_is_given_up_for_memory_after_its_end_is_passed_on_empty(monkeypatch):
    async with unframed.running() as (bench, runners):
        check = HeldCheck(monkeypatch)
        first = asyncio.create_task(bench.call("/lookup/a", method="GET"))
        await pool_fleet.until(lambda: check.begun == 1)
        # The next byte that the node holds makes the first answer, the largest, too much.
        limit = answer_sinks.MAX_HELD_BYTES
        monkeypatch.setattr(answer_sinks, "MAX_HELD_BYTES", len(unframed.WHOLE))
        second = asyncio.create_task(bench.call("/lookup/b", method="GET"))
        memory = bench.forwarders[0]._answer_memory
        await pool_fleet.until(lambda: 0 < memory.total < len(unframed.WHOLE))
        monkeypatch.setattr(answer_sinks, "MAX_HELD_BYTES", limit)
        check.release()
        assert (await first).body == (await second).body == unframed.WHOLE
        assert sum(len(runner.requests) for runner in runners) == 3
