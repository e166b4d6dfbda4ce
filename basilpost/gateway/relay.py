"""The callers' side of a node that forwards requests by routes: listens, serves, drains."""

import asyncio
import json
import random

import prometheus_client
import tornado.httpserver
import tornado.httputil
import tornado.netutil
import tornado.web

from basilpost.core import clock, failure, kernel, names, tasks
from basilpost.gateway import admitting, forwarding, inbound
from basilpost.members import knowledge as knowledges
from basilpost.members import loads as loads_
from basilpost.routing import calls
from basilpost.routing import targets as targets_
from basilpost.settings import pool_schema

# Until the configuration is known callers' limits are not; these are above any.
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
# Callers may reuse a connection that was idle for most of the operators' limit.
IDLE_SECONDS = 30.0
# The configuration may be this old before a node says that it is not ready.
READY_AGE_SECONDS = 4.0
# Time after readiness is off in which the balancer still sends new connections.
DRAIN_GRACE_SECONDS = 2.5
# A planned stop leaves this much of its grace unused.
DRAIN_MARGIN_SECONDS = 0.8
SWEEP_SECONDS = 1.0
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Relay(kernel.Service, tornado.httputil.HTTPServerConnectionDelegate):
    """Serves callers."""

    def __init__(self, *, kernel: kernel.Kernel, settings: pool_schema.PoolNodeSettings) -> None:
        self._settings = settings
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._dialect = kernel.find(names.DIALECT, calls.Dialect)  # type: ignore[type-abstract]
        self._knowledge = kernel.find(names.KNOWLEDGE, knowledges.Knowledge)
        chance = random.Random()
        self._admitting = admitting.Admitting(
            knowledge=self._knowledge, dialect=self._dialect, chance=chance
        )
        self._forwarder = forwarding.Forwarder(
            node_failure_domain=settings.failure_domain,
            dialect=self._dialect,
            targets=kernel.find(names.TARGETS, targets_.Targets),
            loads=kernel.find(names.LOADS, loads_.Loads),
            budgets=forwarding.Budgets(
                retry_share=settings.bounds.retry_share * 0.7,
                retry_reserve=settings.bounds.retry_reserve * 0.7,
                cold_factor=1.0,
                cold_slack=0.0,
            ),
            chance=chance,
        )
        self._server: tornado.httpserver.HTTPServer | None = None
        self._readiness: tornado.httpserver.HTTPServer | None = None
        self._in_flight = 0
        self._draining = False
        self._ended = prometheus_client.Counter(
            "basilpost_requests_total",
            "Requests by route, status and outcome",
            ["route", "status", "outcome"],
            registry=kernel.registry,
        )
        self._seconds = prometheus_client.Histogram(
            "basilpost_request_seconds",
            "Time from a request's head to the end of its answer",
            ["route"],
            buckets=LATENCY_BUCKETS,
            registry=kernel.registry,
        )

    # Life.

    async def start(self) -> None:
        """Listens for callers and for the balancer's readiness checks."""
        self._tasks.spawn(self._forwarder.activity.run(), name="stall-watch")
        self._tasks.spawn(self._sweep(), name="connection-sweep")
        self._server = tornado.httpserver.HTTPServer(
            self,
            idle_connection_timeout=IDLE_SECONDS,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
        )
        self._server.add_sockets(_bind(self._settings.callers))
        ready = tornado.web.Application(
            [(r"/.*", _ReadyHandler, {"relay": self})], log_function=lambda handler: None
        )
        self._readiness = tornado.httpserver.HTTPServer(ready)
        self._readiness.add_sockets(_bind(self._settings.readiness))
        self._log.info("relay_listening", address=self._settings.callers)

    async def drain(self) -> None:
        """Ends taking new work and waits for the answers of what is in flight."""
        self._draining = True
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True
        stop_at = clock.elapsed() + self._settings.bounds.grace_seconds - DRAIN_MARGIN_SECONDS
        await asyncio.sleep(DRAIN_GRACE_SECONDS)
        while self._in_flight and clock.elapsed() < stop_at:
            await asyncio.sleep(0.05)
        self._log.info("relay_drained", cut=self._in_flight)

    async def stop(self) -> None:
        """Closes what is still open."""
        for server in (self._server, self._readiness):
            if server is not None:
                server.stop()
        await self._tasks.close()
        self._forwarder.pool.close()

    @property
    def ready(self) -> bool:
        """Returns True while new connections may come to this node."""
        return (
            not self._draining
            and self._knowledge.configuration is not None
            and self._knowledge.configuration_age() < READY_AGE_SECONDS
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self._forwarder.pool.sweep()

    # Requests.

    def start_request(
        self,
        server_conn: object,
        request_conn: tornado.httputil.HTTPConnection,
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Begins to read a request; part of the library's delegate interface."""
        return inbound.Request(
            connection=request_conn,
            handler=self._serve,
            spawn=lambda handling: self._tasks.spawn(handling, name="request"),
        )

    async def _serve(self, request: inbound.Request, reply: inbound.Reply) -> None:
        self._in_flight += 1
        admitted = self._admitting.admit(request)
        progress: forwarding.Progress | None = None
        status = 0
        try:
            if isinstance(admitted, failure.Refusal):
                status = self._refuse(request, reply, admitted)
                return
            progress = forwarding.Progress(admitted=admitted)
            if admitted.route.streaming:
                result = await self._forwarder.stream(progress, request, reply)
            else:
                result = await self._forwarder.fetch(progress, request)
            if isinstance(result, failure.Refusal):
                progress.outcome = f"{result.code}: {result.reason}"
                status = self._refuse(request, reply, result)
            elif result is not None:
                progress.outcome = progress.outcome or "answered"
                status = result.head.status
                headers = self._dialect.returned(result.head.headers)
                reply.whole(status, result.head.reason, headers, result.body)
            else:
                status = 200
        except asyncio.CancelledError:
            if progress is not None:
                progress.outcome = "caller_left"
            raise
        finally:
            self._in_flight -= 1
            self._note_end(request, admitted, progress, status)

    def _refuse(
        self, request: inbound.Request, reply: inbound.Reply, refusal: failure.Refusal
    ) -> int:
        headers = tornado.httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                names.OUTCOME_HEADER: refusal.outcome.value,
                **self._dialect.refused(self._dialect.read_call(request.headers).request_id),
            }
        )
        if refusal.retry_after is not None:
            headers["Retry-After"] = f"{refusal.retry_after:.2f}"
        body = {"error": {"code": refusal.code, "message": refusal.reason}}
        reply.whole(refusal.status, "", headers, json.dumps(body).encode())
        return refusal.status

    def _note_end(
        self,
        request: inbound.Request,
        admitted: admitting.Admitted | failure.Refusal,
        progress: forwarding.Progress | None,
        status: int,
    ) -> None:
        seconds = clock.elapsed() - request.received_at
        if isinstance(admitted, failure.Refusal):
            self._ended.labels("", str(status), admitted.code).inc()
            self._log.info(
                "request_refused",
                request=self._dialect.read_call(request.headers).request_id,
                host=request.headers.get("Host", ""),
                path=request.path,
                status=status,
                code=admitted.code,
                configuration_age=round(self._knowledge.configuration_age(), 3),
            )
            return
        assert progress is not None
        outcome = progress.outcome.partition(":")[0]
        self._ended.labels(admitted.route.name, str(status), outcome).inc()
        self._seconds.labels(admitted.route.name).observe(seconds)
        self._log.info(
            "request_ended",
            request=admitted.call.request_id,
            route=admitted.route.name,
            workspace=admitted.workspace,
            model=admitted.call.model,
            configuration=admitted.configuration,
            target=progress.target,
            sends=progress.sends,
            rejections=progress.rejections,
            events=progress.events,
            status=status,
            outcome=progress.outcome,
            ms=round(seconds * 1000),
        )


class _ReadyHandler(tornado.web.RequestHandler):
    def initialize(self, relay: Relay) -> None:
        self._relay = relay

    def get(self) -> None:
        self.set_status(200 if self._relay.ready else 503)


def _bind(address: str) -> list["tornado.netutil.socket.socket"]:
    host, _, port = address.rpartition(":")
    return tornado.netutil.bind_sockets(int(port), address=host, backlog=1024)
