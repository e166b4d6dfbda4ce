"""Tests of the check whether a node has a path to the runners."""

import asyncio
import random
import types

import prometheus_client
import pytest
import structlog

from basilpost.core import catalog, channels, clock, names
from basilpost.members import path_probe, path_states, reachability, service_paths

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _use_loop_time(monkeypatch):
    monkeypatch.setattr(clock, "elapsed", clock.monotonic)


def make_vm(number, *, leaving=False, domains=3):
    return catalog.Vm(
        vm_id=f"vm-{number}",
        incarnation=1,
        service="s",
        address=f"vm-{number}:1",
        failure_domain=f"domain-{number % domains}",
        fabric_domain="",
        slots=1,
        leaving=leaving,
        cold_seconds=0.0,
        staged=(),
        member=None,
    )


class FakeChannel:
    """A connection that is aborted after some seconds, None for never."""

    def __init__(self, aborted_after=None):
        self._aborted_after = aborted_after

    async def closes_within(self, seconds):
        is_aborted = self._aborted_after is not None and self._aborted_after < seconds
        await asyncio.sleep(self._aborted_after if is_aborted else seconds)
        return is_aborted

    def close(self):
        pass


class Node:
    """A node's view of the runners, and the addresses that can be connected to."""

    def __init__(self, *, vms=9):
        self.open = {f"vm-{number}:1" for number in range(vms)}
        self.connects = []
        self.seconds = 0.0
        self.aborted_after = None
        self.sent = []
        seen = {f"vm-{n}": types.SimpleNamespace(vm=make_vm(n)) for n in range(vms)}
        services = {
            names.KNOWLEDGE: types.SimpleNamespace(vms_by_id=seen),
            names.PEERS: types.SimpleNamespace(
                handle=lambda kind, handler: None,
                subscribe=lambda listener: None,
                broadcast=self.sent.append,
                send=lambda node_id, message: self.sent.append((node_id, message)),
            ),
            names.FEED: types.SimpleNamespace(is_full_mesh=False),
            names.LOADS: types.SimpleNamespace(paths=path_states.NOTHING_TOLD),
        }
        kernel = types.SimpleNamespace(
            node_id="n0",
            log=structlog.get_logger(),
            registry=prometheus_client.CollectorRegistry(),
            find=lambda name, kind: services[name],
        )
        self.reachability = reachability.Reachability(kernel=kernel)
        self.reachability.connect = self.connect

    async def connect(self, address, timeout):
        self.connects.append(address)
        await asyncio.sleep(self.seconds)
        if address not in self.open:
            return channels.ConnectFailed(reason="refused")
        return FakeChannel(self.aborted_after)


async def test_one_vm_that_answers_is_a_path():
    node = Node()
    node.open = {f"vm-{number}:1" for number in range(0, 9, 3)}
    assert await node.reachability.find_path()
    assert node.sent == []


async def test_without_any_path_peers_are_told_until_it_is_back():
    node = Node()
    changes = []
    node.reachability.subscribe(changes.append)
    every, node.open = node.open, set()
    await node.reachability.start()
    await asyncio.sleep(1.0)
    assert not node.reachability.has_path
    assert node.reachability.prefers_detour("s")
    checks = len(node.connects)
    await asyncio.sleep(10.0)
    assert 10 * path_probe.CHECKED_VMS <= len(node.connects) - checks <= 160
    node.open = every
    await asyncio.sleep(1.0)
    assert node.reachability.has_path
    assert node.sent == [
        reachability.PathReport(has_path=False),
        reachability.PathReport(has_path=True),
    ]
    assert changes == [True, False]
    await node.reachability.stop()


async def test_a_busy_proxy_without_a_path_counts_as_its_return():
    node = Node()
    node.aborted_after = 0.01
    await node.reachability.start()
    await asyncio.sleep(1.0)
    assert not node.reachability.has_path
    node.aborted_after = 0.1
    await asyncio.sleep(5.0)
    assert not node.reachability.has_path
    node.aborted_after = None
    await asyncio.sleep(1.5)
    assert node.reachability.has_path
    await node.reachability.stop()


async def test_a_busy_proxy_without_a_path_counts_as_one():
    """It aborts connections late; requests are lost one after the other."""
    node = Node()
    node.aborted_after = 0.1
    await node.reachability.start()
    await asyncio.sleep(1.0)
    assert node.reachability.has_path
    for _ in range(reachability.DOUBTED_LOSSES):
        node.reachability.record_lost()
    await asyncio.sleep(0.5)
    assert not node.reachability.has_path
    await node.reachability.stop()


async def test_losses_between_answers_do_not_count():
    node = Node()
    await node.reachability.start()
    await asyncio.sleep(1.0)
    checks = len(node.connects)
    for _ in range(20):
        node.reachability.record_lost()
        node.reachability.record_lost()
        node.reachability.record_heard()
        await asyncio.sleep(0.1)
    assert len(node.connects) == checks
    await node.reachability.stop()


async def test_requests_that_fail_together_share_one_check():
    node = Node()
    node.seconds = 0.1
    await asyncio.gather(*(node.reachability.find_path() for _ in range(50)))
    assert len(node.connects) == path_probe.CHECKED_VMS
    await node.reachability.find_path()
    assert len(node.connects) == path_probe.CHECKED_VMS


async def test_a_caller_that_leaves_does_not_end_the_check_of_others():
    node = Node()
    node.seconds = 0.1
    node.open = set()
    first = asyncio.create_task(node.reachability.find_path())
    second = asyncio.create_task(node.reachability.find_path())
    await asyncio.sleep(0.05)
    first.cancel()
    assert not await second


async def test_a_check_during_which_the_process_was_delayed_says_nothing():
    node = Node()
    node.seconds = 2 * path_probe.LATE_SECONDS
    node.open = set()
    assert await node.reachability.find_path()


async def test_silence_of_all_runners_is_checked_and_one_silent_second_costs_nothing():
    node = Node()
    await node.reachability.start()
    await asyncio.sleep(1.0)
    checks = len(node.connects)
    node.reachability.record_sent()
    await asyncio.sleep(1.5)
    node.reachability.record_heard()
    assert node.reachability.has_path
    assert len(node.connects) - checks == path_probe.CHECKED_VMS
    node.open = set()
    await asyncio.sleep(2.0)
    assert not node.reachability.has_path
    await node.reachability.stop()


async def test_the_share_of_detours_falls_gradually_after_the_return():
    node = Node()
    every, node.open = node.open, set()
    await node.reachability.find_path()
    node.open = every
    await node.reachability._run_check("return")
    shares = []
    for _ in range(4):
        detours = sum(node.reachability.prefers_detour("s") for _ in range(1000))
        shares.append(detours / 1000)
        await asyncio.sleep(service_paths.RETURN_SECONDS / 3)
    assert shares[0] > 0.95 and 0.5 < shares[1] < 0.8 and 0.2 < shares[2] < 0.5
    assert shares[3] == 0.0


def test_checked_vms_are_spread_over_failure_domains_and_stay():
    rng = random.Random(1)
    vms = [make_vm(number) for number in range(30)] + [
        make_vm(number, leaving=True) for number in range(30, 40)
    ]
    for _ in range(50):
        chosen = path_probe.choose_vms(vms, rng=rng)
        assert len(chosen) == path_probe.CHECKED_VMS
        assert len({vm.failure_domain for vm in chosen}) == 3
        assert not any(vm.leaving for vm in chosen)
    assert path_probe.choose_vms(vms[30:32], rng=rng)
    assert path_probe.choose_vms([], rng=rng) == []
