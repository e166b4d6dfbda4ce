"""Withdrawn keys, routes, failure domains and VMs get no work after a bounded time.

The time is counted from the store's answer to the write. The users set the bounds for their
deployments: 5 s for keys and failure domains, 2 s for routes and leaving VMs.
"""

import asyncio
import contextlib
import itertools
import signal

import pytest
import tornado.httpclient

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.settings import pool_loader
from tests import pool_nodes, pool_process_test

KEY_SECONDS = 5.0
FAILURE_DOMAIN_SECONDS = 5.0
ROUTE_SECONDS = 2.0
LEAVING_VM_SECONDS = 2.0
# The load continues after the bound, so that a late request is seen.
WATCHED_SECONDS = 1.5


class Load:
    """A closed loop of requests at each node; records when each request was sent."""

    def __init__(self, bench):
        self._bench = bench
        self._sent_at = {}

    @contextlib.asynccontextmanager
    async def running(self):
        tasks = [
            asyncio.create_task(self._send_requests(node))
            for node in range(len(self._bench.addresses))
        ]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_requests(self, node):
        for number in itertools.count():
            attempt = f"load-{node}-{number}"
            self._sent_at[attempt] = clock.elapsed()
            await self._bench.call("/filing/a", node=node, attempt=attempt)
            await asyncio.sleep(0.02)

    def last_run(self, runners):
        """Returns when the last request that ran on any of the runners was sent, or 0.0."""
        ran = itertools.chain(*(runner.runs for runner in runners))
        return max((self._sent_at[run.attempt] for run in ran), default=0.0)


async def test_a_key_that_is_taken_away_admits_nothing_after_its_time():
    async with pool_nodes.running(nodes=3, vms=0) as bench, Load(bench).running() as load:
        await asyncio.sleep(0.5)
        await bench.fleet.configure(pool_fleet.configuration(2, keys=(pool_fleet.OTHER_KEY,)))
        withdrawn_at = clock.elapsed()
        await asyncio.sleep(KEY_SECONDS + WATCHED_SECONDS)
        last = load.last_run(bench.fleet.runners_by_id.values())
        assert 0.0 < last <= withdrawn_at + KEY_SECONDS


async def test_a_route_that_is_dropped_runs_nothing_after_its_time():
    async with pool_nodes.running(nodes=3, vms=0) as bench, Load(bench).running() as load:
        await asyncio.sleep(0.5)
        changed = pool_fleet.configuration(2)
        changed["routes"] = [route for route in changed["routes"] if route["name"] != "filing"]
        await bench.fleet.configure(changed)
        withdrawn_at = clock.elapsed()
        await asyncio.sleep(ROUTE_SECONDS + WATCHED_SECONDS)
        last = load.last_run(bench.fleet.runners_by_id.values())
        assert 0.0 < last <= withdrawn_at + ROUTE_SECONDS


async def test_a_failure_domain_that_is_taken_out_gets_nothing_after_its_time():
    async with pool_nodes.running(nodes=3, vms=0) as bench, Load(bench).running() as load:
        await asyncio.sleep(0.5)
        leaving = [
            runner for runner in bench.fleet.runners_by_id.values() if runner.failure_domain == "a"
        ]
        assert leaving
        await bench.fleet.store.put("evacuations/a", {})
        withdrawn_at = clock.elapsed()
        await asyncio.sleep(FAILURE_DOMAIN_SECONDS + WATCHED_SECONDS)
        assert load.last_run(leaving) <= withdrawn_at + FAILURE_DOMAIN_SECONDS


async def test_a_vm_that_leaves_gets_nothing_after_its_time():
    async with pool_nodes.running(nodes=3, vms=0) as bench, Load(bench).running() as load:
        await asyncio.sleep(0.5)
        leaving = bench.fleet.runners_by_id["desk-0"]
        leaving.state = "draining"
        await leaving.report()
        withdrawn_at = clock.elapsed()
        await asyncio.sleep(LEAVING_VM_SECONDS + WATCHED_SECONDS)
        assert 0.0 < load.last_run([leaving]) <= withdrawn_at + LEAVING_VM_SECONDS


@pytest.mark.processes
async def test_a_node_that_was_paused_meanwhile_admits_no_withdrawn_key(tmp_path):
    """SIGSTOP keeps the node from learning of the change; requests wait for it when it resumes."""
    fleet = pool_fleet.PoolFleet(vms=0, plain_instances=1)
    await fleet.start()
    path = tmp_path / "node.jsonc"
    path.write_text(pool_process_test.node_settings(fleet.store.address))
    settings = pool_loader.load(str(path)).settings
    child = await pool_process_test.start(path)
    client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def send_filing(attempt):
        headers = pool_fleet.call_headers(attempt)
        request = tornado.httpclient.HTTPRequest(
            f"http://{settings.callers}/filing/a", method="POST", body=b"x", headers=headers
        )
        return await client.fetch(request, raise_error=False)

    try:
        await pool_process_test.wait_until_ready(client, settings.readiness)
        assert (await send_filing("before")).code == 200
        child.send_signal(signal.SIGSTOP)
        await fleet.configure(pool_fleet.configuration(2, keys=(pool_fleet.OTHER_KEY,)))
        await asyncio.sleep(KEY_SECONDS + 0.2)
        calls = [asyncio.create_task(send_filing(f"after-{number}")) for number in range(5)]
        await asyncio.sleep(0.2)
        child.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*calls)
        assert {answer.code for answer in answers} <= {401, 503}
        assert not [run for number in range(5) for run in fleet.runs_of(f"after-{number}")]
    finally:
        child.kill()
        await child.wait()
        await fleet.stop()
