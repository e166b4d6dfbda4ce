"""Notices targets whose answers have stopped coming, long before their entry lapses.

A group whose member is lost stands still without a word. While a target writes streams, something
comes from it within tens of milliseconds; when all of them are silent, it has stopped. In a large
fleet a node reads only one or two of them, so that what the other nodes get counts too.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from basilpost.core import clock

# All streams of a target silent for this long: it gets no new work. A full batch writes an event of
# each stream within 60 ms, and reads a long prompt in 100 ms.
SUSPECT_SECONDS = 0.3
# Silent for this long: its streams go on elsewhere.
STALL_SECONDS = 0.5
# A target that has begun none of its streams after this time stands still.
FIRST_EVENT_SECONDS = 1.0
# A target that stood still gets no new work for this long, unless something comes from it; by then
# its entry has lapsed if it is gone.
MEMORY_SECONDS = 4.0
CHECK_SECONDS = 0.05
# A check that comes later than this was held up itself, and says nothing about targets.
LATE_SECONDS = 0.25


@dataclasses.dataclass(kw_only=True, eq=False)
class Watch:
    """One stream that is read from a target.

    Attributes:
        target_id: The target.
        move: Called when the target stands still; may close the stream to go on elsewhere.
        count: Returns the number of events of the stream so far, over all its targets.
        counted: That number at the last check.
        at: When an event last came, or when the stream was sent.
        begun: True once an event came from this target.
    """

    target_id: str
    move: Callable[[], None]
    count: Callable[[], int]
    counted: int
    at: float
    begun: bool = False


class Activity:
    """The streams that this node reads, by target.

    Attributes:
        written_elsewhere: Returns the targets from which other nodes just got something.
    """

    def __init__(self) -> None:
        self.written_elsewhere: Callable[[], frozenset[str]] = frozenset
        self._watches_by_target: dict[str, set[Watch]] = {}
        self._suspected_at: dict[str, float] = {}

    def watch(self, target_id: str, move: Callable[[], None], count: Callable[[], int]) -> Watch:
        """Begins to watch a stream."""
        watch = Watch(
            target_id=target_id, move=move, count=count, counted=count(), at=clock.elapsed()
        )
        self._watches_by_target.setdefault(target_id, set()).add(watch)
        return watch

    def ended(self, watch: Watch) -> None:
        """Ends watching a stream."""
        watches = self._watches_by_target.get(watch.target_id, set())
        watches.discard(watch)
        if not watches:
            self._watches_by_target.pop(watch.target_id, None)

    def suspects(self) -> frozenset[str]:
        """Returns the targets that should get no new work."""
        return frozenset(self._suspected_at)

    def writing(self) -> frozenset[str]:
        """Returns the targets from which an event came a moment ago."""
        recent = clock.elapsed() - SUSPECT_SECONDS
        return frozenset(
            target_id
            for target_id, watches in self._watches_by_target.items()
            if any(watch.begun and watch.at > recent for watch in watches)
        )

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
        for target_id, watches in self._watches_by_target.items():
            if any([_has_news(watch, now) for watch in watches]):
                self._suspected_at.pop(target_id, None)
        alive = self.written_elsewhere()
        silence_by_target = {
            target_id: _silence(watches, now)
            for target_id, watches in self._watches_by_target.items()
            if target_id not in alive
        }
        self._suspected_at = {
            target_id: at
            for target_id, at in self._suspected_at.items()
            if now - at < MEMORY_SECONDS
        } | {
            target_id: now
            for target_id, silence in silence_by_target.items()
            if silence > SUSPECT_SECONDS
        }
        moving = [
            watch
            for target_id, silence in silence_by_target.items()
            if silence > STALL_SECONDS
            for watch in self._watches_by_target[target_id]
        ]
        for watch in moving:
            watch.move()

    def _forgive(self, now: float) -> None:
        for watches in self._watches_by_target.values():
            for watch in watches:
                watch.at = now


def _has_news(watch: Watch, now: float) -> bool:
    """Returns True, and notes it, if events came since the last check."""
    count = watch.count()
    if count == watch.counted:
        return False
    watch.counted, watch.at, watch.begun = count, now, True
    return True


def _silence(watches: set[Watch], now: float) -> float:
    """Returns the seconds for which a target has been silent although it should not.

    Streams that have not begun wait in its queue; they only count if none has begun for long.
    """
    begun = [watch.at for watch in watches if watch.begun]
    if begun:
        return now - max(begun)
    oldest = min(watch.at for watch in watches)
    return max(0.0, STALL_SECONDS + now - oldest - FIRST_EVENT_SECONDS)
