"""Streams that are handed over to another group: what the next group, the old one and the caller do."""

import asyncio
import contextlib
import itertools

import pytest

from basilpost.emulator import pool_fleet
from tests import pool_planned_close_test as planned_closes

MODEL = pool_fleet.MODEL_SERVICE
# Runners notice within this time that the node has closed a connection. Their streams would last longer.
GONE_SECONDS = 0.3


def runners(bench):
    return bench.fleet.runners_of(MODEL)


def runs_by_event(body):
    """Returns for each event its number, its runner and the event after which the run began."""
    lines = [line.split() for line in body.decode().splitlines() if line.startswith("data: ")]
    return [(int(number), vm_id, int(after)) for _, _, number, vm_id, after in lines]


def assert_in_order(answer):
    """Checks that no event is missing or comes twice, and that each run begins where it was asked to."""
    assert answer.code == 200
    events = runs_by_event(answer.body)
    assert [number for number, _, _ in events] == planned_closes.EVENT_IDS
    for (before, old, _), (_, new, after) in itertools.pairwise(events):
        assert old == new or after == before


class Handover:
    """One stream at a group that is closed, and the groups to which it may go."""

    def __init__(self, bench, attempt, task):
        self.bench, self.attempt, self.task = bench, attempt, task
        self.group, _ = planned_closes.busiest_group(bench)
        self.old = planned_closes.members_of(bench, self.group)
        self.others = [runner for runner in runners(bench) if runner not in self.old]

    async def begin(self):
        await planned_closes.drain(self.old[1])
        await self.until_runs(2)

    async def until_runs(self, count):
        await pool_fleet.until(lambda: len(self.runs) >= count)

    async def until_idle(self):
        """Waits until no runner is at work; a stalled one notices it with its next event."""
        for runner in self.others:
            runner.options.stalled = False
        await pool_fleet.until(lambda: not self.at_work, seconds=GONE_SECONDS)

    @property
    def runs(self):
        return sorted(self.bench.fleet.runs_of(self.attempt), key=lambda run: run.at)

    @property
    def at_work(self):
        return [runner for runner in runners(self.bench) if runner._working]


async def call_whole(bench, attempt):
    return await bench.draft(attempt=attempt, X_Deadline_Ms="8000")


