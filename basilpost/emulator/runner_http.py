"""HTTP handlers of the emulated runner."""

import asyncio
import dataclasses
import json
from typing import TYPE_CHECKING, Any

from tornado import iostream

from basilpost.core import clock, codec, names
from basilpost.emulator import batch, server, silent_connections
from basilpost.groups import runner_api

if TYPE_CHECKING:
    from basilpost.emulator import runner

COLD_HEADER = "Basilpost-Cold"


def routes(owner: "runner.Runner") -> server.Routes:
    """Returns the handlers of a runner."""
    arguments = {"owner": owner}
    return [
        (r"/status", _StatusHandler, arguments),
        (r"/orders", _OrdersHandler, arguments),
        (r"/membership", _MembershipHandler, arguments),
        (r"/v1/chat/completions", _CompletionHandler, arguments),
        (r"/faults", _FaultsHandler, arguments),
        (r"/log", _LogHandler, arguments),
    ]


class _RunnerHandler(server.JsonHandler):
    def initialize(self, owner: "runner.Runner") -> None:
        self.owner = owner

    async def prepare(self) -> None:
        await self.owner.silent_connections.block_if_silent(self.request)
        await self.owner.unfrozen.wait()


class _StatusHandler(_RunnerHandler):
    def get(self) -> None:
        self.answer(codec.json_converter().unstructure(self.owner.status()))


class _OrdersHandler(_RunnerHandler):
    async def post(self) -> None:
        try:
            order = codec.from_json(self.request.body, runner_api.Order)
        except ValueError as error:
            self.answer({"error": {"code": "bad_order", "message": str(error)}}, status=400)
            return
        result = await self.owner.handle_order(order)
        if isinstance(result, runner_api.StaleFence):
            self.answer({"error": {"code": "stale_fence", "message": result.reason}}, status=409)
        else:
            self.answer({})


class _MembershipHandler(_RunnerHandler):
    """Answers rank 0's long poll: 200 if this runner is a loaded member, 409 if it is not."""

    async def get(self) -> None:
        group_id = self.get_argument("group")
        generation = int(self.get_argument("generation"))
        changed = self.owner.changed
        if self.owner.is_member(group_id, generation):
            try:
                await asyncio.wait_for(changed.wait(), float(self.get_argument("wait")))
            except TimeoutError:
                pass
        await self.owner.unfrozen.wait()
        is_member = self.owner.is_member(group_id, generation)
        self.answer({}, status=200 if is_member else 409)


class _FaultsHandler(server.JsonHandler):
    def initialize(self, owner: "runner.Runner") -> None:
        self.owner = owner

    def post(self) -> None:
        body = self.body_json()
        if body.pop("fall_cold", False):
            self.owner.return_to_cold_start()
        if body.pop("silent", False):
            self.owner.silent_connections.silence_open_connections(
                except_for=silent_connections.stream_of(self.request)
            )
        self.owner.set_faults(dataclasses.replace(self.owner.faults, **body))
        self.answer_nothing()


class _LogHandler(_RunnerHandler):
    def get(self) -> None:
        owner = self.owner
        self.answer(
            {
                "vm_id": owner.vm_id,
                "runs": [dataclasses.asdict(run) for run in owner.runs],
                "memberships": [dataclasses.asdict(span) for span in owner.memberships],
                "refused": [
                    {"request_id": request_id, "code": code}
                    for request_id, code in owner.refused_requests
                ],
                "falls": owner.crash_count,
            }
        )


