"""Tests of the emulated runner: what it does must be what the platform's pages say of runners."""

import asyncio
import dataclasses

import pytest
import tornado.httputil

from basilpost.core import channels
from basilpost.emulator import pool_fleet, pool_runner, pool_store, second_answers, unframed_answers
from basilpost.store import objects


async def start_runner(store, **options):
    runner = pool_runner.PoolRunner(
        vm_id="vm-0",
        service="clearance" if options.pop("grouped", False) else "desk",
        store=store,
        fabric_domain="fabric-0" if "events" in options else "",
        options=pool_runner.Options(**options),
    )
    await runner.start()
    return runner


async def connect(runner):
    channel = await channels.Pool().acquire(runner.address, timeout=1.0)
    assert isinstance(channel, channels.Channel)
    return channel


def send(channel, attempt, *, method="GET"):
    fields = {"X-Attempt-Id": attempt, "X-Expect-Runner": "vm-0", "Host": "runner"}
    channel.send(method, "/a", tornado.httputil.HTTPHeaders(fields), b"")


async def read(channel):
    return await channel.receive(on_head=lambda head: None, on_data=lambda data: None)


def order(operation, **fields):
    return {"operation": operation, "fence": 1, "group": "large--1", "epoch": 1, **fields}


async def start_open_head(store, **options):
    """Starts a runner that is the head and only member of an open group."""
    runner = await start_runner(store, grouped=True, **options)
    await runner.handle_order(order("join", model="large", members=["vm-0"]))
    while runner.member["state"] != "ready":
        await asyncio.sleep(0.01)
    await runner.handle_order(order("open"))
    while runner.member["state"] != "open":
        await asyncio.sleep(0.01)
    return runner


@pytest.mark.parametrize(("mode", "whole"), [("queue", True), ("cutoff", False)])
async def test_a_close_order_cuts_requests_only_if_it_says_so(mode, whole):
    """The emulator took both modes for one, so no test showed streams that a close order cut."""
    store = pool_store.PoolStore()
    await store.start()
    runner = await start_runner(store, grouped=True, events=10, event_seconds=0.02)
    try:
        await runner.handle_order(order("join", model="large", members=["vm-0"]))
        while runner.member["state"] != "ready":
            await asyncio.sleep(0.01)
        await runner.handle_order(order("open"))
        while runner.member["state"] != "open":
            await asyncio.sleep(0.01)
        channel = await connect(runner)
        send(channel, "one", method="POST")
        reading = asyncio.create_task(read(channel))
        await asyncio.sleep(0.05)
        assert await runner.handle_order(order("close", closeMode=mode)) == 200
        assert runner.member["state"] == "closing"
        assert isinstance(await reading, channels.Head) == whole
        while runner.member["state"] != "ready":
            await asyncio.sleep(0.01)
        assert runner.cut_off == ([] if whole else ["one"])
    finally:
        await runner.stop()
        await store.stop()


async def test_an_order_for_an_older_state_is_refused():
    """The emulator ignored `expected`, so no test showed what a late order does to a runner."""
    store = pool_store.PoolStore()
    await store.start()
    runner = await start_runner(store, grouped=True, events=1, load_seconds=0.01, open_seconds=0.01)
    join = order("join", model="large", members=["vm-0"])
    try:
        assert await runner.handle_order({**join, "expected": 1}) == 409
        assert await runner.handle_order({**join, "expected": 0}) == 202
        assert runner.begun_orders == 1
        assert await runner.handle_order(join) == 200
        assert await runner.handle_order(order("leave", group="large--0", epoch=0)) == 200
        assert runner.begun_orders == 1
        late = {**join, "group": "large--2", "epoch": 2, "expected": 0}
        assert await runner.handle_order(late) == 409
        assert (runner.member["name"], runner.highest_epoch) == ("large--1", 1)
        while runner.member["state"] != "ready":
            await asyncio.sleep(0.01)
        assert await runner.handle_order(order("open")) == 202
        while runner.member["state"] != "open":
            await asyncio.sleep(0.01)
        assert await runner.handle_order(order("close")) == 200
        assert await runner.handle_order(order("leave")) == 200
        assert runner.begun_orders == 4
        assert await runner.handle_order({**late, "expected": 4}) == 202
    finally:
        await runner.stop()
        await store.stop()


async def test_a_second_answer_follows_the_first_one_on_its_connection():
    store = pool_store.PoolStore()
    await store.start()
    plan = second_answers.SecondAnswers(share=1.0, delays=(0.02,))
    runner = await start_runner(store, answers_twice=plan)
    try:
        channel = await connect(runner)
        send(channel, "one")
        first, second = await read(channel), await read(channel)
        assert (first.status, first.headers.get("X-Attempt-Id")) == (500, None)
        assert (second.status, second.headers.get("X-Attempt-Id")) == (200, "one")
        assert runner.first_statuses == [("one", 500)]
    finally:
        await runner.stop()
        await store.stop()


