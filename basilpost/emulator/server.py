"""The base of all emulated parts: an HTTP server that can be stopped and started again."""

import abc
import asyncio
import json
from typing import Any

from tornado import httpserver, netutil, web

from basilpost.emulator import silent_connections

_CLOSE_SECONDS = 1.0
_MAX_BODY_BYTES = 64_000_000

Routes = list[tuple[str, type[web.RequestHandler], dict[str, Any]]]


class EmulatedServer(abc.ABC):
    """An HTTP server that emulates a part outside the system: a platform interface or a back end.

    Attributes:
        address: `host:port`, empty before the first start.
        silent_connections: Open connections on which nothing is answered, as after a network fault.
        compresses: True to compress answers for clients that accept it.
    """

    compresses = False

    def __init__(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        self._host = host
        self._port = port
        self._server: httpserver.HTTPServer | None = None
        self.address = ""
        self.silent_connections = silent_connections.SilentConnections()

    @property
    def is_serving(self) -> bool:
        """Returns True while it listens."""
        return self._server is not None

    @abc.abstractmethod
    def routes(self) -> Routes:
        """Returns the request handlers with their URL patterns and arguments."""

    async def start(self) -> str:
        """Starts listening and returns the address; a restart keeps the port."""
        sockets = netutil.bind_sockets(self._port, address=self._host, backlog=1024)
        self._port = sockets[0].getsockname()[1]
        self.address = f"{self._host}:{self._port}"
        application = web.Application(
            self.routes(), log_function=_log_nothing, compress_response=self.compresses
        )
        self._server = httpserver.HTTPServer(application, max_buffer_size=_MAX_BODY_BYTES)
        self._server.add_sockets(sockets)
        self.silent_connections.server = self._server
        return self.address

    def release_port(self) -> None:
        """Lets the next start pick a free port.

        Another process may bind the present port while the emulated server is stopped.
        """
        self._port = 0

    async def stop(self) -> None:
        """Stops listening and closes all open connections."""
        server, self._server = self._server, None
        if server is None:
            return
        server.stop()
        # The system closes all connections of a process that ends at the same time.
        open_connections: set[Any] = getattr(server, "_connections", set())
        for connection in list(open_connections):
            connection.stream.close()
        try:
            await asyncio.wait_for(server.close_all_connections(), _CLOSE_SECONDS)
        except TimeoutError:
            pass


class JsonHandler(web.RequestHandler):
    """A handler that reads and writes JSON bodies."""

    def body_json(self) -> Any:
        """Returns the decoded body.

        Raises:
            web.HTTPError: With status 400 if the body is not JSON.
        """
        try:
            return json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(400, reason="request body is not valid JSON") from error

    def answer(self, body: Any, *, status: int = 200) -> None:
        """Ends the request with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body, separators=(",", ":")))

    def answer_nothing(self) -> None:
        """Ends the request with 204."""
        self.set_status(204)
        self.finish()

    def drop_connection(self) -> None:
        """Closes the client's connection without an answer."""
        self._finished = True
        silent_connections.stream_of(self.request).close()


def _log_nothing(handler: web.RequestHandler) -> None:
    """Disables Tornado's request log, which would write a line for each request."""
