"""Moves streams from groups that are closed because a member leaves.

The head of such a group finishes the requests that it has, and the group cannot be replaced before.
So each node moves those of its streams that may be resumed and that another group has room for. All
others end at the old head, also those that no other group takes when they are handed over.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from basilpost.gateway import answer_sinks, attempts, handovers
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
        send: Sends the request to another target.
        spend_retry: Spends a retry and returns True if the stream may move; None for a stream that
            this node sends for another one, which alone knows the retries that are left.
    """

    target_id: str
    progress: attempts.Progress
    sink: answer_sinks.StreamSink
    send: handovers.Send
    spend_retry: Callable[[], bool] | None


class PlannedMoves:
    """Moves streams of this node from groups that are closed as planned, one after another.

    Args:
        closing: Returns the ids of the groups that are closed because a member leaves.
        choose: Returns a target with a free slot for a request that was not tried for it, or None.
        node_handovers: Hands the streams over.
        log: The node's log.
    """

    def __init__(
        self,
        *,
        closing: Callable[[], frozenset[str]],
        choose: Callable[[attempts.Progress], targets_.Target | None],
        node_handovers: handovers.Handovers,
        log: Any,
    ) -> None:
        self._closing = closing
        self._choose = choose
        self._handovers = node_handovers
        self._log = log
        self._watches_by_target: dict[str, set[WatchedStream]] = {}
        self._logged: frozenset[str] = frozenset()

    def watch(
        self,
        target_id: str,
        progress: attempts.Progress,
        sink: answer_sinks.StreamSink,
        *,
        send: handovers.Send,
        spend_retry: Callable[[], bool] | None,
    ) -> WatchedStream:
        """Starts following a stream that is about to be sent to a target."""
        watch = WatchedStream(
            target_id=target_id, progress=progress, sink=sink, send=send, spend_retry=spend_retry
        )
        self._watches_by_target.setdefault(target_id, set()).add(watch)
        return watch

    def unwatch(self, watch: WatchedStream) -> None:
        """Stops following a stream."""
        watches = self._watches_by_target.get(watch.target_id, set())
        watches.discard(watch)
        if not watches:
            self._watches_by_target.pop(watch.target_id, None)

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
        """Begins to hand a stream over to another target, if it may move and one has room for it."""
        progress, sink = watch.progress, watch.sink
        if watch.spend_retry is None or not self._handovers.may_start(progress, sink):
            return False
        if not progress.has_attempts_left:
            return False
        target = self._choose(handovers.without_declined(progress))
        if target is None or not watch.spend_retry():
            return False
        self._handovers.start(progress, sink, target, watch.send, is_planned=True)
        return True
