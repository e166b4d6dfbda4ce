"""Streams of groups that are closed because a member drains: none of them is lost."""

import asyncio
import collections
import contextlib
import random

import pytest

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.members import loads
from tests import pool_nodes

# A member that drains goes on to work while the head has requests, for at most this long.
DRAIN_SECONDS = 10.0
# Streams that may move to another group do so within this time of the drain.
MOVE_SECONDS = 1.0
EVENTS = 40
EVENT_SECONDS = 0.05
# Streams of 6 s are still at work when a lease of 3 s has expired and another node has taken over.
LONG_EVENT_SECONDS = 0.15
EVENT_IDS = list(range(1, EVENTS + 1))


def configuration(version, **route_fields):
    """Returns a configuration with the large model alone, whose route of streams has other fields."""
    spec = pool_fleet.configuration(version)
    engine = spec["services"][0]["engine"]
    engine["models"] = [engine["models"][0] | {"share": 1.0}]
    spec["routes"][0] |= route_fields
    return spec


class Streams:
    """Streams to all nodes, or to some of them, in turn.

    Attributes:
        attempts: Their ids.
        lost: Ids of those that were accepted and ended without all events.
        refused: Ids of those that were refused as not run.
    """

    def __init__(self, bench, *, nodes=None):
        self._nodes = nodes if nodes is not None else range(len(bench.addresses))
        self.attempts = []
        self.lost = []
        self.refused = []
        self._bench = bench
        self._tasks = []

    def start(self, count=1):
        for _ in range(count):
            attempt = self._bench.next_attempt_id()
            node = self._nodes[len(self.attempts) % len(self._nodes)]
            self.attempts.append(attempt)
            self._tasks.append(asyncio.create_task(self._read(attempt, node)))

    async def end(self):
        await asyncio.gather(*self._tasks)

    async def _read(self, attempt, node):
        try:
            answer = await self._bench.draft(attempt=attempt, node=node, X_Deadline_Ms="8000")
        except Exception:
            self.lost.append(attempt)
            return
        if answer.code == 503:
            self.refused.append(attempt)
        elif answer.code != 200 or pool_nodes.event_ids(answer.body) != EVENT_IDS:
            self.lost.append(attempt)


@contextlib.asynccontextmanager
async def running(*, groups, nodes=2, **route_fields):
    """Starts nodes, and groups with one spare each in fabric domains of their own."""
    spec = configuration(1, **route_fields)
    async with pool_nodes.running(nodes=nodes, fabric_domains=groups, vms=4, spec=spec) as bench:
        await bench.wait_for_groups(groups, pool_fleet.LARGE)
        await pool_fleet.until(lambda: len(spares(bench)) == groups)
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
            runner.options.events, runner.options.event_seconds = EVENTS, EVENT_SECONDS
        yield bench


def spares(bench):
    """Returns the runners that hold the weights of the large model for a lost member."""
    return [
        runner
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
        if runner.member is not None
        and runner.member["name"].startswith(f"standby-{pool_fleet.LARGE}")
        and runner.member["state"] == "ready"
    ]


def members_of(bench, group):
    return [
        runner
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
        if runner.member is not None and runner.member["name"] == group
    ]


async def start_streams(bench, streams, count):
    """Starts streams one after another, so that each counts in the placement of the next."""
    for _ in range(count):
        streams.start()
        started = streams.attempts[-1]
        await pool_fleet.until(lambda attempt=started: bool(bench.fleet.runs_of(attempt)))
        # Nodes tell each other of their requests in flight each 0.15 s.
        await asyncio.sleep(0.2 if len(bench.addresses) > 1 else 0.0)


async def drain(runner):
    runner.state = "draining"
    await runner.report()
    return clock.elapsed()


async def until_replaced(bench, group, groups):
    await pool_fleet.until(
        lambda: group not in bench.fleet.open_groups(pool_fleet.LARGE)
        and len(bench.fleet.open_groups(pool_fleet.LARGE)) == groups,
        seconds=DRAIN_SECONDS,
    )


def busiest_group(bench):
    """Returns the group that runs the most requests, and their ids."""
    attempts_by_group = collections.defaultdict(list)
    for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
        if runner.member is not None:
            attempts_by_group[runner.member["name"]] += runner._working.values()
    return max(attempts_by_group.items(), key=lambda item: len(item[1]))