async def test_a_first_answer_that_says_not_run_is_logged_as_a_rejection():
    """Counted as a run, it would seem to use an attempt of the request."""
    store = pool_store.PoolStore()
    await store.start()
    plan = second_answers.SecondAnswers(share=1.0, first_status=503)
    runner = await start_runner(store, answers_twice=plan)
    try:
        channel = await connect(runner)
        send(channel, "one")
        await read(channel)
        assert [arrival.ran for arrival in runner.arrival_log] == [False]
    finally:
        await runner.stop()
        await store.stop()


@pytest.mark.parametrize("full", [False, True])
async def test_arrivals_are_logged_with_the_deadline_that_the_node_named(full):
    """Without rejected requests and deadlines in the log, no check could count repeats by them."""
    store = pool_store.PoolStore()
    await store.start()
    runner = await start_runner(store, full=full)
    try:
        channel = await connect(runner)
        fields = {"X-Attempt-Id": "one", "X-Expect-Runner": "vm-0", "Host": "runner"}
        headers = tornado.httputil.HTTPHeaders(fields | {"X-Deadline-Ms": "1500"})
        channel.send("GET", "/a", headers, b"")
        await read(channel)
        await runner.vanish()
        (arrival,) = runner.arrival_log
        assert (arrival.attempt, arrival.deadline_ms, arrival.ran) == ("one", 1500, not full)
        assert runner.ended_at[0] >= arrival.at
    finally:
        await runner.stop()
        await store.stop()


async def test_a_copy_of_a_stream_follows_it_on_its_connection():
    """Without it no test shows a stream that is answered with the events of an earlier one."""
    store = pool_store.PoolStore()
    await store.start()
    copies = second_answers.StreamCopies(share=1.0, named=False, delays=(0.01,))
    runner = await start_runner(store, grouped=True, events=3, copied_streams=copies)
    runner.member = {"name": "large--1", "epoch": 1, "rank": 0, "state": "open"}
    try:
        channel = await connect(runner)
        send(channel, "one", method="POST")
        bodies, names = [], []
        for _ in range(2):
            parts = []
            head = await channel.receive(on_head=lambda head: None, on_data=parts.append)
            bodies.append(b"".join(parts))
            names.append(head.headers.get("X-Attempt-Id"))
        assert bodies[0] == bodies[1] and b"one 3" in bodies[0]
        assert names == ["one", None]
    finally:
        await runner.stop()
        await store.stop()


async def test_a_head_cuts_its_streams_after_a_member_has_left():
    """Without it no test shows streams that are lost as members leave while their head works."""
    fleet = pool_fleet.PoolFleet(vms=2, plain_instances=0)
    fleet.members_matter = True
    await fleet.start()
    head, other = fleet.runners_by_id.values()
    head.options = dataclasses.replace(head.options, events=10, event_seconds=0.02)
    try:
        for runner in (head, other):
            runner.members = [head.vm_id, other.vm_id]
            rank = runner.members.index(runner.vm_id)
            runner.member = {"name": "large--1", "epoch": 1, "rank": rank, "state": "open"}
        channel = await connect(head)
        fields = {"X-Attempt-Id": "one", "X-Expect-Runner": head.vm_id, "Host": "runner"}
        channel.send("POST", "/a", tornado.httputil.HTTPHeaders(fields), b"")
        reading = asyncio.create_task(read(channel))
        await asyncio.sleep(0.05)
        assert not head.has_lost_member()
        await other.handle_order(order("leave"))
        assert isinstance(await reading, channels.Broken)
    finally:
        await fleet.stop()


async def test_a_runner_that_leaves_without_a_report_serves_on_without_an_entry():
    fleet = pool_fleet.PoolFleet(vms=1, plain_instances=0)
    await fleet.start()
    (runner,) = fleet.runners_by_id.values()
    try:
        await runner.leave_list()
        await runner.report()
        entry = await fleet.store.store.get(f"servers/{runner.vm_id}")
        assert isinstance(entry, objects.Missing)
        assert isinstance(await connect(runner), channels.Channel)
    finally:
        await fleet.stop()


async def test_a_second_answer_to_a_stream_follows_the_whole_stream():
    """It came before the first event, so that no reader could tell which answer was the runner's first."""
    store = pool_store.PoolStore()
    await store.start()
    plan = second_answers.SecondAnswers(share=1.0, first_status=200, delays=(0.0,))
    runner = await start_runner(store, grouped=True, events=3, answers_twice=plan)
    runner.member = {"name": "large--1", "epoch": 1, "rank": 0, "state": "open"}
    try:
        channel = await connect(runner)
        send(channel, "one", method="POST")
        parts = []
        head = await channel.receive(on_head=lambda head: None, on_data=parts.append)
        assert head.headers.get("X-Attempt-Id") is None
        assert b"one 3" in b"".join(parts)
        second = await read(channel)
        assert second.headers.get("X-Attempt-Id") == "one"
    finally:
        await runner.stop()
        await store.stop()


