"""Crowds of callers outside the limits, each run by a process of its own.

The process opens its connections, sends what the kind of the crowd says and then keeps the connections
open until it is killed. It reads nothing, and opens no further connection for one that was closed.

Usage: python -m tests.crowds KIND HOST:PORT CONNECTIONS
"""

import asyncio
import contextlib
import itertools
import socket
import sys

from basilpost.emulator import pool_fleet

# The limit of the tests' configurations, which the kinds are below or above.
MAX_BODY_BYTES = 1_048_576
CHUNK_BYTES = 65_536
HEAD_BYTES = 60_000
SMALL_BODY_BYTES = 60_000
DISCARDED_BODY_BYTES = 32 * MAX_BODY_BYTES
HUGE_BODY_BYTES = 10_000_000_000
SLOW_BODY_BYTES = 1_000
SLOW_PAUSE_SECONDS = 0.5
PIPELINED_REQUESTS = 4
RECEIVE_BUFFER_BYTES = 4_096
CHUNK = b"%x\r\n" % CHUNK_BYTES + bytes(CHUNK_BYTES) + b"\r\n"


def head(name, *lines, path="filing"):
    headers = pool_fleet.call_headers(name) | {"X-Deadline-Ms": "20000"}
    first = [f"POST /{path}/a HTTP/1.1", *(f"{key}: {value}" for key, value in headers.items())]
    return "\r\n".join([*first, *lines, "", ""]).encode()


def chunked(name):
    return head(name, "Transfer-Encoding: chunked")


def announced(name, length):
    return head(name, f"Content-Length: {length}")


def chunks_below_the_limit(name):
    return [chunked(name), *itertools.repeat(CHUNK, MAX_BODY_BYTES // CHUNK_BYTES - 1)]


def chunks_above_the_limit(name):
    return [chunked(name), *itertools.repeat(CHUNK, 4 * MAX_BODY_BYTES // CHUNK_BYTES)]


def chunks_without_end(name):
    return itertools.chain([chunked(name)], itertools.repeat(CHUNK))


def heads_without_end(name):
    line = b"X-Filler: " + b"y" * 100 + b"\r\n"
    return [head(name)[:-2] + line * (HEAD_BYTES // len(line))]


def tiny_chunks(name):
    return [chunked(name) + b"2\r\nxx\r\n" * (SMALL_BODY_BYTES // 2)]


def small_bodies_without_the_last_byte(name):
    return [announced(name, SMALL_BODY_BYTES) + bytes(SMALL_BODY_BYTES - 1)]


def large_bodies_without_the_last_byte(name):
    return [announced(name, MAX_BODY_BYTES) + bytes(MAX_BODY_BYTES - 1)]


def lengths_with_few_bytes(name):
    return [announced(name, MAX_BODY_BYTES) + bytes(10)]


def lengths_far_above_the_limit(name):
    return [announced(name, HUGE_BODY_BYTES), *itertools.repeat(bytes(CHUNK_BYTES), 64)]


def one_byte_at_a_time(name):
    return itertools.chain([announced(name, SLOW_BODY_BYTES)], itertools.repeat(b"x", 999))


def nothing(name):
    return []


def refused_bodies_that_go_on(name):
    pieces = itertools.repeat(bytes(CHUNK_BYTES), DISCARDED_BODY_BYTES // CHUNK_BYTES - 1)
    return itertools.chain([announced(name, DISCARDED_BODY_BYTES)], pieces)


def unread_answers(name):
    numbered = (f"{name}-{number}" for number in range(PIPELINED_REQUESTS))
    return [head(each, "Content-Length: 1", path="lookup") + b"x" for each in numbered]


KINDS = (
    chunks_below_the_limit,
    chunks_above_the_limit,
    chunks_without_end,
    heads_without_end,
    tiny_chunks,
    small_bodies_without_the_last_byte,
    large_bodies_without_the_last_byte,
    lengths_with_few_bytes,
    lengths_far_above_the_limit,
    one_byte_at_a_time,
    nothing,
    refused_bodies_that_go_on,
    unread_answers,
)
KIND_BY_NAME = {kind.__name__: kind for kind in KINDS}


async def run_member(kind, address, name):
    """Sends what a kind says on a connection, and keeps that open."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await loop.sock_connect(sock, (host, int(port)))
    with contextlib.suppress(OSError):
        for piece in kind(name):
            await loop.sock_sendall(sock, piece)
            if kind is one_byte_at_a_time:
                await asyncio.sleep(SLOW_PAUSE_SECONDS)
    await asyncio.Event().wait()
    sock.close()


async def main(kind_name, address, count):
    kind = KIND_BY_NAME[kind_name]
    names = (f"{kind_name}-{number}" for number in range(int(count)))
    await asyncio.gather(*(run_member(kind, address, name) for name in names))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
