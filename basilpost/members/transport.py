"""Byte streams between nodes: TCP, optionally with mutual TLS."""

import abc
import asyncio
import ssl
from collections.abc import Awaitable, Callable

from basilpost.settings import schema

Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Transport(abc.ABC):
    """Opens and accepts byte streams."""

    @abc.abstractmethod
    async def listen(self, accept: Accept) -> str:
        """Starts to accept streams; returns the address at which other nodes reach this one."""

    @abc.abstractmethod
    async def connect(self, address: str) -> StreamPair:
        """Opens a stream to an address and returns its reader and writer.

        Raises:
            OSError: If it cannot be opened.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Stops accepting streams."""


class TcpTransport(Transport):
    """TCP on the host and port of the settings."""

    def __init__(self, *, settings: schema.PeerStreams) -> None:
        self._settings = settings
        self._server: asyncio.Server | None = None

    async def listen(self, accept: Accept) -> str:
        """Listens on the configured host and port."""
        listen = self._settings.listen
        context = _context(self._settings, ssl.Purpose.CLIENT_AUTH)
        self._server = await asyncio.start_server(accept, listen.host, listen.port, ssl=context)
        host, port = self._server.sockets[0].getsockname()[:2]
        return self._settings.advertise or f"{host}:{port}"

    async def connect(self, address: str) -> StreamPair:
        """Connects to `host:port`."""
        host, _, port = address.rpartition(":")
        context = _context(self._settings, ssl.Purpose.SERVER_AUTH)
        if not port.isdigit():
            raise OSError(f"no port number in peer address {address!r}")
        return await asyncio.open_connection(host.strip("[]"), int(port), ssl=context)

    async def close(self) -> None:
        """Closes the listening socket."""
        if self._server is not None:
            self._server.close()


def _context(settings: schema.PeerStreams, purpose: ssl.Purpose) -> ssl.SSLContext | None:
    """Returns the context for mutual TLS, None if no certificate is configured."""
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(purpose, cafile=settings.tls_authority or None)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key or None)
    context.verify_mode = ssl.CERT_REQUIRED
    # Peers connect by IP address and the handshake proves their ids, so the certificate only has to
    # be signed by the configured authority.
    context.check_hostname = False
    return context
