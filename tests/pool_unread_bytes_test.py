"""Callers' connections on which bytes behind a request wait unread."""

import asyncio
import contextlib
import socket

from basilpost.emulator import pool_fleet
from tests import pool_nodes, pool_stop_test

WAIT_SECONDS = 10.0


def connect(address):
    host, _, port = address.rpartition(":")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.settimeout(WAIT_SECONDS)
    caller.connect((host, int(port)))
    return caller


async def test_pipelined_requests_cost_a_slow_reader_its_answer():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.padding_bytes = 2_000_000
            runner.options.work_seconds = 0.3
        with contextlib.closing(connect(bench.addresses[0])) as caller:
            caller.sendall(pool_stop_test.request_bytes("first", body=b"x", length=1))
            await pool_fleet.until(lambda: bench.fleet.runs_of("first"))
            draining = asyncio.create_task(bench.relays[0].drain())
            await asyncio.sleep(0.05)
            for number in range(2):
                more = pool_stop_test.request_bytes(f"more-{number}", body=b"x", length=1)
                caller.sendall(more)
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            answer = await asyncio.to_thread(pool_stop_test.read_all, caller)
            await draining
        assert answer.startswith(b"HTTP/1.1 200")
        assert len(answer) > 2_000_000


async def test_a_caller_that_leaves_with_bytes_behind_its_body_is_not_noticed():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.work_seconds = 1.4
        with contextlib.closing(connect(bench.addresses[0])) as caller:
            caller.sendall(pool_stop_test.request_bytes("left", body=b"x", length=1))
            await pool_fleet.until(lambda: bench.fleet.runs_of("left"))
            caller.sendall(b"\r\n")
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.5)
        assert bench.relays[0].in_flight == 0