async def call_and_leave(bench, attempt):
    """Reads a stream until the task is cancelled, then closes the connection."""
    host, _, port = bench.addresses[0].rpartition(":")
    headers = pool_fleet.call_headers(attempt, model=pool_fleet.LARGE)
    headers |= {"X-Deadline-Ms": "8000", "Content-Length": "1"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST /draft/a HTTP/1.1\r\n{lines}\r\nx".encode())
    try:
        while await reader.read(65_536):
            pass
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def one_stream(*, groups=2, call=None, old_options=None, **route_fields):
    async with planned_closes.running(groups=groups, nodes=1, **route_fields) as bench:
        for runner in runners(bench):
            runner.options.names_runs = True
            for name, value in (old_options or {}).items():
                setattr(runner.options, name, value)
        attempt = bench.next_attempt_id()
        task = asyncio.create_task((call or call_whole)(bench, attempt))
        await pool_fleet.until(lambda: bool(bench.fleet.runs_of(attempt)))
        handover = Handover(bench, attempt, task)
        for runner in handover.others:
            for name in old_options or {}:
                setattr(runner.options, name, getattr(type(runner.options)(), name))
        yield handover
        task.cancel()


async def test_the_runs_of_a_stream_are_joined_where_neither_began():
    async with one_stream() as handover:
        await handover.begin()
        assert_in_order(await handover.task)
        assert len(handover.runs) == 2


@pytest.mark.parametrize("trouble", ["stalled", "silent"])
async def test_a_stream_is_cut_for_a_group_that_stays_silent(trouble):
    async with one_stream(maxAttempts=3) as handover:
        for runner in handover.others:
            setattr(runner.options, trouble, True)
        await planned_closes.drain(handover.old[1])
        assert_in_order(await handover.task)
        events = runs_by_event((await handover.task).body)
        assert {vm_id for _, vm_id, _ in events} == {handover.old[0].vm_id}


async def test_a_stream_is_cut_for_a_group_that_breaks_off_within_its_first_event():
    async with one_stream() as handover:
        for runner in handover.others:
            runner.options.cut_streams, runner.options.cut_after_events = 9, 0
        await handover.begin()
        answer = await handover.task
        assert_in_order(answer)
        assert {vm_id for _, vm_id, _ in runs_by_event(answer.body)} == {handover.old[0].vm_id}


async def test_a_stream_is_lost_with_a_group_that_breaks_off_after_its_first_event():
    async with one_stream(groups=3, maxAttempts=3) as handover:
        for runner in handover.others:
            runner.options.cut_streams, runner.options.cut_after_events = 9, 1000
        await handover.begin()
        # The next group sends its first event 50 ms later.
        for runner in handover.others:
            runner.options.cut_streams = 0
            runner.options.cut_after_events = int(handover.runs[-1].after) + 1
        answer = await handover.task
        assert_in_order(answer)
        assert len(handover.runs) == 3
        assert handover.group not in {run.group for run in handover.runs[1:]}


async def test_a_third_group_is_asked_when_the_old_one_breaks_off_during_a_handover():
    options = {"cut_streams": 9, "cut_after_events": 1000}
    async with one_stream(groups=3, maxAttempts=3, old_options=options) as handover:
        for runner in handover.others:
            runner.options.stalled = True
        await handover.begin()
        for runner in handover.old:
            runner.options.cut_after_events = 0
        await asyncio.sleep(0.2)
        for runner in handover.others:
            runner.options.stalled = False
        answer = await handover.task
        assert_in_order(answer)
        assert len(handover.runs) == 2
        second = handover.runs[1]
        assert int(second.after) in {after for _, _, after in runs_by_event(answer.body)}


async def test_the_next_group_works_on_for_a_stream_that_has_ended_at_the_old_one():
    async with one_stream() as handover:
        for runner in handover.others:
            runner.options.stalled = True
        # The last events come while the next group is still asked.
        await asyncio.sleep(planned_closes.EVENTS * planned_closes.EVENT_SECONDS - 0.8)
        await handover.begin()
        answer = await handover.task
        assert_in_order(answer)
        assert {vm_id for _, vm_id, _ in runs_by_event(answer.body)} == {handover.old[0].vm_id}
        await handover.until_idle()


async def test_two_groups_work_on_for_a_caller_that_has_left_during_a_handover():
    async with one_stream(call=call_and_leave) as handover:
        for runner in handover.others:
            runner.options.stalled = True
        await handover.begin()
        assert len(handover.at_work) == 2
        handover.task.cancel()
        await asyncio.sleep(0.1)
        await handover.until_idle()
        bench = handover.bench
        known = bench.targets[0].matching(MODEL, pool_fleet.LARGE)
        assert known
        assert not any(bench.loads[0].own_in_flight(target.target_id) for target in known)


async def test_several_nodes_count_on_the_same_free_slot():
    """Each of them sees it before the others have told of their streams."""
    async with planned_closes.running(groups=2, nodes=3) as bench:
        for runner in runners(bench):
            runner.options.running = 4
        streams = planned_closes.Streams(bench)
        await planned_closes.start_streams(bench, streams, 7)
        group, attempts = planned_closes.busiest_group(bench)
        assert len(attempts) == 4
        await planned_closes.drain(planned_closes.members_of(bench, group)[1])
        await planned_closes.until_replaced(bench, group, 2)
        await streams.end()
        assert streams.lost == []


SILENT_SECONDS = 1.0


@pytest.mark.parametrize("trouble", ["full", "fail", "stalled"])
async def test_a_silent_stream_is_cut_for_a_group_that_does_not_take_it(trouble):
    """Its own group sends nothing for a moment, and would go on."""
    async with one_stream() as handover:
        for runner in handover.others:
            setattr(runner.options, trouble, True)
        await asyncio.sleep(0.3)
        for runner in handover.old:
            runner.options.stalled = True
        await asyncio.sleep(SILENT_SECONDS)
        for runner in handover.old:
            runner.options.stalled = False
        answer = await handover.task
        assert_in_order(answer)
        assert {vm_id for _, vm_id, _ in runs_by_event(answer.body)} == {handover.old[0].vm_id}
        arrivals = [arrival for runner in handover.others for arrival in runner.arrival_log]
        assert len(arrivals) == 1


async def test_a_stream_stays_at_a_group_that_sends_nothing_any_more():
    async with one_stream() as handover:
        await asyncio.sleep(0.3)
        for runner in handover.old:
            runner.options.stalled = True
        answer = await handover.task
        assert_in_order(answer)
        assert len(handover.runs) == 2


async def test_a_stream_stays_at_two_groups_that_send_nothing_any_more():
    async with one_stream(groups=3, maxAttempts=3) as handover:
        for runner in handover.others:
            runner.options.stalled = True
        await asyncio.sleep(0.3)
        for runner in handover.old:
            runner.options.stalled = True
        await handover.until_runs(2)
        next_group = planned_closes.members_of(handover.bench, handover.runs[-1].group)
        for runner in handover.others:
            runner.options.stalled = runner in next_group
        answer = await handover.task
        assert_in_order(answer)
        assert len(handover.runs) == 3
