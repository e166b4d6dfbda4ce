"""Tests of the client that sends orders to runners."""

import asyncio

import pytest

from basilpost.core import catalog
from basilpost.groups import orders
from basilpost.platform import runner_client

CHUNK = b"x" * 65_536
# Buffers of a loopback connection hold some megabytes that nobody has read.
MAX_SENT_BYTES = 16_000_000
ENDLESS = {
    "body": b"HTTP/1.1 200 OK\r\n\r\n",
    "head": b"HTTP/1.1 200 OK\r\nX-Filler: ",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
}


@pytest.mark.parametrize("begin", ENDLESS.values(), ids=ENDLESS.keys())
async def test_a_runner_answers_an_order_without_end(begin):
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(begin)
        try:
            while True:
                writer.write(CHUNK)
                await writer.drain()
                sent += len(CHUNK)
        except OSError:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    vm = catalog.Vm(
        vm_id="vm",
        incarnation=1,
        service="s",
        address=f"{host}:{port}",
        failure_domain="a",
        fabric_domain="f",
        slots=1,
        leaving=False,
        cold_seconds=0.0,
        staged=(),
        member=None,
    )
    client = runner_client.PlatformRunnerClient()
    order = orders.Order(kind=orders.Kind.LEAVE, vm=vm, group="g", epoch=1)
    result = await client.send(order, fence=1, timeout=2.0)
    assert isinstance(result, orders.Unanswered)
    assert not await client.responds(vm, timeout=2.0)
    assert sent < MAX_SENT_BYTES
    server.close()
