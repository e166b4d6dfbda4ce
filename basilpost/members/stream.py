"""One authenticated connection to a peer.

Writes never wait: frames of one turn of the event loop leave in one write, and a peer that does not
read fast enough for the bounded buffer loses its stream instead of holding others up.
"""

import asyncio

from basilpost.core import clock
from basilpost.members import wire

MAX_BUFFERED_BYTES = 8_000_000


class Stream:
    """A connection's state and its outgoing buffer."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        node_id: str,
        dialled_by: str,
        lasting: bool,
    ) -> None:
        self.node_id = node_id
        self.dialled_by = dialled_by
        self.lasting = lasting
        self.heard_at = clock.monotonic()
        self.sent_at = self.heard_at
        self.used_at = self.heard_at
        self.bytes_sent = 0
        self.bytes_received = 0
        self.closed_by = ""
        self._reader = reader
        self._writer = writer
        self._pending: list[bytes] = []
        self._pending_bytes = 0

    @property
    def closed(self) -> bool:
        """Returns True once the stream carries nothing more."""
        return bool(self.closed_by)

    def send(self, framed: bytes) -> None:
        """Queues a frame; a full buffer closes the stream."""
        if self.closed:
            return
        buffered = self._writer.transport.get_write_buffer_size() + self._pending_bytes
        if buffered + len(framed) > MAX_BUFFERED_BYTES:
            self.close("slow")
            return
        if not self._pending:
            asyncio.get_running_loop().call_soon(self.flush)
        self._pending.append(framed)
        self._pending_bytes += len(framed)
        self.bytes_sent += len(framed)
        self.sent_at = clock.monotonic()
        if framed is not wire.HEARTBEAT_FRAME:
            self.used_at = self.sent_at

    def flush(self) -> None:
        """Writes what is queued."""
        if self._pending and not self.closed:
            self._writer.write(b"".join(self._pending))
        self._pending.clear()
        self._pending_bytes = 0

    async def read(self) -> bytes | wire.FrameRefused:
        """Reads the next frame's content."""
        raw = await wire.read_frame(self._reader, limit=wire.MAX_FRAME_BYTES)
        if isinstance(raw, bytes):
            self.heard_at = clock.monotonic()
            self.bytes_received += len(raw)
        return raw

    def close(self, cause: str) -> None:
        """Closes the stream at once; the first cause is kept."""
        if self.closed:
            return
        self.closed_by = cause
        self._pending.clear()
        self._writer.transport.abort()

    def finish(self) -> None:
        """Sends what is queued and closes in order."""
        self.flush()
        self.closed_by = self.closed_by or "stopped"
        self._writer.close()
