"""Planned moves: which streams leave a group that is closed, and what is counted meanwhile."""

import asyncio
import types

import pytest
import structlog

from basilpost.core import catalog
from basilpost.gateway import answer_sinks, attempts, handovers, planned_moves, sse
from basilpost.routing import targets

OLD, NEXT = "large--1@1", "large--2@1"


class FakeLoads:
    def __init__(self):
        self.in_flight = 0

    def request_started(self, target_id):
        assert target_id == NEXT
        self.in_flight += 1

    def request_ended(self, target_id):
        assert target_id == NEXT
        self.in_flight -= 1


class FakeSink:
    def __init__(self):
        self.channel = object()
        self.abandoned = False
        self.closed = 0
        self.stream = sse.ResumableStream(last_id="")
        self.last_event = ""

    def close_channel(self):
        self.closed += 1

    abandon = close_channel

    def release(self):
        pass


class Bench:
    """Streams at a group that is closed; the next target has `slots` free slots."""

    def __init__(self, *, slots, retries=9):
        self.slots, self.retries = slots, retries
        self.loads = FakeLoads()
        self.chosen_without = []
        self.ended = asyncio.Event()
        self.result = attempts.NotRun(reason="full")
        self.handovers = handovers.Handovers(
            loads=self.loads,
            memory=answer_sinks.AnswerMemory(),
            on_lost=lambda progress, result: None,
            log=structlog.get_logger(),
        )
        self.moves = planned_moves.PlannedMoves(
            closing=lambda: frozenset({OLD}),
            choose=self._choose,
            node_handovers=self.handovers,
            log=structlog.get_logger(),
        )
        self.watches = []

    async def _send(self, progress, next_target, sink):
        """Counts the request as the sender does, until the test ends it."""
        self.loads.request_started(next_target.target_id)
        try:
            await self.ended.wait()
        finally:
            self.loads.request_ended(next_target.target_id)
        return self.result

    def _choose(self, progress):
        self.chosen_without.append(progress.tried_targets)
        return target() if self.loads.in_flight < self.slots else None

    def spend_retry(self):
        self.retries -= 1
        return self.retries >= 0

    def add(self, *, repeat=catalog.Repeat.IDEMPOTENT, sends=1, own=True):
        progress = attempts.Progress(
            admitted=types.SimpleNamespace(
                route=types.SimpleNamespace(repeat=repeat, max_attempts=2),
                call=types.SimpleNamespace(request_id=f"r-{len(self.watches)}"),
            ),
            fingerprint="",
            sends=sends,
        )
        spend_retry = self.spend_retry if own else None
        watch = self.moves.watch(
            OLD, progress, FakeSink(), send=self._send, spend_retry=spend_retry
        )
        self.watches.append(watch)
        return self.watches[-1]

    @property
    def moved(self):
        return [watch for watch in self.watches if self.handovers.find(watch.progress)]


def target():
    return targets.Target(
        target_id=NEXT,
        service="s",
        model="large",
        vm_id="vm",
        address="127.0.0.1:1",
        failure_domain="a",
        slots=4,
        pace=1.0,
        cold_until=0.0,
    )


async def test_several_streams_count_on_the_same_free_slot():
    bench = Bench(slots=2)
    for _ in range(4):
        bench.add()
    for _ in range(6):
        bench.moves.check()
    assert len(bench.moved) == 2
    assert bench.loads.in_flight == 2
    await asyncio.sleep(0)
    bench.moves.check()
    assert (len(bench.moved), bench.loads.in_flight) == (2, 2)
    # Their connections stay until the next target has sent an event.
    assert [watch.sink.closed for watch in bench.moved] == [0, 0]


async def test_all_streams_of_a_group_move_before_the_other_nodes_know():
    bench = Bench(slots=9)
    for _ in range(4):
        bench.add()
    bench.moves.check()
    assert len(bench.moved) == 1


@pytest.mark.parametrize(
    "options", [{"repeat": catalog.Repeat.ONCE}, {"sends": 2}, {"own": False}], ids=str
)
def test_a_stream_is_cut_that_may_not_be_sent_again(options):
    """It may run once, has no attempt left, or another node knows whether it has a retry left."""
    bench = Bench(slots=9)
    bench.add(**options)
    bench.moves.check()
    assert bench.moved == [] and bench.retries == 9


def test_a_stream_is_cut_for_which_no_retry_is_left():
    bench = Bench(slots=9, retries=0)
    watch = bench.add()
    bench.moves.check()
    assert bench.moved == []
    assert bench.handovers.find(watch.progress) is None and bench.loads.in_flight == 0


async def test_a_stream_is_handed_over_to_the_same_target_again():
    bench = Bench(slots=9)
    bench.ended.set()
    progress = bench.add().progress
    bench.moves.check()
    await asyncio.sleep(0.01)
    assert progress.declined_targets == {NEXT} and bench.moved == []
    bench.moves.check()
    assert bench.chosen_without == [set(), {NEXT}]


def test_a_stream_is_handed_over_without_end():
    """Each time its caller would wait, and a retry be spent."""
    bench = Bench(slots=9)
    progress = bench.add().progress
    progress.declined_targets = {f"t-{number}" for number in range(handovers.MAX_DECLINES)}
    bench.moves.check()
    assert bench.moved == [] and bench.retries == 9


def test_a_stream_is_handed_over_without_a_place_at_which_to_go_on():
    bench = Bench(slots=9)
    watch = bench.add()
    watch.sink.stream.feed(b"data: no id\n\n")
    bench.moves.check()
    assert bench.moved == [] and bench.retries == 9


def test_a_stream_whose_connection_still_opens_is_given_up_unclosed():
    bench = Bench(slots=9)
    bench.add().sink.channel = None
    bench.moves.check()
    assert bench.moved == []


def test_the_streams_of_a_closed_group_are_not_logged():
    bench = Bench(slots=0)
    bench.add(), bench.add()
    with structlog.testing.capture_logs() as lines:
        bench.moves.check()
        bench.moves.check()
    assert [(line["event"], line["requests"]) for line in lines] == [
        ("target_closing", ["r-0", "r-1"])
    ]
