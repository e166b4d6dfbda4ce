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
    buckets = [sum(1.0 + 0.25 * i <= delay < 1.25 + 0.25 * i for delay in delays) for i in range(4)]
    assert min(buckets) > 0.6 * max(buckets)


def test_the_time_budget_tells_new_callers_from_those_that_return():
    learner = returns.BudgetLearner()
    assert learner.classify("r", 6.0) is returns.Arrival.FIRST
    # Callers' first budgets differ by some 15 parts in 100.
    assert learner.classify("r", 5.1) is returns.Arrival.FIRST
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


def test_budgets_of_a_bounded_number_of_routes_are_remembered():
    learner = returns.BudgetLearner()
    learner.classify("old", 6.0)
    for number in range(returns.MAX_ROUTES):
        learner.classify(f"route {number}", 6.0)
    assert learner.classify("old", 3.0) is returns.Arrival.FIRST


def test_a_share_of_the_requests_is_admitted_and_asking_again_at_once_changes_nothing():
    fingerprints = [f"request {number}" for number in range(2000)]

    def admitted(arrival, *, wall_seconds=1000.5):
        period = returns.period_of(wall_seconds)
        return {
            fingerprint
            for fingerprint in fingerprints
            if returns.is_admitted(fingerprint, arrival, 0.3, period=period)
        }

    first = admitted(returns.Arrival.FIRST)
    assert len(first) / len(fingerprints) == pytest.approx(0.3, abs=0.03)
    assert admitted(returns.Arrival.FIRST, wall_seconds=1003.5) == first
    # A request that many callers send is not refused for ever.
    assert admitted(returns.Arrival.FIRST, wall_seconds=1010.0) != first
    # Who returns as told is decided on anew.
    again = admitted(returns.Arrival.RETURNED) - first
    assert len(again) / (len(fingerprints) - len(first)) == pytest.approx(0.3, abs=0.04)


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_all_or_none_are_admitted_at_the_ends(share):
    for number in range(100):
        assert returns.is_admitted(str(number), returns.Arrival.FIRST, share, period=1) is bool(
            share
        )
