"""Tests of the search for what crashed targets."""

import itertools

import hypothesis
from hypothesis import strategies

from basilpost.routing import crash_evidence

SHARED = "shared"
BAD = crash_evidence.Trait(kind="part", value="bad")
SPACED = crash_evidence.SEPARATE_SECONDS * 1.1
_numbers = itertools.count()


def lost(*parts, fingerprint=None):
    fingerprint = fingerprint or f"r{next(_numbers)}"
    return crash_evidence.LostRequest(fingerprint=fingerprint, parts=parts)


def crash(at, *requests):
    return crash_evidence.Crash(
        target_id=f"t{next(_numbers)}",
        at=at,
        requests={request.fingerprint: request for request in requests},
    )


def causes(crashes, answered_at=None, known=()):
    answered_at = answered_at or {}
    evidence = crash_evidence.gather(crashes, answered_at, known)
    return {found.trait for found in crash_evidence.find_causes(evidence, answered_at)}


def part(value):
    return crash_evidence.Trait(kind="part", value=value)


def test_a_part_of_different_requests_under_which_targets_crash_is_found():
    crashes = [crash(n * SPACED, lost(SHARED, "bad"), lost(SHARED, f"s{n}")) for n in range(3)]
    assert causes(crashes, {part(SHARED): 0.5}) == {BAD}


def test_parts_that_sound_requests_share_are_not_accused_while_they_are_answered():
    crashes = [crash(n * SPACED, lost(SHARED, "bad"), lost(SHARED, "hot")) for n in range(9)]
    answered_at = {part(SHARED): 9 * SPACED, part("hot"): 9 * SPACED}
    assert causes(crashes, answered_at) == {BAD}
    assert causes(crashes, answered_at, known={BAD}) == set()


def test_targets_that_are_lost_together_accuse_nobody():
    crashes = [crash(0.01 * n, lost("rare"), lost("rare", "b"), lost("c")) for n in range(20)]
    assert causes(crashes) == set()


def test_a_repeated_request_is_found_by_its_fingerprint():
    crashes = [crash(n * SPACED, lost("p", fingerprint="same"), lost(f"s{n}")) for n in range(3)]
    assert causes(crashes) == {crash_evidence.Trait(kind="request", value="same")}


def test_several_parts_at_once_are_found():
    known = set()
    crashes = []
    for number in range(24):
        bad = f"bad{number % 3}"
        crashes.append(crash(number * SPACED, lost(SHARED, bad), lost(SHARED, f"s{number}")))
        known |= causes(crashes, {part(SHARED): number * SPACED}, known)
    assert known == {part(f"bad{n}") for n in range(3)}


def test_equal_evidence_is_not_decided_before_the_fifth_crash():
    crashes = [crash(n * SPACED, lost("bad"), lost("bystander")) for n in range(4)]
    assert causes(crashes) == set()
    # One crash without the bystander decides.
    assert causes([*crashes, crash(4 * SPACED, lost("bad"))]) == {BAD}


def test_a_part_that_was_answered_long_ago_takes_more_crashes():
    answered_at = {BAD: 0.0}
    crashes = [
        crash(10.0 + n * SPACED, lost("bad"), lost(f"s{n}"))
        for n in range(crash_evidence.MIN_CRASHES_IN_DOUBT)
    ]
    assert causes(crashes[:-1], answered_at) == set()
    assert causes(crashes, answered_at) == {BAD}


@hypothesis.given(
    strategies.lists(
        strategies.lists(strategies.sampled_from(["a", "b", "c", "d"]), max_size=5),
        min_size=1,
        max_size=12,
    )
)
def test_a_part_that_was_answered_after_all_crashes_is_never_accused(parts_by_crash):
    crashes = [
        crash(n * SPACED, *(lost(name) for name in names)) for n, names in enumerate(parts_by_crash)
    ]
    answered_at = {part(name): 100.0 for name in "abcd"}
    assert not {trait for trait in causes(crashes, answered_at) if trait.kind == "part"}
