"""A runner of a plain service, in a process of its own.

Its answers have no length and end with their channel: "A runner's answer may have no length and end with
its channel" (RULES.md). Each piece comes 0.1 s after the one before. A request whose query names its work
in milliseconds gets an answer with a length after that time. It prints what it runs.

Arguments: id, loopback address, address of the store.
"""

import asyncio
import contextlib
import json
import sys
import time

import stand_ins

RUNNER_ID, HOST, STORE = sys.argv[1:4]
PIECE_SECONDS = 0.1


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
                await run(path, headers, writer)
                break
            await writer.drain()
    writer.close()


async def run(path, headers, writer):
    """Runs a request and answers it without a length."""
    kind, attempt = path.split("/")[1], headers["x-attempt-id"]
    say(run=attempt, path=path, at=round(time.time(), 3))
    _, names_work, work_ms = path.partition("?work=")
    if names_work:
        await asyncio.sleep(int(work_ms) / 1000)
        body = stand_ins.whole_body(kind, attempt)
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Runner-Signature: s.{RUNNER_ID}\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        )
        await writer.drain()
        say(whole=attempt, at=round(time.time(), 3))
        return
    media_type = "text/event-stream" if kind == "draft" else "text/plain"
    writer.write(
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Runner-Signature: s.{RUNNER_ID}\r\n"
        f"Content-Type: {media_type}\r\nConnection: close\r\n\r\n".encode()
    )
    after = int(headers.get("last-event-id") or 0)
    for piece in stand_ins.parts_of(kind, attempt)[after:]:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(PIECE_SECONDS)
    say(whole=attempt)


async def main():
    await asyncio.start_server(serve, HOST, stand_ins.RUNNER_PORT)
    await stand_ins.keep_checked_in(RUNNER_ID, HOST, STORE)


if __name__ == "__main__":
    asyncio.run(main())