@pytest.mark.parametrize("rank", [0, 2])
@pytest.mark.parametrize(
    "route_fields",
    [{"resumable": False, "maxAttempts": 1}, {"resumable": False}, {"maxAttempts": 1}],
    ids=["once", "once-two-attempts", "one-attempt"],
)
async def test_streams_that_may_not_be_sent_again_are_cut_by_a_planned_close(route_fields, rank):
    async with running(groups=2, **route_fields) as bench:
        streams = Streams(bench)
        await start_streams(bench, streams, 4)
        group, attempts = busiest_group(bench)
        assert attempts
        await drain(members_of(bench, group)[rank])
        await until_replaced(bench, group, 2)
        await streams.end()
        assert streams.lost == []
        assert {len(bench.fleet.runs_of(attempt)) for attempt in streams.attempts} == {1}


async def test_streams_are_cut_by_a_planned_close_although_other_groups_are_nearly_full():
    async with running(groups=2) as bench:
        streams = Streams(bench)
        await start_streams(bench, streams, 7)
        group, attempts = busiest_group(bench)
        assert len(attempts) == 4
        await drain(members_of(bench, group)[1])
        await until_replaced(bench, group, 2)
        await streams.end()
        assert streams.lost == []


async def test_streams_with_room_elsewhere_stay_at_a_group_that_is_closed():
    """They would hold up the replacement of the group for as long as they last."""
    async with running(groups=3) as bench:
        streams = Streams(bench)
        await start_streams(bench, streams, 6)
        group, attempts = busiest_group(bench)
        drained_at = await drain(members_of(bench, group)[1])
        await until_replaced(bench, group, 3)
        await streams.end()
        assert streams.lost == []
        for attempt in attempts:
            first, second = bench.fleet.runs_of(attempt)
            assert first.group == group != second.group
            assert second.at - drained_at < MOVE_SECONDS


async def test_streams_move_to_a_group_that_rejects_them():
    """It takes no more than it has, as when other nodes have just filled it."""
    async with running(groups=2) as bench:
        streams = Streams(bench)
        await start_streams(bench, streams, 4)
        group, attempts = busiest_group(bench)
        assert attempts
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
            runner.options.full = True
        await drain(members_of(bench, group)[1])
        await until_replaced(bench, group, 2)
        await streams.end()
        assert streams.lost == []


@pytest.mark.parametrize("trouble", ["full", "fail"])
async def test_a_stream_is_cut_for_a_group_that_does_not_take_it(trouble):
    """The group seemed to have room; the stream would have ended where it was."""
    async with running(groups=2) as bench:
        streams = Streams(bench)
        await start_streams(bench, streams, 2)
        group, attempts = busiest_group(bench)
        assert attempts
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
            if runner.member is not None and runner.member["name"] != group:
                setattr(runner.options, trouble, True)
        await drain(members_of(bench, group)[1])
        await streams.end()
        assert streams.lost == []


async def test_streams_are_cut_when_the_controller_changes_after_it_closed_their_group():
    async with running(groups=2, nodes=3, maxAttempts=1) as bench:
        controls = [controller.is_holder for controller in bench.controllers]
        streams = Streams(bench, nodes=[number for number, held in enumerate(controls) if not held])
        await start_streams(bench, streams, 4)
        group, attempts = busiest_group(bench)
        assert attempts
        members = members_of(bench, group)
        await drain(members[2])
        await pool_fleet.until(lambda: members[0].member["state"] == "closing")
        await bench.kernels.pop(controls.index(True)).stop()
        await until_replaced(bench, group, 2)
        await streams.end()
        assert streams.lost == []


async def test_a_close_order_without_an_answer_cuts_streams():
    async with running(groups=2, maxAttempts=1) as bench:
        streams = Streams(bench)
        await start_streams(bench, streams, 4)
        group, attempts = busiest_group(bench)
        assert attempts
        members = members_of(bench, group)
        members[0].options.order_delay = 0.5
        await drain(members[1])
        await pool_fleet.until(lambda: members[0].member["state"] == "closing")
        members[0].options.order_delay = 0.0
        await until_replaced(bench, group, 2)
        await streams.end()
        assert streams.lost == []


async def test_members_leave_a_group_whose_delisted_head_is_at_work():
    """The group stalls without them, and its streams are cut."""
    async with running(groups=2, resumable=False, maxAttempts=1) as bench:
        streams = Streams(bench)
        await start_streams(bench, streams, 4)
        group, attempts = busiest_group(bench)
        assert attempts
        head, *others = members_of(bench, group)
        assert head.member["rank"] == 0
        await bench.fleet.store.remove(f"servers/{head.vm_id}")
        while head._working:
            assert members_of(bench, group) == [head, *others]
            await asyncio.sleep(0.01)
        await pool_fleet.until(lambda: members_of(bench, group) == [head], seconds=DRAIN_SECONDS)
        await streams.end()
        assert streams.lost == []


