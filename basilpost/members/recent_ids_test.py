"""Tests of the memory of handled messages."""

from basilpost.members import recent_ids


def test_an_id_is_new_once_and_old_ones_are_forgotten():
    seen = recent_ids.RecentIds(max_ids=3)
    assert [seen.add(name) for name in "aabca"] == [True, False, True, True, False]
    assert seen.add("d")
    assert seen.add("a")
