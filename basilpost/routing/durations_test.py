"""Tests of the estimate of how long a request takes."""

import math

import pytest

from basilpost.core import clock
from basilpost.routing import durations


@pytest.fixture(autouse=True)
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


def record(recent, seconds, *, count=1, route="route", answered=True):
    for _ in range(count):
        running = recent.begin(route, began_at=clock.elapsed() - seconds)
        recent.end(running, answered=answered)


def test_few_requests_give_a_bound():
    recent = durations.RecentDurations()
    record(recent, 1.0, count=100, route="other")
    record(recent, 1.0, count=durations.MIN_REQUESTS - 1)
    assert recent.estimate("route") == math.inf
    record(recent, 1.0)
    assert recent.estimate("route") == 1.0


def test_one_slow_request_of_many_decides():
    recent = durations.RecentDurations()
    record(recent, 0.5, count=199)
    record(recent, 9.0)
    assert recent.estimate("route") == 0.5


def test_a_slow_request_of_few_does_not_count():
    recent = durations.RecentDurations()
    record(recent, 0.5, count=30)
    record(recent, 3.0)
    assert recent.estimate("route") == 3.0


def test_requests_that_still_run_do_not_count(now):
    recent = durations.RecentDurations()
    record(recent, 0.5, count=30)
    running = recent.begin("route", began_at=clock.elapsed())
    now[0] += 4.0
    assert recent.estimate("route") == 4.0
    recent.end(running, answered=False)
    assert recent.estimate("route") == 0.5


def test_refusals_make_requests_seem_short():
    recent = durations.RecentDurations()
    record(recent, 2.0, count=30)
    record(recent, 0.001, count=1000, answered=False)
    assert recent.estimate("route") == 2.0


def test_old_requests_are_remembered_for_ever():
    recent = durations.RecentDurations()
    record(recent, 5.0, count=50)
    record(recent, 0.5, count=durations.REMEMBERED_REQUESTS)
    assert recent.estimate("route") == 0.5


def test_routes_of_old_configurations_take_memory_or_displace_the_used_ones():
    recent = durations.RecentDurations()
    for number in range(2 * durations.MAX_ROUTES):
        record(recent, 0.5, route="used")
        record(recent, 0.1, route=f"route-{number}")
    assert len(recent._seconds_by_route) == durations.MAX_ROUTES
    assert recent.estimate("used") == 0.5
