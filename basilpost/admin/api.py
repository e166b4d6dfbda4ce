"""Serves the administration API of a node over HTTP."""

import prometheus_client
import tornado.netutil
import tornado.web

from basilpost.admin import (
    adapters,
    audit_reader,
    changes,
    context,
    domain_handlers,
    handlers,
    limits,
    object_handlers,
    run_handlers,
    status,
    status_handlers,
)
from basilpost.core import clock, connection_limits, kernel, listener, names
from basilpost.members import directory, replica
from basilpost.settings import configuration, schema

_ROOT = "/admin/v1"
_STOP_SECONDS = 15.0


class AdminApi(kernel.Service):
    """The HTTP server of the administration API; `port` is the bound port after `start`."""

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._listen = settings.admin
        self._kernel = kernel
        self._server: listener.Listener | None = None
        self.port = 0
        self._context = make_context(kernel, settings)

    async def start(self) -> None:
        """Opens the listening socket and begins to serve."""
        server = listener.Listener(
            make_application(self._context, registry=self._kernel.registry),
            max_body_size=limits.MAX_READ_BYTES,
            max_buffer_size=limits.MAX_READ_BYTES + limits.MAX_HEADER_BYTES,
            max_header_size=limits.MAX_HEADER_BYTES,
            body_timeout=limits.BODY_SECONDS,
            name="admin",
            kernel=self._kernel,
            limits=lambda: connection_limits.Limits(
                header_seconds=limits.HEADER_SECONDS,
                idle_seconds=limits.IDLE_SECONDS,
                max_connections=limits.MAX_CONNECTIONS,
            ),
        )
        sockets = tornado.netutil.bind_sockets(self._listen.port, self._listen.host)
        server.add_sockets(sockets)
        self._server = server
        self.port = sockets[0].getsockname()[1]
        self._kernel.log.info("admin_listening", host=self._listen.host, port=self.port)

    async def stop(self) -> None:
        """Closes each connection once its request is answered, and waits for operators' changes.

        A change goes on after its operator has disconnected. All this takes `_STOP_SECONDS` at most.
        """
        server, self._server = self._server, None
        if server is not None:
            give_up_at = clock.monotonic() + _STOP_SECONDS
            await server.drain(give_up_at)
            await self._context.in_flight.wait_idle(give_up_at - clock.monotonic())


def make_context(kernel: kernel.Kernel, settings: schema.NodeSettings) -> context.Context:
    """Builds the context of the handlers from the services of the kernel."""
    return context.Context(
        log=kernel.log,
        changes=changes.Changes(kernel=kernel, bootstrap_digest=settings.admin_token_digest),
        directory=kernel.find(names.DIRECTORY, directory.Directory),
        replica=kernel.find(names.REPLICA, replica.Replica),
        status=status.StatusService(kernel=kernel),
        audit_reader=audit_reader.AuditReader(kernel=kernel),
        runs=adapters.find_run_admin(kernel),
        quarantine=adapters.find_quarantine_admin(kernel),
        requests=limits.TokenBucket(rate=limits.REQUESTS_PER_SECOND, burst=limits.REQUESTS_BURST),
        rejected_tokens=limits.TokenBucket(
            rate=limits.REJECTED_TOKENS_PER_SECOND, burst=limits.REJECTED_TOKENS_BURST
        ),
        in_flight=limits.InFlightCounter(),
        bootstrap_digest=settings.admin_token_digest,
    )


def make_application(
    shared: context.Context, *, registry: prometheus_client.CollectorRegistry
) -> tornado.web.Application:
    """Returns the application with the routes of the API and `/metrics`."""
    kinds = "|".join(configuration.KINDS_BY_PATH)
    parts = {"context": shared}
    routes = [
        (r"/config", object_handlers.ConfigurationHandler),
        (rf"/({kinds})", object_handlers.KindHandler),
        (r"/failure-domains/([^/]+)/(out|in)", domain_handlers.FailureDomainHandler),
        (rf"/({kinds})/([^/]+)", object_handlers.ObjectHandler),
        (r"/keys", domain_handlers.KeyHandler),
        (r"/status", status_handlers.StatusHandler),
        (r"/in-force", status_handlers.InForceHandler),
        (r"/audit", status_handlers.AuditHandler),
        (r"/runs", run_handlers.RunsHandler),
        (r"/runs/([^/]+)/([^/]+)/([^/]+)", run_handlers.RunHandler),
        (r"/quarantine", run_handlers.QuarantineHandler),
        (r"/quarantine/([^/]+)/release", run_handlers.ReleaseHandler),
    ]
    return tornado.web.Application(
        [
            (r"/metrics", status_handlers.MetricsHandler, {"registry": registry}),
            *((_ROOT + path, handler, parts) for path, handler in routes),
        ],
        default_handler_class=handlers.NoSuchPageHandler,
        default_handler_args=parts,
        log_function=lambda handler: None,
    )
