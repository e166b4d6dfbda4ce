"""A runner of a plain service, in a process of its own.

One of twenty answers of each kind has no length: "A runner's answer may have no length and end with its
channel" (RULES.md). The others have a length, or come in chunks. Each piece comes 0.25 s after the one before.
It prints what it runs.

Arguments: id, loopback address, address of the store.
"""

import asyncio
import collections
import contextlib
import json
import sys

import stand_ins

RUNNER_ID, HOST, STORE = sys.argv[1:4]
PIECE_SECONDS = 0.25
# The largest dose of `garble` with `unframed` in the site file: 0.05 of the answers.
ANSWERS_FOR_ONE_WITHOUT_LENGTH = 20
FIRST_WITHOUT_LENGTH = 8
SLOTS = 60
COUNTS = collections.Counter()


def say(**fields):
    print(json.dumps({"runner": RUNNER_ID, **fields}), flush=True)


async def serve(reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            line, headers = await stand_ins.read_head(reader)
            await stand_ins.read_body(reader, headers)
            path = line.split(" ")[1]
            if path == "/health":
                head = f"HTTP/1.1 200 OK\r\nX-Runner-Id: {RUNNER_ID}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
            elif headers.get("x-expect-runner", RUNNER_ID) != RUNNER_ID:
                head = f"HTTP/1.1 421 X\r\nX-Runner-Id: {RUNNER_ID}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
            else:
                if not await run(path, headers, writer):
                    break
            await writer.drain()
    writer.close()


async def run(path, headers, writer):
    """Runs a request and answers it; returns False if the answer ends with its channel."""
    kind, attempt = path.split("/")[1], headers["x-attempt-id"]
    COUNTS[kind] += 1
    has_length = COUNTS[kind] % ANSWERS_FOR_ONE_WITHOUT_LENGTH != FIRST_WITHOUT_LENGTH
    say(run=attempt, has_length=has_length)
    after = int(headers.get("last-event-id") or 0)
    pieces = stand_ins.parts_of(kind, attempt)[after:]
    media_type = "text/event-stream" if kind == "draft" else "text/plain"
    is_chunked = has_length and kind == "draft"
    framing = "Connection: close"
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
    elif has_length:
        framing = f"Content-Length: {sum(map(len, pieces))}"
    writer.write(
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Runner-Signature: s.{RUNNER_ID}\r\n"
        f"Content-Type: {media_type}\r\n{framing}\r\n\r\n".encode()
    )
    for piece in pieces:
        writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n" if is_chunked else piece)
        await writer.drain()
        await asyncio.sleep(PIECE_SECONDS)
    if is_chunked:
        writer.write(b"0\r\n\r\n")
    say(whole=attempt)
    return has_length


async def main():
    await asyncio.start_server(serve, HOST, stand_ins.RUNNER_PORT)
    await stand_ins.keep_checked_in(RUNNER_ID, HOST, STORE, slots=SLOTS)


if __name__ == "__main__":
    asyncio.run(main())
