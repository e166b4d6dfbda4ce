"""Keeps references to background tasks, so that none is garbage-collected or fails unnoticed."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import structlog

# Time after which tasks that have not ended are cancelled again.
CANCEL_RETRY_SECONDS = 0.2
# Time after which a task that is to run until the end is started again after an error.
RESTART_SECONDS = 0.5


class TaskSet:
    """The running tasks of a service; logs those that fail and cancels the rest on close."""

    def __init__(self, *, log: Any = None) -> None:
        self._log = log or structlog.get_logger()
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None], *, name: str) -> asyncio.Task[None]:
        """Starts a task and returns it; the set holds it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def keep_running(self, run: Callable[[], Awaitable[None]], *, name: str) -> asyncio.Task[None]:
        """Starts a task that runs until it returns; after an error it is logged and started again.

        For tasks on which the node relies: whatever value another program sends, one error must not
        end them for good.
        """
        return self.spawn(self._run_until_done(run, name), name=name)

    async def _run_until_done(self, run: Callable[[], Awaitable[None]], name: str) -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:
                self._log.error("task_failed", task=name, exc_info=error)
            await asyncio.sleep(RESTART_SECONDS)

    async def close(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        # Some library calls swallow a cancellation that arrives together with their result, so the
        # cancellation is repeated until all tasks have ended.
        while tasks := [task for task in self._tasks if task is not asyncio.current_task()]:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=CANCEL_RETRY_SECONDS)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task_failed", task=task.get_name(), exc_info=task.exception())
