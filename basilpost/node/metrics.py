"""Serves a node's metrics over HTTP in the text format of Prometheus."""

import prometheus_client
import tornado.httpserver
import tornado.netutil
import tornado.web

from basilpost.core import kernel


class MetricsServer(kernel.Service):
    """Serves `/metrics` on a separate host and port."""

    def __init__(self, *, kernel: kernel.Kernel, host: str, port: int) -> None:
        self._host = host
        self._port = port
        handlers = [(r"/metrics", _Handler, {"registry": kernel.registry})]
        self._server = tornado.httpserver.HTTPServer(
            tornado.web.Application(handlers, log_function=lambda handler: None)
        )

    async def start(self) -> None:
        """Starts listening."""
        self._server.add_sockets(tornado.netutil.bind_sockets(self._port, address=self._host))

    async def stop(self) -> None:
        """Stops listening."""
        self._server.stop()


class _Handler(tornado.web.RequestHandler):
    def initialize(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._registry = registry

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(prometheus_client.generate_latest(self._registry))
