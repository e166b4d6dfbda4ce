"""Opens exchanges with targets, and aborts those that go silent.

One watchdog checks all open exchanges, so that no read needs a timer of its own.
"""

import asyncio
import socket

import tornado.iostream

from basilpost.core import clock
from basilpost.gateway import event_exchange, exchange

_MAX_BUFFERED_BYTES = 1 << 24
_KEEPALIVE_IDLE_SECONDS = 5
_KEEPALIVE_INTERVAL_SECONDS = 2
_KEEPALIVE_PROBES = 3
_USER_TIMEOUT_MILLISECONDS = 5000
_WATCHDOG_SECONDS = 0.25


class Upstreams:
    """The open exchanges of this node."""

    def __init__(self) -> None:
        self._open: set[exchange.Exchange] = set()

    async def connect(
        self, address: str, *, timeout: float, events: bool = False
    ) -> exchange.Exchange | exchange.ConnectFailed:
        """Opens a connection to a target; no byte of a request is sent before `Exchange.send`.

        Args:
            address: `host:port` of the target.
            timeout: Longest wait in seconds.
            events: True if the answer will be relayed as events, for `EventExchange.forward_stream`.
        """
        connecting = self._connect_events(address) if events else self._connect_whole(address)
        try:
            async with asyncio.timeout(timeout):
                opened = await connecting
        except (OSError, TimeoutError, tornado.iostream.StreamClosedError) as error:
            return exchange.ConnectFailed(reason=f"{address}: {error or 'no connection in time'}")
        self._open.add(opened)
        return opened

    def release(self, opened: exchange.Exchange) -> None:
        """Closes an exchange and stops watching it."""
        self._open.discard(opened)
        opened.close()

    async def _connect_whole(self, address: str) -> exchange.Exchange:
        host, port = _host_and_port(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        stream = tornado.iostream.IOStream(sock, max_buffer_size=_MAX_BUFFERED_BYTES)
        try:
            await stream.connect((host, port))
        except BaseException:
            stream.close()
            raise
        stream.set_nodelay(True)
        _enable_keepalive(sock)
        return exchange.WholeExchange(stream=stream, address=address)

    async def _connect_events(self, address: str) -> exchange.Exchange:
        host, port = _host_and_port(address)
        loop = asyncio.get_running_loop()
        transport, opened = await loop.create_connection(
            lambda: event_exchange.EventExchange(address=address), host, port
        )
        _enable_keepalive(transport.get_extra_info("socket"))
        return opened

    async def run_watchdog(self) -> None:
        """Aborts exchanges whose target went silent, until cancelled."""
        while True:
            await asyncio.sleep(_WATCHDOG_SECONDS)
            now = clock.monotonic()
            for opened in [watched for watched in self._open if watched.silent_at <= now]:
                opened.abort("the target went silent")


def _host_and_port(address: str) -> tuple[str, int]:
    """Returns host and port of a target; the host is an IP address, so no name is resolved."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _enable_keepalive(sock: socket.socket) -> None:
    """Makes the operating system close the connection if the other end no longer responds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        ("TCP_KEEPIDLE", _KEEPALIVE_IDLE_SECONDS),
        ("TCP_KEEPINTVL", _KEEPALIVE_INTERVAL_SECONDS),
        ("TCP_KEEPCNT", _KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", _USER_TIMEOUT_MILLISECONDS),
    )
    for name, value in options:
        if hasattr(socket, name):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
