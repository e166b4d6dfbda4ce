"""Node processes of the soak test, which are started, signalled and killed."""

import asyncio
import os
import pathlib
import signal
import sys

from basilpost.core import codec
from basilpost.node import pool_demo
from basilpost.settings import pool_schema
from basilpost.soak import proxies

STARTED_EVENT = b'"event": "node_started"'
COMMAND = (sys.executable, "-m", "basilpost.node.pool_process")
# A node that was asked to stop exits within its grace time and a margin.
STOP_TIMEOUT_SECONDS = pool_demo.GRACE_SECONDS + 3.0


class NodeProcess:
    """One node process with the proxy between it and the store.

    Attributes:
        settings: Settings of the node.
        store_proxy: The proxy through which the node reaches the store.
        unexpected_exit_codes: Exit codes other than the allowed ones after a request to stop.
    """

    def __init__(self, *, node_id: str, store: str, folder: pathlib.Path) -> None:
        self.store_proxy = proxies.Proxy(target=store)
        self.unexpected_exit_codes: list[int] = []
        self._start_count = 0
        self._node_id = node_id
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._lifecycle_lock = asyncio.Lock()
        self.settings: pool_schema.PoolNodeSettings

    async def start(self) -> None:
        """Starts the proxy and the process."""
        await self.store_proxy.start()
        self.settings = pool_demo.node_settings(self._node_id, self.store_proxy.address)
        (self._folder / f"{self._node_id}.jsonc").write_bytes(codec.to_json(self.settings))
        await self._start_process()

    async def close(self) -> None:
        """Kills the process if it runs, and stops the proxy."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        await self.store_proxy.stop()

    async def kill(self, *, seconds: float) -> None:
        """Kills the process and starts it again after some seconds."""
        async with self._lifecycle_lock:
            self._signal(signal.SIGKILL)
            await self._wait()
            await asyncio.sleep(seconds)
            await self._start_process()

    async def stop(self) -> None:
        """Sends SIGTERM, waits until the process exits and starts it again at once."""
        async with self._lifecycle_lock:
            allowed = (0,) if self._has_started() else (0, -signal.SIGTERM)
            self._signal(signal.SIGTERM)
            code = await self._wait()
            if code not in allowed:
                self.unexpected_exit_codes.append(code)
            await self._start_process()

    async def pause(self, *, seconds: float) -> None:
        """Suspends the process for some seconds."""
        async with self._lifecycle_lock:
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Sends SIGHUP, on which the process reads its settings again."""
        self._signal(signal.SIGHUP)

    def _has_started(self) -> bool:
        """Returns True if the process has logged its start; until then SIGTERM may kill it."""
        log = (self._folder / f"{self._node_id}.log").read_bytes()
        return log.count(STARTED_EVENT) >= self._start_count

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def _wait(self) -> int:
        assert self._process is not None
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            return await self._process.wait()

    async def _start_process(self) -> None:
        self._start_count += 1
        path = self._folder / f"{self._node_id}.jsonc"
        with (self._folder / f"{self._node_id}.log").open("ab") as log:  # noqa: ASYNC230
            self._process = await asyncio.create_subprocess_exec(
                *COMMAND,
                env={**os.environ, "BASILPOST_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )
