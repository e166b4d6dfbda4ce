"""Notices targets whose answers have stopped coming, long before their entry lapses.

A group whose member is lost stands still without a word. While a target writes streams, something
comes from it within tens of milliseconds; when all of them are silent, it has stopped.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from basilpost.core import clock

# All streams of a target silent for this long: several times the longest gap of a full batch.
STALL_SECONDS = 0.6
# A target that has not begun any of its streams is given this many times the wait of its oldest.
FIRST_EVENT_SECONDS = 1.2
CHECK_SECONDS = 0.1
# A check that comes later than this was held up itself, and says nothing about targets.
LATE_SECONDS = 0.35


@dataclasses.dataclass(kw_only=True, eq=False)
class Watch:
    """One stream that is read from a target.

    Attributes:
        target_id: The target.
        move: Called when the target stands still; may close the stream to go on elsewhere.
        at: When something last came, or when it was sent.
        begun: True once an event came.
    """

    target_id: str
    move: Callable[[], None]
    at: float
    begun: bool = False


class Activity:
    """The streams that this node reads, by target."""

    def __init__(self) -> None:
        self._watches_by_target: dict[str, set[Watch]] = {}
        self._stalled: frozenset[str] = frozenset()

    def watch(self, target_id: str, move: Callable[[], None]) -> Watch:
        """Begins to watch a stream."""
        watch = Watch(target_id=target_id, move=move, at=clock.elapsed())
        self._watches_by_target.setdefault(target_id, set()).add(watch)
        return watch

    def heard(self, watch: Watch) -> None:
        """Notes that an event came."""
        watch.at = clock.elapsed()
        watch.begun = True

    def ended(self, watch: Watch) -> None:
        """Ends watching a stream."""
        watches = self._watches_by_target.get(watch.target_id, set())
        watches.discard(watch)
        if not watches:
            self._watches_by_target.pop(watch.target_id, None)

    def stalled(self) -> frozenset[str]:
        """Returns the targets that stand still."""
        return self._stalled

    async def run(self) -> None:
        """Checks for as long as the gateway runs."""
        checked_at = clock.elapsed()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            now = clock.elapsed()
            if now - checked_at > LATE_SECONDS:
                self._forgive(now)
            checked_at = now
            self.check(now)

    def check(self, now: float) -> None:
        """Finds the targets that stand still, and lets their streams move."""
        self._stalled = frozenset(
            target_id
            for target_id, watches in self._watches_by_target.items()
            if _stands_still(watches, now)
        )
        moving = [
            watch for target_id in self._stalled for watch in self._watches_by_target[target_id]
        ]
        for watch in moving:
            watch.move()

    def _forgive(self, now: float) -> None:
        for watches in self._watches_by_target.values():
            for watch in watches:
                watch.at = now


def _stands_still(watches: set[Watch], now: float) -> bool:
    newest = max(watch.at for watch in watches)
    if any(watch.begun for watch in watches):
        return now - newest > STALL_SECONDS
    return now - min(watch.at for watch in watches) > FIRST_EVENT_SECONDS
