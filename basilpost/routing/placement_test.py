"""Tests of the choice of a target, under the loads that it answers."""

import collections
import random

from basilpost.routing import placement, targets


def candidate(name, in_flight=0, *, domain="a", slots=10, stalled=False, may_send=True):
    target = targets.Target(
        target_id=name,
        service="s",
        model="m",
        vm_id=name,
        address="",
        failure_domain=domain,
        slots=slots,
        pace=1.0,
        cold_until=0.0,
    )
    return placement.Candidate(
        target=target, in_flight=in_flight, stalled=stalled, may_send=may_send
    )


def chosen(*candidates, seed=1, stale=False):
    found = placement.choose_target(
        candidates, failure_domain="a", rng=random.Random(seed), stale=stale
    )
    return found.target_id if found else None


def test_the_least_loaded_target_is_taken():
    assert chosen(candidate("x", 5), candidate("y", 2), candidate("z", 8)) == "y"


def test_load_counts_in_shares_of_slots():
    assert chosen(candidate("x", 5, slots=5), candidate("y", 8, slots=20)) == "y"


def test_the_near_target_is_taken_unless_it_is_much_fuller():
    assert chosen(candidate("far", 2, domain="b"), candidate("near", 3)) == "near"
    assert chosen(candidate("far", 2, domain="b"), candidate("near", 8)) == "far"


def test_a_target_that_stands_still_is_the_last_choice():
    assert chosen(candidate("still", 0, stalled=True), candidate("full", 10)) == "full"
    assert chosen(candidate("still", 0, stalled=True)) == "still"


def test_targets_without_room_or_leave_are_not_taken():
    assert chosen(candidate("cold", may_send=False), candidate("full", 16)) is None


def test_a_burst_on_equal_targets_spreads():
    """Many nodes that see the same counts at once do not all take the same target."""
    equal = [candidate(str(number), 3) for number in range(8)]
    taken = collections.Counter(chosen(*equal, seed=seed) for seed in range(400))
    assert len(taken) == 8
    assert max(taken.values()) < 100


def test_many_nodes_with_old_counts_do_not_all_take_the_emptiest_target():
    """Thirty nodes place one request each before anyone hears of the others'."""
    seen = {"empty": 0, "half": 12, "fuller": 16, "full": 26}

    def most(stale):
        taken = collections.Counter(
            chosen(
                *(candidate(name, at, slots=24) for name, at in seen.items()),
                seed=seed,
                stale=stale,
            )
            for seed in range(30)
        )
        return max(taken[name] + at for name, at in seen.items())

    room = 24 * (1.0 + placement.QUEUE_SHARE)
    assert most(stale=False) > room
    assert most(stale=True) <= room


def test_old_counts_still_leave_out_what_stands_still_or_has_no_room():
    still, full, sound = (
        candidate("still", 0, stalled=True),
        candidate("full", 11),
        candidate("s", 9),
    )
    assert {chosen(still, full, sound, seed=seed, stale=True) for seed in range(50)} == {"s"}
    assert chosen(still, full, stale=True) == "still"
    assert chosen(full, stale=True) is None
