"""Handovers whose two targets and whose caller end at about the same moment."""

import asyncio

import pytest

from basilpost.gateway import answer_sinks, attempts, handovers
from basilpost.gateway import handovers_test as bench_

BROKEN = attempts.Lost(reason="broken")


async def start_at_once(bench):
    """Starts a handover whose task has not run yet."""

    async def go_on():
        pass

    pause, bench.pause = bench.pause, go_on
    await bench.start()
    bench.pause = pause


# The stream was broken off: its other attempt was ended by an answer that then was not taken.
@pytest.mark.parametrize(
    "last", [b"id: 3\ndata: ol", bench_.event(4, "old")], ids=["within-an-event", "gap"]
)
async def test_an_orderly_end_without_the_whole_stream_ends_the_next_target(last):
    bench = bench_.Bench()
    await bench.start()
    bench.sink.on_chunk(last)
    bench.settle(bench_.head())
    handover = bench.handovers.find(bench.progress)
    assert handover is not None and handover.is_used
    bench.handovers.cancel(bench.progress)


# Held-back bytes beyond the limits are dropped once the answer is over, and its end is passed on.
async def test_a_stream_that_exceeds_its_limit_while_held_back_is_taken_for_whole(monkeypatch):
    bench = bench_.Bench()
    await bench.start()
    bench.say_old(3, 4)
    monkeypatch.setattr(answer_sinks, "MAX_STREAM_BYTES", 50)
    bench.settle(bench_.head())
    assert bench.sink.excess and len(bench.events) == 2
    assert bench.sink.find_defect()
    bench.handovers.cancel(bench.progress)


# A target stayed counted as loaded after the request had ended.
async def test_a_caller_that_leaves_before_the_next_target_is_asked_stays_counted():
    bench = bench_.Bench()

    async def stream():
        await start_at_once(bench)
        bench.settle(BROKEN)
        await bench.handovers.take(bench.progress).join()

    streaming = asyncio.create_task(stream())
    asyncio.get_running_loop().call_soon(streaming.cancel)
    await bench.pause()
    assert streaming.cancelled()
    assert bench.loads.in_flight == 0


class SlowlyConnected(bench_.NextTarget):
    """A next target whose connection opens later."""

    def __init__(self):
        super().__init__()
        self.connected = asyncio.Event()

    async def send(self, progress, target, sink):
        progress.target = target.target_id
        await self.connected.wait()
        return await super().send(progress, target, sink)


# The send was counted only when it had ended, so that the request could be sent too often.
async def test_a_next_target_that_is_connected_after_the_old_one_broke_is_not_counted():
    bench = bench_.Bench()
    bench.next = SlowlyConnected()
    await bench.start()
    bench.settle(BROKEN)
    joining = asyncio.create_task(bench.handovers.take(bench.progress).join())
    await bench.pause()
    bench.next.connected.set()
    await bench.pause()
    assert bench.next.asked_after == ["2"]
    assert not bench.progress.has_attempts_left
    joining.cancel()


# The loss was reported as that of the old target.
async def test_the_next_target_is_not_known_when_the_old_one_breaks_before_it_is_asked():
    bench = bench_.Bench()

    async def stream():
        await start_at_once(bench)
        bench.settle(BROKEN)
        return await bench.handovers.take(bench.progress).join()

    streaming = asyncio.create_task(stream())
    await bench.pause()
    await bench.end_next(BROKEN)
    assert await streaming is BROKEN
    assert bench.progress.target == bench_.NEXT


# An abandoned attempt may be followed by another one without a further check of the attempts.
@pytest.mark.looptime
async def test_a_handover_that_times_out_as_the_old_target_breaks_is_repeated_beyond_the_attempts():
    bench = bench_.Bench()
    await bench.start()
    handover = bench.handovers.find(bench.progress)
    asyncio.get_running_loop().call_at(handover._limit.when(), bench.settle, BROKEN)
    await asyncio.sleep(handovers.TAKE_SECONDS * 1.1)
    assert handover.is_used
    result = await bench.handovers.take(bench.progress).join()
    assert isinstance(result, attempts.Lost) and not result.abandoned


# Nothing released the events that were held back for it.
async def test_a_fault_of_the_node_in_a_handover_holds_a_stream_back():
    bench = bench_.Bench()
    await bench.start()
    bench.say_old(3, 4)
    bench.next.ended.set_exception(RuntimeError("a fault"))
    await bench.pause()
    bench.assert_kept()


# As above: a last event of the silent target ended the handover, and its break made it the next attempt.
@pytest.mark.parametrize("passes", [1, 2])
async def test_a_silent_target_that_breaks_off_after_an_event_is_followed_beyond_the_attempts(
    passes,
):
    bench = bench_.Bench()
    await bench.start(is_planned=False)
    bench.say_old(3)
    for _ in range(passes):
        await asyncio.sleep(0)
    bench.settle(BROKEN)
    handover = bench.handovers.take(bench.progress)
    if handover is not None:
        if not bench.next.ended.done():
            bench.next.ended.set_result(bench_.head())
        result = await handover.join()
        assert not isinstance(result, attempts.Lost) or not result.abandoned
