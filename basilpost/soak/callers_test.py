"""Tests of the soak's callers: what they must not overlook."""

import asyncio

from basilpost.soak import callers

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def test_bytes_without_a_request_on_a_kept_connection_are_overlooked():
    """The caller would close the connection without a word, as it may not be used again."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        await asyncio.sleep(0.02)
        writer.write(ANSWER)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    caller = callers.RandomCaller(name="c0", addresses=(address,), seed="1")
    assert (await caller.send_request(address, "lookup", "key")).complete
    await asyncio.sleep(0.1)
    assert (await caller.send_request(address, "lookup", "key")).complete
    assert len(caller.unread) == 1
    server.close()