class _CompletionHandler(_RunnerHandler):
    """Runs a chat completion in the batch, and answers it as server-sent events or as a whole."""

    _stream: batch.Stream | None = None

    async def post(self) -> None:
        owner = self.owner
        body = self.body_json()
        request_id = self.request.headers.get(names.REQUEST_ID_HEADER, "")
        self.set_header(names.REQUEST_ID_HEADER, request_id)
        code = owner.refusal_code(*self._target())
        if code is not None:
            self._refuse(request_id, code)
            return
        if owner.is_overloaded_when_cold() or self._triggers_crash():
            owner.log_end(owner.log_start(request_id), "broken")
            await owner.crash()
            self.drop_connection()
            return
        await self._run(request_id, body)

    def on_connection_close(self) -> None:
        """Cancels the request if the client disconnects."""
        if self._stream is not None:
            self.owner.batch.remove(self._stream, "cancelled")

    def _target(self) -> tuple[str, int]:
        headers = self.request.headers
        generation = headers.get(names.GENERATION_HEADER, "")
        return (
            headers.get(names.GROUP_HEADER, ""),
            int(generation) if generation.isdigit() else -1,
        )

    def _refuse(self, request_id: str, code: str) -> None:
        self.owner.refused_requests.append((request_id, code))
        self.set_header(names.OUTCOME_HEADER, "not-run")
        self.answer({"error": {"code": code}}, status=409 if code == "wrong_group" else 503)

    def _triggers_crash(self) -> bool:
        text = self.owner.faults.crash_on
        return bool(text) and text.encode() in self.request.body

    async def _run(self, request_id: str, body: dict[str, Any]) -> None:
        owner = self.owner
        number = owner.log_start(request_id)
        answered_id, tokens = owner.answer_for(request_id, body)
        self.set_header(names.REQUEST_ID_HEADER, answered_id)
        if owner.cold:
            self.set_header(COLD_HEADER, "1")
        start = self.request.headers.get(names.RESUME_HEADER, "")
        position = min(int(start), len(tokens)) if start.isdigit() else 0
        truncated = owner.consume_fault("truncate")
        ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._stream = batch.Stream(
            tokens=tokens,
            position=position,
            stop_at=(position + len(tokens)) // 2 if truncated else len(tokens),
            first_token_at=clock.monotonic() + owner.first_token_after(body),
            end=ended.set_result,
        )
        if body.get("stream"):
            self._open_event_stream(answered_id, body)
        owner.batch.add(self._stream)
        outcome = await ended
        owner.log_end(number, outcome)
        if outcome != "finished":
            self.drop_connection()
        elif body.get("stream"):
            await self._end_event_stream()
        elif truncated:
            await self._send_truncated(answered_id, body, tokens)
        else:
            self.answer(completion(answered_id, body, "".join(tokens)))

    def _open_event_stream(self, answered_id: str, body: dict[str, Any]) -> None:
        """Sends the response head and makes the stream write its tokens to the socket directly.

        The tokens bypass Tornado's writer, so the chunk framing of HTTP/1.1 is added here.
        """
        self.set_header("Content-Type", "text/event-stream")
        self.flush()
        before, after, last = event_parts(answered_id, body)
        connection = silent_connections.stream_of(self.request)
        is_silent = self.owner.silent_connections.is_silent
        # HTTP/1.0 has no chunked encoding.
        chunked = self.request.version != "HTTP/1.0"

        def emit(token: str, is_last: bool) -> None:
            if is_silent(connection):
                return
            event = (before + token + (last if is_last else after)).encode()
            try:
                connection.write(b"%x\r\n%b\r\n" % (len(event), event) if chunked else event)
            except iostream.StreamClosedError:
                pass

        assert self._stream is not None
        self._stream.emit = emit

    async def _end_event_stream(self) -> None:
        await self.owner.silent_connections.block_if_silent(self.request)
        self.finish()

    async def _send_truncated(
        self, answered_id: str, body: dict[str, Any], tokens: list[str]
    ) -> None:
        """Sends the first half of the body and closes the connection."""
        whole = json.dumps(completion(answered_id, body, "".join(tokens)))
        self.set_header("Content-Length", str(len(whole)))
        self.write(whole[: len(whole) // 2])
        try:
            await self.flush()
        except iostream.StreamClosedError:
            pass
        self.drop_connection()


def completion(request_id: str, body: dict[str, Any], text: str) -> dict[str, Any]:
    """Returns the JSON body of a whole answer in the format of OpenAI's API."""
    message = {"role": "assistant", "content": text}
    return {
        "id": request_id,
        "object": "chat.completion",
        "created": 0,
        "model": body.get("model", ""),
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 0, "completion_tokens": 0, "total_tokens": 0},
    }


def event_parts(request_id: str, body: dict[str, Any]) -> tuple[str, str, str]:
    """Returns the text before a token in its event, after it, and after the last token.

    They are computed once per request, so that a token costs two concatenations.
    """
    head = json.dumps(
        {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": body.get("model", ""),
        },
        separators=(",", ":"),
    )
    before = f'data: {head[:-1]},"choices":[{{"index":0,"delta":{{"content":"'
    after = '"},"finish_reason":null}]}\n\n'
    last = '"},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n'
    return before, after, last