@pytest.mark.parametrize("closer", ["complete", "runner", "order", "node"])
async def test_the_log_tells_which_end_closed_a_stream(closer):
    """The emulator's log did not tell a stream that its node cut from one that the runner broke off."""
    store = pool_store.PoolStore()
    await store.start()
    runner = await start_open_head(store, events=10, event_seconds=0.02)
    try:
        channel = await connect(runner)
        send(channel, "one", method="POST")
        reading = asyncio.create_task(read(channel))
        await asyncio.sleep(0.05)
        if closer == "runner":
            await runner.vanish()
        elif closer == "order":
            await runner.handle_order(order("close", closeMode="cutoff"))
        elif closer == "node":
            channel.close()
        await reading
        while not runner.endings:
            await asyncio.sleep(0.01)
        (ending,) = runner.endings
        assert (ending.attempt, ending.by.value) == ("one", closer)
        assert ending.members == ("vm-0",)
    finally:
        await runner.stop()
        await store.stop()


async def test_a_head_rejects_streams_beyond_its_slots_and_its_queue():
    """The emulated heads took any number of streams, so none that moved to a full group was rejected."""
    store = pool_store.PoolStore()
    await store.start()
    runner = await start_open_head(store, events=5, event_seconds=0.05, running=1, waiting=1)
    try:
        readings = []
        for attempt in ("one", "two", "three"):
            channel = await connect(runner)
            send(channel, attempt, method="POST")
            readings.append(asyncio.create_task(read(channel)))
            await asyncio.sleep(0.05)
        assert [(await reading).status for reading in readings] == [200, 200, 503]
        first, second = runner.endings
        assert second.at - first.at >= 0.25
        assert [arrival.ran for arrival in runner.arrival_log] == [True, True, False]
    finally:
        await runner.stop()
        await store.stop()


async def test_a_group_without_a_member_breaks_and_rejects():
    """The emulated head served on after the loss of a member, and cut streams that had not begun."""
    store = pool_store.PoolStore()
    await store.start()
    runner = await start_open_head(store, events=10, event_seconds=0.1)
    try:
        channels_by_attempt = {attempt: await connect(runner) for attempt in ("one", "two")}
        for attempt, channel in channels_by_attempt.items():
            send(channel, attempt, method="POST")
            await asyncio.sleep(0.15)
            runner.has_lost_member = lambda: True
        begun, waiting = [await read(channel) for channel in channels_by_attempt.values()]
        assert isinstance(begun, channels.Broken)
        assert (waiting.status, waiting.headers["X-Not-Executed"]) == (503, "1")
        assert [run.attempt for run in runner.runs] == ["one"]
        assert runner.member["state"] == "broken"
        late = await connect(runner)
        send(late, "three", method="POST")
        assert (await read(late)).status == 503
    finally:
        await runner.stop()
        await store.stop()


async def test_a_group_stalls_as_soon_as_a_member_has_ended():
    """The emulated group served on until the member was back, as if nothing had happened to it."""
    fleet = pool_fleet.PoolFleet(vms=2)
    fleet.members_matter = True
    await fleet.start()
    head, other = (fleet.runners_by_id[f"vm-0-{number}"] for number in range(2))
    try:
        for runner in (head, other):
            await runner.handle_order(order("join", model="large", members=["vm-0-0", "vm-0-1"]))
        assert not head.has_lost_member()
        await other.vanish()
        assert head.has_lost_member()
    finally:
        await fleet.stop()


@pytest.mark.parametrize("end", ["complete", "cut-off", "order", "crash"])
async def test_an_answer_without_a_length_looks_complete_unless_its_runner_has_cut_it(end):
    """A crashed process ends its connections in order; a runner that cuts an answer off resets its own."""
    store = pool_store.PoolStore()
    await store.start()
    plan = unframed_answers.UnframedAnswers(share=1.0)
    runner = await start_open_head(store, events=10, event_seconds=0.01, unframed=plan)
    runner.options.cut_streams = int(end == "cut-off")
    pieces = []
    try:
        channel = await connect(runner)
        send(channel, "one", method="POST")
        reading = asyncio.create_task(
            channel.receive(on_head=lambda head: None, on_data=pieces.append)
        )
        await asyncio.sleep(0.05)
        if end == "order":
            await runner.handle_order(order("close", closeMode="cutoff"))
        if end == "crash":
            runner.crash()
        result = await reading
        assert isinstance(result, channels.Head) is (end in ("complete", "crash"))
        if isinstance(result, channels.Head):
            assert result.has_no_length and channel.ended_answer
        assert (b"id: 10\n" in b"".join(pieces)) is (end == "complete")
    finally:
        await runner.stop()
        await store.stop()


async def test_a_plain_answer_without_a_length_is_whole():
    store = pool_store.PoolStore()
    await store.start()
    plan = unframed_answers.UnframedAnswers(share=1.0, pause_seconds=0.01)
    runner = await start_runner(store, unframed=plan)
    pieces = []
    try:
        channel = await connect(runner)
        send(channel, "one")
        head = await channel.receive(on_head=lambda head: None, on_data=pieces.append)
        assert head.has_no_length and b"".join(pieces) == runner.answers[0].body
    finally:
        await runner.stop()
        await store.stop()
