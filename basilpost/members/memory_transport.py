"""Byte streams between nodes of one process, for tests and the demo; links can be cut.

A cut link silently drops everything, like a network that drops packets, so both ends have to detect
it by themselves. Bytes written meanwhile are lost.
"""

import asyncio
from collections.abc import Callable

from basilpost.members import transport


class MemoryNetwork:
    """Connects `MemoryTransport`s by address."""

    def __init__(self) -> None:
        self.accept_by_address: dict[str, transport.Accept] = {}
        self.cut: set[frozenset[str]] = set()
        self.bytes_carried = 0

    def transport(self, address: str) -> "MemoryTransport":
        """Returns the transport of the node with that address."""
        return MemoryTransport(network=self, address=address)

    def partition(self, *sides: set[str]) -> None:
        """Cuts all links between nodes of different sides, and restores all others."""
        self.cut = {
            frozenset((a, b))
            for side in sides
            for other in sides
            if side is not other
            for a in side
            for b in other
        }

    def heal(self) -> None:
        """Restores all links."""
        self.cut = set()

    def carries(self, a: str, b: str) -> bool:
        """Returns True if the link between two addresses works."""
        return frozenset((a, b)) not in self.cut


class MemoryTransport(transport.Transport):
    """One node's end of a `MemoryNetwork`."""

    def __init__(self, *, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, accept: transport.Accept) -> str:
        """Registers the node under its address."""
        self._network.accept_by_address[self._address] = accept
        return self._address

    async def connect(self, address: str) -> transport.StreamPair:
        """Opens a stream; waits forever if the link is cut."""
        if not self._network.carries(self._address, address):
            await asyncio.Event().wait()
        accept = self._network.accept_by_address.get(address)
        if accept is None:
            raise ConnectionRefusedError(address)
        near, far, ended = asyncio.StreamReader(), asyncio.StreamReader(), asyncio.Event()

        def carries() -> bool:
            return self._network.carries(self._address, address)

        mine = _MemoryWriter(
            network=self._network, carries=carries, near=near, far=far, ended=ended
        )
        theirs = _MemoryWriter(
            network=self._network, carries=carries, near=far, far=near, ended=ended
        )
        task = asyncio.ensure_future(accept(far, theirs))  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near, mine  # type: ignore[return-value]

    async def close(self) -> None:
        """Removes the node from the network; open streams stay open."""
        self._network.accept_by_address.pop(self._address, None)


class _MemoryWriter:
    """The parts of asyncio's stream writer and its transport that peer streams use."""

    def __init__(
        self,
        *,
        network: MemoryNetwork,
        carries: Callable[[], bool],
        near: asyncio.StreamReader,
        far: asyncio.StreamReader,
        ended: asyncio.Event,
    ) -> None:
        self._network = network
        self._carries = carries
        self._near = near
        self._far = far
        self._ended = ended
        self._closed = False

    @property
    def transport(self) -> "_MemoryWriter":
        """Returns itself, as this class also acts as the transport."""
        return self

    def get_write_buffer_size(self) -> int:
        """Returns 0, as bytes are delivered at once."""
        return 0

    def write(self, content: bytes) -> None:
        """Delivers bytes, or drops them if the link is cut or the stream is closed."""
        if not self._closed and not self._ended.is_set() and self._carries():
            self._network.bytes_carried += len(content)
            self._far.feed_data(content)

    def close(self) -> None:
        """Ends the stream in both directions; over a cut link the other end is not told."""
        if self._closed:
            return
        self._closed = True
        self._near.feed_eof()
        if self._carries() and not self._ended.is_set():
            self._ended.set()
            self._far.feed_eof()

    def abort(self) -> None:
        """Closes the stream."""
        self.close()
