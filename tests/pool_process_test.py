"""A pool's node as a real process: settings, readiness, logs and exit codes."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys

import pyjson5
import pytest
import tornado.httpclient

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.node import pool_demo
from basilpost.settings import pool_loader, pool_schema

ROOT = pathlib.Path(__file__).parents[1]
PROGRAM = (sys.executable, "-m", "basilpost.node.pool_process")
# Values that the platform fills into the template of a node's settings.
PLATFORM_VALUES = {
    "contracts": ["base", "platform"],
    "nodeName": "front-a-1",
    "zone": "a",
    "region": "r",
    "bootstrap": True,
    "bounds.graceS": 4,
    "bounds.retryBudgetRatio": 0.2,
    "bounds.budgetSlack": 136,
}


def node_settings(store):
    """Returns deploy/node.jsonc with its placeholders filled in as the platform does."""
    host = pool_demo.random_loopback_host()
    values = {
        **PLATFORM_VALUES,
        "ip": host,
        "listen.front": f"{host}:{pool_demo.CALLERS_PORT}",
        "listen.readiness": f"{host}:{pool_demo.READINESS_PORT}",
        "internalPorts.0": pool_demo.PEER_PORT,
        "internalPorts.1": pool_demo.METRICS_PORT,
        "platform.address": store,
    }
    text = (ROOT / "deploy" / "node.jsonc").read_text()
    for name, value in values.items():
        text = text.replace("{{" + name + "|json}}", json.dumps(value))
        text = text.replace("{{" + name + "}}", str(value))
    return text


async def start(path):
    """Starts a node with a settings file and returns its process."""
    return await asyncio.create_subprocess_exec(
        *PROGRAM,
        env={**os.environ, "BASILPOST_CONFIG": str(path)},
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


@pytest.mark.processes
async def test_a_node_serves_stops_as_planned_and_logs_each_step(tmp_path):
    fleet = pool_fleet.PoolFleet(vms=3, plain_instances=1)
    await fleet.start()
    path = tmp_path / "node.jsonc"
    path.write_text(node_settings(fleet.store.address))
    settings = pool_loader.load(str(path)).settings
    child = await start(path)
    client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
    try:
        await wait_until_ready(client, settings.readiness)
        await pool_fleet.until(fleet.open_groups)
        answer = await client.fetch(
            f"http://{settings.callers}/filing/a",
            method="POST",
            body=b"x",
            headers={
                "Host": pool_fleet.HOST,
                "X-Attempt-Id": "one",
                "X-Credential": pool_fleet.KEY,
            },
        )
        assert answer.code == 200
        metrics = await client.fetch(f"http://{settings.host}:{settings.metrics_port}/metrics")
        for name in (
            b"basilpost_requests_total",
            b"basilpost_request_wait_seconds_bucket",
            b'basilpost_targets{service="desk",state="warm"} 1.0',
            b"basilpost_knowledge_age_seconds",
            b"basilpost_store_calls_total",
            b"basilpost_caller_body_bytes",
            b"basilpost_log_lines_dropped 0.0",
            b"process_start_time_seconds",
            b"process_resident_memory_bytes",
            b"process_open_fds",
        ):
            assert name in metrics.body, name
        child.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        child.send_signal(signal.SIGTERM)
        out, err = await asyncio.wait_for(child.communicate(), 15)
    finally:
        if child.returncode is None:
            child.kill()
        await fleet.stop()
    assert (child.returncode, err) == (0, b"")
    lines = [json.loads(line) for line in out.decode().splitlines()]
    events = [line["event"] for line in lines]
    assert {
        "node_starting",
        "node_started",
        "configuration_in_force",
        "pool_control_gained",
        "request_ended",
        "settings_reload_ignored",
        "node_stopping",
        "pool_control_released",
        "node_stopped",
    } <= set(events)
    (ended,) = [line for line in lines if line["event"] == "request_ended"]
    assert (ended["request"], ended["status"], ended["node"]) == ("one", 200, "front-a-1")


def ignores_hangup(pid):
    """Returns True if a process ignores SIGHUP, according to SigIgn in its /proc status."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    (ignored,) = [line.split()[1] for line in lines if line.startswith("SigIgn")]
    return bool(int(ignored, 16) & 1 << signal.SIGHUP - 1)


@pytest.mark.processes
async def test_a_reload_that_comes_while_a_node_starts_does_not_end_it(tmp_path):
    fleet = pool_fleet.PoolFleet(vms=0, plain_instances=1)
    await fleet.start()
    path = tmp_path / "node.jsonc"
    path.write_text(node_settings(fleet.store.address))
    settings = pool_loader.load(str(path)).settings
    child = await start(path)
    client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
    try:
        await pool_fleet.until(lambda: ignores_hangup(child.pid))
        child.send_signal(signal.SIGHUP)
        await wait_until_ready(client, settings.readiness)
        assert child.returncode is None
    finally:
        child.kill()
        await child.wait()
        await fleet.stop()


