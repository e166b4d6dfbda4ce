"""Follows the streams of this node at groups that are closed because a member leaves."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

# Interval at which the groups are looked at.
CHECK_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True, eq=False)
class WatchedStream:
    """One stream that this node reads from a target."""

    target_id: str
    request_id: str


class PlannedMoves:
    """Finds the streams of this node whose group is closed as planned.

    Args:
        closing: Returns the ids of the groups that are closed because a member leaves.
    """

    def __init__(self, *, closing: Callable[[], frozenset[str]], log: Any) -> None:
        self._closing = closing
        self._log = log
        self._watches_by_target: dict[str, set[WatchedStream]] = {}
        self._logged: frozenset[str] = frozenset()

    def watch(self, target_id: str, request_id: str) -> WatchedStream:
        """Starts following a stream that is about to be sent to a target."""
        watch = WatchedStream(target_id=target_id, request_id=request_id)
        self._watches_by_target.setdefault(target_id, set()).add(watch)
        return watch

    def unwatch(self, watch: WatchedStream) -> None:
        """Stops following a stream."""
        watches = self._watches_by_target.get(watch.target_id, set())
        watches.discard(watch)
        if not watches:
            self._watches_by_target.pop(watch.target_id, None)

    async def run(self) -> None:
        """Checks the groups periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.check()

    def check(self) -> None:
        """Logs the streams at groups that are closed since the last check."""
        closing = self._closing()
        for target_id in closing - self._logged:
            if target_id in self._watches_by_target:
                self._log.info(
                    "target_closing",
                    target=target_id,
                    requests=sorted(
                        watch.request_id for watch in self._watches_by_target[target_id]
                    ),
                )
        self._logged = closing
