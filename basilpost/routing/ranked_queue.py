"""The order in which requests wait for room at the targets of one model.

Load pattern: all targets are full for a moment, and requests of several ranks and workspaces wait.
Room goes to the most urgent rank first. Within a rank the workspaces take turns, so that one with many
requests does not keep the others waiting; within a workspace the first to arrive is first.
"""

import collections
import dataclasses
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place(Generic[T]):
    """A place in the queue.

    Attributes:
        rank: Rank of the request, 0 is first.
        workspace: Its workspace, empty for anonymous callers.
        item: What waits.
    """

    rank: int
    workspace: str
    item: T


class RankedQueue(Generic[T]):
    """Places by rank, and within a rank by workspaces in turn."""

    def __init__(self) -> None:
        # Workspaces of a rank in the order of their turns.
        self._turns_by_rank: dict[int, collections.OrderedDict[str, collections.deque[Place[T]]]]
        self._turns_by_rank = {}

    def __len__(self) -> int:
        """Returns the number of places."""
        return sum(1 for _ in self)

    def __iter__(self) -> Iterator[Place[T]]:
        """Iterates over the places, rank by rank."""
        for rank in sorted(self._turns_by_rank):
            for places in self._turns_by_rank[rank].values():
                yield from places

    def push(self, place: Place[T]) -> None:
        """Adds a place at the end of its workspace's; a new workspace has the last turn."""
        turns = self._turns_by_rank.setdefault(place.rank, collections.OrderedDict())
        turns.setdefault(place.workspace, collections.deque()).append(place)

    def head(self) -> Place[T] | None:
        """Returns the place that gets the next room, None if nothing waits."""
        if not self._turns_by_rank:
            return None
        turns = self._turns_by_rank[min(self._turns_by_rank)]
        return next(iter(turns.values()))[0]

    def last(self) -> Place[T] | None:
        """Returns the place to give up first: the newest of the workspace with most, in the last rank."""
        if not self._turns_by_rank:
            return None
        turns = self._turns_by_rank[max(self._turns_by_rank)]
        return max(turns.values(), key=len)[-1]

    def serve(self, place: Place[T]) -> None:
        """Removes a place that got room; its workspace has the last turn now."""
        self.remove(place)
        turns = self._turns_by_rank.get(place.rank, collections.OrderedDict())
        if place.workspace in turns:
            turns.move_to_end(place.workspace)

    def remove(self, place: Place[T]) -> None:
        """Removes a place; does nothing if it was removed before."""
        turns = self._turns_by_rank.get(place.rank, collections.OrderedDict())
        places = turns.get(place.workspace, collections.deque())
        if place not in places:
            return
        places.remove(place)
        if not places:
            del turns[place.workspace]
        if not turns:
            del self._turns_by_rank[place.rank]
