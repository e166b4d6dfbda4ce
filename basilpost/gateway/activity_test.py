"""Tests of noticing targets that stand still, on a clock that the test moves."""

import pytest

from basilpost.core import clock
from basilpost.gateway import activity


class Stream:
    """A stream that the test makes progress."""

    def __init__(self, watched, target):
        self.events = 0
        self.moved = 0
        self.watch = watched.watch(target, self._move, lambda: self.events)

    def _move(self):
        self.moved += 1


class Clock:
    def __init__(self):
        self.now = 100.0

    def run(self, watched, seconds, *writing):
        """Lets time pass, in which some streams go on."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for stream in writing:
                stream.events += 1
            watched.check(self.now)


@pytest.fixture
def time(monkeypatch):
    moved = Clock()
    monkeypatch.setattr(clock, "elapsed", lambda: moved.now)
    return moved


@pytest.fixture
def watched():
    return activity.Activity()


def test_a_target_that_writes_is_no_suspect(watched, time):
    stream = Stream(watched, "t")
    time.run(watched, 2, stream)
    assert not watched.suspects()
    assert not stream.moved


def test_a_target_that_stops_gets_no_new_work_and_then_loses_its_streams(watched, time):
    stream = Stream(watched, "t")
    time.run(watched, 0.5, stream)
    time.run(watched, 0.4)
    assert watched.suspects() == {"t"}
    assert not stream.moved
    time.run(watched, 0.2)
    assert stream.moved


def test_new_requests_are_no_sign_of_life(watched, time):
    """Requests that keep coming to a dead group must not make it look alive."""
    stream = Stream(watched, "t")
    time.run(watched, 0.2, stream)
    for _ in range(6):
        Stream(watched, "t")
        time.run(watched, 0.1)
    assert stream.moved


def test_one_stream_that_goes_on_speaks_for_the_target(watched, time):
    waiting, writing = Stream(watched, "t"), Stream(watched, "t")
    time.run(watched, 2, writing)
    assert not waiting.moved


def test_a_target_that_begins_nothing_stands_still(watched, time):
    stream = Stream(watched, "t")
    time.run(watched, 0.9)
    assert not stream.moved
    time.run(watched, 0.3)
    assert stream.moved


def test_a_suspect_is_remembered_when_its_streams_have_left(watched, time):
    stream = Stream(watched, "t")
    time.run(watched, 0.1, stream)
    time.run(watched, 0.6)
    watched.ended(stream.watch)
    time.run(watched, 1)
    assert watched.suspects() == {"t"}
    time.run(watched, activity.MEMORY_SECONDS)
    assert not watched.suspects()


def test_a_suspect_that_writes_again_is_cleared(watched, time):
    stream = Stream(watched, "t")
    time.run(watched, 0.1, stream)
    time.run(watched, 0.4)
    assert watched.suspects()
    time.run(watched, 0.1, stream)
    assert not watched.suspects()


def test_a_target_that_writes_to_other_nodes_keeps_its_streams(watched, time):
    """One of many nodes reads a single stream of a target whose batch is full."""
    stream = Stream(watched, "t")
    time.run(watched, 0.5, stream)
    watched.written_elsewhere = lambda: frozenset({"t"})
    time.run(watched, 2)
    assert not watched.suspects()
    assert not stream.moved
    watched.written_elsewhere = frozenset
    time.run(watched, 0.1)
    assert stream.moved
