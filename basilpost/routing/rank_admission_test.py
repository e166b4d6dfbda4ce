"""Tests of the admitted shares when callers of several ranks want more than there is."""

import hypothesis
import pytest
from hypothesis import strategies

from basilpost.routing import rank_admission

demands = strategies.dictionaries(
    strategies.integers(min_value=0, max_value=9),
    strategies.floats(min_value=0.001, max_value=100.0),
    min_size=1,
)
capacities = strategies.floats(min_value=0.01, max_value=100.0)


def shares_of(wanted, capacity, utilization=1.0):
    return rank_admission.admitted_shares(wanted, capacity=capacity, utilization=utilization)


def test_all_are_admitted_while_there_is_room():
    assert shares_of({0: 3.0, 2: 4.0}, 10.0) == {0: 1.0, 2: 1.0}


def test_a_burst_of_a_less_urgent_rank_takes_nothing_from_a_more_urgent_one():
    shares = shares_of({0: 6.0, 2: 20.0}, 10.0)
    assert shares[0] == pytest.approx(1.0)
    assert shares[2] == pytest.approx(0.2)


def test_the_least_urgent_rank_keeps_a_floor():
    shares = shares_of({0: 20.0, 2: 5.0}, 10.0)
    assert shares[2] == pytest.approx(rank_admission.FLOOR_SHARE)
    assert shares[0] == pytest.approx((10.0 - 0.5) / 20.0)


@hypothesis.given(wanted=demands, capacity=capacities)
def test_no_more_is_admitted_than_there_is_and_no_room_is_left_unused(wanted, capacity):
    shares = shares_of(wanted, capacity)
    admitted = sum(shares[rank] * work for rank, work in wanted.items())
    assert admitted == pytest.approx(min(capacity, sum(wanted.values())))


@hypothesis.given(wanted=demands, capacity=capacities)
def test_no_rank_gets_less_than_a_less_urgent_one_and_none_starves(wanted, capacity):
    shares = [share for _, share in sorted(shares_of(wanted, capacity).items())]
    assert all(share == 1.0 or share < 1.0 - 1e-9 for share in shares)
    for more_urgent, less_urgent in zip(shares, shares[1:], strict=False):
        assert more_urgent >= less_urgent - 1e-9
    assert min(shares) > 0.0


def test_a_rank_that_is_cut_leaves_slots_to_more_urgent_ones():
    """Else an urgent request waits at one node while less urgent ones at others take what comes free."""

    def may_use(rank, in_flight, shares):
        return rank_admission.may_use_slot(rank, shares, in_flight=in_flight, slots=17)

    overloaded = {0: 1.0, 2: 0.4}
    assert may_use(2, 15, overloaded)
    assert not may_use(2, 16, overloaded)
    assert may_use(0, 16, overloaded)
    assert may_use(2, 16, {0: 1.0, 2: 1.0})
    # The most urgent rank leaves nothing, also if it is cut itself.
    assert may_use(1, 16, {1: 0.5, 2: 0.1})
    assert may_use(2, 16, {})
