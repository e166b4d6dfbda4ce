"""The base class of the handlers that forward requests; reads bodies under limits."""

import asyncio
import dataclasses
from collections.abc import Awaitable

import structlog
import tornado.http1connection
import tornado.web

from basilpost.core import clock, data, failure, hashing, names
from basilpost.gateway import context, dispatch, refusals, request_parsing, upload_memory
from basilpost.members import standing
from basilpost.routing import interfaces

# Disables Tornado's own limit; this handler enforces the configured one and answers with a refusal.
_UNLIMITED_BODY_BYTES = 1 << 40
# The body of a refused request is read and discarded, so that its caller can read the refusal, but only
# up to this multiple of the body limit. Beyond it the connection is closed.
_DISCARD_FACTOR = 16
_REPLAYED_HEADER = "Basilpost-Replayed"
TARGET_HEADER = "Basilpost-Target"


@tornado.web.stream_request_body
class CallHandler(context.BaseHandler):
    """Base of the handlers that forward a request to a target.

    Attributes:
        caller_request_id: Request id that the caller sees.
        request_id: Unique request id that targets see.
        arrived_at: Event loop's time at which the headers arrived.
        service_name: Name of the called service, empty before it is known.
    """

    caller_request_id = ""
    request_id = ""

    def initialize(self, context: context.Context) -> None:
        """Stores the shared context; called by Tornado for each request."""
        super().initialize(context)
        self._upload: upload_memory.Upload | None = None
        self._size = 0
        self._is_counted = False
        self._refusal: failure.Refusal | None = None
        self._upload_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self.arrived_at = clock.monotonic()
        self.service_name = ""

    def prepare(self) -> None:
        """Checks the headers and starts the upload timer, before the body is read."""
        self.context.in_flight += 1
        self._is_counted = True
        self.http_connection().set_max_body_size(_UNLIMITED_BODY_BYTES)
        seconds = self.context.settings.gateway.upload_seconds
        self._upload_timer = asyncio.get_running_loop().call_later(
            seconds, self._refuse_slow_upload, seconds
        )
        self._upload = self.context.uploads.begin(give_up=self._give_up_upload)
        self._refusal = self._head_refusal()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Stores a chunk of the body, or discards it if the request is refused anyway."""
        gateway = self.context.settings.gateway
        self._size += len(chunk)
        if self._size > gateway.max_body_bytes * _DISCARD_FACTOR:
            self.http_connection().close()
        if self._refusal is None and self._size > gateway.max_body_bytes:
            self._refusal = refusals.too_large(gateway.max_body_bytes)
        if self._upload is None:
            return None
        if self._refusal is None and not self.context.uploads.add(
            self._upload, chunk, max_held=gateway.max_buffered_bytes
        ):
            self._refusal = refusals.memory_full()
        if self._refusal is not None:
            self._release_body()
        return None

    async def run(self, body: bytes) -> None:
        """Handles the request once its whole body has arrived."""
        raise NotImplementedError

    async def run_until_disconnect(self) -> None:
        """Runs the request in a task that is cancelled when the caller disconnects."""
        self._cancel_upload_timer()
        if self._refusal is not None:
            self.refuse(self._refusal)
            return
        body = self.context.uploads.end(self._upload) if self._upload is not None else b""
        with structlog.contextvars.bound_contextvars(request_id=self.caller_request_id):
            self._task = asyncio.create_task(self.run(body))
            try:
                await self._task
            except asyncio.CancelledError:
                if not self._task.cancelled():
                    raise

    def on_connection_close(self) -> None:
        """Cancels the request, because the caller has disconnected."""
        self._cancel_upload_timer()
        if self._task is not None:
            self._task.cancel()
        self._release()

    def on_finish(self) -> None:
        """Releases the memory and the count of the request."""
        self._cancel_upload_timer()
        self._release()

    def refuse(self, refusal: failure.Refusal) -> None:
        """Answers with a refusal; a draining node also asks for the connection to be closed."""
        refusals.write(self, refusal, close=self.context.draining)
        self.count_answer(refusal.status, refusal.outcome)

    def answer(self, answered: dispatch.Answered) -> None:
        """Sends a target's complete answer to the caller."""
        self.set_status(answered.status)
        for name, value in answered.headers:
            self.set_header(name, value)
        self.set_header(names.OUTCOME_HEADER, failure.Outcome.RAN.value)
        self.set_header(TARGET_HEADER, answered.target)
        if answered.replayed:
            self.set_header(_REPLAYED_HEADER, "true")
        if self.context.draining:
            self.set_header("Connection", "close")
        self.context.metrics.first_byte.labels(self.service_name).observe(
            clock.monotonic() - self.arrived_at
        )
        self.finish(answered.body)
        self.count_answer(answered.status, failure.Outcome.RAN)

    def set_default_headers(self) -> None:
        """Adds the request id to every answer, refusals included."""
        if not self.caller_request_id:
            self.caller_request_id, self.request_id = request_parsing.request_ids(
                self.request.headers
            )
        self.set_header(names.REQUEST_ID_HEADER, self.caller_request_id)

    def node_refusal(self) -> failure.Refusal | None:
        """Returns a refusal if the node stops or may have an outdated view, else None."""
        verdict = self.context.standing.check()
        if self.context.stopping:
            return refusals.stopping()
        if isinstance(verdict, standing.NotServing):
            return refusals.not_serving(verdict)
        return None

    def without_current_view(self, refusal: failure.Refusal) -> failure.Refusal:
        """Returns the refusal of what the configuration does not have, given by a node that may lack it.

        Such a node, as one that has just started, knows neither keys and services nor whether a request
        that may be a repeat has run.
        """
        verdict = self.context.standing.check()
        if not isinstance(verdict, standing.NotServing):
            return refusal
        return dataclasses.replace(refusals.not_serving(verdict), outcome=failure.Outcome.UNKNOWN)

    def may_be_repeat(self) -> bool:
        """Returns True if the request may repeat one that has run, which only the ledger knows."""
        return False

    def calling_workspace(self, config: data.Config) -> data.Workspace | failure.Refusal:
        """Returns the workspace of the caller's API key, or a refusal."""
        return self.context.key_index.find_workspace(config, self.request.headers)

    def routing_request(
        self,
        workspace: data.Workspace,
        service: data.Service,
        body: bytes,
        *,
        idempotent: bool,
        affinity: str = "",
    ) -> interfaces.Request | failure.Refusal:
        """Returns what routing needs to know of this request, or a refusal.

        Args:
            workspace: Workspace of the caller.
            service: The called service.
            body: The whole body.
            idempotent: True if the request may run more than once.
            affinity: Hash of the beginning of the conversation, empty for none.
        """
        self.service_name = service.name
        if not request_parsing.may_call(workspace, service):
            return refusals.forbidden(workspace.name, service.name)
        deadline = request_parsing.deadline(self.request.headers, service)
        if isinstance(deadline, failure.Refusal):
            return deadline
        fingerprint = hashing.body_digest(
            f"{workspace.name}\0{self.request.method}\0{self.request.path}\0".encode() + body
        )
        return interfaces.Request(
            request_id=self.request_id,
            workspace=workspace.name,
            service=service.name,
            idempotent=idempotent,
            deadline=deadline,
            affinity=affinity,
            fingerprint=fingerprint,
            size=len(body),
        )

    def _head_refusal(self) -> failure.Refusal | None:
        context = self.context
        refusal = self.node_refusal()
        if not context.ready:
            return refusals.stopping()
        if refusal is not None and not self.may_be_repeat():
            return refusal
        workspace = self.calling_workspace(context.directory.config())
        if isinstance(workspace, failure.Refusal):
            return self.without_current_view(workspace)
        limit = context.settings.gateway.max_body_bytes
        length = self.request.headers.get("Content-Length", "0").split(",")[0].strip()
        return refusals.too_large(limit) if length.isdigit() and int(length) > limit else None

    def http_connection(self) -> tornado.http1connection.HTTP1Connection:
        """Returns the caller's connection."""
        connection = self.request.connection
        assert isinstance(connection, tornado.http1connection.HTTP1Connection)
        return connection

    def _refuse_slow_upload(self, seconds: float) -> None:
        if not self._finished:
            self.refuse(refusals.upload_timeout(seconds))

    def _give_up_upload(self) -> None:
        if not self._finished:
            self.refuse(refusals.upload_given_up())

    def _cancel_upload_timer(self) -> None:
        if self._upload_timer is not None:
            self._upload_timer.cancel()

    def count_answer(self, status: int, outcome: failure.Outcome) -> None:
        """Counts an answer in the metrics."""
        self.context.metrics.answers.labels(self.service_name, status, outcome.value).inc()

    def _release_body(self) -> None:
        if self._upload is not None:
            self.context.uploads.release(self._upload)
            self._upload = None

    def _release(self) -> None:
        self._release_body()
        if self._is_counted:
            self._is_counted = False
            self.context.in_flight -= 1
