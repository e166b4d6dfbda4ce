"""Tests of when refused callers return, and of how those are known that do."""

import random

import pytest

from basilpost.routing import returns


def test_a_wave_of_refused_callers_returns_over_the_time_that_they_accept_to_wait():
    rng = random.Random(1)
    delays = [returns.retry_after(6.0, rng) for _ in range(1000)]
    # Callers wait up to a third of the time that they have left.
    assert max(delays) <= 2.0
    assert min(delays) >= 0.5
    buckets = [sum(0.8 + 0.3 * i <= delay < 1.1 + 0.3 * i for delay in delays) for i in range(4)]
    assert min(buckets) > 0.6 * max(buckets)


def test_the_time_budget_tells_new_callers_from_those_that_return():
    learner = returns.BudgetLearner()
    assert learner.classify("r", 6.0) is returns.Arrival.FIRST
    assert learner.classify("r", 5.97) is returns.Arrival.FIRST
    assert learner.classify("r", 5.7) is returns.Arrival.AT_ONCE
    assert learner.classify("r", 4.5) is returns.Arrival.RETURNED
    assert learner.classify("other", 4.5) is returns.Arrival.FIRST
    assert learner.classify("r", None) is returns.Arrival.FIRST


@pytest.mark.parametrize("seconds_left", [0.2, 1.5, 6.0, 8.0])
def test_whoever_waits_as_long_as_told_is_known_as_returning(seconds_left):
    rng = random.Random(2)
    learner = returns.BudgetLearner()
    learner.classify("r", seconds_left)
    for _ in range(100):
        delay = returns.retry_after(seconds_left, rng)
        assert learner.classify("r", seconds_left - delay) is returns.Arrival.RETURNED


def test_routes_that_no_longer_exist_are_forgotten():
    learner = returns.BudgetLearner()
    learner.classify("old", 6.0)
    learner.keep(frozenset({"new"}))
    assert learner.classify("old", 3.0) is returns.Arrival.FIRST
