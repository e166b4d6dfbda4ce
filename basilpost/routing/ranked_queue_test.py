"""Tests of the order of waiting requests."""

import hypothesis
from hypothesis import strategies

from basilpost.routing import ranked_queue


def place(item, *, rank=1, workspace="w"):
    return ranked_queue.Place(rank=rank, workspace=workspace, item=item)


def queue_of(*places):
    queue = ranked_queue.RankedQueue()
    for one in places:
        queue.push(one)
    return queue


def drain(queue):
    served = []
    while (head := queue.head()) is not None:
        queue.serve(head)
        served.append(head.item)
    return served


def test_the_most_urgent_rank_is_served_first_and_each_workspace_in_order_of_arrival():
    queue = queue_of(place(1, rank=2), place(2, rank=0), place(3, rank=0), place(4, rank=1))
    assert drain(queue) == [2, 3, 4, 1]


def test_a_workspace_with_many_requests_does_not_keep_others_waiting():
    large = [place(number, workspace="large") for number in range(5)]
    queue = queue_of(*large, place("a", workspace="a"), place("b", workspace="b"))
    assert drain(queue) == [0, "a", "b", 1, 2, 3, 4]


def test_what_is_given_up_first_is_the_newest_of_the_workspace_with_most_in_the_last_rank():
    queue = queue_of(
        place(1, rank=0), place(2, rank=3, workspace="a"), place(3, rank=3), place(4, rank=3)
    )
    assert queue.last().item == 4
    queue.remove(queue.last())
    assert [one.item for one in queue] == [1, 2, 3]


arrivals = strategies.lists(
    strategies.tuples(strategies.integers(0, 3), strategies.sampled_from("abc")), max_size=40
)


@hypothesis.given(arrivals=arrivals, removed=strategies.sets(strategies.integers(0, 39)))
def test_each_request_is_served_once_or_removed_and_ranks_are_kept(arrivals, removed):
    places = [
        place(number, rank=rank, workspace=workspace)
        for number, (rank, workspace) in enumerate(arrivals)
    ]
    queue = queue_of(*places)
    for number in removed & set(range(len(places))):
        queue.remove(places[number])
        queue.remove(places[number])
    kept = [one for one in places if one.item not in removed]
    assert len(queue) == len(kept)
    served = drain(queue)
    assert sorted(served) == [one.item for one in kept]
    ranks = [places[item].rank for item in served]
    assert ranks == sorted(ranks)
    assert queue.head() is None and queue.last() is None and len(queue) == 0
