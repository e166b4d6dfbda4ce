"""Nodes that are cut off from all runners, while callers, the store and the other nodes reach them."""

import asyncio
import itertools
import random

import pytest
import structlog.testing
import tornado.httpclient
import tornado.simple_httpclient

from basilpost.core import clock
from basilpost.emulator import pool_fleet
from basilpost.groups import pool_controller
from basilpost.members import path_probe, service_paths
from tests import cut_links, pool_nodes

# Users' bounds: from this long after the cut, at most one first try in 50 and one more may fail.
STABLE_SECONDS = 3.0
MAX_FAILED_SHARE = 0.02
MAX_FAILED = 1
PATHS = ("/lookup/a", "/filing/a", "/draft/a")


class Callers:
    """Open-loop callers of all nodes, which try each request once.

    Attributes:
        calls: Node, path, answer and start of each request.
    """

    def __init__(self, bench, *, seed=1, paths=PATHS):
        self.calls = []
        self._bench = bench
        self._rng = random.Random(seed)
        self._paths = itertools.cycle(paths)
        self._tasks = []

    async def run(self, *, seconds, per_second):
        """Sends as many requests on a busy machine as on an idle one, there some of them late."""
        begin = clock.elapsed()
        at = 0.0
        while at < seconds:
            await asyncio.sleep(max(0.0, begin + at - clock.elapsed()))
            for node in range(len(self._bench.addresses)):
                self._tasks.append(asyncio.create_task(self._send(node, next(self._paths))))
            at += self._rng.expovariate(per_second)
        await asyncio.gather(*self._tasks)

    async def _send(self, node, path):
        began_at = clock.elapsed()
        try:
            answer = await self._bench.call(path, node=node)
        except tornado.simple_httpclient.HTTPStreamClosedError:
            # A stream that was broken off.
            answer = tornado.httpclient.HTTPResponse(tornado.httpclient.HTTPRequest(path), 599)
        self.calls.append((node, path, answer, began_at))

    def failures(self, nodes, *, since):
        """Returns the requests at some nodes that were not served, and the number of all there."""
        counted = [call for call in self.calls if call[0] in nodes and call[3] >= since]
        failed = [
            (path, answer.code, pool_nodes.error_code(answer), round(at - since, 1))
            for _, path, answer, at in counted
            if answer.code != 200 or not answer.body
        ]
        return failed, len(counted)


def check_served(callers, nodes, *, since):
    failed, count = callers.failures(nodes, since=since)
    assert count > 20
    assert len(failed) <= MAX_FAILED + count * MAX_FAILED_SHARE, failed


@pytest.mark.parametrize("kind", cut_links.Kind)
@pytest.mark.parametrize("cut_count", [2, 3])
async def test_callers_of_nodes_without_a_path_to_runners_are_not_served(kind, cut_count):
    async with pool_nodes.running(nodes=4, fabric_domains=3, vms=6, plain_instances=3) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        callers = Callers(bench)
        running = asyncio.create_task(callers.run(seconds=7.0, per_second=4.0))
        await asyncio.sleep(1.0)
        for node in range(cut_count):
            bench.links[node].cut(kind)
        cut_at = clock.elapsed()
        await running
        check_served(callers, range(cut_count, 4), since=cut_at)
        check_served(callers, range(cut_count), since=cut_at + STABLE_SECONDS)


