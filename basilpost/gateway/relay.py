"""Serves callers over HTTP: admits requests, forwards them by route, drains at a planned stop."""

import asyncio
import dataclasses
import json
import math
import random
import socket
from collections.abc import Callable

import prometheus_client
import tornado.httputil
import tornado.netutil
import tornado.web

from basilpost.core import (
    caller_stream,
    catalog,
    clock,
    connection_limits,
    connection_memory,
    failure,
    kernel,
    listener,
    names,
    page_server,
    tasks,
    turns,
)
from basilpost.gateway import (
    attempts,
    body_memory,
    connection_bounds,
    detour_service,
    detours,
    forwarding,
    inbound,
    load_control,
    request_admission,
    request_recorder,
    retry_budgets,
    status_probe,
)
from basilpost.members import knowledge as knowledges
from basilpost.members import loads as loads_
from basilpost.members import reachability
from basilpost.routing import (
    crash_store,
    crashes,
    departures,
    durations,
    header_dialect,
    named_limits,
    pauses,
)
from basilpost.routing import targets as targets_
from basilpost.settings import pool_schema

# Fixed limits of the HTTP server, beside those of `body_memory`. They are above all limits that operators may configure, because the
# server starts before the node may have read the configuration.
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
# Heads up to this multiple of the operators' limit are read, so that their callers get an answer.
READ_HEADER_FACTOR = 2
# A node whose configuration is older than this reports that it is not ready.
READY_MAX_AGE_SECONDS = 4.0
# The load balancer may take this long to notice that the node reports not ready, and sends new
# connections until then.
READINESS_NOTICE_SECONDS = 2.5
# The drain ends this long before the grace period, the time between SIGTERM and SIGKILL, or by this share
# of a short one.
DRAIN_MARGIN_SECONDS = 0.8
DRAIN_MARGIN_SHARE = 0.15
# Share of the grace period in which requests are accepted that will probably end before the drain does.
# After it, only requests whose deadline is before the end of the drain are.
DRAIN_ACCEPT_SHARE = 0.33
DRAIN_POLL_SECONDS = 0.05
# Passes of the event loop from a readable socket to the head of the request on it.
READ_PASSES = 4
# A caller refused by a draining node may retry almost at once, because other nodes serve.
STOPPING_RETRY_SECONDS = 0.05
POOL_SWEEP_SECONDS = 1.0
# Share of the configured retry bounds that the nodes spend. The rest covers bursts, because the nodes
# spend their retries independently.
RETRY_SPEND_SHARE = 0.7
LISTEN_BACKLOG = 1024
_SERVER_OPTIONS = {
    "max_header_size": MAX_HEADER_BYTES,
    "max_body_size": MAX_BODY_BYTES,
    "max_buffer_size": MAX_BODY_BYTES,
    "chunk_size": caller_stream.READ_BYTES,
}


