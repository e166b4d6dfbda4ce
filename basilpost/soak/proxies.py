"""Loopback proxies whose connections can be delayed, reset, or silenced in one direction or both."""

import asyncio
import contextlib
import dataclasses
import enum

_READ_BYTES = 65_536


class Direction(enum.Enum):
    """Which way bytes go."""

    UP = "up"
    DOWN = "down"


@dataclasses.dataclass(eq=False, kw_only=True)
class Proxy:
    """Passes connections on to one address.

    Attributes:
        target: `host:port` that it passes on to.
        address: Where it listens, once it has started.
        delay: Seconds by which each piece comes later.
        silent: Directions in which nothing passes for now; what comes meanwhile passes afterwards.
        refuses: True to break new connections off.
    """

    target: str
    address: str = ""
    delay: float = 0.0
    silent: set[Direction] = dataclasses.field(default_factory=set)
    refuses: bool = False
    _writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    _server: asyncio.Server | None = None
    _changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Breaks all open connections off."""
        for writer in self._writers:
            writer.transport.abort()

    def heal(self) -> None:
        """Lets everything pass again."""
        self.delay, self.refuses = 0.0, False
        self.silent.clear()
        self._changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._pass(reader, writer)
        except asyncio.CancelledError:
            # The proxy stops; the task of a connection must not end as cancelled, or it is logged.
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        if self.refuses:
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # The target is down; its caller sees the same.
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, Direction.UP),
                self._pump(far_reader, writer, Direction.DOWN),
            )
        finally:
            self._writers.discard(far_writer)
            far_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while direction in self.silent:
                    self._changed.clear()
                    await self._changed.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()
