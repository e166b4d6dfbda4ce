"""Tests of the learned part of the time to a first event."""

import random

import pytest

from basilpost.routing import first_events


def test_a_delay_that_the_figures_lack_is_learned_and_stalls_hardly_change_it():
    rng = random.Random(1)
    offsets = first_events.FirstEventOffsets()
    for number in range(500):
        stalled = number % 10 == 0
        seconds = 5.0 if stalled else 0.03 + 0.13 + rng.uniform(-0.02, 0.02)
        offsets.record("m", predicted_seconds=offsets.correct("m", 0.03), seconds=seconds)
    assert offsets.correct("m", 0.05) == pytest.approx(0.18, abs=0.02)
    assert offsets.correct("other", 0.05) == 0.05


def test_a_first_event_that_never_comes_soon_moves_the_offset_within_bounds():
    offsets = first_events.FirstEventOffsets()
    offsets.record("m", predicted_seconds=0.0, seconds=1e9)
    assert offsets.correct("m", 0.0) == first_events.MAX_OFFSET_SECONDS
    offsets.record("m", predicted_seconds=3.0, seconds=0.0)
    assert 0.0 <= offsets.correct("m", 0.0) < first_events.MAX_OFFSET_SECONDS
