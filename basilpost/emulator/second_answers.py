"""Emulates runners that answer a request twice on one connection, the second time late."""

import asyncio
import dataclasses
import random

from tornado import iostream

_REASONS = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}
NOT_RUN_STATUS = 503
SECOND_BODY = b"second"
_STATUSES = tuple(_REASONS)
# Range of the share of requests that a runner of a drawn mix answers twice.
_DRAWN_SHARE = (0.1, 0.4)
SECOND_EVENT = b"id: 1\ndata: second\n\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SecondAnswers:
    """How a runner answers requests twice.

    Requests to a plain service other than GET get their usual first answer, whatever `first_status` is.

    Attributes:
        share: Share of the requests that are answered twice, from 0 to 1.
        first_status: 200, 500 or 503; with 503 the runner says that it has not run the request.
        first_named: True if the first answer names the request.
        second_status: The same for the second answer.
        second_named: True if the second answer names the request.
        delays: Seconds between the answers, one of which is drawn for each request.
        breaks_off: True if the second answer ends after some of its bytes, drawn for each request.
    """

    share: float
    first_status: int = 500
    first_named: bool = False
    second_status: int = 200
    second_named: bool = True
    delays: tuple[float, ...] = (0.0, 0.005, 0.02, 0.08)
    breaks_off: bool = False

    def draw_delay(self, rng: random.Random) -> float | None:
        """Returns the seconds until the second answer to a request, None if it gets no second one."""
        return rng.choice(self.delays) if rng.random() < self.share else None

    def encode_second(self, attempt: str, body: bytes = SECOND_BODY) -> bytes:
        """Returns the bytes of the second answer to a request."""
        status = self.second_status
        fields = [f"HTTP/1.1 {status} {_REASONS[status]}", f"Content-Length: {len(body)}"]
        fields += [f"X-Attempt-Id: {attempt}"] if self.second_named else []
        fields.append("X-Not-Executed: 1" if status == NOT_RUN_STATUS else "X-Runner-Signature: s")
        whole = "\r\n".join([*fields, "", ""]).encode() + body
        if not self.breaks_off:
            return whole
        return whole[: random.Random(f"length {attempt}").randrange(1, len(whole))]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamCopies:
    """How copies of whole streams follow these on their connections.

    Attributes:
        share: Share of the streams that are copied, from 0 to 1.
        named: True if the copy names the request of the stream.
        delays: Seconds between the stream and its copy, one of which is drawn for each stream.
    """

    share: float
    named: bool = True
    delays: tuple[float, ...] = (0.0, 0.005, 0.02, 0.08)

    def draw_delay(self, rng: random.Random) -> float | None:
        """Returns the seconds until the copy of a stream, None if it is not copied."""
        return rng.choice(self.delays) if rng.random() < self.share else None

    def encode_copy(self, attempt: str, body: bytes) -> bytes:
        """Returns the bytes of the copy of a stream."""
        fields = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "X-Runner-Signature: s"]
        fields += [f"X-Attempt-Id: {attempt}"] if self.named else []
        fields.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*fields, "", ""]).encode() + body


def draw_second_answers(rng: random.Random) -> SecondAnswers:
    """Returns how one runner answers twice: statuses, names and share are drawn."""
    return SecondAnswers(
        share=rng.uniform(*_DRAWN_SHARE),
        first_status=rng.choice(_STATUSES),
        first_named=rng.random() < 0.5,
        second_status=rng.choice(_STATUSES),
        second_named=rng.random() < 0.5,
    )


def draw_stream_copies(rng: random.Random) -> StreamCopies:
    """Returns how copies follow the streams of one runner."""
    return StreamCopies(share=rng.uniform(*_DRAWN_SHARE), named=rng.random() < 0.5)


async def write_late(stream: iostream.IOStream, data: bytes, *, delay: float) -> None:
    """Writes bytes to a connection after some time, unless it is closed by then."""
    await asyncio.sleep(delay)
    if not stream.closed():
        stream.write(data)
