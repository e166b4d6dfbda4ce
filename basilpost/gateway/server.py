"""The gateway as a service of the node: listens, serves, and drains before it stops."""

import asyncio

import tornado.netutil

from basilpost.core import clock, connection_limits, kernel, listener, names, tasks
from basilpost.gateway import claimed_requests as claimed_requests_
from basilpost.gateway import connection_bounds, context, dispatch, metrics, routes, upstream
from basilpost.members import directory, peers, replica, standing
from basilpost.routing import interfaces
from basilpost.runs import ledger, witnesses
from basilpost.settings import schema

_DRAIN_POLL_SECONDS = 0.1
# After the listening socket is closed, requests may still arrive on accepted connections for this long.
_LATE_REQUEST_SECONDS = 0.3
_MAX_HEADER_BYTES = 32_768
# Time after which an idle connection of a caller is closed.
_IDLE_SECONDS = 120.0
# Memory of which connections of callers may take a part.
_MEMORY_MB = 1_000


class Gateway(kernel.Service):
    """Serves callers over HTTP.

    Attributes:
        context: State shared by the handlers, None before the start.
        port: Port that the gateway listens on, 0 before the start.
    """

    def __init__(self, *, kernel: kernel.Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.find(names.SETTINGS, schema.NodeSettings)
        self._tasks = tasks.TaskSet(log=kernel.log)
        # Peers close a stream that carries a message of an unknown type. So the witnesses register their
        # message types here, before the first stream is opened.
        network = kernel.find(names.PEERS, peers.PeerNetwork)
        self._replica = kernel.find(names.REPLICA, replica.Replica)
        self._witnesses = witnesses.Witnesses(network=network, only_node=self._is_only_node)
        self._server: listener.Listener | None = None
        self.context: context.Context | None = None
        self.port = 0

    async def start(self) -> None:
        """Starts listening and reports ready."""
        upstreams = upstream.Upstreams()
        self.context = self._build_context(upstreams)
        self._tasks.spawn(upstreams.run_watchdog(), name="silence watch")
        listen = self._settings.gateway.listen
        sockets = tornado.netutil.bind_sockets(listen.port, address=listen.host)
        self.port = sockets[0].getsockname()[1]
        limits = connection_limits.Limits(
            header_seconds=_IDLE_SECONDS,
            idle_seconds=_IDLE_SECONDS,
            max_connections=connection_bounds.divide(
                max_descriptors=None, memory_mb=_MEMORY_MB
            ).callers,
        )
        self._server = listener.Listener(
            routes.application(self.context),
            name="gateway",
            kernel=self._kernel,
            limits=lambda: limits,
            max_header_size=_MAX_HEADER_BYTES,
        )
        self._server.add_sockets(sockets)
        self.context.ready = True
        self._kernel.log.info("gateway_listening", host=listen.host, port=self.port)

    async def drain(self) -> None:
        """Stops accepting requests, and waits until those in flight are answered and recorded.

        The node first reports not ready. It accepts requests for a grace period after that, because the
        load balancer needs time to notice. Each connection ends with its next answer. The wait ends
        after `drain_seconds` at the latest; no connection is open then.
        """
        if self.context is None or self._server is None:
            return
        gateway = self._settings.gateway
        self.context.draining = True
        self._server.conn_params.no_keep_alive = True
        await asyncio.sleep(gateway.drain_grace_seconds)
        self.context.stopping = True
        give_up_at = clock.monotonic() + gateway.drain_seconds
        await self._wait_until_idle(give_up_at)
        # Lets the handler of a request that has just arrived start before the listening socket is closed.
        await asyncio.sleep(0)
        self._server.stop()
        await asyncio.sleep(_LATE_REQUEST_SECONDS)
        cut = await self._server.drain(give_up_at)
        unrecorded = await self.context.claimed_requests.wait_recorded(give_up_at)
        self._kernel.log.info("gateway_drained", cut=cut, unrecorded=unrecorded)

    async def _wait_until_idle(self, give_up_at: float) -> None:
        """Waits until no request is in flight, at most until the event loop's time `give_up_at`."""
        assert self.context is not None
        while self.context.in_flight and clock.monotonic() < give_up_at:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    async def stop(self) -> None:
        """Closes the listening socket and all connections, and cancels the tasks."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        await self._tasks.close()

    def _is_only_node(self) -> bool:
        """Returns True if neither the settings nor the store name another node."""
        listed = self._replica.items(names.NODE_PREFIX)
        return not self._settings.peers.seeds and len(listed) <= 1

    def _build_context(self, upstreams: upstream.Upstreams) -> context.Context:
        find = self._kernel.find
        node_metrics = metrics.Metrics(registry=self._kernel.registry)
        dispatcher = dispatch.Dispatcher(
            kernel=self._kernel, upstreams=upstreams, metrics=node_metrics
        )
        request_ledger = find(names.LEDGER, ledger.Ledger)
        shared = context.Context(
            settings=self._settings,
            directory=find(names.DIRECTORY, directory.Directory),
            standing=find(names.STANDING, standing.Standing),
            admission=find(names.ADMISSION, interfaces.Admission),
            quarantine=find(names.QUARANTINE, interfaces.Quarantine),
            dispatcher=dispatcher,
            claimed_requests=claimed_requests_.ClaimedRequests(
                dispatcher=dispatcher,
                ledger=request_ledger,
                witnesses=self._witnesses,
            ),
            metrics=node_metrics,
        )
        node_metrics.in_flight.set_function(lambda: shared.in_flight)
        node_metrics.body_bytes.set_function(lambda: shared.body_bytes)
        return shared