class Relay(kernel.Service, tornado.httputil.HTTPServerConnectionDelegate):
    """Serves callers, and answers the load balancer's readiness checks.

    It finds the node's other services by name in the kernel, which is the registry of services. The
    header dialect among them is the set of HTTP headers of the users' platform: it parses the headers
    of requests and responses and makes those that are sent.

    Attributes:
        knowledge: The configuration and VMs that this node knows.
        forwarder: Sends the requests to targets.
        recorder: Knows the requests in flight and logs their ends.
    """

    def __init__(self, *, kernel: kernel.Kernel, settings: pool_schema.PoolNodeSettings) -> None:
        self._settings = settings
        self._log = kernel.log
        self._tasks = tasks.TaskSet(log=kernel.log)
        self._request_tasks = tasks.TaskSet(log=kernel.log)
        self._dialect = kernel.find(names.HEADER_DIALECT, header_dialect.HeaderDialect)
        self.knowledge = kernel.find(names.KNOWLEDGE, knowledges.Knowledge)
        rng = random.Random()
        loads = kernel.find(names.LOADS, loads_.Loads)
        self._reachability = kernel.find(names.REACHABILITY, reachability.Reachability)
        self._detours = detours.Detours(
            kernel=kernel,
            failure_domain=settings.failure_domain,
            dialect=self._dialect,
            rng=rng,
        )
        self._admission = request_admission.RequestAdmission(
            knowledge=self.knowledge, dialect=self._dialect, rng=rng
        )
        self.forwarder = forwarding.Forwarder(
            node_id=kernel.node_id,
            failure_domain=settings.failure_domain,
            source_host=settings.source_host,
            dialect=self._dialect,
            targets=kernel.find(names.TARGETS, targets_.Targets),
            loads=loads,
            retries=retry_budgets.RetryBudgets(
                bounds=retry_budgets.RetryBounds(
                    share=settings.bounds.retry_share * RETRY_SPEND_SHARE,
                    reserve=settings.bounds.retry_reserve * RETRY_SPEND_SHARE,
                ),
                node_count=loads.node_count,
                first_start=settings.first_start,
                registry=kernel.registry,
                log=kernel.log,
            ),
            crashes=kernel.find(names.CRASHES, crashes.CrashTracker),
            limits=kernel.find(names.LIMITS, named_limits.NamedLimits),
            runner_pauses=kernel.find(names.PAUSES, pauses.RunnerPauses),
            runner_departures=kernel.find(names.DEPARTURES, departures.Departures),
            reachability=self._reachability,
            node_detours=self._detours,
            control=kernel.find(names.LOAD_CONTROL, load_control.LoadControl),
            rng=rng,
            log=kernel.log,
        )
        self._reachability.ask = status_probe.StatusProbe(
            connect=self.forwarder.sender.connect,
            dialect=self._dialect,
            knowledge=self.knowledge,
        ).ask
        self._bodies = body_memory.BodyMemory(
            max_bytes=int(settings.memory_mb * body_memory.BYTES_PER_MB * body_memory.MEMORY_SHARE)
        )
        self._bounds = connection_bounds.divide(
            max_descriptors=settings.max_descriptors, memory_mb=settings.memory_mb
        )
        self._crash_store = kernel.find(names.CRASH_STORE, crash_store.CrashStore)
        self._connection_memory = connection_memory.ConnectionMemory(
            max_bytes=int(
                settings.memory_mb * body_memory.BYTES_PER_MB * connection_memory.MEMORY_SHARE
            ),
            log=kernel.log,
            registry=kernel.registry,
        )
        self._read_turns = turns.Turns()
        self._server = caller_stream.CallerListener(
            self,
            make_stream=self._make_stream,
            name="callers",
            kernel=kernel,
            limits=self._connection_limits,
            **_SERVER_OPTIONS,
        )
        self._detour_service = detour_service.DetourService(
            kernel=kernel,
            make_server=lambda delegate: _make_server(
                delegate,
                name="detours",
                kernel=kernel,
                limits=lambda: connection_limits.Limits(max_connections=self._bounds.nodes),
            ),
            admit=self._admit,
            forwarder=self.forwarder,
            make_body=self._make_body,
            spawn=self._request_tasks.spawn,
        )
        self._servers = (self._server, self._detour_service.server)
        self._readiness_server = page_server.make(
            application=tornado.web.Application(
                [(r"/.*", _ReadyHandler, {"relay": self})], log_function=lambda handler: None
            ),
            name="readiness",
            kernel=kernel,
        )
        self._draining = False
        self._stop_began_at: float | None = None
        self._accept_likely_until = math.inf
        self._drain_until = math.inf
        self._grace = settings.bounds.grace_seconds
        self._durations = durations.RecentDurations()
        self.recorder = request_recorder.RequestRecorder(kernel=kernel, knowledge=self.knowledge)
        open_connections = prometheus_client.Gauge(
            "basilpost_caller_connections",
            "Open connections of callers, with an unanswered request (busy) or without one (idle)",
            ["state"],
            registry=kernel.registry,
        )
        held_bodies = prometheus_client.Gauge(
            "basilpost_caller_body_bytes",
            "Bytes of callers' request bodies that this node holds or has room for",
            registry=kernel.registry,
        )
        held_bodies.set_function(lambda: self._bodies.held)
        open_connections.labels("idle").set_function(lambda: self._server.idle)
        open_connections.labels("busy").set_function(lambda: self._server.busy)

    async def start(self) -> None:
        """Starts listening for callers and for readiness checks."""
        self._tasks.keep_running(self.forwarder.stall_detector.run, name="stall-watch")
        self._tasks.keep_running(self.forwarder.planned_moves.run, name="planned-moves")
        self._tasks.keep_running(self.forwarder.sender.silent_targets.run, name="silent-targets")
        self._tasks.keep_running(self._connection_memory.run, name="connection-memory")
        self._tasks.keep_running(self.recorder.run, name="request-list")
        self._tasks.keep_running(self._sweep_pool, name="connection-sweep")
        self._server.add_sockets(_bind(self._settings.callers))
        self._detour_service.server.add_sockets(
            _bind(f"{self._settings.host}:{self._settings.detour_port}")
        )
        self._readiness_server.add_sockets(_bind(self._settings.readiness))
        self._log.info("relay_listening", address=self._settings.callers)

    async def drain(self) -> None:
        """Ends the service to callers: afterwards no connection of a caller is open.

        The node reports not ready at once. Requests are accepted if their deadline is before the end of
        the drain, and for `DRAIN_ACCEPT_SHARE` of the grace period also if they may run again and nearly
        all like them would have ended by then. At the first moment without a request in flight, nothing
        is read from callers any more. Requests that are still in flight at the end are cut.
        """
        self._draining = True
        began_at = self._stop_began_at = clock.elapsed()
        self._set_drain_end(began_at)
        for server in self._servers:
            server.announce_close()
        await asyncio.sleep(min(READINESS_NOTICE_SECONDS, self._drain_until - began_at))
        await self._wait_until_answered()
        # No request can arrive between the last look at those in flight and the end of acceptance,
        # because there is no await between them.
        idle, busy = self._server.idle, self.in_flight
        for server in self._servers:
            server.stop_accepting()
        self._log.info(
            "relay_drained",
            cut=busy,
            ms=round((clock.elapsed() - began_at) * 1000),
            idle=idle,
            busy=busy,
        )
        await self._close_connections()

    def set_grace(self, seconds: float) -> None:
        """Sets the time between SIGTERM and SIGKILL, also while this node drains."""
        self._grace = seconds
        if self._stop_began_at is not None:
            self._set_drain_end(self._stop_began_at)

    def _set_drain_end(self, began_at: float) -> None:
        margin = min(DRAIN_MARGIN_SECONDS, self._grace * DRAIN_MARGIN_SHARE)
        self._accept_likely_until = began_at + self._grace * DRAIN_ACCEPT_SHARE
        self._drain_until = began_at + self._grace - margin

    async def _wait_until_answered(self) -> None:
        """Waits until no request is in flight, at most until the end of the drain."""
        while clock.elapsed() < self._drain_until:
            if not self.in_flight:
                # Requests that have reached the socket are read within a few passes of the event loop.
                for _ in range(READ_PASSES):
                    await asyncio.sleep(0)
                if not self.in_flight:
                    return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _close_connections(self) -> None:
        """Cancels the requests in flight and closes all connections of callers."""
        for server in self._servers:
            server.stop_accepting()
        await self._request_tasks.close()
        for server in self._servers:
            await server.close_all_connections()

    async def stop(self) -> None:
        """Stops listening, cancels running requests and closes all connections."""
        self._log.info("relay_stopping", idle=self._server.idle, busy=self._server.busy)
        await self._close_connections()
        self._readiness_server.stop()
        await self._tasks.close()
        await self.forwarder.loss_probe.close()
        await self.forwarder.sender.silent_targets.close()
        await self.forwarder.sender.close()
        self._detours.pool.close()

    @property
    def in_flight(self) -> int:
        """Returns the number of requests whose head has arrived and whose answer is not written."""
        return sum(server.busy for server in self._servers)

    @property
    def ready(self) -> bool:
        """Returns True while the load balancer may send new connections to this node."""
        return (
            not self._draining
            and self.knowledge.configuration is not None
            and self.knowledge.configuration_age() < READY_MAX_AGE_SECONDS
            and self._crash_store.is_informed()
            and (self._reachability.has_path or self._detours.available)
        )

    async def _sweep_pool(self) -> None:
        while True:
            await asyncio.sleep(POOL_SWEEP_SECONDS)
            self.forwarder.sender.sweep()
            self._detours.pool.sweep()

    def start_request(
        self,
        server_conn: object,
        request_conn: tornado.httputil.HTTPConnection,
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Returns the reader of a new request; part of Tornado's delegate interface."""
        return inbound.Request(
            connection=request_conn,
            server=self._server,
            handler=self._serve,
            make_body=self._make_body,
            spawn=lambda handling: self._request_tasks.spawn(handling, name="request"),
            on_dropped=self._record_dropped,
        )

    def _connection_limits(self) -> connection_limits.Limits:
        """Returns the operators' limits, and defaults for those that they do not name."""
        configuration = self.knowledge.configuration
        if configuration is None:
            return connection_limits.Limits(max_connections=self._bounds.callers)
        limits = configuration.limits
        default = connection_limits.DEFAULT_SECONDS
        return connection_limits.Limits(
            max_connections=self._bounds.callers,
            max_header_bytes=limits.max_header_bytes * READ_HEADER_FACTOR,
            header_seconds=limits.header_seconds if limits.header_seconds > 0 else default,
            idle_seconds=limits.idle_seconds if limits.idle_seconds > 0 else default,
        )

    def _record_dropped(self, request: inbound.Request) -> None:
        call = self._dialect.parse_request(request.headers)
        self.recorder.record_dropped(request, call, stop_began_at=self._stop_began_at)

    def _make_stream(self, connection: socket.socket) -> caller_stream.CallerStream:
        return caller_stream.CallerStream(
            connection,
            memory=self._connection_memory,
            read_turns=self._read_turns,
            max_buffer_size=MAX_BODY_BYTES,
        )

    def _make_body(self, request: inbound.Request) -> body_memory.Body:
        return self._admission.make_body(request, self._bodies)

    async def _serve(self, request: inbound.Request, reply: inbound.Reply) -> None:
        summary = self.recorder.begin(request, self._dialect.parse_request(request.headers))
        try:
            summary = await self._answer(request, reply, summary)
            await reply.wait_sent()
        except asyncio.CancelledError:
            outcome = "caller_left" if request.caller_left else "cut_by_stop"
            summary = dataclasses.replace(self.recorder.known(request), outcome=outcome)
            raise
        except Exception as error:
            summary = dataclasses.replace(
                self.recorder.known(request),
                outcome="internal_error",
                reason=f"{type(error).__name__}: {error}",
            )
            raise
        finally:
            self.recorder.record(request, reply, summary, stop_began_at=self._stop_began_at)

    async def _answer(
        self,
        request: inbound.Request,
        reply: inbound.Reply,
        summary: request_recorder.RequestSummary,
    ) -> request_recorder.RequestSummary:
        """Serves a request; returns `summary` with how it ended."""
        admitted = self._admission.refuse_long_head(request) or self._admit(request)
        if isinstance(admitted, failure.Refusal):
            return self._refuse(reply, admitted, summary)
        progress = attempts.Progress(
            admitted=admitted,
            fingerprint=crashes.request_fingerprint(
                admitted.workspace, request.target, request.body
            ),
        )
        summary = dataclasses.replace(summary, progress=progress)
        self.recorder.update(request, summary)
        running = self._durations.begin(admitted.route.name, began_at=request.received_at)
        result: object = None
        try:
            if admitted.route.streaming:
                result = await self.forwarder.stream(progress, request, reply)
            else:
                result = await self.forwarder.fetch(progress, request)
        except asyncio.CancelledError:
            if request.caller_left:
                raise
            return self._cut(reply, summary, progress)
        finally:
            answered = isinstance(result, attempts.WholeAnswer | attempts.Streamed)
            self._durations.end(running, answered=answered)
        match result:
            case failure.Refusal():
                return self._refuse(reply, result, summary)
            case attempts.WholeAnswer():
                headers = self._dialect.response_headers(result.head.headers)
                reply.send_whole(result.head.status, result.head.reason, headers, result.body)
                return dataclasses.replace(summary, status=result.head.status, outcome="answered")
            case attempts.BrokenOff():
                return dataclasses.replace(summary, outcome="broken_off", reason=result.reason)
            case _:
                return dataclasses.replace(summary, status=200, outcome="streamed")

    def _admit(
        self, request: inbound.Request
    ) -> request_admission.AdmittedRequest | failure.Refusal:
        """Admits a request, unless this node does not know enough yet or is about to stop."""
        if request.body_refusal is not None:
            return request.body_refusal
        admitted = self._admission.admit(request)
        if isinstance(admitted, failure.Refusal):
            return admitted
        if not self._crash_store.is_informed():
            return _starting_refusal()
        if not self._can_finish_before_stop(admitted):
            return _stopping_refusal()
        return admitted

    def _cut(
        self,
        reply: inbound.Reply,
        summary: request_recorder.RequestSummary,
        progress: attempts.Progress,
    ) -> request_recorder.RequestSummary:
        """Ends a request that the end of the drain has cancelled, with an answer if none has begun."""
        refusal = attempts.corrected_refusal(progress, _cut_refusal())
        if not reply.started:
            return self._refuse(reply, refusal, summary)
        reply.abort()
        return dataclasses.replace(summary, outcome=refusal.code, reason=refusal.reason)

    def _can_finish_before_stop(self, admitted: request_admission.AdmittedRequest) -> bool:
        """Returns False if the request would probably still run when the drain ends.

        One that may run only once must not be able to: after a cut its caller could do nothing.
        """
        now = clock.elapsed()
        if admitted.deadline < self._drain_until:
            return True
        if admitted.route.repeat is catalog.Repeat.ONCE or now >= self._accept_likely_until:
            return False
        return now + self._durations.estimate(admitted.route.name) < self._drain_until

    def _refuse(
        self,
        reply: inbound.Reply,
        refusal: failure.Refusal,
        summary: request_recorder.RequestSummary,
    ) -> request_recorder.RequestSummary:
        headers = tornado.httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                names.OUTCOME_HEADER: refusal.outcome.value,
                **self._dialect.refusal_headers(summary.call.request_id),
            }
        )
        if refusal.retry_after is not None:
            headers["Retry-After"] = f"{refusal.retry_after:.2f}"
        body = {"error": {"code": refusal.code, "message": refusal.reason}}
        reply.send_whole(refusal.status, "", headers, json.dumps(body).encode())
        return dataclasses.replace(
            summary,
            status=refusal.status,
            outcome=refusal.code,
            reason=refusal.reason,
            cause=refusal.cause,
        )


