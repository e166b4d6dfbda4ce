"""`basilpost explain` on three kinds of failed request, from the logs of nodes that ran them."""

import asyncio
import contextlib
import json

import click.testing
import pytest
import structlog
import tornado.simple_httpclient

from basilpost.cli import explain
from basilpost.core import log, names
from basilpost.emulator import pool_fleet
from basilpost.members import path_probe
from basilpost.routing import crash_evidence, crashes
from tests import cut_links, pool_nodes


@pytest.fixture
def explain_request(tmp_path):
    """Logs to a file as a node does and yields a function that explains a request from it."""
    path = tmp_path / "node.log"
    with path.open("w") as file:
        log.configure_bounded(descriptor=file.fileno(), level="info")

        def explain_from_log(request_id):
            result = click.testing.CliRunner().invoke(explain.command, [request_id, str(path)])
            assert result.exit_code == 0
            return result.output

        yield explain_from_log
        structlog.reset_defaults()


async def test_a_request_refused_under_load(explain_request):
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        bench.fleet.runners_by_id["desk-0"].options.full = True
        answer = await bench.call("/filing/a")
        assert answer.code == 503
    output = explain_request(answer.attempt)
    assert "rejected it with 503" in output
    assert output.splitlines()[-1].endswith("it has not run")


async def test_a_broken_stream(explain_request):
    async with pool_nodes.running(vms=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.cut_streams = 1
        with contextlib.suppress(tornado.simple_httpclient.HTTPStreamClosedError):
            await bench.draft(attempt="broken-one")
    output = explain_request("broken-one")
    assert "pool_order" in output and "request_placed" in output
    verdict = output.splitlines()[-1]
    assert "could not be completed" in verdict
    assert "closed the connection" in verdict


async def test_a_request_refused_for_crashes_under_others_like_it(explain_request):
    async with pool_nodes.running(vms=0) as bench:
        tracker = bench.kernels[0].find(names.CRASHES, crashes.CrashTracker)
        for number in range(3):
            lost = crash_evidence.LostRequest(fingerprint=f"f{number}", parts=("bad",))
            tracker.record_crash(f"target-{number}", [lost])
            await asyncio.sleep(crash_evidence.SEPARATE_SECONDS * 1.1)
        await asyncio.sleep(crashes.DECISION_DELAY_SECONDS * 2)
        answer = await bench.call("/filing/a", X_Prompt_Prefix="bad:5,own:3")
        assert answer.code == 503
    output = explain_request(answer.attempt)
    assert "crash_cause_found" in output
    verdict = output.splitlines()[-1]
    assert "part bad" in verdict and "target-0, target-1, target-2" in verdict
    assert verdict.endswith("it has not run")


async def test_a_filing_with_an_unknown_outcome(explain_request):
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        bench.fleet.runners_by_id["desk-0"].options.lose_answers = 1
        answer = await bench.call("/filing/a")
        assert answer.code == 502
    verdict = explain_request(answer.attempt).splitlines()[-1]
    assert "the target went away under it" in verdict
    assert "it may have run 1 times" in verdict


async def test_each_line_names_node_and_event(explain_request, tmp_path):
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        await bench.call("/filing/a")
    lines = [json.loads(line) for line in (tmp_path / "node.log").read_text().splitlines()]
    assert all(line["event"] and line["timestamp"] for line in lines)
    assert all("node" in line for line in lines if line["event"] != "log_lines_dropped")


async def test_a_request_at_a_node_without_a_path(explain_request):
    async with pool_nodes.running(nodes=2, vms=0) as bench:
        bench.links[0].cut(cut_links.Kind.RESET)
        while bench.reachabilities[0].has_path:
            detoured = await bench.call("/lookup/a")
            await asyncio.sleep(path_probe.FRESH_SECONDS)
        detoured = await bench.call("/lookup/a")
        assert detoured.code == 200
        bench.links[1].cut(cut_links.Kind.RESET)
        while bench.reachabilities[1].has_path:
            await bench.call("/lookup/a", node=1)
            await asyncio.sleep(path_probe.FRESH_SECONDS)
        refused = await bench.call("/lookup/a")
        assert refused.code == 503
    output = explain_request(detoured.attempt)
    assert "runner_path_lost" in output and "detour_served" in output
    assert "detour_node=node-1" in output
    output = explain_request(refused.attempt)
    assert "runner_path_lost" in output
    assert "reached no runner" in output.splitlines()[-1]
    assert output.splitlines()[-1].endswith("it has not run")


async def test_a_request_refused_while_all_targets_pause(explain_request):
    async with pool_nodes.running(vms=0, plain_instances=1) as bench:
        options = bench.fleet.runners_by_id["desk-0"].options
        options.full, options.retry_after = True, "5"
        for _ in range(2):
            answer = await bench.call("/filing/a")
        assert answer.code == 503
    output = explain_request(answer.attempt)
    assert "target_paused target=desk-0@1 seconds=5.0" in output
    assert "had asked the node for a pause" in output.splitlines()[-1]
