"""Node processes of the soak test, which are started, signalled and killed."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import re
import signal
import sys
from collections.abc import AsyncIterator

from basilpost.core import clock, codec
from basilpost.node import pool_demo
from basilpost.settings import pool_schema
from basilpost.soak import checks, proxies

STARTED_EVENT = b'"event": "node_started"'
COMMAND = (sys.executable, "-m", "basilpost.node.pool_process")
# Busy processes end by themselves, in case that the run is killed.
_BUSY_PROGRAM = "import time\nend = time.monotonic() + 300\nwhile time.monotonic() < end: pass"
_REQUEST_PATTERN = re.compile(rb'"request": "([^"]+)"')


class NodeProcess:
    """One node process with the proxy between it and the store.

    Attributes:
        settings: Settings of the node.
        store_proxy: The proxy through which the node reaches the store.
        stops: The planned stops of the process.
        killed_at: When it was killed, in seconds of `clock.elapsed`.
        own_ends: A line for each end of the process that no signal of the run explains.
    """

    def __init__(
        self,
        *,
        node_id: str,
        store: str,
        folder: pathlib.Path,
        grace_seconds: float,
        stop_seconds: float,
        contracts: tuple[str, ...] = (),
    ) -> None:
        self.store_proxy = proxies.Proxy(target=store)
        self.stops: list[checks.Stop] = []
        self._grace_seconds = grace_seconds
        self._stop_seconds = stop_seconds
        self._contracts = contracts
        self.killed_at: list[float] = []
        self.own_ends: list[str] = []
        self._is_stopping = False
        self._log_bytes_before = 0
        self._node_id = node_id
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._lifecycle_lock = asyncio.Lock()
        self._log_path = folder / f"{node_id}.log"
        self.settings: pool_schema.PoolNodeSettings

    async def start(self) -> None:
        """Starts the proxy and the process."""
        await self.store_proxy.start()
        self.settings = pool_demo.node_settings(
            self._node_id, self.store_proxy.address, grace_seconds=self._grace_seconds
        )
        # The proxies of the runners tell by its address which node opens a connection.
        self.settings = dataclasses.replace(
            self.settings, source_host=self.settings.host, contracts=self._contracts
        )
        self._write_settings()
        # A former run in the same folder had requests of the same names.
        self._log_path.write_bytes(b"")
        await self._start_process()
        # From now on, the system has started before.
        self.settings = dataclasses.replace(self.settings, first_start=False)

    def _write_settings(self) -> None:
        (self._folder / f"{self._node_id}.jsonc").write_bytes(codec.to_json(self.settings))

    async def close(self) -> None:
        """Kills the process if it runs, and stops the proxy."""
        self.record_own_end()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        await self.store_proxy.stop()

    async def kill(self, *, seconds: float) -> None:
        """Kills the process and starts it again after some seconds."""
        async with self._lifecycle_lock:
            self.record_own_end()
            self.killed_at.append(clock.elapsed())
            self._signal(signal.SIGKILL)
            assert self._process is not None
            await self._process.wait()
            await asyncio.sleep(seconds)
            self._write_settings()
            await self._start_process()

    async def stop(self) -> None:
        """Sends SIGTERM, later SIGKILL, and starts the process again once it has exited."""
        async with self._lifecycle_lock:
            assert self._process is not None
            self.record_own_end()
            at = clock.elapsed()
            self._signal(signal.SIGTERM)
            self._is_stopping = True
            try:
                async with asyncio.timeout(self._stop_seconds):
                    code = await self._process.wait()
            except TimeoutError:
                self._signal(signal.SIGKILL)
                code = await self._process.wait()
            self._is_stopping = False
            self.stops.append(
                checks.Stop(
                    node_id=self._node_id,
                    address=self.settings.callers,
                    at=at,
                    ended_at=clock.elapsed(),
                    started=self._has_started(),
                    exit_code=code,
                )
            )
            self._write_settings()
            await self._start_process()

    def stop_again(self) -> None:
        """Sends a further SIGTERM if the process is stopping already."""
        if self._is_stopping:
            self._signal(signal.SIGTERM)

    async def pause(self, *, seconds: float) -> None:
        """Suspends the process for some seconds."""
        async with self._lifecycle_lock:
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Sends SIGHUP, on which the process reads its settings again."""
        self._signal(signal.SIGHUP)

    def record_own_end(self) -> None:
        """Records that the process has ended although nobody asked it to; to be called before a signal."""
        if self.has_ended():
            assert self._process is not None
            self.own_ends.append(f"{self._node_id} ended by itself with {self._process.returncode}")

    def has_ended(self) -> bool:
        """Returns True if the process was started and has ended."""
        return self._process is not None and self._process.returncode is not None

    def errors(self) -> list[str]:
        """Returns the lines that the process wrote beside its log, such as those of a traceback."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if not line.startswith("{")]

    def lines_about(self, request_id: str) -> list[str]:
        """Returns the lines of the log that name a request."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if f'"{request_id}"' in line]

    def logged_requests(self) -> frozenset[str]:
        """Returns the ids of the requests that the log names, all of which the node has read."""
        log = self._log_path.read_bytes()
        return frozenset(found.decode() for found in _REQUEST_PATTERN.findall(log))

    def _has_started(self) -> bool:
        """Returns True if the process has logged its start; until then SIGTERM may kill it."""
        return STARTED_EVENT in self._log_path.read_bytes()[self._log_bytes_before :]

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            # Process.send_signal may take the exit code away from asyncio, which then reports 255.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def _start_process(self) -> None:
        self._log_bytes_before = self._log_path.stat().st_size
        path = self._folder / f"{self._node_id}.jsonc"
        with self._log_path.open("ab") as log:  # noqa: ASYNC230
            self._process = await asyncio.create_subprocess_exec(
                *COMMAND,
                env={**os.environ, "BASILPOST_CONFIG": str(path)},
                stdout=log,
                stderr=log,
                preexec_fn=_ignore_hangup,
            )


def _ignore_hangup() -> None:
    """Makes a node start with SIGHUP ignored, as OPERATIONS.md asks of process managers."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


@contextlib.asynccontextmanager
async def busy(count: int) -> AsyncIterator[None]:
    """Keeps some processes busy that compete with the nodes for the processors."""
    started = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", _BUSY_PROGRAM)
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in started:
            process.kill()
            await process.wait()
