"""Planned stops of a pool's node: requests on connections that callers keep open."""

import asyncio
import contextlib
import dataclasses
import json
import os
import signal
import socket
import sys

import pytest
import structlog.testing
import tornado.httputil

from basilpost.core import channels, clock, codec, names
from basilpost.emulator import pool_fleet
from basilpost.node import pool_demo
from basilpost.soak import proxies
from tests import pool_nodes

GRACE_SECONDS = 8.0
CONNECT_SECONDS = 1.0
EXIT_SECONDS = 15.0
# Above what the buffers of a loopback connection hold.
PADDING_BYTES = 24_000_000
# Time budgets of callers, as on the users' sheets.
BUDGET_MS_BY_PATH = {"draft": 8000, "filing": 1500}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got for a request: its status, 0 for none, and whether it was complete."""

    attempt: str
    status: int
    complete: bool


class StoppingNode:
    """A node process whose path to the store can be silenced while it stops."""

    def __init__(self, folder):
        self.fleet = pool_fleet.PoolFleet(vms=3, plain_instances=2)
        self.store_proxy = proxies.Proxy(target="")
        self._folder = folder
        self._attempt_numbers = iter(range(1_000))

    async def start(self):
        await self.fleet.start()
        self.store_proxy.target = self.fleet.store.address
        await self.store_proxy.start()
        self.settings = pool_demo.node_settings(
            "node-0", self.store_proxy.address, grace_seconds=GRACE_SECONDS
        )
        path = self._folder / "node.jsonc"
        path.write_bytes(codec.to_json(self.settings))
        with (self._folder / "node.log").open("wb") as log:  # noqa: ASYNC230
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "basilpost.node.pool_process",
                env={**os.environ, "BASILPOST_CONFIG": str(path)}, stdout=log, stderr=log,
            )  # fmt: skip
        await pool_fleet.until(lambda: self.events("node_started"))
        await pool_fleet.until(lambda: self.fleet.open_groups(pool_fleet.LARGE))

    async def close(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.store_proxy.stop()
        await self.fleet.stop()

    def events(self, name):
        """Returns the lines of a kind of event that the node has logged."""
        lines = (self._folder / "node.log").read_text().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == name]

    async def connect(self):
        """Returns a connection on which one request has been answered already."""
        channel = await channels.Pool().acquire(self.settings.callers, timeout=CONNECT_SECONDS)
        async with asyncio.timeout(EXIT_SECONDS):
            while (await self.send(channel, "filing")).status != 200:
                await asyncio.sleep(0.05)
        return channel

    async def send(self, channel, path):
        attempt = f"attempt-{next(self._attempt_numbers)}"
        headers = pool_fleet.call_headers(
            attempt,
            model=pool_fleet.LARGE if path == "draft" else "",
            budget_ms=BUDGET_MS_BY_PATH[path],
        )
        heads = []
        channel.send("POST", f"/{path}/a", tornado.httputil.HTTPHeaders(headers), b"x")
        result = await channel.receive(on_head=heads.append, on_data=lambda data: None)
        return Answer(
            attempt=attempt,
            status=heads[-1].status if heads else 0,
            complete=isinstance(result, channels.Head),
        )

    def lost(self, answers):
        """Returns the requests that a runner ran and whose callers got no complete answer."""
        return [
            answer
            for answer in answers
            if self.fleet.runs_of(answer.attempt) and not answer.complete
        ]


@contextlib.asynccontextmanager
async def running(folder):
    node = StoppingNode(folder)
    try:
        await node.start()
        yield node
    finally:
        await node.close()


@pytest.mark.processes
async def test_requests_that_arrive_after_the_drain_are_run_and_cut(tmp_path):
    async with running(tmp_path) as node:
        connections = [await node.connect() for _ in range(12)]
        for runner in node.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 30, 0.1
            runner.options.work_seconds = 1.4
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.0)
        # The node waits for the store while it removes its record, so its end takes a second longer.
        node.store_proxy.silent |= set(proxies.Direction)
        await pool_fleet.until(lambda: node.events("relay_drained"))
        sending = []
        for number, channel in enumerate(connections):
            path = "draft" if number % 2 else "filing"
            sending.append(asyncio.create_task(node.send(channel, path)))
            await asyncio.sleep(0.01)
        async with asyncio.timeout(EXIT_SECONDS):
            answers = await asyncio.gather(*sending)
            assert await node.process.wait() == 0
        assert node.lost(answers) == []


@pytest.mark.processes
async def test_an_answer_that_is_not_written_yet_is_cut(tmp_path):
    async with running(tmp_path) as node:
        for runner in node.fleet.runners_by_id.values():
            runner.options.padding_bytes = PADDING_BYTES
        attempt = "slow-reader"
        host, _, port = node.settings.callers.rpartition(":")
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect((host, int(port)))
            caller.sendall(request_bytes(attempt, body=b"x", length=1))
            await pool_fleet.until(lambda: node.fleet.runs_of(attempt))
            node.process.send_signal(signal.SIGTERM)
            # Longer than the node waits for the load balancer, shorter than its drain may take.
            await asyncio.sleep(4.0)
            answer = await asyncio.to_thread(read_all, caller)
        async with asyncio.timeout(EXIT_SECONDS):
            assert await node.process.wait() == 0
        assert answer.startswith(b"HTTP/1.1 200")
        assert len(answer) > PADDING_BYTES


@pytest.mark.processes
async def test_a_stalled_upload_and_a_silent_store_delay_the_exit_beyond_the_grace(tmp_path):
    async with running(tmp_path) as node:
        host, _, port = node.settings.callers.rpartition(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(request_bytes("half", body=b"x", length=100))
            await asyncio.sleep(0.3)
            began_at = clock.elapsed()
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(2.0)
            node.store_proxy.silent |= set(proxies.Direction)
            async with asyncio.timeout(EXIT_SECONDS):
                assert await node.process.wait() == 0
        assert clock.elapsed() - began_at < GRACE_SECONDS


@pytest.mark.processes
@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP])
async def test_a_signal_ends_a_node_that_has_stopped_already(signal_number, tmp_path):
    async with running(tmp_path) as node:
        node.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(EXIT_SECONDS):
            while node.process.returncode is None:
                # Process.send_signal may take the exit code away from asyncio, which then reports 255.
                with contextlib.suppress(ProcessLookupError):
                    os.kill(node.process.pid, signal_number)
                await asyncio.sleep(0.002)
        assert node.events("node_stopped")
        assert node.process.returncode == 0


async def test_a_caller_is_not_told_that_a_stopping_node_closes_its_connection():
    async with pool_nodes.running(vms=0) as bench:
        runners = bench.fleet.runners_by_id.values()
        for runner in runners:
            runner.options.work_seconds = 0.5
        channel = await channels.Pool().acquire(bench.addresses[0], timeout=CONNECT_SECONDS)
        channel.send("POST", "/filing/a", filing_headers("read-before-the-stop"), b"x")
        await pool_fleet.until(lambda: any(runner.runs for runner in runners))
        draining = asyncio.create_task(bench.relays[0].drain())
        head = await channel.receive(on_head=lambda head: None, on_data=lambda data: None)
        assert (head.status, head.headers.get("Connection")) == (200, "close")
        await draining


async def test_a_request_that_outlasts_the_drain_ends_without_an_answer():
    async with pool_nodes.running(vms=0) as bench:
        runners = bench.fleet.runners_by_id.values()
        for runner in runners:
            # Below the route's timeout, but beyond the end of the drain.
            runner.options.work_seconds = 4.5
        calling = asyncio.create_task(bench.call("/filing/a"))
        await pool_fleet.until(lambda: any(runner.runs for runner in runners))
        await bench.relays[0].drain()
        answer = await calling
        assert (answer.code, answer.headers[names.OUTCOME_HEADER]) == (502, "unknown")


async def test_an_answer_that_was_cut_is_logged_as_answered():
    async with pool_nodes.running(vms=0) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.padding_bytes = PADDING_BYTES
        host, _, port = bench.addresses[0].rpartition(":")
        with socket.socket() as caller, structlog.testing.capture_logs() as lines:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect((host, int(port)))
            # Its budget does not end before the stop, however long the answer takes to be made.
            caller.sendall(request_bytes("unread", body=b"x", length=1, budget_ms=8000))
            await pool_fleet.until(lambda: bench.fleet.runs_of("unread"))
            await bench.relays[0].drain()
        ended = [line["outcome"] for line in lines if line["event"] == "request_ended"]
        assert ended == ["cut_by_stop"]


def request_bytes(attempt, *, body, length, budget_ms=1500):
    headers = pool_fleet.call_headers(attempt, budget_ms=budget_ms)
    headers["Content-Length"] = str(length)
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(["POST /filing/a HTTP/1.1", *lines, "", ""]).encode() + body


def filing_headers(attempt):
    return tornado.httputil.HTTPHeaders(pool_fleet.call_headers(attempt, budget_ms=4000))


def read_all(sock):
    """Returns all bytes until the end of a connection, also if it ends with an error."""
    sock.settimeout(EXIT_SECONDS)
    pieces = []
    with contextlib.suppress(OSError):
        while piece := sock.recv(1 << 16):
            pieces.append(piece)
    return b"".join(pieces)
