"""Tests of how long a node is silent before its record is removed."""

import pytest

from basilpost.members import lost_nodes


class Observer:
    """Observes nodes once a second; `heard` are those that can be heard."""

    def __init__(self, *node_ids):
        self.incarnations_by_id = dict.fromkeys(node_ids, "1")
        self.heard = set(node_ids)
        self.now = 100.0
        self.nodes = lost_nodes.LostNodes(is_heard=lambda node_id: node_id in self.heard)
        self.observe()

    def observe(self, *, after=0.0):
        self.now += after
        return self.nodes.observe(self.incarnations_by_id, self.incarnations_by_id, now=self.now)

    def seconds_until_lost(self, *, limit=100_000):
        """Returns the seconds until some node counts as lost, None if none does within the limit."""
        for seconds in range(limit):
            if self.observe(after=1.0):
                return seconds
        return None

    def remove_and_write_again(self, node_id):
        incarnation = self.incarnations_by_id.pop(node_id)
        self.nodes.record_removal(node_id)
        self.observe(after=1.0)
        self.incarnations_by_id[node_id] = incarnation


@pytest.fixture
def observer():
    return Observer("a", "b")


def test_the_record_of_a_lost_node_stays_for_good(observer):
    observer.heard.remove("a")
    assert observer.seconds_until_lost() == lost_nodes.LOST_SECONDS
    assert observer.observe() == ("a",)


def test_a_node_that_is_heard_again_is_removed(observer):
    observer.heard.remove("a")
    for _ in range(int(lost_nodes.LOST_SECONDS) - 1):
        assert not observer.observe(after=1.0)
    observer.heard.add("a")
    observer.observe(after=1.0)
    observer.heard.remove("a")
    assert observer.seconds_until_lost() == lost_nodes.LOST_SECONDS


def test_a_pause_of_this_process_counts_as_silence_of_the_others(observer):
    observer.heard.remove("a")
    observer.observe(after=1.0)
    assert not observer.observe(after=60.0)


def test_a_node_that_is_cut_off_removes_all_others(observer):
    observer.heard.clear()
    assert observer.seconds_until_lost(limit=600) is None
    observer.heard.add("b")
    assert observer.seconds_until_lost() == lost_nodes.LOST_SECONDS


def test_a_new_process_of_a_node_is_removed_for_the_silence_of_the_former_one(observer):
    observer.heard.remove("a")
    for _ in range(int(lost_nodes.LOST_SECONDS) - 1):
        observer.observe(after=1.0)
    observer.incarnations_by_id["a"] = "2"
    assert not observer.observe(after=1.0)


def test_two_nodes_without_a_path_write_and_remove_a_record_for_ever(observer):
    """A live node that this one does not reach writes its record each time that it is removed."""
    observer.heard.remove("a")
    intervals = []
    for _ in range(12):
        intervals.append(observer.seconds_until_lost())
        observer.remove_and_write_again("a")
    assert intervals[:4] == [9, 18, 36, 72]
    assert intervals[-1] == lost_nodes.MAX_LOST_SECONDS
    observer.incarnations_by_id["a"] = "2"
    assert observer.seconds_until_lost() == lost_nodes.LOST_SECONDS
