"""Detects targets whose streams have stalled, long before their VM entry expires.

A group that loses a member stops answering without closing its connections. A target that generates
streams sends an event of some stream every few tens of milliseconds, so a target all of whose streams
are silent has stalled. In a large fleet a node reads only one or two streams of a target, so events
that other nodes receive from it count as well.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from basilpost.core import clock

# A target all of whose streams are silent for this long gets no new requests. A full batch yields an
# event for each stream within 60 ms, and processing a long prompt takes 100 ms.
SUSPECT_SECONDS = 0.3
# A target silent for this long is stalled: its streams are resumed on other targets.
STALL_SECONDS = 0.5
# A target that has sent no event of any of its streams for this long after the first was sent to it is
# stalled.
FIRST_EVENT_SECONDS = 1.0
# How long a suspected target gets no new requests unless an event arrives from it. If the target is
# gone, its VM entry has expired by then.
SUSPECT_MEMORY_SECONDS = 4.0
# A single stream that has begun and is silent for this long, while its target sends events of others, is
# stalled: an engine advances all streams of its batch together.
SINGLE_STALL_SECONDS = 0.5
# The same for a stream without an event, although one that was sent to the target later has begun.
OVERTAKEN_SECONDS = 1.0
CHECK_SECONDS = 0.05
# After a longer gap between two checks this process was itself delayed, and the silence says nothing
# about the targets.
LATE_CHECK_SECONDS = 0.25


@dataclasses.dataclass(kw_only=True, eq=False)
class WatchedStream:
    """One stream that this node reads from a target.

    Times are on `clock.elapsed`.

    Attributes:
        target_id: Id of the target.
        on_stall: Called at each check that finds the target stalled; may close the stream's connection
            so that the stream is resumed on another target.
        count: Returns the number of events of the stream so far, over all its targets.
        last_count: Result of `count` at the last check.
        last_event_at: When the last event arrived; before the first event, when the watch started.
        began_at: When the watch started.
        has_begun: True once an event arrived from this target.
    """

    target_id: str
    on_stall: Callable[[], None]
    count: Callable[[], int]
    last_count: int
    last_event_at: float
    began_at: float
    has_begun: bool = False


class StallDetector:
    """Watches the streams that this node reads, and finds targets that have stalled.

    Attributes:
        active_elsewhere: Returns those of the given target ids from which other nodes received an
            event a moment ago.
        finds_single_streams: True to find single streams that have stalled at a target that sends
            events of others, as one does that hangs on a part of its requests.
    """

    def __init__(self) -> None:
        self.finds_single_streams = False
        self.active_elsewhere: Callable[[Iterable[str]], frozenset[str]] = lambda _: frozenset()
        self._watches_by_target: dict[str, set[WatchedStream]] = {}
        self._suspected_at: dict[str, float] = {}

    def watch(
        self, target_id: str, on_stall: Callable[[], None], count: Callable[[], int]
    ) -> WatchedStream:
        """Starts watching a stream that is about to be sent to a target."""
        watch = WatchedStream(
            target_id=target_id,
            on_stall=on_stall,
            count=count,
            last_count=count(),
            last_event_at=clock.elapsed(),
            began_at=clock.elapsed(),
        )
        self._watches_by_target.setdefault(target_id, set()).add(watch)
        return watch

    def unwatch(self, watch: WatchedStream) -> None:
        """Stops watching a stream."""
        watches = self._watches_by_target.get(watch.target_id, set())
        watches.discard(watch)
        if not watches:
            self._watches_by_target.pop(watch.target_id, None)

    def suspects(self) -> frozenset[str]:
        """Returns the ids of the targets that should get no new requests."""
        return frozenset(self._suspected_at)

    def forget_suspects(self) -> None:
        """Forgets which targets were suspected, when the silence is known to have another cause."""
        self._suspected_at.clear()

    def active_targets(self) -> frozenset[str]:
        """Returns the ids of the targets that sent an event within `SUSPECT_SECONDS`."""
        recent = clock.elapsed() - SUSPECT_SECONDS
        return frozenset(
            target_id
            for target_id, watches in self._watches_by_target.items()
            if any(watch.has_begun and watch.last_event_at > recent for watch in watches)
        )

    async def run(self) -> None:
        """Checks all targets periodically until cancelled."""
        checked_at = clock.elapsed()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            now = clock.elapsed()
            if now - checked_at > LATE_CHECK_SECONDS:
                self._restart_silence(now)
            checked_at = now
            self.check(now)

    def check(self, now: float) -> None:
        """Updates the suspects, and calls `on_stall` for each stream of a stalled target."""
        for target_id, watches in self._watches_by_target.items():
            if any([_record_new_events(watch, now) for watch in watches]):
                self._suspected_at.pop(target_id, None)
        active = self.active_elsewhere(self._watches_by_target)
        silence_by_target = {
            target_id: _silence_seconds(watches, now)
            for target_id, watches in self._watches_by_target.items()
            if target_id not in active
        }
        self._suspected_at = {
            target_id: suspected_at
            for target_id, suspected_at in self._suspected_at.items()
            if now - suspected_at < SUSPECT_MEMORY_SECONDS
        } | {
            target_id: now
            for target_id, silence_seconds in silence_by_target.items()
            if silence_seconds > SUSPECT_SECONDS
        }
        stalled = [
            watch
            for target_id, silence_seconds in silence_by_target.items()
            if silence_seconds > STALL_SECONDS
            for watch in self._watches_by_target[target_id]
        ]
        if self.finds_single_streams:
            stalled += self._single_stalled(now, active)
        for watch in stalled:
            watch.on_stall()

    def _single_stalled(self, now: float, active: frozenset[str]) -> list[WatchedStream]:
        """Returns the streams that have stalled although their target sends events of others."""
        return [
            watch
            for target_id, watches in self._watches_by_target.items()
            for watch in watches
            if _has_stalled_alone(watch, watches, now, is_active=target_id in active)
        ]

    def _restart_silence(self, now: float) -> None:
        for watches in self._watches_by_target.values():
            for watch in watches:
                watch.last_event_at = now


def _has_stalled_alone(
    watch: WatchedStream, watches: set[WatchedStream], now: float, *, is_active: bool
) -> bool:
    """Returns True if a stream is silent although its target sends events of other streams.

    Args:
        watch: The stream.
        watches: All streams that this node reads from the target.
        now: The current time on `clock.elapsed`.
        is_active: True if other nodes receive events from the target.
    """
    silence_seconds = now - watch.last_event_at
    others = [other for other in watches if other is not watch and other.has_begun]
    if watch.has_begun:
        hears_others = any(now - other.last_event_at < SUSPECT_SECONDS for other in others)
        return silence_seconds > SINGLE_STALL_SECONDS and (is_active or hears_others)
    overtaken = any(other.began_at > watch.began_at for other in others)
    return silence_seconds > OVERTAKEN_SECONDS and (is_active or overtaken)


def _record_new_events(watch: WatchedStream, now: float) -> bool:
    """Records events that arrived since the last check; returns True if there were any."""
    count = watch.count()
    if count == watch.last_count:
        return False
    watch.last_count, watch.last_event_at, watch.has_begun = count, now, True
    return True


def _silence_seconds(watches: set[WatchedStream], now: float) -> float:
    """Returns the seconds for which a target has been silent although it should send events.

    Streams without an event may wait in the target's queue. They count only if no stream of the target
    has begun, and then only the time beyond `FIRST_EVENT_SECONDS` counts, offset by `STALL_SECONDS` so
    that the target is stalled as soon as that time is over.
    """
    event_times = [watch.last_event_at for watch in watches if watch.has_begun]
    if event_times:
        return now - max(event_times)
    watched_since = min(watch.last_event_at for watch in watches)
    return max(0.0, STALL_SECONDS + now - watched_since - FIRST_EVENT_SECONDS)
