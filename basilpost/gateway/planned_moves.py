"""Moves streams from groups that are closed because a member leaves.

The head of such a group finishes the requests that it has, and the group cannot be replaced before.
So each node moves those of its streams that may be resumed and that another group has room for. All
others end at the old head. A stream is counted at its next target before its connection is closed, so
that several streams do not count on the same free slot.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from basilpost.gateway import answer_sinks, attempts
from basilpost.members import loads as loads_
from basilpost.routing import targets as targets_

# Interval between two moves from the same group. The nodes tell each other of their requests in flight
# each 0.15 s; in that time each of them moves a few streams at most.
MOVE_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True, eq=False)
class WatchedStream:
    """One stream that this node reads from a target.

    Attributes:
        target_id: Id of the target.
        progress: The attempts of the request.
        sink: Receives the events.
        spend_retry: Spends a retry and returns True if the stream may move; None for a stream that
            this node sends for another one, which alone knows the retries that are left.
    """

    target_id: str
    progress: attempts.Progress
    sink: answer_sinks.StreamSink
    spend_retry: Callable[[], bool] | None


class PlannedMoves:
    """Moves streams of this node from groups that are closed as planned, one after another.

    Args:
        closing: Returns the ids of the groups that are closed because a member leaves.
        choose: Returns a target with a free slot for a request that was not tried for it, or None.
        loads: Counts the requests in flight.
    """

    def __init__(
        self,
        *,
        closing: Callable[[], frozenset[str]],
        choose: Callable[[attempts.Progress], targets_.Target | None],
        loads: loads_.Loads,
        log: Any,
    ) -> None:
        self._closing = closing
        self._choose = choose
        self._loads = loads
        self._log = log
        self._watches_by_target: dict[str, set[WatchedStream]] = {}
        self._logged: frozenset[str] = frozenset()

    def watch(
        self,
        target_id: str,
        progress: attempts.Progress,
        sink: answer_sinks.StreamSink,
        spend_retry: Callable[[], bool] | None,
    ) -> WatchedStream:
        """Starts following a stream that is about to be sent to a target."""
        watch = WatchedStream(
            target_id=target_id, progress=progress, sink=sink, spend_retry=spend_retry
        )
        self._watches_by_target.setdefault(target_id, set()).add(watch)
        return watch

    def unwatch(self, watch: WatchedStream) -> None:
        """Stops following a stream."""
        watches = self._watches_by_target.get(watch.target_id, set())
        watches.discard(watch)
        if not watches:
            self._watches_by_target.pop(watch.target_id, None)

    def take_reserved(self, progress: attempts.Progress) -> targets_.Target | None:
        """Returns the target to which a stream moves, and ends the reservation there."""
        target, progress.reserved_target = progress.reserved_target, None
        if target is not None:
            self._loads.request_ended(target.target_id)
        return target

    async def run(self) -> None:
        """Moves streams periodically until cancelled."""
        while True:
            await asyncio.sleep(MOVE_SECONDS)
            self.check()

    def check(self) -> None:
        """Moves one stream of each group that is closed, if one may move."""
        closing = self._closing()
        for target_id in closing & self._watches_by_target.keys():
            watches = self._watches_by_target[target_id]
            if target_id not in self._logged:
                self._log_closing(target_id, watches)
            any(self._move(watch) for watch in watches)
        self._logged = closing

    def _log_closing(self, target_id: str, watches: set[WatchedStream]) -> None:
        requests = sorted(watch.progress.admitted.call.request_id for watch in watches)
        self._log.info("target_closing", target=target_id, requests=requests)

    def _move(self, watch: WatchedStream) -> bool:
        """Reserves a place at another target and closes the connection, if the stream may move."""
        progress, sink = watch.progress, watch.sink
        if watch.spend_retry is None or sink.channel is None or sink.abandoned:
            return False
        if not progress.has_attempts_left:
            return False
        target = self._choose(progress)
        if target is None or not watch.spend_retry():
            return False
        self._loads.request_started(target.target_id)
        progress.reserved_target = target
        sink.abandoned = True
        sink.close_channel()
        self._log.info(
            "stream_moved",
            request=progress.admitted.call.request_id,
            target=watch.target_id,
            to=target.target_id,
        )
        return True
