"""The callers' HTTP handlers: uploads, model calls, plain services and health."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable
from typing import Any

import prometheus_client
import structlog
import tornado.http1connection
import tornado.iostream
import tornado.web

from basilpost.core import clock, data, failure, hashing, names
from basilpost.gateway import callers, dispatch, meters, refusals, streams
from basilpost.gateway import filings as filings_
from basilpost.members import directory, standing
from basilpost.routing import policy
from basilpost.runs import ledger
from basilpost.settings import schema

_NO_TORNADO_LIMIT = 1 << 40
_DISCARD_FACTOR = 16
_TARGET_HEADER = "Basilpost-Target"
_REPLAYED_HEADER = "Basilpost-Replayed"


@dataclasses.dataclass(kw_only=True)
class Context:
    """What all handlers of one node share; `stopping` and the counts change while it runs."""

    settings: schema.NodeSettings
    directory: directory.Directory
    standing: standing.Standing
    admission: policy.Admission
    quarantine: policy.Quarantine
    dispatcher: dispatch.Dispatcher
    filings: filings_.Filings
    meters: meters.Meters
    registry: prometheus_client.CollectorRegistry
    keys: callers.KeyIndex = dataclasses.field(default_factory=callers.KeyIndex)
    ready: bool = False
    draining: bool = False
    stopping: bool = False
    in_flight: int = 0
    body_bytes: int = 0


class PlainHandler(tornado.web.RequestHandler):
    """Base of handlers that answer at once."""

    def initialize(self, context: Context) -> None:
        """Takes the shared context."""
        self.context = context

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers an unexpected failure in the same form as a refusal."""
        outcome = failure.Outcome.UNKNOWN if status_code >= 500 else failure.Outcome.NOT_RUN
        code = "internal_error" if status_code >= 500 else "bad_request"
        refusals.write(
            self,
            failure.Refusal(reason=self._reason, code=code, status=status_code, outcome=outcome),
        )


class AliveHandler(PlainHandler):
    """Says that the process runs."""

    def get(self) -> None:
        """Answers 200."""
        self.write({"alive": True})


class ReadyHandler(PlainHandler):
    """Says whether the balancer should send work here."""

    def get(self) -> None:
        """Answers 200, or 503 with the reason."""
        verdict = self.context.standing.check()
        if self.context.draining or not self.context.ready:
            self.set_status(503)
            self.write({"ready": False, "reason": "stopping or starting"})
        elif isinstance(verdict, standing.NotServing):
            self.set_status(503)
            self.write({"ready": False, "reason": verdict.reason})
        else:
            self.write({"ready": True})


class MetricsHandler(PlainHandler):
    """Serves the node's metrics."""

    def get(self) -> None:
        """Answers in the Prometheus text format."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest(self.context.registry))


class NoRouteHandler(PlainHandler):
    """Answers paths that do not exist."""

    def prepare(self) -> None:
        """Refuses."""
        refusals.write(self, refusals.no_route(self.request.path))


class ModelsHandler(PlainHandler):
    """Lists the models that a workspace may call."""

    def get(self) -> None:
        """Answers OpenAI's list."""
        config = self.context.directory.config()
        workspace = self.context.keys.workspace(config, self.request.headers)
        if isinstance(workspace, failure.Refusal):
            refusals.write(self, workspace)
            return
        found = [
            {"id": name, "object": "model", "created": 0, "owned_by": "basilpost"}
            for name in callers.model_names(config, workspace)
        ]
        self.write({"object": "list", "data": found})