@pytest.mark.processes
async def test_bad_settings_end_the_node_with_every_error_named(tmp_path):
    path = tmp_path / "node.jsonc"
    path.write_text(node_settings("127.0.0.1:1").replace('"front-a-1"', "7").replace('"a"', "[]"))
    child = await start(path)
    out, err = await asyncio.wait_for(child.communicate(), 15)
    assert child.returncode == 2
    assert b"node_id" in err and b"failure_domain" in err


@pytest.mark.processes
async def test_missing_settings_end_the_node(tmp_path):
    child = await start(tmp_path / "none")
    _, err = await asyncio.wait_for(child.communicate(), 15)
    assert child.returncode == 2
    assert b"none" in err


def test_the_deployed_packages_are_those_of_the_project():
    """requirements.txt pins what a node needs, at the versions of constraints.txt for tests."""
    pins = dict(line.split("==") for line in (ROOT / "constraints.txt").read_text().split())
    deployed = dict(line.split("==") for line in (ROOT / "requirements.txt").read_text().split())
    assert deployed
    assert {name: pins.get(name) for name in deployed} == deployed


async def wait_until_ready(client, address):
    async with asyncio.timeout(15):
        while True:
            try:
                await client.fetch(f"http://{address}/api/ready")
                return
            except (OSError, tornado.httpclient.HTTPError):
                await asyncio.sleep(0.05)


@dataclasses.dataclass(frozen=True)
class Running:
    """A node process before a plain service, and a client of it."""

    fleet: pool_fleet.PoolFleet
    path: pathlib.Path
    child: asyncio.subprocess.Process
    client: tornado.httpclient.AsyncHTTPClient
    settings: pool_schema.PoolNodeSettings

    async def reload(self, text):
        """Changes the settings file, sends SIGHUP, and returns once the node has read it."""
        self.path.write_text(text)
        self.child.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        await wait_until_ready(self.client, self.settings.readiness)

    async def stop(self):
        """Stops the node as planned; returns the lines of its log."""
        self.child.send_signal(signal.SIGTERM)
        out, _ = await asyncio.wait_for(self.child.communicate(), 15)
        return [json.loads(line) for line in out.decode().splitlines()]


@contextlib.asynccontextmanager
async def running(folder, *, grace_seconds):
    """Starts a node with a grace period; yields it and the content of its settings file."""
    fleet = pool_fleet.PoolFleet(vms=0, plain_instances=1)
    await fleet.start()
    path = folder / "node.jsonc"
    raw = pyjson5.decode(node_settings(fleet.store.address))
    raw["bounds"]["grace_seconds"] = grace_seconds
    path.write_text(json.dumps(raw))
    settings = pool_loader.load(str(path)).settings
    child = await start(path)
    client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
    try:
        await wait_until_ready(client, settings.readiness)
        yield Running(fleet, path, child, client, settings), raw
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
        await fleet.stop()


@pytest.mark.processes
@pytest.mark.parametrize("is_told", [True, False], ids=["hangup", "at-the-stop"])
async def test_a_grace_that_shrinks_is_ignored_until_the_next_start(tmp_path, is_told):
    """Requests that the node took would be cut by SIGKILL at the end of the new grace."""
    short_grace = 3.0
    async with running(tmp_path, grace_seconds=12.0) as (node, raw):
        raw["bounds"]["grace_seconds"] = short_grace
        raw["region"] = "other"
        if is_told:
            await node.reload(json.dumps(raw))
        else:
            node.path.write_text(json.dumps(raw))
        for runner in node.fleet.runners_by_id.values():
            # Longer than the new grace, and than the timeout of the route.
            runner.options.work_seconds = 10.0
        slow = asyncio.ensure_future(
            node.client.fetch(
                f"http://{node.settings.callers}/filing/a",
                method="POST",
                body=b"x",
                headers=pool_fleet.call_headers("slow", budget_ms=20_000),
                raise_error=False,
            )
        )
        await asyncio.sleep(0.2)
        stopped_at = clock.elapsed()
        lines = await node.stop()
        stopped_in = clock.elapsed() - stopped_at
        await asyncio.gather(slow, return_exceptions=True)
    assert stopped_in < short_grace
    assert [line["applied"] for line in lines if line["event"] == "settings_reloaded"] == [
        ["bounds.grace_seconds"]
    ]
    refused = [line for line in lines if line["event"] == "settings_reload_ignored"]
    assert [line["fields"] for line in refused] == [["region"]] * len(refused)
    assert refused and {line["level"] for line in refused} == {"error"}


@pytest.mark.processes
async def test_a_settings_file_that_cannot_be_read_ends_a_running_node(tmp_path):
    async with running(tmp_path, grace_seconds=4.0) as (node, _):
        await node.reload("{")
        lines = await node.stop()
        assert node.child.returncode == 0
    assert "settings_reload_refused" in {line["event"] for line in lines}
