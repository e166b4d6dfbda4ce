"""Tests of the demand by rank, on a clock that the test sets."""

import pytest

from basilpost.core import clock
from basilpost.members import demand, rank_demand

URGENT = rank_demand.RankKey(model="m", rank=0)
LATER = rank_demand.RankKey(model="m", rank=2)


@pytest.fixture
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


def test_demand_is_known_within_a_second_and_gone_some_seconds_later(now):
    meter = rank_demand.RankDemandMeter()
    now[0] += 10.0
    for number in range(400):
        meter.count_arrival(URGENT, 0.5, refused=number % 2 == 0)
        now[0] += 0.01
    measured = rank_demand.by_key(meter.read())[URGENT]
    assert measured.requests == pytest.approx(100.0, rel=0.1)
    assert measured.work == pytest.approx(50.0, rel=0.1)
    assert measured.refused == pytest.approx(25.0, rel=0.1)
    now[0] += 5.0
    assert rank_demand.by_key(meter.read())[URGENT].work < 1.0
    now[0] += 20.0
    assert not meter.read()


def test_a_single_request_is_no_burst(now):
    meter = rank_demand.RankDemandMeter()
    meter.count_arrival(URGENT, 1.0, refused=False)
    assert rank_demand.by_key(meter.read())[URGENT].work < 3.0


def test_few_requests_at_each_of_many_nodes_add_up_to_their_rate(now):
    """Counted from each node's first request, they seemed to be twice as many, and were refused."""
    meters = [rank_demand.RankDemandMeter() for _ in range(84)]
    now[0] += 10.0
    arrivals = 0
    for step in range(300):
        now[0] += 0.01
        for number, meter in enumerate(meters):
            if (step + number * 7) % 50 == 0:
                meter.count_arrival(URGENT, 1.0, refused=False)
                arrivals += 1
    measured = sum(rank_demand.by_key(meter.read())[URGENT].requests for meter in meters)
    assert measured == pytest.approx(arrivals / 3.0, rel=0.1)


def test_builds_that_do_not_know_ranks_see_no_further_model(now):
    meter = rank_demand.RankDemandMeter()
    meter.count_arrival(LATER, 1.0, refused=False)
    plain = demand.ModelDemand(arrived_per_second=4.0, ended=9.0, held_seconds=9.0)
    reported = meter.read() | {"m": plain}
    assert demand.slots_wanted(reported, ["m"]) == {"m": 4.0}
    assert set(rank_demand.by_key(reported)) == {LATER}
