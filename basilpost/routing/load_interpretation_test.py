"""Tests of placement on old counts; without it all nodes send to the target that seems emptiest."""

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from basilpost.routing import load_interpretation

counts = strategies.lists(strategies.floats(min_value=0.0, max_value=50.0), min_size=1, max_size=30)


@hypothesis.given(in_flight=counts, arrivals=strategies.floats(min_value=0.0, max_value=500.0))
def test_arrivals_bring_the_emptiest_targets_to_a_common_level(in_flight, arrivals):
    shares = load_interpretation.arrival_shares(in_flight, arrivals)
    assert sum(shares) == pytest.approx(1.0)
    arrivals = max(1.0, arrivals)
    after = [count + share * arrivals for count, share in zip(in_flight, shares, strict=True)]
    level = max(after[i] for i, share in enumerate(shares) if share > 0.0)
    for count, share, filled in zip(in_flight, shares, after, strict=True):
        assert share >= 0.0
        assert filled == pytest.approx(level, abs=1e-6) if share > 1e-9 else count >= level - 1e-6


def test_few_arrivals_go_to_the_emptiest_target_and_many_to_all():
    assert load_interpretation.arrival_shares([5.0, 0.0, 5.0], 1.0) == [0.0, 1.0, 0.0]
    shares = load_interpretation.arrival_shares([5.0, 0.0, 5.0], 1000.0)
    assert max(shares) - min(shares) < 0.01


def share_beyond_slots(choose, *, nodes=60, targets=8, slots=17, seconds=20, old_seconds=0.5):
    """Returns the share of requests for which the target has no slot left.

    All nodes see counts of some time ago. Each sends 1.5 requests a second, which last a second, so
    that two thirds of the slots are in use on average.
    """
    rng = random.Random(1)
    arrivals = sorted(rng.uniform(0.0, seconds) for _ in range(int(nodes * 1.5 * seconds)))
    ends = [[] for _ in range(targets)]
    beyond = 0
    for period, batch in itertools.groupby(arrivals, key=lambda at: int(at / old_seconds)):
        seen = [
            float(sum(end > period * old_seconds for end in target_ends)) for target_ends in ends
        ]
        for at in batch:
            chosen = choose(seen, rng)
            beyond += sum(end > at for end in ends[chosen]) >= slots
            ends[chosen].append(at + 1.0)
    return beyond / len(arrivals)


def test_nodes_with_old_counts_do_not_all_send_to_the_same_target():
    """95 of 100 callers are to get their first event in time, so at most 5 may find no slot."""
    expected = 60 * 1.5 * 0.5

    def best_of_two(seen, rng):
        room = [max(0.1, 17 * 1.1 - count) for count in seen]
        drawn = rng.choices(range(len(seen)), weights=room, k=2)
        return min(drawn, key=lambda index: seen[index])

    herd = share_beyond_slots(best_of_two)
    spread = share_beyond_slots(lambda seen, rng: load_interpretation.draw(seen, expected, rng))
    assert spread <= 0.05 < herd
