"""TCP proxies on loopback that can delay, reset or block connections in one or both directions."""

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct

_READ_BYTES = 65_536
_BACKLOG = 128


class Direction(enum.Enum):
    """Direction of the bytes: `UP` from the client to the target, `DOWN` back."""

    UP = "up"
    DOWN = "down"


@dataclasses.dataclass(eq=False, kw_only=True)
class Proxy:
    """A proxy for connections to one address.

    Attributes:
        target: `host:port` to which connections are forwarded.
        address: `host:port` on which it listens, empty before it has started.
        delay: Seconds by which each chunk of data is delayed.
        silent: Directions in which no data passes; what arrives meanwhile is sent on afterwards.
        refuses_connections: True to abort new connections.
        refused_hosts: Clients' addresses whose new connections are aborted.
        silent_hosts: Clients' addresses whose connections open and pass nothing. A connection that has
            lost bytes passes nothing more, also when the address is no longer among these.
    """

    target: str
    address: str = ""
    delay: float = 0.0
    silent: set[Direction] = dataclasses.field(default_factory=set)
    refuses_connections: bool = False
    refused_hosts: set[str] = dataclasses.field(default_factory=set)
    silent_hosts: set[str] = dataclasses.field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    _server: asyncio.Server | None = None
    _listening: asyncio.Task[None] | None = None
    _changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Starts listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def set_listening(self, listens: bool) -> None:
        """Listens or not, as the target does; connections that are open go on."""
        if not listens and self._server is not None:
            self._server.close()
            self._server = None
        elif listens and self._server is None:
            host, _, port = self.address.rpartition(":")
            listener = socket.create_server((host, int(port)), backlog=_BACKLOG)
            self._listening = asyncio.create_task(self._listen(listener))

    async def _listen(self, listener: socket.socket) -> None:
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self, *, host: str = "") -> None:
        """Resets all open connections, or those of one client's address."""
        for writer in self._writers:
            if not host or _host_of(writer) == host:
                _reset(writer)

    def heal(self) -> None:
        """Ends all faults except for connections that were aborted."""
        self.delay, self.refuses_connections = 0.0, False
        self.silent.clear()
        self._changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            # `stop` cancelled the task; asyncio logs the task of a connection if it ends cancelled.
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        if self.refuses_connections or _host_of(writer) in self.refused_hosts:
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # The target is down; the client's connection is aborted as well.
            return
        self._writers.add(target_writer)
        link = _Link(host=_host_of(writer))
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, Direction.UP, link),
                self._copy(target_reader, writer, Direction.DOWN, link),
            )
        finally:
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        link: "_Link",
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                link.is_lost = link.is_lost or link.host in self.silent_hosts
                if link.is_lost:
                    continue
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self._wait_until_heard(direction)
                writer.write(data)
                await writer.drain()
            await self._wait_until_heard(direction)
            writer.write_eof()

    async def _wait_until_heard(self, direction: Direction) -> None:
        while direction in self.silent:
            self._changed.clear()
            await self._changed.wait()


@dataclasses.dataclass(kw_only=True)
class _Link:
    """A connection of one client's address; `is_lost` is set once bytes on it were dropped."""

    host: str
    is_lost: bool = False


def _reset(writer: asyncio.StreamWriter) -> None:
    """Aborts a connection; its other end sees an error, not an orderly end."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _host_of(writer: asyncio.StreamWriter) -> str:
    peer = writer.get_extra_info("peername")
    return str(peer[0]) if peer else ""
