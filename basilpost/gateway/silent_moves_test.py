"""Silent streams: when another target is asked, and when that one is given up."""

import types

import pytest

from basilpost.core import catalog, failure
from basilpost.gateway import attempts, silent_moves
from basilpost.routing import targets

BUSY = failure.Refusal(reason="all targets are full", code="busy", status=503)
THIRD = targets.Target(
    target_id="large--3@1",
    service="s",
    model="large",
    vm_id="vm",
    address="127.0.0.1:1",
    failure_domain="a",
    slots=4,
    pace=1.0,
    cold_until=0.0,
)


class FakeHandovers:
    """Records what is begun; a test sets what is under way."""

    def __init__(self):
        self.handover = None
        self.started = []
        self.may = True

    def may_start(self, progress, sink):
        return self.may

    def find(self, progress):
        return self.handover

    def start(self, progress, sink, target, send, *, is_planned):
        assert not is_planned
        self.started.append(target)


class FakeHandover:
    def __init__(self, branch):
        self.branch = types.SimpleNamespace(progress=branch)
        self.given_up = 0

    def give_up(self):
        self.given_up += 1


def make_progress(*, sends=1):
    return attempts.Progress(
        admitted=types.SimpleNamespace(
            route=types.SimpleNamespace(repeat=catalog.Repeat.IDEMPOTENT, max_attempts=3)
        ),
        fingerprint="",
        sends=sends,
        declined_targets={"declined"},
    )


class Bench:
    def __init__(self, *, choice=THIRD):
        self.handovers = FakeHandovers()
        self.chosen_without = []
        self.moves = silent_moves.SilentMoves(
            choose=lambda progress: self.chosen_without.append(progress.tried_targets) or choice,
            detector=None,
            sender=None,
            node_handovers=self.handovers,
        )


def move(bench, *, may_move=True):
    bench.moves.move(make_progress(), None, None, lambda: may_move)
    return bench.handovers.started


def test_a_silent_stream_stays_although_another_target_may_get_it():
    bench = Bench()
    assert move(bench) == [THIRD]
    assert bench.chosen_without == [{"declined"}]


def test_a_silent_stream_is_given_up_without_another_target():
    assert move(Bench(choice=BUSY)) == []


def test_a_silent_stream_is_given_up_without_a_retry():
    assert move(Bench(), may_move=False) == []


def test_a_silent_stream_is_handed_over_twice_at_once():
    bench = Bench()
    bench.handovers.may = False
    assert move(bench) == [] and bench.chosen_without == []


@pytest.mark.parametrize(
    ("choice", "sends", "given_up"), [(THIRD, 2, 1), (BUSY, 2, 0), (THIRD, 3, 0)]
)
def test_a_silent_target_is_given_up_although_no_third_one_can_be_asked(choice, sends, given_up):
    bench = Bench(choice=choice)
    branch = make_progress(sends=sends)
    bench.handovers.handover = FakeHandover(branch)
    bench.moves.give_up(make_progress(), branch)
    assert bench.handovers.handover.given_up == given_up


def test_a_handover_is_given_up_for_the_silence_of_an_earlier_one():
    bench = Bench()
    bench.handovers.handover = FakeHandover(make_progress())
    bench.moves.give_up(make_progress(), make_progress())
    assert bench.handovers.handover.given_up == 0
    bench.handovers.handover = None
    bench.moves.give_up(make_progress(), make_progress())
