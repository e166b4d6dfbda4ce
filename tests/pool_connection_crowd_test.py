"""A crowd of connections at a node process whose descriptors are few."""

import asyncio
import contextlib
import os
import pathlib
import re
import resource
import socket
import sys

import pytest

from basilpost.core import codec
from basilpost.emulator import pool_fleet
from basilpost.node import pool_demo
from tests import pool_connection_limits_test

ALLOWED_DESCRIPTORS = 300
# The store, peers and runners need the rest.
MAX_DESCRIPTORS = 270
CROWD = 400
CROWD_SECONDS = 3.0
START_SECONDS = 20.0
TRIES = 5
UNWANTED_BYTES = 60_000_000
HALF_A_HEAD = b"POST /lookup/a HTTP/1.1\r\nHost: "

pytestmark = pytest.mark.processes


class Node:
    """A node process before an emulated platform, under a low limit of descriptors."""

    def __init__(self, folder):
        self.fleet = pool_fleet.PoolFleet(vms=0, plain_instances=2)
        self._folder = folder
        self._numbers = iter(range(1_000))

    async def start(self):
        await self.fleet.start()
        self.settings = pool_demo.node_settings("node-0", self.fleet.store.address)
        path = self._folder / "node.jsonc"
        path.write_bytes(codec.to_json(self.settings))
        with (self._folder / "node.log").open("wb") as log:  # noqa: ASYNC230
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "basilpost.node.pool_process",
                env={**os.environ, "BASILPOST_CONFIG": str(path)}, stdout=log, stderr=log,
                preexec_fn=lower_descriptor_limit,
            )  # fmt: skip
        async with asyncio.timeout(START_SECONDS):
            while not await self.is_served():
                await asyncio.sleep(0.1)

    async def close(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.fleet.stop()

    def address(self, listener="callers"):
        settings = self.settings
        ports = {
            "callers": settings.callers.rpartition(":")[2],
            "readiness": settings.readiness.rpartition(":")[2],
            "detours": settings.detour_port,
            "metrics": settings.metrics_port,
        }
        return settings.host, int(ports[listener])

    def peak_memory(self):
        """Returns the most memory that the process has had, in bytes."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024

    async def status_of(self, listener, path):
        """Returns the status line of a page on a new connection, empty if there is no answer."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(*self.address(listener))
                with contextlib.closing(writer):
                    writer.write(b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path)
                    return await pool_connection_limits_test.read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return b""

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def is_served(self):
        """Returns True if a request on a new connection is answered with success."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(*self.address())
                with contextlib.closing(writer):
                    attempt = f"attempt-{next(self._numbers)}"
                    writer.write(pool_connection_limits_test.request_bytes(attempt))
                    status = await pool_connection_limits_test.read_answer(reader)
                    return status.startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def is_served_in_some_tries(self):
        for _ in range(TRIES):
            if await self.is_served():
                return True
            await asyncio.sleep(0.5)
        return False


def lower_descriptor_limit():
    resource.setrlimit(resource.RLIMIT_NOFILE, (ALLOWED_DESCRIPTORS, ALLOWED_DESCRIPTORS))


@contextlib.asynccontextmanager
async def running(folder):
    node = Node(folder)
    try:
        await node.start()
        yield node
    finally:
        await node.close()


@contextlib.asynccontextmanager
async def crowd(address, data):
    """Opens the connections of a crowd, which send some bytes and stay."""
    members = [socket.socket() for _ in range(CROWD)]
    try:
        for member in members:
            member.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                member.connect(address)
            await asyncio.sleep(0.001)
            with contextlib.suppress(OSError):
                member.send(data)
        yield
    finally:
        for member in members:
            member.close()


# A node took connections until it had no descriptor left, also for its store and its runners.
@pytest.mark.parametrize("data", [b"", HALF_A_HEAD], ids=["silent", "half-a-head"])
@pytest.mark.parametrize("listener", ["callers", "readiness", "detours", "metrics"])
async def test_a_crowd_takes_the_descriptors_that_a_node_needs(tmp_path, listener, data):
    async with running(tmp_path) as node:
        peak = 0
        async with crowd(node.address(listener), data):
            for _ in range(round(CROWD_SECONDS / 0.05)):
                peak = max(peak, node.descriptors())
                await asyncio.sleep(0.05)
            beside = await node.is_served_in_some_tries()
            readiness = await node.status_of("readiness", b"/")
            metrics = await node.status_of("metrics", b"/metrics")
        after = await node.is_served_in_some_tries()
        assert node.process.returncode is None
        assert peak <= MAX_DESCRIPTORS
        assert (beside, after) == (True, True)
        assert readiness.startswith(b"HTTP/1.1 200") and metrics.startswith(b"HTTP/1.1 200")


# Bodies that no page of a server takes were read up to 100 MB each.
@pytest.mark.parametrize("listener", ["readiness", "metrics"])
async def test_a_body_that_nobody_wants_is_kept_in_memory(tmp_path, listener):
    async with running(tmp_path) as node:
        before = node.peak_memory()
        reader, writer = await asyncio.open_connection(*node.address(listener))
        head = b"POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        with contextlib.closing(writer), contextlib.suppress(ConnectionError, TimeoutError):
            writer.write(head % (UNWANTED_BYTES + 1) + b"x" * UNWANTED_BYTES)
            async with asyncio.timeout(3.0):
                await writer.drain()
        await asyncio.sleep(0.5)
        assert node.peak_memory() - before < UNWANTED_BYTES / 4
        assert await node.is_served_in_some_tries()


# A request that never ends kept its connection, and enough of them kept all others out.
@pytest.mark.parametrize("listener", ["readiness", "metrics"])
async def test_unfinished_requests_keep_the_balancer_out(tmp_path, listener):
    unfinished = b"POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
    async with running(tmp_path) as node:
        async with crowd(node.address(listener), unfinished):
            assert (await node.status_of(listener, b"/metrics")).startswith(b"HTTP/1.1 200")
        assert node.process.returncode is None
        assert await node.is_served_in_some_tries()


# Bodies that never end kept their connections, and enough of them kept all other callers out.
async def test_unfinished_bodies_keep_other_callers_out(tmp_path):
    unfinished = pool_connection_limits_test.request_bytes("unfinished")[:-1]
    async with running(tmp_path) as node:
        async with crowd(node.address(), unfinished):
            assert await node.is_served_in_some_tries()
            assert node.descriptors() <= MAX_DESCRIPTORS
        assert node.process.returncode is None
        assert await node.is_served_in_some_tries()
        assert not node.fleet.runs_of("unfinished")
