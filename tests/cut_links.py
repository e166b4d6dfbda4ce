"""Cuts one node of a test off from all runners, while callers, the store and its peers reach it."""

import asyncio
import contextlib
import enum
import weakref

from basilpost.core import channels


class Kind(enum.Enum):
    """What becomes of a node's connections to runners.

    RESET: open ones are reset and new ones refused. HANG: open ones fall silent for good and new ones
    are not answered. REFUSE: open ones live on and new ones are refused. SILENT: open ones fall silent
    for good and new ones open, but pass nothing either.
    """

    RESET = "reset"
    HANG = "hang"
    REFUSE = "refuse"
    SILENT = "silent"


class Links:
    """The connections of one node to runners.

    Attributes:
        opened: Number of connections opened so far.
        failed: Number of connections that could not be opened because of the cut.
    """

    def __init__(self, pool):
        self.opened = self.failed = 0
        self._kind = None
        self._addresses = None
        self._channels = weakref.WeakSet()
        self._pool = pool
        self._acquire, pool.acquire = pool.acquire, self._acquire_if_whole

    def cut(self, kind, *, addresses=None):
        """Cuts the node off from the runners at some addresses, from all by default."""
        self._kind, self._addresses = kind, addresses
        for channel in list(self._channels):
            if not self._is_cut(channel.address):
                continue
            if kind is Kind.RESET:
                channel.stream.close((ConnectionResetError, ConnectionResetError(), None))
            elif kind in (Kind.HANG, Kind.SILENT) and not channel.stream.closed():
                _silence(channel)

    def heal(self):
        self._kind = None

    def _is_cut(self, address):
        return self._kind is not None and (self._addresses is None or address in self._addresses)

    async def _acquire_if_whole(self, address, *, timeout, fresh=False, **options):
        keeps_open = self._kind in (Kind.HANG, Kind.REFUSE)
        has_idle = not fresh and self._pool._idle_by_address.get(address)
        is_silent = self._kind is Kind.SILENT
        if not self._is_cut(address) or is_silent or (keeps_open and has_idle):
            channel = await self._acquire(address, timeout=timeout, fresh=fresh, **options)
            if isinstance(channel, channels.Channel):
                self.opened += channel not in self._channels
                self._channels.add(channel)
                if is_silent and self._is_cut(address) and not channel.stream.closed():
                    _silence(channel)
            return channel
        if self._kind is Kind.HANG:
            await asyncio.sleep(timeout)
        self.failed += 1
        return channels.ConnectFailed(
            reason=f"{address}: cut off by the test", timed_out=self._kind is Kind.HANG
        )


def _silence(channel):
    """Makes a connection pass no more bytes in either direction, without closing it."""
    stream = channel.stream
    with contextlib.suppress(OSError, ValueError, KeyError):
        stream.io_loop.remove_handler(stream.fileno())
    # The stream must not register its socket again, neither now nor when it is closed.
    stream._state, stream._add_io_state = None, lambda state: None
    closed = asyncio.Event()
    stream.set_close_callback(closed.set)

    async def receive(**callbacks):
        await closed.wait()
        return channels.Broken(reason="closed by the node")

    channel.send = lambda *args: setattr(channel, "requests", channel.requests + 1)
    channel.receive = receive
