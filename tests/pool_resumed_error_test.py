"""Runners that answer with an error where a stream is to go on."""

import asyncio
import dataclasses

import pytest

from basilpost.emulator import pool_fleet, pool_runner
from tests import pool_nodes

FOREIGN = b"foreign text"
_HEAD = b"HTTP/1.1 %s\r\nX-Attempt-Id: @\r\nX-Runner-Signature: s\r\nContent-Type: %s\r\n"


def answer(status, body=FOREIGN, content_type=b"text/plain"):
    head = _HEAD % (status, content_type)
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


# What the runner sends that is to resume a stream after event 2.
RESUMED_ANSWERS = {
    "500": answer(b"500 Internal Server Error"),
    "503": answer(b"503 Service Unavailable"),
    "429": answer(b"429 Too Many Requests"),
    "404": answer(b"404 Not Found"),
    "refusal": answer(b"503 Service Unavailable").replace(
        b"\r\n\r\n", b"\r\nX-Not-Executed: 1\r\n\r\n"
    ),
    "page": answer(b"200 OK", b"<html>" + FOREIGN + b"</html>\n\n", b"text/html"),
    "event-without-id": answer(b"200 OK", b"data: " + FOREIGN + b"\n\n", b"text/event-stream"),
    "text-as-id": answer(b"200 OK", b"id: x\ndata: " + FOREIGN + b"\n\n", b"text/event-stream"),
    "digit-as-id": answer(b"200 OK", b"id: \xb2\ndata: " + FOREIGN + b"\n\n", b"text/event-stream"),
    "large-id": answer(
        b"200 OK", b"id: " + b"9" * 6000 + b"\ndata: " + FOREIGN + b"\n\n", b"text/event-stream"
    ),
    "answer-in-body": answer(
        b"200 OK", b"HTTP/1.1 500 Error\r\n\r\n" + FOREIGN + b"\n\n", b"text/event-stream"
    ),
    "garbage": b"\x00\xff" + FOREIGN + b"\r\n\r\n\n\n",
    "nothing": b"",
    "head-only": answer(b"500 Internal Server Error")[:40],
}


async def read_raw(bench, body=b"x"):
    """Returns all that a node writes in answer to a stream's request, until it closes or is silent."""
    host, _, port = bench.addresses[0].rpartition(":")
    headers = pool_fleet.call_headers(bench.next_attempt_id(), model=pool_fleet.LARGE)
    headers |= {"X-Deadline-Ms": "3000", "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST /draft/a HTTP/1.1\r\n{lines}\r\n".encode() + body)
    received = b""
    try:
        async with asyncio.timeout(5.0):
            while chunk := await reader.read(65_536):
                received += chunk
                if received.endswith(b"0\r\n\r\n"):
                    break
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return received


@pytest.mark.parametrize("name", RESUMED_ANSWERS)
async def test_a_stream_holds_the_error_of_the_runner_that_was_to_resume_it(name):
    """Its caller gets whole events and then a closed connection, never a complete answer."""
    async with pool_nodes.running(fabric_domains=3, vms=3) as bench:
        await bench.wait_for_groups(2, pool_fleet.LARGE)
        options = pool_runner.Options(
            cut_streams=100, resumed_answer=RESUMED_ANSWERS[name] or b"\r"
        )
        for runner in bench.fleet.runners_by_id.values():
            runner.options = dataclasses.replace(options)
        for _ in range(3):
            received = await read_raw(bench)
            head, _, body = received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert pool_nodes.event_ids(body) == [1, 2]
            assert FOREIGN not in received and b"HTTP/1.1" not in body
            assert not received.endswith(b"0\r\n\r\n")
