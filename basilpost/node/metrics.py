"""Serves a node's metrics over HTTP in the text format of Prometheus."""

import prometheus_client
import tornado.netutil
import tornado.web

from basilpost.core import clock, kernel, page_server

# A pool's node has less than 1 s left after its callers' requests have been waited for.
_STOP_SECONDS = 0.2


class MetricsServer(kernel.Service):
    """Serves `/metrics` on a separate host and port."""

    def __init__(self, *, kernel: kernel.Kernel, host: str, port: int) -> None:
        self._host = host
        self._port = port
        handlers = [(r"/metrics", _Handler, {"registry": kernel.registry})]
        self._server = page_server.make(
            application=tornado.web.Application(handlers, log_function=lambda handler: None),
            name="metrics",
            kernel=kernel,
        )

    async def start(self) -> None:
        """Starts listening."""
        self._server.add_sockets(tornado.netutil.bind_sockets(self._port, address=self._host))

    async def stop(self) -> None:
        """Closes each connection once its scrape is answered, or after `_STOP_SECONDS`."""
        await self._server.drain(clock.monotonic() + _STOP_SECONDS)


class _Handler(tornado.web.RequestHandler):
    def initialize(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._registry = registry

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(prometheus_client.generate_latest(self._registry))
