"""Sends one request of a schedule and records its result."""

import dataclasses
import hashlib
import json
from typing import Any

from tornado import httpclient, httputil

from basilpost.core import clock, names
from basilpost.emulator import answers
from basilpost.load import records, schedule

_TIMEOUT_MARGIN_SECONDS = 5.0
_TARGET_HEADER = "Basilpost-Target"
_END_OF_STREAM = b"data: [DONE]"


@dataclasses.dataclass(kw_only=True)
class _Received:
    """The part of an answer received so far, with the arrival time of each chunk."""

    headers: httputil.HTTPHeaders = dataclasses.field(default_factory=httputil.HTTPHeaders)
    status: int = 0
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    chunk_times: list[float] = dataclasses.field(default_factory=list)

    def add_header_line(self, line: str) -> None:
        """Parses one header line; the headers of an aborted answer are kept this way."""
        if line.startswith("HTTP/"):
            self.status = httputil.parse_response_start_line(line.strip()).code
        elif line.strip():
            self.headers.parse_line(line)

    def add_chunk(self, chunk: bytes) -> None:
        self.chunks.append(chunk)
        self.chunk_times.append(clock.monotonic())


@dataclasses.dataclass(frozen=True, kw_only=True)
class Content:
    """The decoded content of an answer that may be incomplete or hold an error."""

    text: str = ""
    complete: bool = False
    ids: tuple[str, ...] = ()
    tokens: int = 0
    error: str = ""


async def send(
    client: httpclient.AsyncHTTPClient, arrival: schedule.Arrival, plan: schedule.Plan, due: float
) -> tuple[records.Record, list[float]]:
    """Sends a request; returns its record and the arrival times of the answer's chunks."""
    received = _Received()
    sent = clock.monotonic()
    error = await _fetch(client, arrival, plan, received)
    body = b"".join(received.chunks)
    content = read(arrival, received.status, body)
    record = records.Record(
        request_id=arrival.request_id,
        kind=arrival.kind,
        workspace=arrival.caller.workspace,
        gateway=arrival.gateway,
        key=arrival.key,
        scheduled=due,
        sent=sent,
        first_byte=received.chunk_times[0] if received.chunk_times else None,
        finished=clock.monotonic(),
        status=received.status,
        outcome=received.headers.get(names.OUTCOME_HEADER, ""),
        target=received.headers.get(_TARGET_HEADER, ""),
        answered_ids=(received.headers.get(names.REQUEST_ID_HEADER, ""), *content.ids),
        complete=content.complete and not error,
        answer_digest=_digest(content.text),
        expected_digest=_digest(expected_text(arrival)),
        tokens=content.tokens,
        error=error or content.error,
    )
    return record, received.chunk_times


async def _fetch(
    client: httpclient.AsyncHTTPClient,
    arrival: schedule.Arrival,
    plan: schedule.Plan,
    received: _Received,
) -> str:
    headers = {
        "Authorization": f"Bearer {arrival.caller.api_key}",
        "Content-Type": "application/json",
        names.REQUEST_ID_HEADER: arrival.request_id,
        names.DEADLINE_HEADER: str(int(plan.deadline_seconds * 1000)),
    }
    if arrival.key:
        headers[names.IDEMPOTENCY_HEADER] = arrival.key
    request = httpclient.HTTPRequest(
        arrival.gateway + arrival.path,
        method=arrival.method,
        headers=headers,
        body=arrival.body if arrival.method == "POST" else None,
        connect_timeout=plan.deadline_seconds,
        request_timeout=plan.deadline_seconds + _TIMEOUT_MARGIN_SECONDS,
        header_callback=received.add_header_line,
        streaming_callback=received.add_chunk,
        decompress_response=False,
    )
    try:
        await client.fetch(request, raise_error=False)
    except (OSError, httpclient.HTTPError) as error:
        return repr(error)
    return ""


def expected_text(arrival: schedule.Arrival) -> str:
    """Returns the content that a whole answer to the request has."""
    if arrival.kind is records.Kind.LOOK_UP:
        return arrival.path.rsplit("/", 1)[1]
    if arrival.kind is records.Kind.FILING:
        return f"{arrival.key} {hashlib.sha256(arrival.body).hexdigest()}"
    return answers.text_for(json.loads(arrival.body))


def read(arrival: schedule.Arrival, status: int, body: bytes) -> Content:
    """Decodes the body of an answer of any kind."""
    if arrival.kind is records.Kind.STREAM and status == 200:
        return _decode_events(body)
    try:
        return _decode_json(arrival.kind, status, json.loads(body))
    except (ValueError, KeyError, TypeError, IndexError) as error:
        return Content(error=f"unreadable answer: {error!r}")


def _decode_json(kind: records.Kind, status: int, answer: Any) -> Content:
    if status >= 400 or "error" in answer:
        return Content(complete=True, error=str(answer["error"]["code"]))
    if kind is records.Kind.LOOK_UP:
        return Content(text=str(answer["id"]), complete=True)
    if kind is records.Kind.FILING:
        return Content(text=f"{answer['key']} {answer['digest']}", complete=True)
    text = answer["choices"][0]["message"]["content"]
    tokens = len(text.split())
    return Content(text=text, complete=True, ids=(answer["id"],), tokens=tokens)


def _decode_events(body: bytes) -> Content:
    """Decodes server-sent events; a stream without its end mark is incomplete."""
    lines = [line for line in body.split(b"\n") if line.startswith(b"data:")]
    try:
        events = [json.loads(line[5:]) for line in lines if line != _END_OF_STREAM]
    except ValueError as error:
        return Content(error=f"unreadable event: {error!r}")
    errors = [str(event["error"]["code"]) for event in events if "error" in event]
    chunks = [event for event in events if event.get("choices")]
    parts = [chunk["choices"][0]["delta"].get("content") or "" for chunk in chunks]
    ids = {chunk["id"] for chunk in chunks}
    return Content(
        text="".join(parts),
        complete=bool(lines) and lines[-1] == _END_OF_STREAM,
        ids=tuple(sorted(ids)),
        tokens=len(parts),
        error=errors[0] if errors else "",
    )


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:16]