@tornado.web.stream_request_body
class CallHandler(PlainHandler):
    """Base of the handlers that pass a request on: takes the body in under limits."""

    shown_id = ""
    request_id = ""

    def initialize(self, context: Context) -> None:
        """Takes the shared context."""
        super().initialize(context)
        self._pieces: list[bytes] = []
        self._size = 0
        self._counted = False
        self._refusal: failure.Refusal | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._arrived = clock.monotonic()
        self._service_name = ""

    def prepare(self) -> None:
        """Checks who calls and how much it sends before the body is read."""
        self.context.in_flight += 1
        self._counted = True
        self._connection().set_max_body_size(_NO_TORNADO_LIMIT)
        seconds = self.context.settings.gateway.upload_seconds
        self._timer = asyncio.get_running_loop().call_later(seconds, self._upload_late, seconds)
        self._refusal = self._refused_by_head()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keeps a piece of the body, or discards it when the request is refused anyway."""
        gateway = self.context.settings.gateway
        self._size += len(chunk)
        if self._size > gateway.max_body_bytes * _DISCARD_FACTOR:
            self._connection().close()
        if self._refusal is None and self._size > gateway.max_body_bytes:
            self._refusal = refusals.too_large(gateway.max_body_bytes)
        elif self._refusal is None and self.context.body_bytes > gateway.max_buffered_bytes:
            self._refusal = refusals.memory_full()
        if self._refusal is not None:
            return None
        self._pieces.append(chunk)
        self.context.body_bytes += len(chunk)
        return None

    async def run(self, body: bytes) -> None:
        """Handles the request whose whole body has come."""
        raise NotImplementedError

    async def pass_on(self) -> None:
        """Runs the request in a task that ends when its caller goes away."""
        self._stop_timer()
        if self._refusal is not None:
            self.refuse(self._refusal)
            return
        body = b"".join(self._pieces)
        self._task = asyncio.create_task(self.run(body))
        with structlog.contextvars.bound_contextvars(request_id=self.shown_id):
            try:
                await self._task
            except asyncio.CancelledError:
                if not self._task.cancelled():
                    raise

    def on_connection_close(self) -> None:
        """Cancels the request of a caller that has gone away."""
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()
        self._release()

    def on_finish(self) -> None:
        """Frees what the request held."""
        self._stop_timer()
        self._release()

    def refuse(self, refusal: failure.Refusal) -> None:
        """Answers with a refusal; a node that stops asks its callers to connect anew."""
        refusals.write(self, refusal, close=self.context.draining)
        self._count_answer(refusal.status, refusal.outcome)

    def answer(self, answered: dispatch.Answered) -> None:
        """Answers with a target's whole answer."""
        self.set_status(answered.status)
        for name, value in answered.headers:
            self.set_header(name, value)
        self.set_header(names.OUTCOME_HEADER, failure.Outcome.RAN.value)
        self.set_header(_TARGET_HEADER, answered.target)
        if answered.replayed:
            self.set_header(_REPLAYED_HEADER, "true")
        if self.context.draining:
            self.set_header("Connection", "close")
        self.context.meters.first_byte.labels(self._service_name).observe(
            clock.monotonic() - self._arrived
        )
        self.finish(answered.body)
        self._count_answer(answered.status, failure.Outcome.RAN)

    def set_default_headers(self) -> None:
        """Adds the request id to every answer, refusals included."""
        if not self.shown_id:
            self.shown_id, self.request_id = callers.request_ids(self.request.headers)
        self.set_header(names.REQUEST_ID_HEADER, self.shown_id)

    def refused_now(self) -> failure.Refusal | None:
        """Refuses new work on a node that stops, or whose view may be outdated."""
        verdict = self.context.standing.check()
        if self.context.stopping:
            return refusals.stopping()
        if isinstance(verdict, standing.NotServing):
            return refusals.out_of_standing(verdict)
        return None

    def may_be_repeat(self) -> bool:
        """Returns True if the request may repeat one that has run, so that only the ledger knows."""
        return False

    def caller(self, config: data.Config) -> data.Workspace | failure.Refusal:
        """Returns who calls."""
        return self.context.keys.workspace(config, self.request.headers)

    def request_for(
        self,
        workspace: data.Workspace,
        service: data.Service,
        body: bytes,
        *,
        idempotent: bool,
        affinity: str = "",
    ) -> policy.Request | failure.Refusal:
        """Builds the routing record of this request."""
        self._service_name = service.name
        if not callers.may_call(workspace, service):
            return refusals.forbidden(workspace.name, service.name)
        deadline = callers.deadline(self.request.headers, service)
        if isinstance(deadline, failure.Refusal):
            return deadline
        fingerprint = hashing.body_digest(
            f"{workspace.name}\0{self.request.method}\0{self.request.path}\0".encode() + body
        )
        return policy.Request(
            request_id=self.request_id,
            workspace=workspace.name,
            service=service.name,
            idempotent=idempotent,
            deadline=deadline,
            affinity=affinity,
            fingerprint=fingerprint,
            size=len(body),
        )

    def _refused_by_head(self) -> failure.Refusal | None:
        context = self.context
        refusal = self.refused_now()
        if not context.ready:
            return refusals.stopping()
        if refusal is not None and not self.may_be_repeat():
            return refusal
        workspace = self.caller(context.directory.config())
        if isinstance(workspace, failure.Refusal):
            return workspace
        limit = context.settings.gateway.max_body_bytes
        length = self.request.headers.get("Content-Length", "0")
        return refusals.too_large(limit) if int(length) > limit else None

    def _connection(self) -> tornado.http1connection.HTTP1Connection:
        connection = self.request.connection
        assert isinstance(connection, tornado.http1connection.HTTP1Connection)
        return connection

    def _upload_late(self, seconds: float) -> None:
        if not self._finished:
            self.refuse(refusals.slow_upload(seconds))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _count_answer(self, status: int, outcome: failure.Outcome) -> None:
        self.context.meters.answers.labels(self._service_name, status, outcome.value).inc()

    def _release(self) -> None:
        self.context.body_bytes -= sum(len(piece) for piece in self._pieces)
        self._pieces = []
        if self._counted:
            self._counted = False
            self.context.in_flight -= 1


