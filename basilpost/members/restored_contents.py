"""Holds back what a store that was restored from a copy may show from before.

The contents of the copy have later versions than what is known, and may be older all the same, until
the operator and the runners have written theirs again. Until then what is known stays in force.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from basilpost.core import clock, tasks
from basilpost.members import feed
from basilpost.store import objects

# Time in which the operator and the runners have written everything again.
REWRITE_SECONDS = 2.3


class RestoredContents:
    """The changes that are held back after a restore of the store."""

    def __init__(
        self,
        *,
        source: feed.Feed,
        log: Any,
        apply: Callable[[objects.Change], None],
    ) -> None:
        """Starts nothing.

        Args:
            source: Tells how current this node is, and has the listeners of changes.
            log: Structured log.
            apply: Called with each change that is still held back in the end.
        """
        self._feed = source
        self._log = log
        self._apply = apply
        self._tasks = tasks.TaskSet(log=log)
        # The latest restore, None once all is written again.
        self._restored_at: float | None = None
        self._written_keys: set[str] = set()
        self._held_by_key: dict[str, objects.Change] = {}

    async def close(self) -> None:
        """Stops waiting for what is written again."""
        await self._tasks.close()

    @property
    def is_settled(self) -> bool:
        """Returns False after a restore, until all is written again."""
        return self._restored_at is None

    def begin(self) -> None:
        """Begins to hold changes back; called at a restore."""
        self._restored_at = clock.elapsed()
        self._written_keys.clear()
        self._tasks.spawn(self._apply_held(self._restored_at), name="apply-held")

    def holds_back(self, change: objects.Change, *, is_older: bool) -> bool:
        """Returns True for a change that may only show the copy; it is applied later.

        After one version of an object, the next one was certainly written after the restore. That an
        object is missing may be told several times, as each listing of the copy shows it.
        """
        if self._restored_at is None:
            return False
        is_first = change.key not in self._written_keys
        if change.stored is not None:
            self._written_keys.add(change.key)
        self._held_by_key.pop(change.key, None)
        if is_first and is_older:
            self.hold(change)
        return is_first and is_older

    def hold(self, change: objects.Change) -> None:
        """Keeps a change to be applied later, unless a newer one of the object arrives."""
        if self._restored_at is None:
            self.begin()
        self._held_by_key[change.key] = change

    async def _apply_held(self, restored_at: float) -> None:
        await asyncio.sleep(REWRITE_SECONDS)
        # While the store is out of reach again, nothing that was written since is known.
        await self._feed.wait_until_current_since(restored_at + REWRITE_SECONDS)
        if self._restored_at != restored_at:
            # The store was restored once more.
            return
        self._restored_at = None
        held, self._held_by_key = self._held_by_key, {}
        if held:
            self._log.info("older_contents_applied", objects=len(held))
        for change in held.values():
            self._apply(change)
        self._feed.notify_listeners()
