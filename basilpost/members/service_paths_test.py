"""Tests of the paths to single services."""

import asyncio
import random
import types

import prometheus_client
import pytest
import structlog

from basilpost.core import clock, tasks
from basilpost.members import path_probe, reachability_test, service_paths

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _use_loop_time(monkeypatch):
    monkeypatch.setattr(clock, "elapsed", clock.monotonic)


class Node:
    """A node's paths to a service of three VMs, of which some answer."""

    def __init__(self):
        self.vms = [reachability_test.make_vm(number) for number in range(3)]
        self.open = set()
        self.connects = 0
        self.tasks = tasks.TaskSet()
        self.paths = service_paths.ServicePaths(
            vms_of=lambda service: self.vms,
            rng=random.Random(1),
            task_set=self.tasks,
            kernel=types.SimpleNamespace(
                log=structlog.get_logger(), registry=prometheus_client.CollectorRegistry()
            ),
        )

    async def ask(self, vm):
        self.connects += 1
        await asyncio.sleep(0.01)
        if vm.address not in self.open:
            return path_probe.Contact.SILENT
        return path_probe.Contact.ANSWERED

    async def check(self):
        await self.paths.check("s", self.ask)
        return not self.paths.is_lost("s")


async def test_a_service_with_one_vm_that_answers_counts_as_lost():
    node = Node()
    node.open = {"vm-2:1"}
    assert await node.check()
    assert node.paths.lost_services == ()


async def test_a_lost_service_is_never_found_again():
    node = Node()
    assert not await node.check()
    assert node.paths.lost_services == ("s",)
    await asyncio.sleep(2.0)
    assert node.paths.is_lost("s")
    node.open = {"vm-0:1"}
    await asyncio.sleep(service_paths.RETURN_CHECK_SECONDS[1] + 0.1)
    assert not node.paths.is_lost("s")
    assert clock.elapsed() - node.paths.back_at("s") < 1.0
    await node.tasks.close()


async def test_a_service_without_vms_stays_lost():
    """Its VMs have ended; the first of its new ones is used at once."""
    node = Node()
    assert not await node.check()
    node.vms = []
    await asyncio.sleep(service_paths.RETURN_CHECK_SECONDS[1] + 0.1)
    assert not node.paths.is_lost("s")
    assert await node.check()


async def test_requests_that_fail_together_each_check_the_service():
    node = Node()
    await asyncio.gather(*(node.check() for _ in range(50)))
    assert node.connects == 3
    await node.tasks.close()


async def test_a_check_during_which_the_process_was_delayed_says_nothing():
    node = Node()

    async def ask(vm):
        await asyncio.sleep(2 * path_probe.LATE_SECONDS)
        return path_probe.Contact.UNREACHED

    await node.paths.check("s", ask)
    assert not node.paths.is_lost("s")
