"""Planned moves: which streams leave a group that is closed, and what is counted meanwhile."""

import types

import pytest
import structlog

from basilpost.core import catalog
from basilpost.gateway import attempts, planned_moves
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

    def close_channel(self):
        self.closed += 1


class Bench:
    """Streams at a group that is closed; the next target has `slots` free slots."""

    def __init__(self, *, slots, retries=9):
        self.slots, self.retries = slots, retries
        self.loads = FakeLoads()
        self.moves = planned_moves.PlannedMoves(
            closing=lambda: frozenset({OLD}),
            choose=self._choose,
            loads=self.loads,
            log=structlog.get_logger(),
        )
        self.watches = []

    def _choose(self, progress):
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
        self.watches.append(self.moves.watch(OLD, progress, FakeSink(), spend_retry))
        return self.watches[-1]

    @property
    def moved(self):
        return [watch for watch in self.watches if watch.sink.abandoned]


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


def test_several_streams_count_on_the_same_free_slot():
    bench = Bench(slots=2)
    for _ in range(4):
        bench.add()
    for _ in range(6):
        bench.moves.check()
    assert len(bench.moved) == 2
    assert bench.loads.in_flight == 2
    assert [watch.sink.closed for watch in bench.moved] == [1, 1]


def test_all_streams_of_a_group_move_before_the_other_nodes_know():
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
    assert watch.progress.reserved_target is None and bench.loads.in_flight == 0


def test_a_reservation_outlives_the_move():
    bench = Bench(slots=9)
    progress = bench.add().progress
    bench.moves.check()
    assert bench.moves.take_reserved(progress) == target()
    assert bench.moves.take_reserved(progress) is None
    assert bench.loads.in_flight == 0


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
