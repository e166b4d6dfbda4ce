"""Tests of detecting stalled targets, on a clock that the test advances."""

import pytest

from basilpost.core import clock
from basilpost.gateway import stall_detector


class Stream:
    """A watched stream whose event count the test raises."""

    def __init__(self, detector, target):
        self.events = 0
        self.stall_calls = 0
        self.watch = detector.watch(target, self._on_stall, lambda: self.events)

    def _on_stall(self):
        self.stall_calls += 1


class Clock:
    def __init__(self):
        self.now = 100.0

    def run(self, detector, seconds, *active):
        """Advances the clock; the `active` streams get an event before each check."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for stream in active:
                stream.events += 1
            detector.check(self.now)


@pytest.fixture
def time(monkeypatch):
    fake = Clock()
    monkeypatch.setattr(clock, "elapsed", lambda: fake.now)
    return fake


@pytest.fixture
def detector():
    return stall_detector.StallDetector()


def test_a_target_that_sends_events_is_not_suspected(detector, time):
    stream = Stream(detector, "t")
    time.run(detector, 2, stream)
    assert not detector.suspects()
    assert not stream.stall_calls


def test_a_silent_target_is_suspected_and_then_stalled(detector, time):
    stream = Stream(detector, "t")
    time.run(detector, 0.5, stream)
    time.run(detector, 0.4)
    assert detector.suspects() == {"t"}
    assert not stream.stall_calls
    time.run(detector, 0.2)
    assert stream.stall_calls


def test_new_requests_do_not_end_the_silence_of_a_target(detector, time):
    """New requests that are sent to a dead group must not make it look alive."""
    stream = Stream(detector, "t")
    time.run(detector, 0.2, stream)
    for _ in range(6):
        Stream(detector, "t")
        time.run(detector, 0.1)
    assert stream.stall_calls


def test_events_of_one_stream_keep_all_streams_of_the_target(detector, time):
    silent, active = Stream(detector, "t"), Stream(detector, "t")
    time.run(detector, 2, active)
    assert not silent.stall_calls


def test_a_target_without_a_first_event_is_stalled(detector, time):
    stream = Stream(detector, "t")
    time.run(detector, 0.9)
    assert not stream.stall_calls
    time.run(detector, 0.3)
    assert stream.stall_calls


def test_a_target_stays_suspected_after_its_streams_have_ended(detector, time):
    stream = Stream(detector, "t")
    time.run(detector, 0.1, stream)
    time.run(detector, 0.6)
    detector.unwatch(stream.watch)
    time.run(detector, 1)
    assert detector.suspects() == {"t"}
    time.run(detector, stall_detector.SUSPECT_MEMORY_SECONDS)
    assert not detector.suspects()


def test_a_suspected_target_that_sends_events_again_is_cleared(detector, time):
    stream = Stream(detector, "t")
    time.run(detector, 0.1, stream)
    time.run(detector, 0.4)
    assert detector.suspects()
    time.run(detector, 0.1, stream)
    assert not detector.suspects()


def test_a_target_that_is_active_for_other_nodes_keeps_its_streams(detector, time):
    """In a large fleet a node may read only one stream of a target, and that one may be silent for long."""
    stream = Stream(detector, "t")
    time.run(detector, 0.5, stream)
    detector.active_elsewhere = frozenset
    time.run(detector, 2)
    assert not detector.suspects()
    assert not stream.stall_calls
    detector.active_elsewhere = lambda _: frozenset()
    time.run(detector, 0.1)
    assert stream.stall_calls


@pytest.fixture
def single_detector(detector):
    detector.finds_single_streams = True
    return detector


def test_a_request_that_hangs_at_a_target_that_serves_others_is_stalled(single_detector, time):
    """Without this its caller waits until it gives up."""
    hanging = Stream(single_detector, "t")
    time.run(single_detector, 0.1)
    later = Stream(single_detector, "t")
    time.run(single_detector, 0.8, later)
    assert not hanging.stall_calls
    time.run(single_detector, 0.3, later)
    assert hanging.stall_calls
    assert not later.stall_calls
    assert not single_detector.suspects()


def test_a_request_that_others_have_not_overtaken_may_wait_in_the_targets_queue(
    single_detector, time
):
    earlier = Stream(single_detector, "t")
    time.run(single_detector, 0.1, earlier)
    queued = Stream(single_detector, "t")
    time.run(single_detector, 3.0, earlier)
    assert not queued.stall_calls


def test_a_request_that_hangs_is_found_by_the_events_that_other_nodes_receive(
    single_detector, time
):
    single_detector.active_elsewhere = lambda targets: frozenset({"t"})
    hanging = Stream(single_detector, "t")
    time.run(single_detector, 0.9)
    assert not hanging.stall_calls
    time.run(single_detector, 0.2)
    assert hanging.stall_calls


def test_a_stream_that_stops_midway_is_stalled_and_one_that_is_slow_is_not(single_detector, time):
    slow, stopped, other = (Stream(single_detector, "t") for _ in range(3))
    time.run(single_detector, 0.1, slow, stopped, other)
    for _ in range(5):
        time.run(single_detector, 0.4, other)
        time.run(single_detector, 0.05, slow, other)
    assert stopped.stall_calls
    assert not slow.stall_calls


def test_single_streams_are_not_looked_for_unless_the_deployment_asks(detector, time):
    hanging = Stream(detector, "t")
    other = Stream(detector, "t")
    time.run(detector, 5.0, other)
    assert not hanging.stall_calls