def _stopping_refusal() -> failure.Refusal:
    return failure.Refusal(
        reason="the node is stopping",
        code="stopping",
        status=503,
        retry_after=STOPPING_RETRY_SECONDS,
    )


def _starting_refusal() -> failure.Refusal:
    return failure.Refusal(
        reason="the node does not know yet which requests crash targets",
        code="starting",
        status=503,
        retry_after=STOPPING_RETRY_SECONDS,
    )


def _cut_refusal() -> failure.Refusal:
    return failure.Refusal(
        reason="the node stopped before the answer was complete",
        code="cut_by_stop",
        status=503,
        retry_after=STOPPING_RETRY_SECONDS,
    )


class _ReadyHandler(tornado.web.RequestHandler):
    def initialize(self, relay: Relay) -> None:
        self._relay = relay

    def get(self) -> None:
        self.set_status(200 if self._relay.ready else 503)


def _make_server(
    delegate: tornado.httputil.HTTPServerConnectionDelegate,
    *,
    name: str,
    kernel: kernel.Kernel,
    limits: Callable[[], connection_limits.Limits],
) -> listener.Listener:
    return listener.Listener(
        delegate,
        name=name,
        kernel=kernel,
        limits=limits,
        **_SERVER_OPTIONS,
    )


def _bind(address: str) -> list[socket.socket]:
    host, _, port = address.rpartition(":")
    return tornado.netutil.bind_sockets(int(port), address=host, backlog=LISTEN_BACKLOG)