class CompletionHandler(CallHandler, streams.Sink):
    """Passes chat completions on to a group."""

    def initialize(self, context: Context) -> None:
        """Takes the shared context."""
        super().initialize(context)
        self._chunked = self.request.version == "HTTP/1.1"
        self._written: asyncio.Future[None] = asyncio.Future()

    async def post(self) -> None:
        """Answers OpenAI's chat completion, whole or as events."""
        await self.pass_on()

    async def run(self, body: bytes) -> None:
        """Checks, admits and relays the call."""
        config = self.context.directory.config()
        workspace = self.caller(config)
        call = callers.model_call(config, body)
        if isinstance(workspace, failure.Refusal):
            self.refuse(workspace)
            return
        if isinstance(call, failure.Refusal):
            self.refuse(call)
            return
        request = self.request_for(
            workspace, call.service, body, idempotent=True, affinity=call.affinity
        )
        if isinstance(request, failure.Refusal):
            self.refuse(request)
            return
        ticket = self.context.admission.admit(request)
        if isinstance(ticket, failure.Refusal):
            self.refuse(ticket)
            return
        try:
            await self._relay(call, request, body)
        finally:
            ticket.close()

    async def begin(self, target: str) -> None:
        """Sends the head of a streamed answer."""
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")
        self.set_header(names.OUTCOME_HEADER, failure.Outcome.RAN.value)
        self.set_header(_TARGET_HEADER, target)
        self.context.meters.first_byte.labels(self._service_name).observe(
            clock.monotonic() - self._arrived
        )
        await self.flush()

    def push(self, piece: bytes) -> bool:
        """Sends a piece of a streamed answer; returns False if the connection is congested.

        A piece that the socket takes at once goes past the library's write buffer.
        """
        stream = self._connection().stream
        if stream.closed():
            return True
        framed = b"%x\r\n%b\r\n" % (len(piece), piece) if self._chunked else piece
        if not stream.writing() and not isinstance(stream, tornado.iostream.SSLIOStream):
            try:
                framed = framed[stream.socket.send(framed) :]
            except BlockingIOError:
                pass
            except OSError:
                stream.close()
                return True
        if framed:
            self._written = stream.write(framed)
        return not framed or self._written.done()

    async def drained(self) -> None:
        """Waits until the connection has taken what was sent."""
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            await self._written

    async def _relay(self, call: callers.ModelCall, request: policy.Request, body: bytes) -> None:
        message = dispatch.Message(
            method="POST",
            path="/v1/chat/completions",
            headers={"Content-Type": "application/json"},
            body=body,
        )
        if not call.stream:
            self._conclude(await self.context.dispatcher.fetch(request, message, sized=True))
            return
        relay = streams.StreamRelay(
            dispatcher=self.context.dispatcher,
            meters=self.context.meters,
            request=request,
            message=message,
            sink=self,
            silence=call.service.stream_silence_seconds,
        )
        result = await relay.run()
        if not isinstance(result, streams.Streamed):
            self._conclude(result)
            return
        outcome = result.refusal.outcome if result.refusal else failure.Outcome.RAN
        self.finish()
        self._count_answer(200, outcome)

    def _conclude(self, result: dispatch.Answered | failure.Refusal) -> None:
        if isinstance(result, failure.Refusal):
            self.refuse(result)
        else:
            self.answer(result)


