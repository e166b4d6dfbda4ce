"""Tests of targets that do not answer this node."""

import asyncio

import pytest
import structlog

from basilpost.core import clock
from basilpost.gateway import silent_targets
from basilpost.members import path_probe, reachability, service_paths

pytestmark = pytest.mark.looptime

CONTACT = path_probe.Contact
NOTICE_SECONDS = (
    reachability.SILENT_SECONDS + 2 * reachability.WATCH_SECONDS + path_probe.ANSWER_SECONDS
)


@pytest.fixture(autouse=True)
def _use_loop_time(monkeypatch):
    monkeypatch.setattr(clock, "elapsed", clock.monotonic)


class Node:
    """A node's silent targets, and what the one VM does with a status request."""

    def __init__(self, contact=CONTACT.SILENT):
        self.contact = contact
        self.asked = []
        self.given_up = []
        self.vms_by_target = {}
        self.seconds = path_probe.ANSWER_SECONDS
        self.targets = silent_targets.SilentTargets(
            ask_vm=self.ask,
            give_up=self.given_up.append,
            list_vms=lambda: self.vms_by_target,
            log=structlog.get_logger(),
        )
        self.running = asyncio.create_task(self.targets.run())

    async def ask(self, vm_id):
        self.asked.append(vm_id)
        await asyncio.sleep(self.seconds if self.contact is CONTACT.SILENT else 0.0)
        return self.contact

    @property
    def is_silent(self):
        return bool(self.targets.among(["t", "other"]))


@pytest.mark.parametrize("contact", [CONTACT.SILENT, CONTACT.UNREACHED])
async def test_requests_hang_at_one_target_after_the_other(contact):
    node = Node(contact)
    node.targets.record_sent("t", "vm")
    await asyncio.sleep(NOTICE_SECONDS)
    assert node.targets.among(["t", "other"]) == {"t"}
    await asyncio.sleep(2 * reachability.WATCH_SECONDS)
    assert set(node.given_up) == {"t"}
    node.targets.record_ended("t")
    node.contact = CONTACT.ANSWERED
    await asyncio.sleep(service_paths.RETURN_CHECK_SECONDS[1] + path_probe.ANSWER_SECONDS + 0.1)
    assert not node.is_silent
    await node.targets.close()


async def test_a_slow_request_makes_its_target_silent():
    node = Node(CONTACT.ANSWERED)
    node.targets.record_sent("t", "vm")
    await asyncio.sleep(5.0)
    assert not node.is_silent and not node.given_up
    assert 4 <= len(node.asked) <= 6


async def test_targets_without_requests_or_with_answers_are_asked():
    node = Node()
    node.targets.record_sent("t", "vm")
    node.targets.record_ended("t")
    node.targets.record_sent("other", "vm-2")
    for _ in range(20):
        await asyncio.sleep(0.1)
        node.targets.record_heard("other")
    assert node.asked == []


async def test_a_target_that_answers_requests_meanwhile_counts_as_silent():
    node = Node()
    node.targets.record_sent("t", "vm")
    await asyncio.sleep(reachability.SILENT_SECONDS + 2 * reachability.WATCH_SECONDS)
    node.targets.record_heard("t")
    await asyncio.sleep(path_probe.ANSWER_SECONDS + 0.1)
    assert not node.is_silent


async def test_a_target_that_is_gone_or_must_not_be_asked_stays_silent():
    node = Node()
    node.targets.record_sent("t", "vm")
    await asyncio.sleep(NOTICE_SECONDS)
    assert node.is_silent
    node.contact = None
    await asyncio.sleep(service_paths.RETURN_CHECK_SECONDS[1] + path_probe.ANSWER_SECONDS + 0.1)
    assert not node.is_silent


async def test_a_check_during_which_the_process_was_delayed_says_nothing():
    node = Node()
    node.seconds = 2 * path_probe.LATE_SECONDS
    node.targets.record_sent("t", "vm")
    await asyncio.sleep(3 * path_probe.LATE_SECONDS)
    assert not node.is_silent


async def test_requests_hang_at_each_target_that_was_cut_off_at_the_same_time():
    """Each silent target was found by a request of its own."""
    node = Node()
    node.vms_by_target = {"t": "vm", "other": "vm-2"} | {
        f"t-{number}": f"vm-{number}" for number in range(1_000)
    }
    node.targets.record_sent("t", "vm")
    await asyncio.sleep(NOTICE_SECONDS)
    seconds = path_probe.ANSWER_SECONDS * (
        silent_targets.MAX_IDLE_CHECKS / silent_targets.MAX_IDLE_CHECKS_AT_ONCE
    )
    await asyncio.sleep(seconds + 0.1)
    silent = node.targets.among(node.vms_by_target)
    assert len(silent) == 1 + silent_targets.MAX_IDLE_CHECKS
    node.contact = CONTACT.ANSWERED
    await asyncio.sleep(service_paths.RETURN_CHECK_SECONDS[1] + path_probe.ANSWER_SECONDS + 0.1)
    assert not node.targets.among(node.vms_by_target)
    await node.targets.close()


async def test_targets_that_answer_are_avoided_when_another_one_is_silent():
    node = Node()
    node.vms_by_target = {"t": "vm", "other": "vm-2"}
    ask = node.ask

    async def ask_one(vm_id):
        node.contact = CONTACT.SILENT if vm_id == "vm" else CONTACT.ANSWERED
        return await ask(vm_id)

    node.targets._ask_vm = ask_one
    node.targets.record_sent("t", "vm")
    await asyncio.sleep(NOTICE_SECONDS + 0.1)
    assert "vm-2" in node.asked
    assert node.targets.among(node.vms_by_target) == {"t"}
    await node.targets.close()
