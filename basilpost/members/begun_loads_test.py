"""Tests of the loads of weights that are known of all controllers."""

from basilpost.members import begun_loads, path_states

KEEP = begun_loads.KEEP_SECONDS


def known_by(*, source="b", started_at=0.0):
    return begun_loads.BegunLoads(source=source, started_at=started_at)


def test_a_successor_does_not_count_the_loads_of_the_controller_before_it():
    first, second = known_by(source="a"), known_by()
    first.begin(5, 100.0)
    first.begin(2, 101.0)
    for now in (101.0, 101.5):
        second.record(path_states.split(first.own_names(now)).loads, now)
    assert first.count(101.5) == second.count(101.5) == 7
    assert first.count(100.5 + KEEP) == 2
    assert second.count(101.5 + KEEP) == 0


def test_loads_of_others_are_told_as_own_ones_for_ever():
    first, second = known_by(source="a"), known_by()
    first.begin(5, 100.0)
    second.record(first.own_names(100.0), 100.0)
    assert second.own_names(100.0) == ()


def test_a_process_that_has_just_started_takes_what_it_was_not_told_for_nothing():
    young = known_by(started_at=100.0)
    assert young.count(100.0 + KEEP - 0.1) is None
    assert young.count(100.0 + KEEP) == 0


def test_malformed_names_of_a_peer_are_counted():
    known = known_by()
    known.record([".", "..", ".a.1.x", ".a.1.-3", ".a.1.", "", "²", ".a.1." + "9" * 5000], 100.0)
    assert known.count(100.0) == 0


def test_the_names_fill_a_report():
    busy = known_by(source="a")
    for number in range(200):
        busy.begin(1, 100.0 + number / 1000)
    assert len(busy.own_names(100.2)) == begun_loads.MAX_NAMES
    assert len(path_states.for_fleet(busy.own_names(100.2), hub="h")) <= begun_loads.MAX_NAMES