@pytest.mark.parametrize("kind", cut_links.Kind)
async def test_callers_of_nodes_without_a_path_to_one_service_are_not_served(kind):
    """The nodes reach the other service, and most other nodes have lost the same one."""
    # All nodes send at the same moments; there are slots for all of these requests.
    async with pool_nodes.running(nodes=6, fabric_domains=3, vms=6, plain_instances=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        plain = {
            runner.address
            for runner in bench.fleet.runners_by_id.values()
            if not runner.fabric_domain
        }
        callers = Callers(bench)
        running = asyncio.create_task(callers.run(seconds=9.0, per_second=3.5))
        await asyncio.sleep(1.0)
        for node in range(5):
            bench.links[node].cut(kind, addresses=plain)
        cut_at = clock.elapsed()
        await running
        check_served(callers, range(5, 6), since=cut_at)
        check_served(callers, range(5), since=cut_at + STABLE_SECONDS)


@pytest.mark.parametrize("kind", cut_links.Kind)
async def test_requests_hang_at_the_targets_that_one_node_does_not_reach(kind):
    """The nodes reach half of the groups and half of the plain instances; others reach all."""
    async with pool_nodes.running(nodes=4, fabric_domains=3, vms=6, plain_instances=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        runners = sorted(bench.fleet.runners_by_id.values(), key=lambda runner: runner.vm_id)
        plain = [runner.address for runner in runners if not runner.fabric_domain]
        heads = [
            runner.address
            for runner in runners
            if runner.member is not None and runner.member["rank"] == 0
        ]
        callers = Callers(bench)
        running = asyncio.create_task(callers.run(seconds=9.0, per_second=4.0))
        await asyncio.sleep(1.0)
        for node in range(2):
            bench.links[node].cut(kind, addresses={*plain[::2], *heads[::2]})
        cut_at = clock.elapsed()
        await running
        check_served(callers, range(2, 4), since=cut_at)
        check_served(callers, range(2), since=cut_at + STABLE_SECONDS)


async def wait_until_lost(bench, node):
    """Waits until a node knows that it has no path to the runners, and its peers know it too."""
    node_id = bench.kernels[node].node_id
    others = [reachable for number, reachable in enumerate(bench.reachabilities) if number != node]
    await pool_fleet.until(lambda: all(node_id in other.peers_without_path for other in others))


async def lose_path(bench, node, kind=cut_links.Kind.RESET):
    """Cuts a node off and lets it notice by requests.

    A node that has just started may not know yet which others could send its requests, and refuses them.
    """
    records_by_id = bench.relays[node]._detours._table.records_by_id
    await pool_fleet.until(lambda: all(kernel.node_id in records_by_id for kernel in bench.kernels))
    bench.links[node].cut(kind)
    while bench.reachabilities[node].has_path:
        await bench.call("/filing/notice", node=node)
        await asyncio.sleep(path_probe.FRESH_SECONDS)
    await wait_until_lost(bench, node)


async def test_a_node_that_starts_without_a_path_fails_its_first_callers():
    async with pool_nodes.running(nodes=2, vms=0) as bench:
        kernel = await bench.add("late", start=False)
        bench.links[2].cut(cut_links.Kind.RESET)
        await kernel.start()
        await pool_fleet.until(lambda: bench.relays[2].ready)
        answers = [await bench.call(path, node=2) for path in ("/lookup/a", "/filing/a") * 5]
        assert [answer.code for answer in answers] == [200] * 10


@pytest.mark.parametrize("kind", cut_links.Kind)
async def test_a_filing_runs_twice_or_is_refused_though_it_ran(kind):
    """Nodes lose their paths again and again, and some targets lose answers."""
    async with pool_nodes.running(nodes=4, vms=0, plain_instances=3) as bench:
        for runner in bench.fleet.runners_by_id.values():
            runner.options.lose_answers = 4
        callers = Callers(bench, paths=("/filing/a",))
        running = asyncio.create_task(callers.run(seconds=5.0, per_second=20.0))
        for turn in range(5):
            bench.links[turn % 2].cut(kind)
            await asyncio.sleep(1.0)
            bench.links[turn % 2].heal()
        await running
        for _, _, answer, _ in callers.calls:
            runs = len(bench.fleet.runs_of(answer.attempt))
            assert runs <= 1
            assert runs == 1 or answer.code != 200
            assert runs == 0 or answer.code not in (429, 503)
        lost = [answer for _, _, answer, _ in callers.calls if answer.code == 502]
        assert len(lost) >= 12


@pytest.mark.parametrize("kind", [cut_links.Kind.RESET, cut_links.Kind.HANG])
async def test_a_stream_ends_with_the_path_of_its_node(kind):
    async with pool_nodes.running(nodes=3, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 30, 0.06
        streams = [asyncio.create_task(bench.draft(node=0)) for _ in range(3)]
        await asyncio.sleep(0.6)
        bench.links[0].cut(kind)
        for answer in await asyncio.gather(*streams):
            assert answer.code == 200
            assert pool_nodes.event_ids(answer.body) == list(range(1, 31))
            runs = sorted(bench.fleet.runs_of(answer.attempt), key=lambda run: run.at)
            assert len(runs) == 2
            assert int(runs[1].after) > 5


async def test_a_stream_ends_with_the_node_that_sends_it_for_another():
    async with pool_nodes.running(nodes=3, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        await lose_path(bench, 0)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 30, 0.1
        stream = asyncio.create_task(bench.draft(node=0))
        await asyncio.sleep(1.0)
        (carrier,) = (
            number
            for number, forwarder in enumerate(bench.forwarders)
            if number and forwarder.sender.in_flight
        )
        await bench.kernels[carrier].stop()
        answer = await stream
        assert pool_nodes.event_ids(answer.body) == list(range(1, 31))


async def test_requests_loop_between_nodes_without_a_path():
    """They are refused at once, as not run, and come back at different times."""
    async with pool_nodes.running(nodes=3, vms=0) as bench:
        for node in range(3):
            bench.links[node].cut(cut_links.Kind.RESET)
        while any(reachable.has_path for reachable in bench.reachabilities):
            await asyncio.gather(*(bench.call("/filing/notice", node=node) for node in range(3)))
            await asyncio.sleep(path_probe.FRESH_SECONDS)
        began_at = clock.elapsed()
        answers = [await bench.call(path, node=0) for path in ("/lookup/a", "/filing/a") * 5]
        assert clock.elapsed() - began_at < 1.0
        assert {answer.code for answer in answers} == {503}
        assert {pool_nodes.error_code(answer) for answer in answers} == {"no_path"}
        assert {answer.headers["Basilpost-Outcome"] for answer in answers} == {"not-run"}
        waits = [float(answer.headers["Retry-After"]) for answer in answers]
        assert max(waits) - min(waits) > 0.05
        assert not any(node_relay.ready for node_relay in bench.relays)


async def test_a_node_without_a_path_accuses_sound_targets():
    """Its peers do not avoid targets that it cannot reach."""
    async with pool_nodes.running(nodes=3, fabric_domains=3, vms=6) as bench:
        await bench.wait_for_groups(3, pool_fleet.LARGE)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 30, 0.05
        with structlog.testing.capture_logs() as lines:
            streams = [asyncio.create_task(bench.draft(node=0)) for _ in range(3)]
            await asyncio.sleep(0.5)
            bench.links[0].cut(cut_links.Kind.RESET)
            await asyncio.gather(*streams)
        assert not [line for line in lines if line["event"] == "target_crashed"]
        assert [line for line in lines if line["event"] == "runner_path_lost"]


async def test_a_node_without_a_path_to_one_service_accuses_its_targets():
    async with pool_nodes.running(nodes=3, vms=3, plain_instances=3) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        plain = bench.fleet.runners_of(pool_fleet.PLAIN_SERVICE)
        for runner in plain:
            runner.options.work_seconds = 1.0
        with structlog.testing.capture_logs() as lines:
            calls = [asyncio.create_task(bench.call("/filing/a", node=0)) for _ in range(6)]
            await asyncio.sleep(0.4)
            addresses = {runner.address for runner in plain}
            bench.links[0].cut(cut_links.Kind.RESET, addresses=addresses)
            await asyncio.gather(*calls)
            await asyncio.sleep(0.5)
        assert not [line for line in lines if line["event"] == "target_crashed"]
        assert [line for line in lines if line["event"] == "service_path_lost"]


async def test_requests_that_hang_make_their_targets_look_full_to_sound_nodes():
    async with pool_nodes.running(nodes=2, vms=0, plain_instances=2) as bench:
        bench.links[0].cut(cut_links.Kind.SILENT)
        # They may run only once, so they wait until their deadlines.
        filings = [asyncio.create_task(bench.call("/filing/a", node=0)) for _ in range(8)]
        targets = bench.targets[1].matching(pool_fleet.PLAIN_SERVICE, "")

        def in_flight():
            return sum(bench.loads[1].total_in_flight(target.target_id) for target in targets)

        await pool_fleet.until(lambda: in_flight() == len(filings))
        await pool_fleet.until(lambda: not bench.reachabilities[0].has_path)
        await pool_fleet.until(lambda: not in_flight(), seconds=1.0)
        assert not any(filing.done() for filing in filings)
        assert {answer.code for answer in await asyncio.gather(*filings)} == {504}


async def test_whole_uploads_and_long_answers_are_cut_on_a_detour():
    async with pool_nodes.running(nodes=2, vms=0) as bench:
        await lose_path(bench, 0)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.padding_bytes = 3_000_000
        body = bytes(range(256)) * 12_000
        answer = await bench.call(
            "/filing/a%20b?c=%2F",
            node=0,
            body=body,
            Content_Type="application/octet-stream",
        )
        assert answer.code == 200 and len(answer.body) > 3_000_000
        (ran,) = bench.fleet.runs_of(answer.attempt)
        assert ran.body == body and ran.path == "/filing/a%20b?c=%2F"
        assert ran.workspace == pool_fleet.WORKSPACE and not ran.credential_forwarded
        assert not [name for name in answer.headers if name.startswith("Basilpost-Detour")]


async def test_a_request_outlives_its_caller_or_its_deadline_on_a_detour():
    async with pool_nodes.running(nodes=2, vms=0) as bench:
        await lose_path(bench, 0)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.work_seconds = 3.0
        began_at = clock.elapsed()
        answer = await bench.call("/lookup/a", node=0, X_Deadline_Ms="600")
        assert answer.code == 504
        assert clock.elapsed() - began_at < 0.9
        await pool_fleet.until(lambda: not bench.forwarders[1].sender.in_flight, seconds=0.3)


async def test_requests_are_counted_at_both_nodes_of_a_detour():
    async with pool_nodes.running(nodes=2, vms=6) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        await lose_path(bench, 0)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.events, runner.options.event_seconds = 20, 0.1
        before = [node_loads.demand_meter.read() for node_loads in bench.loads]
        streams = [asyncio.create_task(bench.draft(node=0)) for _ in range(3)]
        await asyncio.sleep(0.8)
        for node_loads, node_targets in zip(bench.loads, bench.targets, strict=True):
            known = node_targets.matching(pool_fleet.MODEL_SERVICE, pool_fleet.LARGE)
            assert sum(node_loads.total_in_flight(one.target_id) for one in known) == 3
        await asyncio.gather(*streams)
        after = [node_loads.demand_meter.read() for node_loads in bench.loads]
        assert after[0] != before[0]
        arrivals = [sum(model.arrived_per_second for model in read.values()) for read in after]
        assert arrivals[0] > 0 and arrivals[1] == 0


async def test_all_requests_return_to_a_path_at_once():
    async with pool_nodes.running(nodes=3, vms=0, plain_instances=3) as bench:
        await lose_path(bench, 0)
        bench.links[0].heal()
        await pool_fleet.until(lambda: bench.reachabilities[0].has_path)
        with structlog.testing.capture_logs() as lines:
            answers = [await bench.call("/lookup/a", node=0) for _ in range(20)]
            await asyncio.sleep(service_paths.RETURN_SECONDS)
            detoured = sum(line["event"] == "request_detoured" for line in lines)
            answers += [await bench.call("/lookup/a", node=0) for _ in range(20)]
        assert {answer.code for answer in answers} == {200}
        assert detoured >= 8
        assert sum(line["event"] == "request_detoured" for line in lines) == detoured


async def test_a_planned_stop_of_the_other_node_cuts_a_detoured_request():
    async with pool_nodes.running(nodes=2, vms=0) as bench:
        await lose_path(bench, 0)
        for runner in bench.fleet.runners_by_id.values():
            runner.options.work_seconds = 1.0
        calls = [asyncio.create_task(bench.call("/filing/a", node=0)) for _ in range(4)]
        await asyncio.sleep(0.3)
        await bench.relays[1].drain()
        assert {call.result().code for call in calls} == {200}


async def test_control_stays_with_a_node_whose_orders_reach_no_runner():
    async with pool_nodes.running(nodes=3, vms=6) as bench:
        await bench.wait_for_groups(1, pool_fleet.LARGE)
        holder = next(
            number for number, controller in enumerate(bench.controllers) if controller.is_holder
        )
        await lose_path(bench, holder)
        await pool_fleet.until(
            lambda: any(
                controller.is_holder
                for number, controller in enumerate(bench.controllers)
                if number != holder
            ),
            seconds=pool_controller.LEASE_SECONDS / 2,
        )
        assert not bench.controllers[holder].is_holder
        bench.links[holder].heal()
        await pool_fleet.until(lambda: bench.reachabilities[holder].has_path)
        assert sum(controller.is_holder for controller in bench.controllers) == 1
