"""Tests of the entries that tell which nodes reach the runners."""

from basilpost.core import hashing
from basilpost.members import path_states


def entries(node_id, *lost, has_path=True):
    return path_states.entries_of(node_id, lost_scopes=lost, has_path=has_path)


def test_nodes_without_a_path_are_known_to_neighbours_only():
    told = [*entries("n1"), *entries("n2", path_states.ALL_RUNNERS, has_path=False)]
    states = path_states.read(told)
    assert states.confirms("n1") and not states.denies("n1", "desk")
    assert states.denies("n2", "desk") and not states.confirms("n2")
    assert not states.confirms("n3") and not states.denies("n3", "desk")


def test_a_node_that_lost_one_service_is_used_for_no_other():
    states = path_states.read(entries("n1", "desk"))
    assert states.denies("n1", "desk")
    assert states.confirms("n1") and not states.denies("n1", "model")


def test_entries_about_nodes_are_taken_for_targets():
    """No base85 text begins with the first characters of entries."""
    targets = frozenset(hashing.short_id(f"target-{number}") for number in range(2000))
    told = frozenset([*entries("n1"), *entries("n2", "desk"), *entries("n3", "", has_path=False)])
    parts = path_states.split(targets | told)
    assert parts == path_states.Split(target_ids=targets, entries=told)


def test_malformed_entries_of_a_peer_end_the_reading_of_reports():
    states = path_states.read([":", "::", ":a", ":a:b:c", "/", "//", "/a:b", ":\ud800:x", ""])
    assert states.lost == {
        path_states.Lost(node="", scope=""),
        path_states.Lost(node="\ud800", scope="x"),
    }


def test_a_calm_fleet_is_told_who_has_a_path():
    """Each report would name hundreds of nodes several times a second."""
    writing = ["target", *(entry for number in range(420) for entry in entries(f"n{number}"))]
    assert path_states.for_fleet(writing, hub="n0") == ("target",)


def test_hundreds_of_cut_off_nodes_fill_the_reports_or_all_ask_the_same_ones():
    lost = [
        entry
        for number in range(200)
        for entry in entries(f"n{number}", path_states.ALL_RUNNERS, has_path=False)
    ]
    with_path = [entry for number in range(200, 420) for entry in entries(f"n{number}")]
    told = [path_states.for_fleet([*lost, *with_path, "target"], hub=f"h{hub}") for hub in range(9)]
    for writing in told:
        states = path_states.read(path_states.split(writing).entries)
        assert "target" in writing
        assert len(states.lost) == len(states.with_path) == path_states.MAX_NAMED_NODES
    named = {node for writing in told for node in path_states.read(writing).with_path}
    assert len(named) > 180
