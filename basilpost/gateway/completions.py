"""The handler of chat completions, which answers whole or as a stream of events."""

import asyncio
import contextlib

import tornado.iostream

from basilpost.core import clock, failure, names
from basilpost.gateway import call_handler, context, dispatch, request_parsing, streams
from basilpost.routing import interfaces


class CompletionHandler(call_handler.CallHandler, streams.Sink):
    """Forwards chat completions to a group."""

    def initialize(self, context: context.Context) -> None:
        """Stores the shared context; called by Tornado for each request."""
        super().initialize(context)
        self._chunked = self.request.version == "HTTP/1.1"
        self._last_write: asyncio.Future[None] = asyncio.Future()

    async def post(self) -> None:
        """Answers a chat completion in the format of OpenAI's API."""
        await self.run_until_disconnect()

    async def run(self, body: bytes) -> None:
        """Checks and admits the call, and relays the answer of a group."""
        config = self.context.directory.config()
        workspace = self.calling_workspace(config)
        call = request_parsing.parse_model_call(config, body)
        if isinstance(workspace, failure.Refusal):
            self.refuse(workspace)
            return
        if isinstance(call, failure.Refusal):
            self.refuse(call)
            return
        request = self.routing_request(
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

    async def send_head(self, target: str) -> None:
        """Sends the headers of a streamed answer."""
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")
        self.set_header(names.OUTCOME_HEADER, failure.Outcome.RAN.value)
        self.set_header(call_handler.TARGET_HEADER, target)
        self.context.metrics.first_byte.labels(self.service_name).observe(
            clock.monotonic() - self.arrived_at
        )
        await self.flush()

    def push(self, piece: bytes) -> bool:
        """Sends a piece of a streamed answer; returns False if the connection is congested.

        Writes to the socket directly if nothing is waiting in Tornado's write buffer, and leaves only the
        unsent rest to that buffer.
        """
        stream = self.http_connection().stream
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
            self._last_write = stream.write(framed)
        return not framed or self._last_write.done()

    async def wait_writable(self) -> None:
        """Waits until the connection has sent what was buffered."""
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            await self._last_write

    async def _relay(
        self, call: request_parsing.ModelCall, request: interfaces.Request, body: bytes
    ) -> None:
        message = dispatch.Message(
            method="POST",
            path="/v1/chat/completions",
            headers={"Content-Type": "application/json"},
            body=body,
        )
        if not call.stream:
            self._send_result(
                await self.context.dispatcher.fetch(request, message, with_length=True)
            )
            return
        relay = streams.StreamRelay(
            dispatcher=self.context.dispatcher,
            metrics=self.context.metrics,
            request=request,
            message=message,
            sink=self,
            max_silence=call.service.stream_silence_seconds,
        )
        result = await relay.run()
        if not isinstance(result, streams.Streamed):
            self._send_result(result)
            return
        outcome = result.refusal.outcome if result.refusal else failure.Outcome.RAN
        self.finish()
        self.count_answer(200, outcome)

    def _send_result(self, result: dispatch.Answered | failure.Refusal) -> None:
        if isinstance(result, failure.Refusal):
            self.refuse(result)
        else:
            self.answer(result)
