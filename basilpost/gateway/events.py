"""Splits streams of server-sent events without parsing the events.

A relayed answer must be complete and belong to its request. So the relay forwards complete events only,
counts them so that it can resume the stream, checks that each one contains the request's id, and
recognises the final event.
"""

import dataclasses
import json

SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SplitBuffer:
    """A buffer split into complete events and the rest.

    Attributes:
        events: Bytes of the complete events, without the final one.
        count: Number of those events.
        rest: Bytes of an event that is not complete yet.
        done: True if the final event has arrived.
    """

    events: bytes
    count: int
    rest: bytes
    done: bool


def split(buffer: bytes) -> SplitBuffer:
    """Splits a buffer after its last complete event."""
    end = buffer.rfind(SEPARATOR) + len(SEPARATOR)
    if end < len(SEPARATOR):
        return SplitBuffer(events=b"", count=0, rest=buffer, done=False)
    complete = buffer[:end]
    done = complete.endswith(DONE_EVENT)
    if done:
        complete = complete[: -len(DONE_EVENT)]
    return SplitBuffer(
        events=complete, count=complete.count(SEPARATOR), rest=buffer[end:], done=done
    )


def all_contain(split_buffer: SplitBuffer, request_id: bytes) -> bool:
    """Returns True if the request's id occurs at least once per event."""
    return split_buffer.count == 0 or split_buffer.events.count(request_id) >= split_buffer.count


def error_event(body: bytes) -> bytes:
    """Returns the event that ends an incomplete stream; `body` is the JSON of a refusal."""
    return b"event: error\ndata: " + json.dumps(json.loads(body)).encode() + SEPARATOR
