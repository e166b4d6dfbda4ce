"""Connections of callers, which report the bytes that they hold."""

import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import tornado.ioloop
import tornado.iostream

from basilpost.core import connection_memory, listener, turns

# Most that is read at once, and that is passed on as one piece of a body. A connection that is not
# read any more holds up to twice this.
READ_BYTES = 16_384
# Most that is discarded when a connection is closed.
MAX_DISCARDED_BYTES = 1_048_576


class CallerStream(tornado.iostream.IOStream, connection_memory.HoldingConnection):
    """The connection of a caller.

    Args:
        connection: Its socket.
        memory: Counts what all connections hold.
        read_turns: Gives the connections turns to parse what has arrived.
        max_buffer_size: Most that may be read and not parsed.

    Attributes:
        progress: The bytes that it has moved lately.
        waiting_bytes: Bytes of a body that were parsed and wait for room.
        parsed_bytes: Bytes of a body that arrives which Tornado still refers to.
        carries_request: True while a request that arrived on it has no answer yet.
    """

    def __init__(
        self,
        connection: socket.socket,
        *,
        memory: connection_memory.ConnectionMemory,
        read_turns: turns.Turns,
        max_buffer_size: int,
    ) -> None:
        super().__init__(connection, max_buffer_size=max_buffer_size, read_chunk_size=READ_BYTES)
        self.progress = connection_memory.Progress()
        self.waiting_bytes = 0
        self.parsed_bytes = 0
        self.carries_request = False
        self._memory = memory
        self._turns = read_turns
        self._granted = 0
        memory.add(self)

    @property
    def held_bytes(self) -> int:
        """Returns the bytes that were read and are not freed, wait for room, or were not sent yet."""
        read = self._read_buffer_size + self.parsed_bytes + self.waiting_bytes
        return read + self._unsent_bytes

    @property
    def may_be_dropped(self) -> bool:
        """Returns False while a request runs of which nothing was answered yet, or its body waits.

        What waits for room is not freed by closing the connection.
        """
        return not self.waiting_bytes and (not self.carries_request or self._unsent_bytes > 0)

    def note_piece(self, size: int) -> None:
        """Notes that a piece of a body was passed on; Tornado refers to the latest one and its copy."""
        self.parsed_bytes = min(2 * READ_BYTES, self.parsed_bytes + 2 * size)

    def drop(self) -> None:
        """Closes the connection and frees what it holds."""
        self.close()
        # What is left here would be parsed before the end is noticed.
        self._read_buffer = bytearray()
        self._read_buffer_size = 0

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Reads to a delimiter, once the connection has its turn."""
        if self._take_read():
            return super().read_until(delimiter, max_bytes)
        return self._read_until_in_turn(delimiter, max_bytes)

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Awaitable[bytes]:
        """Reads some bytes, once the connection has its turn."""
        if self._take_read():
            return super().read_bytes(num_bytes, partial)
        return self._read_bytes_in_turn(num_bytes, partial)

    async def _read_until_in_turn(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        await self._wait_for_turn()
        return await super().read_until(delimiter, max_bytes)

    async def _read_bytes_in_turn(self, num_bytes: int, partial: bool) -> bytes:
        await self._wait_for_turn()
        return await super().read_bytes(num_bytes, partial)

    def _take_read(self) -> bool:
        if self._granted:
            self._granted -= 1
            return True
        return self._turns.take()

    async def _wait_for_turn(self) -> None:
        self._granted = await self._turns.wait() - 1

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; part of Tornado's interface of streams."""
        count = super().read_from_fd(buf)
        if count:
            self.progress.now += count
            self._memory.note_held(self, count)
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Writes to the socket; part of Tornado's interface of streams."""
        count = super().write_to_fd(data)
        self.progress.now += count
        return count

    def write(self, data: bytes | memoryview) -> Any:
        """Sends bytes, or keeps them until the caller takes them."""
        unsent_before = self._unsent_bytes
        writing = super().write(data)
        self._memory.note_held(self, max(0, self._unsent_bytes - unsent_before))
        return writing

    def close_fd(self) -> None:
        """Closes the socket; part of Tornado's interface of streams.

        Bytes that nobody has read make the system reset the connection, and the caller loses the part of
        its answer that it has not read yet. So they are discarded first.
        """
        with contextlib.suppress(OSError):
            for _ in range(MAX_DISCARDED_BYTES // READ_BYTES):
                if not self.socket.recv(READ_BYTES, socket.MSG_DONTWAIT):
                    break
        super().close_fd()

    def _maybe_add_error_listener(self) -> None:
        super()._maybe_add_error_listener()
        self._listen_for_end()

    def _handle_events(self, fd: Any, events: int) -> None:
        super()._handle_events(fd, events)
        self._listen_for_end()

    def _listen_for_end(self) -> None:
        """Goes on reading while a request runs behind which some bytes wait.

        Tornado stops then, and would not notice that the caller leaves.
        """
        if self._close_callback is not None and 0 < self._read_buffer_size < READ_BYTES:
            self._add_io_state(tornado.ioloop.IOLoop.READ)

    def close(self, exc_info: Any = False) -> None:
        """Closes the connection."""
        super().close(exc_info)
        self._memory.remove(self)

    @property
    def _unsent_bytes(self) -> int:
        # Tornado takes the buffer away from a closed stream.
        return 0 if self._write_buffer is None else len(self._write_buffer)


class CallerListener(listener.Listener):
    """A listener whose connections are made by a function.

    Args:
        make_stream: Makes the stream of an accepted connection.
    """

    def initialize(  # type: ignore[override]
        self, *args: Any, make_stream: Callable[[socket.socket], CallerStream], **kwargs: Any
    ) -> None:
        """Initializes the server; Tornado calls this in place of the constructor."""
        super().initialize(*args, **kwargs)
        self._make_stream = make_stream

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        self.handle_stream(self._make_stream(connection), address)
