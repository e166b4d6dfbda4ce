"""One authenticated connection to a peer.

Sending never waits. Frames sent in one iteration of the event loop are written together. If a peer
reads too slowly and the bounded buffer is full, its stream is closed, so that it delays no other
peer.
"""

import asyncio

from basilpost.core import clock
from basilpost.members import wire

MAX_BUFFERED_BYTES = 8_000_000


class Stream:
    """A connection's state and its outgoing buffer.

    Attributes:
        node_id: Id of the peer.
        dialled_by: Id of the node that opened the stream.
        lasting: True for a stream to a neighbour, which is kept open; False for a stream that was
            opened on demand and is closed when idle.
        received_at: When the last frame came, on `clock.monotonic`.
        sent_at: When the last frame was sent.
        used_at: When it last sent a frame other than a heartbeat, or received a message or request.
        close_cause: Cause of the close, empty while the stream is open.
    """

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
        self.received_at = clock.monotonic()
        self.sent_at = self.received_at
        self.used_at = self.received_at
        self.bytes_sent = 0
        self.bytes_received = 0
        self.close_cause = ""
        self._reader = reader
        self._writer = writer
        self._pending: list[bytes] = []
        self._pending_bytes = 0

    @property
    def closed(self) -> bool:
        """Returns True once the stream sends and receives nothing more."""
        return bool(self.close_cause)

    def send(self, framed: bytes) -> None:
        """Queues a frame; closes the stream if the buffer would exceed `MAX_BUFFERED_BYTES`."""
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
        """Writes the queued frames."""
        if self._pending and not self.closed:
            self._writer.write(b"".join(self._pending))
        self._pending.clear()
        self._pending_bytes = 0

    async def read(self) -> bytes | wire.FrameRefused:
        """Returns the content of the next frame, or why it is rejected."""
        raw = await wire.read_frame(self._reader, limit=wire.MAX_FRAME_BYTES)
        if isinstance(raw, bytes):
            self.received_at = clock.monotonic()
            self.bytes_received += len(raw)
        return raw

    def close(self, cause: str) -> None:
        """Aborts the connection and drops queued frames; the first cause is kept."""
        if self.closed:
            return
        self.close_cause = cause
        self._pending.clear()
        self._writer.transport.abort()

    def finish(self) -> None:
        """Sends the queued frames and then closes the connection."""
        self.flush()
        self.close_cause = self.close_cause or "stopped"
        self._writer.close()
