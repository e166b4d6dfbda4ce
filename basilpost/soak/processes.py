"""Nodes of the soak: processes that are started, signalled and ended by their ids."""

import asyncio
import os
import pathlib
import signal
import sys

from basilpost.core import codec
from basilpost.node import pool_demo
from basilpost.settings import pool_schema
from basilpost.soak import proxies

STARTED = b'"event": "node_started"'
PROGRAM = (sys.executable, "-m", "basilpost.node.pool_process")
# A node that was asked to stop is gone after its grace time and a little more.
STOP_SECONDS = pool_demo.GRACE_SECONDS + 3.0


class NodeProcess:
    """One node with its way to the store.

    Attributes:
        settings: Its settings.
        way: The proxy between it and the store.
        wrong_ends: Exit codes after it was asked to stop that it should not have ended with.
    """

    def __init__(self, *, node_id: str, store: str, folder: pathlib.Path) -> None:
        self.way = proxies.Proxy(target=store)
        self.wrong_ends: list[int] = []
        self._starts = 0
        self._node_id = node_id
        self._folder = folder
        self._child: asyncio.subprocess.Process | None = None
        self._busy = asyncio.Lock()
        self.settings: pool_schema.PoolNodeSettings

    async def start(self) -> None:
        """Starts the proxy and the process."""
        await self.way.start()
        self.settings = pool_demo.node_settings(self._node_id, self.way.address)
        (self._folder / f"{self._node_id}.jsonc").write_bytes(codec.to_json(self.settings))
        await self._spawn()

    async def end(self) -> None:
        """Ends the process, whatever state it is in."""
        if self._child is not None and self._child.returncode is None:
            self._child.kill()
            await self._child.wait()
        await self.way.stop()

    async def kill(self, *, seconds: float) -> None:
        """Kills the process and starts it again after some seconds."""
        async with self._busy:
            self._signal(signal.SIGKILL)
            await self._wait()
            await asyncio.sleep(seconds)
            await self._spawn()

    async def stop(self) -> None:
        """Asks the process to stop and starts it again at once."""
        async with self._busy:
            allowed = (0,) if self._has_started() else (0, -signal.SIGTERM)
            self._signal(signal.SIGTERM)
            code = await self._wait()
            if code not in allowed:
                self.wrong_ends.append(code)
            await self._spawn()

    async def pause(self, *, seconds: float) -> None:
        """Stops the process in its tracks for some seconds."""
        async with self._busy:
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Tells the process that its settings may have changed."""
        self._signal(signal.SIGHUP)

    def _has_started(self) -> bool:
        """Returns True once the process says so; before that a signal just ends it."""
        log = (self._folder / f"{self._node_id}.log").read_bytes()
        return log.count(STARTED) >= self._starts

    def _signal(self, number: signal.Signals) -> None:
        if self._child is not None and self._child.returncode is None:
            self._child.send_signal(number)

    async def _wait(self) -> int:
        assert self._child is not None
        async with asyncio.timeout(STOP_SECONDS):
            return await self._child.wait()

    async def _spawn(self) -> None:
        self._starts += 1
        path = self._folder / f"{self._node_id}.jsonc"
        with (self._folder / f"{self._node_id}.log").open("ab") as log:  # noqa: ASYNC230
            self._child = await asyncio.create_subprocess_exec(
                *PROGRAM,
                env={**os.environ, "BASILPOST_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )
