"""What is taken away gets no more work within its time, measured from the store's own answer.

The times are those that the users set for their deployments: keys 5 s, failure domains 5 s, routes and
VMs that leave 2 s.
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
CONFIGURATION_SECONDS = 2.0
LEAVING_SECONDS = 2.0
# Time to go on after the bound, so that a late one is seen.
WATCHED_SECONDS = 1.5


class Load:
    """Callers of all nodes who ask again and again; notes when each request was sent."""

    def __init__(self, bench):
        self._bench = bench
        self._sent_at = {}

    @contextlib.asynccontextmanager
    async def running(self):
        tasks = [asyncio.create_task(self._ask(node)) for node in range(len(self._bench.addresses))]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask(self, node):
        for number in itertools.count():
            attempt = f"load-{node}-{number}"
            self._sent_at[attempt] = clock.elapsed()
            await self._bench.call("/filing/a", node=node, attempt=attempt)
            await asyncio.sleep(0.02)

    def last_run(self, runners):
        """Returns when the last request was sent that ran on one of some runners."""
        ran = itertools.chain(*(runner.runs for runner in runners))
        return max((self._sent_at[one.attempt] for one in ran), default=0.0)


async def test_a_key_that_is_taken_away_admits_nothing_after_its_time():
    async with pool_nodes.running(nodes=3, vms=0) as bench, Load(bench).running() as load:
        await asyncio.sleep(0.5)
        await bench.fleet.configure(pool_fleet.configuration(2, keys=(pool_fleet.OTHER_KEY,)))
        taken_at = clock.elapsed()
        await asyncio.sleep(KEY_SECONDS + WATCHED_SECONDS)
        last = load.last_run(bench.fleet.runners_by_id.values())
        assert 0.0 < last <= taken_at + KEY_SECONDS


async def test_a_route_that_is_dropped_runs_nothing_after_its_time():
    async with pool_nodes.running(nodes=3, vms=0) as bench, Load(bench).running() as load:
        await asyncio.sleep(0.5)
        changed = pool_fleet.configuration(2)
        changed["routes"] = [one for one in changed["routes"] if one["name"] != "filing"]
        await bench.fleet.configure(changed)
        taken_at = clock.elapsed()
        await asyncio.sleep(CONFIGURATION_SECONDS + WATCHED_SECONDS)
        last = load.last_run(bench.fleet.runners_by_id.values())
        assert 0.0 < last <= taken_at + CONFIGURATION_SECONDS


async def test_a_failure_domain_that_is_taken_out_gets_nothing_after_its_time():
    async with pool_nodes.running(nodes=3, vms=0) as bench, Load(bench).running() as load:
        await asyncio.sleep(0.5)
        leaving = [one for one in bench.fleet.runners_by_id.values() if one.failure_domain == "a"]
        assert leaving
        await bench.fleet.store.put("evacuations/a", {})
        taken_at = clock.elapsed()
        await asyncio.sleep(FAILURE_DOMAIN_SECONDS + WATCHED_SECONDS)
        assert load.last_run(leaving) <= taken_at + FAILURE_DOMAIN_SECONDS


async def test_a_vm_that_leaves_gets_nothing_after_its_time():
    async with pool_nodes.running(nodes=3, vms=0) as bench, Load(bench).running() as load:
        await asyncio.sleep(0.5)
        leaving = bench.fleet.runners_by_id["desk-0"]
        leaving.state = "draining"
        await leaving.report()
        taken_at = clock.elapsed()
        await asyncio.sleep(LEAVING_SECONDS + WATCHED_SECONDS)
        assert 0.0 < load.last_run([leaving]) <= taken_at + LEAVING_SECONDS


@pytest.mark.processes
async def test_a_node_that_was_stopped_meanwhile_admits_no_key_that_was_taken_away(tmp_path):
    """The process is stopped by a signal, so that it learns nothing, and asked as it goes on."""
    fleet = pool_fleet.PoolFleet(vms=0, plain_instances=1)
    await fleet.start()
    path = tmp_path / "node.jsonc"
    path.write_text(pool_process_test.filled(fleet.store.address))
    settings = pool_loader.load(str(path)).settings
    child = await pool_process_test.start(path)
    client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def file(attempt):
        headers = pool_fleet.call_headers(attempt)
        request = tornado.httpclient.HTTPRequest(
            f"http://{settings.callers}/filing/a", method="POST", body=b"x", headers=headers
        )
        return await client.fetch(request, raise_error=False)

    try:
        await pool_process_test._until_ready(client, settings.readiness)
        assert (await file("before")).code == 200
        child.send_signal(signal.SIGSTOP)
        await fleet.configure(pool_fleet.configuration(2, keys=(pool_fleet.OTHER_KEY,)))
        await asyncio.sleep(KEY_SECONDS + 0.2)
        asked = [asyncio.create_task(file(f"after-{number}")) for number in range(5)]
        await asyncio.sleep(0.2)
        child.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*asked)
        assert {answer.code for answer in answers} <= {401, 503}
        assert not [one for number in range(5) for one in fleet.runs_of(f"after-{number}")]
    finally:
        child.kill()
        await child.wait()
        await fleet.stop()
