"""A runner of a plain service whose answers are partly followed by bytes that belong to no request.

"A faulty runner may truncate a response, send bytes that are not a response, or send additional bytes
after a complete response. Such bytes belong to no request." (PROTOCOL.md) After a share of its answers,
this runner begins a second copy of the answer and stops after a random number of bytes. The copy comes
late, where the next answer on the channel is expected. Some of its own answers are failures with 500. It
prints each answer.

Arguments: id, loopback address, address of the store, share of spoilt answers, share of failures, seed.
"""

import asyncio
import contextlib
import json
import random
import sys

import stand_ins

RUNNER_ID, HOST, STORE = sys.argv[1:4]
SPOILT_SHARE, FAILED_SHARE = map(float, sys.argv[4:6])
RNG = random.Random(int(sys.argv[6]))
WORK_SECONDS = 0.005


def say(**fields):
    print(json.dumps({"runner": RUNNER_ID, **fields}), flush=True)


def answer_to(attempt, status):
    """Returns the head and the body of an answer, in the order of headers of a usual HTTP server."""
    body = stand_ins.whole_body("lookup", attempt) if status == 200 else b"the record is locked\n"
    reason = "OK" if status == 200 else "Internal Server Error"
    head = (
        f"HTTP/1.1 {status} {reason}\r\nServer: records/4.2\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\n"
        f"Content-Type: text/plain; charset=utf-8\r\nContent-Length: {len(body)}\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Runner-Signature: s.{RUNNER_ID}.{status}.{len(body)}\r\n\r\n"
    )
    return head.encode(), body


async def serve(reader, writer):
    left_over = b""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            line, headers = await stand_ins.read_head(reader)
            await stand_ins.read_body(reader, headers)
            if line.split(" ")[1] == "/health":
                head = f"HTTP/1.1 200 OK\r\nX-Runner-Id: {RUNNER_ID}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
            elif headers.get("x-expect-runner", RUNNER_ID) != RUNNER_ID:
                head = f"HTTP/1.1 421 X\r\nX-Runner-Id: {RUNNER_ID}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
            else:
                attempt = headers["x-attempt-id"]
                await asyncio.sleep(WORK_SECONDS)
                status = 500 if RNG.random() < FAILED_SHARE else 200
                head, body = answer_to(attempt, status)
                say(answered=attempt, status=status, extra=left_over.decode())
                writer.write(left_over + head + body)
                left_over = b""
                if status == 200 and RNG.random() < SPOILT_SHARE:
                    copy = head + body
                    left_over = copy[: RNG.randrange(1, len(copy))]
            await writer.drain()
    writer.close()


async def main():
    await asyncio.start_server(serve, HOST, stand_ins.RUNNER_PORT)
    await stand_ins.keep_checked_in(RUNNER_ID, HOST, STORE)


if __name__ == "__main__":
    asyncio.run(main())
