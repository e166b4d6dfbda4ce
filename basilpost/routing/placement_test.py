"""Tests of placement: which target a request gets at given loads."""

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
    target = placement.choose_target(
        candidates, failure_domain="a", rng=random.Random(seed), stale=stale
    )
    return target.target_id if target else None


def test_the_least_loaded_target_is_chosen():
    assert chosen(candidate("x", 5), candidate("y", 2), candidate("z", 8)) == "y"


def test_load_is_compared_as_a_share_of_slots():
    assert chosen(candidate("x", 5, slots=5), candidate("y", 8, slots=20)) == "y"


def test_a_target_in_the_own_failure_domain_is_preferred_unless_it_is_much_fuller():
    assert chosen(candidate("far", 2, domain="b"), candidate("near", 3)) == "near"
    assert chosen(candidate("far", 2, domain="b"), candidate("near", 8)) == "far"


def test_a_stalled_target_is_the_last_choice():
    assert chosen(candidate("stalled", 0, stalled=True), candidate("full", 10)) == "full"
    assert chosen(candidate("stalled", 0, stalled=True)) == "stalled"


def test_targets_without_room_or_permission_to_send_are_not_chosen():
    assert chosen(candidate("cold", may_send=False), candidate("full", 16)) is None


def test_a_burst_spreads_over_equally_loaded_targets():
    """Nodes that see the same counts at the same time must not all choose the same target."""
    equal = [candidate(str(number), 3) for number in range(8)]
    taken = collections.Counter(chosen(*equal, seed=seed) for seed in range(400))
    assert len(taken) == 8
    assert max(taken.values()) < 100


def test_many_nodes_with_stale_counts_do_not_all_choose_the_emptiest_target():
    """Thirty nodes place one request each before any of them learns of the others' requests."""
    in_flight_by_name = {"empty": 0, "half": 12, "fuller": 16, "full": 26}

    def highest_load(stale):
        taken = collections.Counter(
            chosen(
                *(candidate(name, count, slots=24) for name, count in in_flight_by_name.items()),
                seed=seed,
                stale=stale,
            )
            for seed in range(30)
        )
        return max(taken[name] + count for name, count in in_flight_by_name.items())

    room = 24 * (1.0 + placement.QUEUE_SHARE)
    assert highest_load(stale=False) > room
    assert highest_load(stale=True) <= room


def test_stalled_and_full_targets_are_not_drawn_with_stale_counts():
    stalled, full, usable = (
        candidate("stalled", 0, stalled=True),
        candidate("full", 11),
        candidate("usable", 9),
    )
    assert {chosen(stalled, full, usable, seed=seed, stale=True) for seed in range(50)} == {
        "usable"
    }
    assert chosen(stalled, full, stale=True) == "stalled"
    assert chosen(full, stale=True) is None


def test_a_preferred_target_is_used_until_it_is_busy():
    assert placement.has_light_load(candidate("x", 6))
    assert not placement.has_light_load(candidate("x", 7))
    assert not placement.has_light_load(candidate("x", stalled=True))
    assert not placement.has_light_load(candidate("x", may_send=False))


def drawn(*candidates, arrivals=20.0, draws=600):
    rng = random.Random(3)
    return collections.Counter(
        placement.draw_target(
            candidates, failure_domain="a", expected_arrivals=arrivals, rng=rng
        ).target_id
        for _ in range(draws)
    )


def test_requests_stay_in_their_failure_domain_until_its_targets_are_half_full():
    near = [candidate("near-1", 2), candidate("near-2", 6)]
    counts = drawn(*near, candidate("far", 0, domain="b"))
    assert set(counts) == {"near-1", "near-2"}


def test_requests_go_to_other_failure_domains_when_the_own_targets_are_fuller():
    """Demand swings by domain; a peak in one is served by the others."""
    near = [candidate("near-1", 8), candidate("near-2", 7)]
    counts = drawn(*near, candidate("far-1", 1, domain="b"), candidate("far-2", 2, domain="c"))
    assert counts["far-1"] + counts["far-2"] > 400


def test_a_single_empty_target_of_the_own_domain_does_not_get_all_requests():
    near = [candidate("new", 0), *(candidate(f"near-{number}", 9) for number in range(3))]
    counts = drawn(*near, candidate("far", 4, domain="b"), arrivals=25.0)
    assert counts["new"] < 400


def test_stalled_and_full_targets_are_not_drawn_for_old_counts():
    counts = drawn(candidate("x", 1), candidate("y", 0, stalled=True), candidate("z", 11))
    assert set(counts) == {"x"}
    rng = random.Random(1)
    assert (
        placement.draw_target(
            [candidate("z", 11), candidate("w", may_send=False)],
            failure_domain="a",
            expected_arrivals=5.0,
            rng=rng,
        )
        is None
    )
