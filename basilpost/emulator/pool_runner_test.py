"""Tests of the emulated runner: what it does must be what the platform's pages say of runners."""

import asyncio

import pytest
import tornado.httputil

from basilpost.core import channels
from basilpost.emulator import pool_runner, pool_store, second_answers


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
