"""Tests of the bound on what cold targets get."""

import pytest

from basilpost.core import clock
from basilpost.routing import cold


@pytest.fixture
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


def sent_in(meter, now, seconds, *, per_second, nodes):
    """Returns how much gets through in some seconds to a node that always has more."""
    count = 0
    for _ in range(int(seconds * 100)):
        if meter.may_send("t", per_second=per_second, nodes=nodes):
            meter.sent("t")
            count += 1
        now[0] += 0.01
    return count


def test_a_burst_on_a_cold_return_stays_below_the_bound_of_all_nodes(now):
    """Each of nine nodes has far more work than the target bears."""
    total = 9 * sent_in(cold.ColdMeter(), now, 1.0, per_second=36.0, nodes=9)
    assert 0 < total <= 36


def test_the_bound_slides(now):
    meter = cold.ColdMeter()
    assert sent_in(meter, now, 0.5, per_second=4.0, nodes=1) == 4
    assert sent_in(meter, now, 0.5, per_second=4.0, nodes=1) == 0
    assert sent_in(meter, now, 1.0, per_second=4.0, nodes=1) == 4


def test_targets_count_apart(now):
    meter = cold.ColdMeter()
    meter.sent("one")
    assert not meter.may_send("one", per_second=1.0, nodes=1)
    assert meter.may_send("two", per_second=1.0, nodes=1)
