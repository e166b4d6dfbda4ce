"""Tests of the items of a report that name targets without an entry in the store."""

from basilpost.core import hashing
from basilpost.members import path_states, unlisted_targets


def test_names_of_targets_are_taken_for_short_ids_or_entries_about_nodes():
    short_ids = frozenset(hashing.short_id(f"target-{number}") for number in range(2000))
    entries = path_states.entries_of("n1", lost_scopes=["desk"], has_path=True)
    named = unlisted_targets.encode(["large--1@5", "odd,name--2@6"])
    parts = path_states.split([*short_ids, *entries, *named])
    assert parts.target_ids == short_ids
    assert parts.entries == frozenset(entries)
    assert unlisted_targets.decode(parts.unlisted) == {"large--1@5", "odd,name--2@6"}


def test_hubs_drop_the_names_that_nodes_tell():
    named = unlisted_targets.encode(["large--1@5"])
    for told in ([], path_states.entries_of("n1", lost_scopes=[""], has_path=False)):
        assert set(named) <= set(path_states.for_fleet([*told, *named], hub="h"))


def test_the_names_fill_a_report_when_many_heads_lose_the_store():
    """At the target size there are some hundred groups, and reports are sent four times a second."""
    named = unlisted_targets.encode(f"large--{number}@5" for number in range(400))
    assert len(named) == unlisted_targets.MAX_NAMES
    combined = {f"{item}{hub}" for item in named for hub in range(3)}
    assert len(path_states.for_fleet(combined, hub="h")) == unlisted_targets.MAX_NAMES
