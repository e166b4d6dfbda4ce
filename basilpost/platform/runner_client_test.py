"""Tests of the client that sends orders to runners."""

import asyncio
import contextlib

import pytest

from basilpost.core import catalog
from basilpost.emulator import pool_runner, pool_store
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


async def start_runner(stack, store, **options):
    runner = pool_runner.PoolRunner(
        vm_id="vm",
        service="s",
        store=store,
        fabric_domain="f",
        options=pool_runner.Options(load_seconds=0.01, open_seconds=0.01, **options),
    )
    await runner.start()
    stack.push_async_callback(runner.stop)
    return runner


@pytest.fixture
async def stack():
    async with contextlib.AsyncExitStack() as entered:
        yield entered


@pytest.fixture
async def store(stack):
    started = pool_store.PoolStore()
    await started.start()
    stack.push_async_callback(started.stop)
    return started


def vm_of(runner, *, member=None):
    return catalog.Vm(
        vm_id="vm",
        incarnation=runner.born,
        service="s",
        address=runner.address,
        failure_domain="a",
        fabric_domain="f",
        slots=1,
        leaving=False,
        cold_seconds=0.0,
        staged=(),
        member=member,
    )


def join_order(vm, epoch):
    return orders.Order(
        kind=orders.Kind.JOIN, vm=vm, group=f"m--{epoch}", epoch=epoch, model="m", members=("vm",)
    )


def wire_order(operation, epoch, **fields):
    return {"operation": operation, "fence": 1, "group": f"m--{epoch}", "epoch": epoch, **fields}


async def join_directly(runner, epoch):
    """Has the runner join a group at once, by another controller's order."""
    await runner.handle_order(wire_order("join", epoch, model="m", members=["vm"]))
    while runner.member["state"] != "ready":
        await asyncio.sleep(0.01)


async def test_a_join_that_is_late_is_not_carried_out_once_the_vm_has_joined_another_group(
    stack, store
):
    """The VM left a group that had been opened meanwhile (review, case 1)."""
    runner = await start_runner(stack, store, order_delay=0.3)
    client = runner_client.PlatformRunnerClient()
    late = join_order(vm_of(runner), epoch=9)
    assert isinstance(await client.send(late, fence=1, timeout=0.2), orders.Unanswered)
    await join_directly(runner, epoch=7)
    await asyncio.sleep(0.5)
    assert runner.joins == [("m--7", None)]


async def test_a_vm_in_a_serving_group_is_sent_no_join_though_its_entry_shows_none(stack, store):
    """Entries that the controller knows are up to seconds old."""
    runner = await start_runner(stack, store)
    vm = vm_of(runner)
    await join_directly(runner, epoch=7)
    client = runner_client.PlatformRunnerClient()
    result = await client.send(join_order(vm, epoch=9), fence=1, timeout=1.0)
    assert isinstance(result, orders.Unfit)
    assert runner.orders == [] and runner.joins == [("m--7", None)]