class ServiceHandler(CallHandler):
    """Passes calls of plain services on to an instance."""

    async def get(self, service: str, path: str) -> None:
        """Passes the call on."""
        await self.pass_on()

    post = put = delete = patch = get

    def may_be_repeat(self) -> bool:
        """Returns True for a request with an idempotency key."""
        return names.IDEMPOTENCY_HEADER in self.request.headers

    async def run(self, body: bytes) -> None:
        """Checks, admits and passes the call on, under a claim if it may not be repeated."""
        config = self.context.directory.config()
        workspace = self.caller(config)
        service = config.services_by_name.get(self.path_args[0])
        key = callers.idempotency_key(self.request.headers)
        if isinstance(workspace, failure.Refusal):
            self.refuse(workspace)
            return
        if isinstance(key, failure.Refusal):
            self.refuse(key)
            return
        if service is None or service.kind is not data.ServiceKind.PLAIN:
            self.refuse(refusals.unknown_service(self.path_args[0]))
            return
        result = await self._admitted(workspace, service, key, body)
        if isinstance(result, failure.Refusal):
            self.refuse(result)
        else:
            self.answer(result)

    async def _admitted(
        self, workspace: data.Workspace, service: data.Service, key: str, body: bytes
    ) -> dispatch.Answered | failure.Refusal:
        method = self.request.method or "GET"
        path = "/" + self.path_args[1]
        route = callers.route_of(service, method, path)
        request = self.request_for(workspace, service, body, idempotent=route.idempotent)
        if isinstance(request, failure.Refusal):
            return request
        if not route.idempotent and not key:
            return refusals.key_required()
        message = self._message(method, path, key, body)
        if not route.idempotent:
            return await self._file(workspace, request, message, key, route)
        refusal = self.refused_now()
        ticket = refusal or self.context.admission.admit(request)
        if isinstance(ticket, failure.Refusal):
            return ticket
        try:
            return await self.context.dispatcher.fetch(request, message)
        finally:
            ticket.close()

    async def _file(
        self,
        workspace: data.Workspace,
        request: policy.Request,
        message: dispatch.Message,
        key: str,
        route: data.Route,
    ) -> dispatch.Answered | failure.Refusal:
        """Runs a call that may not be repeated; each refusal is true for its key."""
        filings = self.context.filings
        called = f"{message.method}\0{message.path}\0".encode() + message.body
        call = ledger.Call(
            workspace=workspace.name,
            service=request.service,
            key=key,
            digest=hashing.body_digest(called),
            request_id=self.request_id,
            outcome_path=route.outcome_path,
        )
        if self.context.stopping:
            return await filings.look_up(call, request)
        refusal = self.refused_now()
        ticket = refusal or self.context.admission.admit(request)
        if isinstance(ticket, failure.Refusal):
            return await filings.vouched(call, ticket)
        try:
            return await filings.run(call, request, message)
        finally:
            ticket.close()

    def _message(self, method: str, path: str, key: str, body: bytes) -> dispatch.Message:
        query = f"?{self.request.query}" if self.request.query else ""
        headers = {
            name: self.request.headers[name]
            for name in ("Content-Type", "Accept")
            if name in self.request.headers
        }
        if key:
            headers[names.IDEMPOTENCY_HEADER] = key
        return dispatch.Message(method=method, path=path + query, headers=headers, body=body)


def application(context: Context) -> tornado.web.Application:
    """Returns the callers' application."""
    shared = {"context": context}
    return tornado.web.Application(
        [
            (r"/healthz", AliveHandler, shared),
            (r"/readyz", ReadyHandler, shared),
            (r"/metrics", MetricsHandler, shared),
            (r"/v1/models", ModelsHandler, shared),
            (r"/v1/chat/completions", CompletionHandler, shared),
            (r"/services/([A-Za-z0-9._-]+)/(.*)", ServiceHandler, shared),
        ],
        default_handler_class=NoRouteHandler,
        default_handler_args=shared,
        log_function=lambda handler: None,
    )
