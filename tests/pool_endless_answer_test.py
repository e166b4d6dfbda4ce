"""Runners whose answers never end: what they cost the node, and the requests beside them."""

import asyncio
import os
import sys

import psutil
import pytest
import tornado.httpclient

from basilpost.core import clock, codec
from basilpost.emulator import pool_fleet
from basilpost.node import pool_demo
from tests import pool_nodes

CONNECT_SECONDS = 1.0
# An entry VM has 300 MB; a node that serves uses some 60 of them.
MAX_GROWTH_BYTES = 80_000_000
BUDGET_MS = 4000
PLAIN_KINDS = ("status", "head", "interim", "body", "chunks")
STREAM_KINDS = (*PLAIN_KINDS, "event", "events")


class Node:
    """A node process before an emulated platform, and a client of it."""

    def __init__(self, folder):
        self.fleet = pool_fleet.PoolFleet(fabric_domains=3, vms=6, plain_instances=3)
        self._folder = folder
        self._client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=pool_nodes.MAX_CALLS
        )
        self._number = 0

    async def start(self):
        await self.fleet.start()
        self.settings = pool_demo.node_settings("node-0", self.fleet.store.address)
        path = self._folder / "node.jsonc"
        path.write_bytes(codec.to_json(self.settings))
        with (self._folder / "node.log").open("wb") as log:  # noqa: ASYNC230
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "basilpost.node.pool_process",
                env={**os.environ, "BASILPOST_CONFIG": str(path)}, stdout=log, stderr=log,
            )  # fmt: skip
        await pool_fleet.until(lambda: self.fleet.open_groups(pool_fleet.LARGE))
        async with asyncio.timeout(15.0):
            while not all([await self.call(path) for path in ("lookup", "draft")]):
                await asyncio.sleep(0.1)

    async def close(self):
        self.process.kill()
        await self.process.wait()
        await self.fleet.stop()

    @property
    def resident_bytes(self):
        return psutil.Process(self.process.pid).memory_info().rss

    async def call(self, path):
        """Sends a request; returns True if it was served whole."""
        self._number += 1
        model = pool_fleet.LARGE if path == "draft" else ""
        headers = pool_fleet.call_headers(f"r{self._number}", model=model, budget_ms=BUDGET_MS)
        request = tornado.httpclient.HTTPRequest(
            f"http://{self.settings.callers}/{path}/a",
            headers=headers,
            request_timeout=BUDGET_MS / 1000 + 1.0,
        )
        try:
            return (await self._client.fetch(request)).code == 200
        except (tornado.httpclient.HTTPError, OSError):
            return False

    async def measure(self, *, sound_path, endless_path, calls):
        """Returns the share of sound requests served beside others, memory growth and time."""
        before, peak = self.resident_bytes, 0
        began_at = clock.elapsed()
        endless = [asyncio.create_task(self.call(endless_path)) for _ in range(calls)]
        sound = []
        while not all(call.done() for call in endless) or clock.elapsed() < began_at + 2.0:
            sound.append(asyncio.create_task(self.call(sound_path)))
            await asyncio.sleep(0.05)
            peak = max(peak, self.resident_bytes)
        served = [await call for call in sound]
        return sum(served) / len(served), peak - before, clock.elapsed() - began_at


@pytest.fixture
async def node(tmp_path):
    node = Node(tmp_path)
    try:
        await node.start()
        yield node
    finally:
        await node.close()


def make_endless(node, kind, *, streams):
    for runner in node.fleet.runners_by_id.values():
        if bool(runner.fabric_domain) is streams:
            runner.options.endless = kind


@pytest.mark.processes
@pytest.mark.parametrize("kind", PLAIN_KINDS)
async def test_answers_of_plain_services_never_end(node, kind):
    make_endless(node, kind, streams=False)
    served, growth, seconds = await node.measure(
        sound_path="draft", endless_path="lookup", calls=12
    )
    assert growth < MAX_GROWTH_BYTES, (growth, served, seconds)
    assert served > 0.9, (growth, served, seconds)
    assert seconds < BUDGET_MS / 1000 + 2.0


@pytest.mark.processes
@pytest.mark.parametrize("kind", STREAM_KINDS)
async def test_streams_never_end(node, kind):
    make_endless(node, kind, streams=True)
    served, growth, seconds = await node.measure(
        sound_path="lookup", endless_path="draft", calls=12
    )
    assert growth < MAX_GROWTH_BYTES, (growth, served, seconds)
    assert served > 0.9, (growth, served, seconds)
    assert seconds < BUDGET_MS / 1000 + 2.0
