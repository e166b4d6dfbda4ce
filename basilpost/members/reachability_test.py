"""Tests of the check whether a node has a path to the runners."""

import asyncio
import random
import types

import prometheus_client
import pytest
import structlog

from basilpost.core import catalog, clock, hashing, names
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


class Node:
    """A node's view of the runners, and the addresses that answer.

    Attributes:
        open: Addresses that can be connected to.
        silent: True if nothing passes on open connections.
        aborted_after: Time after which connections are aborted without an answer, None for never.
    """

    def __init__(self, *, vms=9):
        self.open = {f"vm-{number}:1" for number in range(vms)}
        self.connects = []
        self.seconds = 0.0
        self.silent = False
        self.aborted_after = None
        self.sent = []
        self.loads = types.SimpleNamespace(
            paths=path_states.NOTHING_TOLD, subscribe=self.set_load_listener
        )
        seen = {f"vm-{n}": types.SimpleNamespace(vm=make_vm(n)) for n in range(vms)}
        services = {
            names.KNOWLEDGE: types.SimpleNamespace(
                vms_by_id=seen, configuration=types.SimpleNamespace(services_by_name={"s": None})
            ),
            names.PEERS: types.SimpleNamespace(
                handle=lambda kind, handler: None,
                subscribe=lambda listener: None,
                broadcast=self.sent.append,
                send=lambda node_id, message: self.sent.append((node_id, message)),
            ),
            names.FEED: types.SimpleNamespace(is_full_mesh=False),
            names.LOADS: self.loads,
        }
        kernel = types.SimpleNamespace(
            node_id="n0",
            log=structlog.get_logger(),
            registry=prometheus_client.CollectorRegistry(),
            find=lambda name, kind: services[name],
        )
        self.reachability = reachability.Reachability(kernel=kernel)
        self.reachability.ask = self.ask

    def set_load_listener(self, listener):
        self.tell_loads = listener

    async def ask(self, vm):
        self.connects.append(vm.address)
        await asyncio.sleep(self.seconds)
        if vm.address not in self.open:
            return path_probe.Contact.UNREACHED
        if self.silent:
            await asyncio.sleep(path_probe.ANSWER_SECONDS)
            return path_probe.Contact.SILENT
        if self.aborted_after is not None:
            await asyncio.sleep(self.aborted_after)
            return path_probe.Contact.UNREACHED
        return path_probe.Contact.ANSWERED


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
    await node.reachability.start()
    await asyncio.sleep(1.0)
    assert node.reachability.has_path
    node.aborted_after = 0.1
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
    node.reachability.record_sent("s")
    for _ in range(20):
        node.reachability.record_lost()
        node.reachability.record_lost()
        node.reachability.record_heard("s")
        await asyncio.sleep(0.1)
    assert len(node.connects) == checks
    await node.reachability.stop()


async def test_a_check_asks_all_vms_though_the_first_one_answers():
    node = Node()
    assert await node.reachability.find_path()
    assert len(node.connects) == 1
    node.silent = True
    assert not await node.reachability.find_path(fresh=True)
    assert len(node.connects) == 1 + path_probe.CHECKED_VMS


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
    node.reachability.record_sent("s")
    await asyncio.sleep(1.4)
    node.reachability.record_heard("s")
    assert node.reachability.has_path
    # One VM for the path to all runners, and one for that to the service.
    assert len(node.connects) - checks == 2
    node.open = set()
    await asyncio.sleep(2.0)
    assert not node.reachability.has_path
    await node.reachability.stop()


async def test_connections_that_open_and_pass_nothing_count_as_a_path():
    node = Node()
    await node.reachability.start()
    await asyncio.sleep(1.0)
    node.silent = True
    node.reachability.record_sent("s")
    given_up = []
    node.reachability.give_up_silent = given_up.append
    await asyncio.sleep(0.45)
    assert node.reachability.is_in_doubt("s")
    await node.reachability.settle_doubt("s")
    assert not node.reachability.has_path
    assert not node.reachability.is_in_doubt("s")
    assert clock.elapsed() - 1.0 < 1.5
    await asyncio.sleep(0.2)
    assert "s" in given_up
    node.silent = False
    await asyncio.sleep(service_paths.RETURN_CHECK_SECONDS[1] + path_probe.ANSWER_SECONDS + 0.1)
    assert node.reachability.has_path
    await node.reachability.stop()


async def test_silent_runners_of_one_service_hide_behind_the_answers_of_another():
    node = Node()
    await node.reachability.start()
    await asyncio.sleep(1.0)
    node.reachability.record_sent("other")
    node.reachability.record_sent("s")
    for _ in range(6):
        await asyncio.sleep(0.1)
        node.reachability.record_heard("other")
    assert node.reachability.is_silent("s") and not node.reachability.is_silent("other")
    await node.reachability.stop()


@pytest.mark.parametrize("tells", ["neighbour", "reports"])
async def test_a_node_notices_its_lost_path_only_by_requests_that_it_loses(tells):
    """Another node, cut off by the same fault, has told of its loss."""
    node = Node()
    await node.reachability.start()
    await asyncio.sleep(5.0)
    node.silent = True
    if tells == "neighbour":
        await node.reachability._on_report("n1", reachability.PathReport(has_path=False))
    else:
        lost = path_states.Lost(node=hashing.short_id("n1"), scope=path_states.ALL_RUNNERS)
        node.loads.paths = path_states.PathStates(with_path=frozenset(), lost=frozenset({lost}))
        node.tell_loads()
    await asyncio.sleep(reachability.WATCH_SECONDS + path_probe.ANSWER_SECONDS + 0.1)
    assert not node.reachability.has_path
    await node.reachability.stop()


async def test_one_node_that_loses_its_path_again_and_again_makes_others_ask_all_the_time():
    node = Node()
    await node.reachability.start()
    await asyncio.sleep(5.0)
    checks = len(node.connects)
    for turn in range(100):
        await node.reachability._on_report("n1", reachability.PathReport(has_path=turn % 2 == 0))
        await asyncio.sleep(0.1)
    most = 1 + 10 / reachability.TOLD_CHECK_PAUSE_SECONDS
    assert len(node.connects) - checks <= most * path_probe.CHECKED_VMS
    await node.reachability.stop()


async def test_a_vm_that_must_not_be_asked_gets_status_requests():
    node = Node()
    node.reachability.may_ask = lambda vm: vm.vm_id in ("vm-1", "vm-2")
    assert await node.reachability.find_path(service="s", fresh=True)
    node.silent = True
    assert not await node.reachability.find_path(service="s", fresh=True)
    assert set(node.connects) == {"vm-1:1", "vm-2:1"}
    node.silent, node.reachability.has_path = False, True
    node.reachability.may_ask = lambda vm: False
    node.open = set()
    assert await node.reachability.find_path(service="s", fresh=True)


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


async def test_the_loss_of_all_runners_is_taken_for_that_of_one_service_after_another_check():
    """A node that reaches no runner then keeps control of the pool, until it tries another service."""
    node = Node()
    await node.reachability._run_check("told")
    node.open = set()
    # All that the node sends goes to this service, by way of other nodes once it is lost.
    for _ in range(30):
        await node.reachability.find_path(service="s")
        await asyncio.sleep(0.1)
    assert not node.reachability.has_path