@contextlib.asynccontextmanager
async def delisted_head_at_work():
    """Yields a bench, streams through one node, their group's members, and the other nodes' numbers.

    The streams may not be resumed. The entry of the head is removed, and another node, the controller,
    has seen that.
    """
    async with running(groups=1, nodes=3, resumable=False, maxAttempts=1, timeoutMs=8000) as bench:
        for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE):
            runner.options.events, runner.options.event_seconds = EVENTS, LONG_EVENT_SECONDS
        holder = [controller.is_holder for controller in bench.controllers].index(True)
        first, *others = sorted(range(3), key=lambda number: number == holder)
        bench.controllers[first]._may_compete = lambda: False
        streams = Streams(bench, nodes=[first])
        await start_streams(bench, streams, 3)
        group, attempts = busiest_group(bench)
        assert len(attempts) == 3
        head, *rest = members_of(bench, group)
        await head.leave_list()
        await bench.wait_for_knowledge(lambda known: head.vm_id not in known.vms_by_id)
        yield bench, streams, (head, *rest), others


async def assert_members_stay(bench, streams, members):
    """Waits until the head has finished its streams; its members stay for that time, then leave."""
    head = members[0]
    group = head.member["name"]
    while head._working:
        assert members_of(bench, group) == list(members)
        await asyncio.sleep(0.01)
    await pool_fleet.until(lambda: members_of(bench, group) == [head], seconds=DRAIN_SECONDS)
    await streams.end()
    assert streams.lost == []


async def test_members_leave_a_delisted_head_at_work_when_the_controller_is_stopped():
    """The next controller does not know which target the group was."""
    async with delisted_head_at_work() as (bench, streams, members, others):
        await bench.kernels[others[1]].stop()
        await assert_members_stay(bench, streams, members)


async def test_members_leave_a_delisted_head_at_work_when_the_controller_is_frozen():
    """The lease expires; the next controller does not know which target the group was."""
    async with delisted_head_at_work() as (bench, streams, members, others):
        frozen = bench.controllers[others[1]]
        await frozen._tasks.close()
        await pool_fleet.until(lambda: bench.controllers[others[0]].is_holder)
        await assert_members_stay(bench, streams, members)


async def test_members_leave_a_delisted_head_at_work_when_a_new_node_becomes_the_controller():
    """It has never seen the entry of the head; only the node that has the requests has."""
    async with delisted_head_at_work() as (bench, streams, members, others):
        await bench.add("node-new", first_start=False)
        await bench.wait_for_knowledge(lambda known: members[1].vm_id in known.vms_by_id)
        # Nodes repeat their reports each second.
        await asyncio.sleep(1.2)
        for number in others:
            await bench.kernels[number].stop()
        await pool_fleet.until(lambda: bench.controllers[-1].is_holder)
        await assert_members_stay(bench, streams, members)


async def test_members_leave_a_delisted_head_that_has_just_got_a_stream(monkeypatch):
    """Its node has not told the controller of the stream yet."""
    monkeypatch.setattr(loads, "REPORT_SECONDS", 0.3)
    async with running(groups=1, nodes=2, resumable=False, maxAttempts=1) as bench:
        node = [controller.is_holder for controller in bench.controllers].index(False)
        streams = Streams(bench, nodes=[node])
        streams.start()
        await pool_fleet.until(lambda: bool(bench.fleet.runs_of(streams.attempts[0])))
        group, _ = busiest_group(bench)
        members = members_of(bench, group)
        await members[0].leave_list()
        await assert_members_stay(bench, streams, members)


@pytest.mark.parametrize("attempts", [1, 2])
async def test_drains_in_series_beside_configurations_cut_streams(attempts):
    rng = random.Random(58)
    async with running(groups=3, nodes=3, maxAttempts=attempts) as bench:
        streams = Streams(bench)
        for round_number in range(6):
            for _ in range(4):
                streams.start()
                await asyncio.sleep(0.2)
            timeout_ms = 5000 + 100 * round_number
            spec = configuration(2 + round_number, maxAttempts=attempts, timeoutMs=timeout_ms)
            await bench.fleet.configure(spec)
            group = rng.choice(bench.fleet.open_groups(pool_fleet.LARGE) or [""])
            leaving = rng.choice(members_of(bench, group) or [None])
            if leaving is not None:
                await drain(leaving)
                asyncio.get_running_loop().call_later(2.5, _return, leaving)
        await streams.end()
        assert streams.lost == []
        assert len(streams.refused) < 0.5 * len(streams.attempts)
        closes = [
            order
            for runner in bench.fleet.runners_of(pool_fleet.MODEL_SERVICE)
            for order in runner.orders
            if order["operation"] == "close"
        ]
        assert closes and {order["closeMode"] for order in closes} == {"queue"}


def _return(runner):
    """Has a runner take part again, as the next one on its VM would."""
    runner.state = "ready"
    runner._run_in_background(runner.report())
