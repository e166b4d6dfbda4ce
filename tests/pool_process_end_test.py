"""The log tells how the process of a pool's node ended, and which requests were in flight."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import pytest
import structlog.testing
import tornado.httpclient

from basilpost.core import codec
from basilpost.emulator import pool_fleet
from basilpost.members import node_registry
from basilpost.node import pool_demo
from tests import pool_nodes

EXIT_SECONDS = 15.0
BUDGET_MS = 8000
# Runs a node with one more service, whose statements are filled in.
FAULTY_NODE = """
import asyncio, signal, sys
from basilpost.core import kernel
from basilpost.node import pool_assembly, pool_main

build = pool_assembly.build

class Faulty(kernel.Service):
    async def start(self):
        {start}

def build_faulty(settings):
    node = build(settings)
    node.register("faulty", Faulty())
    return node

pool_assembly.build = build_faulty
sys.exit(pool_main.main())
"""
EXIT_ON_SIGNAL = "asyncio.get_running_loop().add_signal_handler(signal.SIGWINCH, sys.exit, 3)"


class EndingNode:
    """A node process before an emulated platform, with one stream that takes seconds."""

    def __init__(self, folder):
        self.fleet = pool_fleet.PoolFleet(vms=3, plain_instances=1)
        self._folder = folder
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def start(self, *, fault="pass"):
        await self.fleet.start()
        settings = pool_demo.node_settings("node-0", self.fleet.store.address)
        self._callers = settings.callers
        path = self._folder / "node.jsonc"
        path.write_bytes(codec.to_json(settings))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", FAULTY_NODE.format(start=fault),
            env={**os.environ, "BASILPOST_CONFIG": str(path)},
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip

    async def close(self):
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self.fleet.stop()

    @contextlib.asynccontextmanager
    async def streaming(self, attempt):
        """Sends a request for a stream; it is in flight at a runner in the body of the context."""
        async with asyncio.timeout(EXIT_SECONDS):
            while (await self._call("first")).code != 200:
                await asyncio.sleep(0.05)
        for runner in self.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 50, 0.1
        calling = asyncio.ensure_future(self._call(attempt))
        await pool_fleet.until(lambda: self.fleet.runs_of(attempt))
        yield
        await asyncio.wait([calling])
        calling.exception()

    async def _call(self, attempt):
        headers = pool_fleet.call_headers(attempt, model=pool_fleet.LARGE, budget_ms=BUDGET_MS)
        request = tornado.httpclient.HTTPRequest(
            f"http://{self._callers}/draft/a", method="POST", body=b"x", headers=headers
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except OSError as error:
            return tornado.httpclient.HTTPResponse(request, 599, error=error)

    async def end(self):
        """Waits until the process has ended; returns the lines of its log."""
        async with asyncio.timeout(EXIT_SECONDS):
            out, _ = await self.process.communicate()
        return [json.loads(line) for line in out.splitlines()]


@pytest.fixture
async def node(tmp_path):
    node = EndingNode(tmp_path)
    yield node
    await node.close()


@pytest.mark.processes
async def test_a_process_that_ends_by_itself_leaves_no_line(node):
    # Only standard error had a traceback, and the lines in the buffer were lost.
    await node.start(fault=EXIT_ON_SIGNAL)
    async with node.streaming("cut-by-exit"):
        node.process.send_signal(signal.SIGWINCH)
        lines = await node.end()
    assert node.process.returncode == 3
    ended = lines[-1]
    assert (ended["event"], ended["cause"], ended["exit_code"]) == ("node_ended", "SystemExit", 3)
    assert ended["requests"] == ["cut-by-exit"]


@pytest.mark.processes
async def test_an_error_of_a_service_ends_the_process_without_a_line(node):
    await node.start(fault="raise MemoryError('no memory')")
    lines = await node.end()
    assert node.process.returncode == 1
    ended = lines[-1]
    assert (ended["event"], ended["cause"], ended["exit_code"]) == ("node_ended", "MemoryError", 1)
    assert ended["exception"][0]["exc_type"] == "MemoryError"
    assert ended["node"] == "node-0"


@pytest.mark.processes
async def test_an_error_in_a_callback_is_not_in_the_log(node):
    # It was on standard error only.
    await node.start(fault="asyncio.get_running_loop().call_soon(lambda: 1 / 0)")
    await pool_fleet.until(lambda: node.fleet.open_groups(pool_fleet.LARGE))
    node.process.send_signal(signal.SIGTERM)
    lines = await node.end()
    (message,) = [line for line in lines if line["event"] == "library_message"]
    assert (message["library"], message["level"]) == ("asyncio", "error")
    assert message["exception"][0]["exc_type"] == "ZeroDivisionError"


@pytest.mark.processes
@pytest.mark.parametrize("signal_number", [signal.SIGUSR1, signal.SIGALRM])
async def test_a_signal_ends_the_process_without_a_line(node, signal_number):
    await node.start()
    async with node.streaming("cut-by-signal"):
        node.process.send_signal(signal_number)
        lines = await node.end()
    assert node.process.returncode == -signal_number
    ended = lines[-1]
    assert (ended["event"], ended["cause"]) == ("node_ended", signal_number.name)
    assert ended["requests"] == ["cut-by-signal"]


@pytest.mark.processes
async def test_a_kill_leaves_no_line_of_the_requests_in_flight(node):
    await node.start()
    async with node.streaming("cut-by-kill"):
        # Longer than the interval between two lines, and shorter than the stream.
        await asyncio.sleep(3.5)
        node.process.kill()
        lines = await node.end()
    events = [line["event"] for line in lines if line.get("request") == "cut-by-kill"]
    assert events == ["request_placed"]
    listed = [line["requests"] for line in lines if line["event"] == "requests_in_flight"]
    assert listed[-1] == ["cut-by-kill"]


@pytest.mark.processes
async def test_the_last_line_of_a_planned_stop_names_the_process(node):
    await node.start()
    await pool_fleet.until(lambda: node.fleet.open_groups(pool_fleet.LARGE))
    node.process.send_signal(signal.SIGTERM)
    lines = await node.end()
    assert node.process.returncode == 0
    starting, ended = lines[0], lines[-1]
    assert (starting["event"], starting["pid"]) == ("node_starting", node.process.pid)
    assert (ended["event"], ended["cause"], ended["exit_code"]) == ("node_ended", "stop", 0)


async def test_no_node_logs_that_another_one_was_killed_and_has_returned():
    async with pool_nodes.running(nodes=2) as bench:
        await pool_fleet.until(lambda: all(peers.neighbours() for peers in bench.peers))
        # A killed process does not remove its record.
        killed = bench.kernels[1].find("registry", node_registry.Registry)
        killed._has_written, killed._version = False, 0
        with structlog.testing.capture_logs() as lines:
            await bench.kernels[1].stop()
            await bench.add("node-1", first_start=False)
            await pool_fleet.until(lambda: restarts(lines))
    assert restarts(lines) == ["node-1"]


def restarts(lines):
    """Returns the nodes of which node-0 has logged a restart."""
    logged = [line for line in lines if line["event"] == "node_restarted"]
    return [line["peer"] for line in logged if line["node"] == "node-0"]
