"""Tests of the estimate of how long a request takes."""

import math

from basilpost.routing import durations


def test_a_route_without_answers_has_no_bound():
    recent = durations.RecentDurations()
    recent.record("other", 1.0)
    assert recent.estimate("route") == math.inf


def test_one_slow_request_of_many_decides():
    recent = durations.RecentDurations()
    for _ in range(199):
        recent.record("route", 0.5)
    recent.record("route", 9.0)
    assert recent.estimate("route") == 0.5


def test_a_slow_request_of_few_does_not_count():
    recent = durations.RecentDurations()
    recent.record("route", 0.5)
    recent.record("route", 3.0)
    assert recent.estimate("route") == 3.0


def test_old_requests_are_remembered_for_ever():
    recent = durations.RecentDurations()
    for seconds in (*[5.0] * 50, *[0.5] * durations.REMEMBERED_REQUESTS):
        recent.record("route", seconds)
    assert recent.estimate("route") == 0.5


def test_routes_of_old_configurations_take_memory_or_displace_the_used_ones():
    recent = durations.RecentDurations()
    for number in range(2 * durations.MAX_ROUTES):
        recent.record("used", 0.5)
        recent.record(f"route-{number}", 0.1)
    assert len(recent._seconds_by_route) == durations.MAX_ROUTES
    assert recent.estimate("used") == 0.5
