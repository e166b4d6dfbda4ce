"""Cuts streams of server-sent events without parsing what need not be read.

A relayed answer must be whole and belong to its request, so the relay forwards complete events only,
counts them for a resume, checks that each carries the request's id, and knows the final event.
"""

import dataclasses
import json

SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """The complete events of a buffer.

    Attributes:
        events: Bytes of the complete content events.
        count: Number of those events.
        rest: Bytes of an event that is not complete yet.
        done: True if the final event came; it is not part of `events`.
    """

    events: bytes
    count: int
    rest: bytes
    done: bool


def cut(buffer: bytes) -> Cut:
    """Cuts a buffer after its last complete event."""
    end = buffer.rfind(SEPARATOR) + len(SEPARATOR)
    if end < len(SEPARATOR):
        return Cut(events=b"", count=0, rest=buffer, done=False)
    complete = buffer[:end]
    done = complete.endswith(DONE_EVENT)
    if done:
        complete = complete[: -len(DONE_EVENT)]
    return Cut(events=complete, count=complete.count(SEPARATOR), rest=buffer[end:], done=done)


def belongs(found: Cut, request_id: bytes) -> bool:
    """Returns True if every event carries the request's id."""
    return found.count == 0 or found.events.count(request_id) >= found.count


def error_event(body: bytes) -> bytes:
    """Returns the event that ends a stream which cannot be completed."""
    return b"event: error\ndata: " + json.dumps(json.loads(body)).encode() + SEPARATOR
