"""Emulates connections that go silent for good while new ones work.

A NAT or firewall between two hosts may drop the state of a connection: neither end sees it close,
and nothing that is sent on it arrives.
"""

import asyncio
import weakref
from typing import Any

from tornado import http1connection, httpserver, httputil, iostream


class SilentConnections:
    """The connections of one server on which it no longer sends or handles anything.

    Attributes:
        server: The server, set once it listens.
    """

    def __init__(self) -> None:
        self._streams: weakref.WeakSet[iostream.IOStream] = weakref.WeakSet()
        self.server: httpserver.HTTPServer | None = None

    def silence_open_connections(self, *, except_for: iostream.IOStream) -> None:
        """Makes all open connections silent except for the one that the command came on."""
        open_connections: set[Any] = getattr(self.server, "_connections", set())
        self._streams.update(connection.stream for connection in open_connections)
        self._streams.discard(except_for)

    def is_silent(self, stream: iostream.IOStream) -> bool:
        """Returns True if the connection has been made silent."""
        return bool(self._streams) and stream in self._streams

    async def block_if_silent(self, request: httputil.HTTPServerRequest) -> None:
        """Returns at once if the request came on a working connection, and never otherwise."""
        if self.is_silent(stream_of(request)):
            await asyncio.get_running_loop().create_future()


def stream_of(request: httputil.HTTPServerRequest) -> iostream.IOStream:
    """Returns the connection that a request came on."""
    connection = request.connection
    assert isinstance(connection, http1connection.HTTP1Connection)
    return connection.stream
