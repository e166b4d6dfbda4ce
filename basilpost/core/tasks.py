"""Owns the background tasks of a service, so that none is lost or fails unseen."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

CANCEL_AGAIN_SECONDS = 0.2


class TaskSet:
    """Keeps running tasks, logs those that fail and cancels the rest on close."""

    def __init__(self, *, log: Any = None) -> None:
        self._log = log or structlog.get_logger()
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None], *, name: str) -> asyncio.Task[None]:
        """Starts a task and returns it; the set keeps it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def close(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        # Some library calls swallow a cancellation that meets their result, so ask until all end.
        while tasks := [task for task in self._tasks if task is not asyncio.current_task()]:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=CANCEL_AGAIN_SECONDS)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task_failed", task=task.get_name(), exc_info=task.exception())
