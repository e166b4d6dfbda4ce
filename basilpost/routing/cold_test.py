"""Tests of the bound on what cold targets get."""

import pytest

from basilpost.core import clock
from basilpost.routing import cold


@pytest.fixture
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


def fleet(count):
    return frozenset(f"node-{number}" for number in range(count))


def meter_of(number=0):
    return cold.ColdStartLimiter(node_id=f"node-{number}")


def sent_in(meter, now, seconds, *, per_second, nodes):
    """Returns how much gets through in some seconds to a node that always has more."""
    count = 0
    for _ in range(int(seconds * 100)):
        if meter.may_send("t", per_second=per_second, node_ids=fleet(nodes)):
            meter.record_sent("t")
            count += 1
        now[0] += 0.01
    return count


def test_a_burst_on_a_cold_return_stays_below_the_bound_of_all_nodes(now):
    """Each of nine nodes has far more work than the target bears."""
    total = sum(sent_in(meter_of(one), now, 1.0, per_second=36.0, nodes=9) for one in range(9))
    assert 0 < total <= 36


@pytest.mark.parametrize("per_second", [0.5, 4.0, 36.0, 100.0])
def test_more_nodes_than_the_bound_stay_below_it_together(now, per_second):
    total = sum(
        sent_in(meter_of(one), now, 1.0, per_second=per_second, nodes=79) for one in range(79)
    )
    assert int(per_second) // 2 <= total <= per_second


def test_different_targets_are_borne_by_different_nodes():
    """So a large fleet sends to all targets of a service in a cold start together."""
    able = {
        number
        for number in range(79)
        for target in "abcdef"
        if meter_of(number).may_send(target, per_second=8.0, node_ids=fleet(79))
    }
    assert len(able) > 8


def test_a_node_that_the_others_do_not_know_yet_sends_nothing():
    assert not meter_of(3).may_send("t", per_second=8.0, node_ids=fleet(3))
    assert not meter_of(3).may_send("t", per_second=8.0, node_ids=frozenset())


def test_the_bound_slides(now):
    meter = meter_of()
    assert sent_in(meter, now, 0.5, per_second=4.0, nodes=1) == 4
    assert sent_in(meter, now, 0.5, per_second=4.0, nodes=1) == 0
    assert sent_in(meter, now, 1.0, per_second=4.0, nodes=1) == 4


def test_targets_count_apart(now):
    meter = meter_of()
    meter.record_sent("one")
    assert not meter.may_send("one", per_second=1.0, node_ids=fleet(1))
    assert meter.may_send("two", per_second=1.0, node_ids=fleet(1))
