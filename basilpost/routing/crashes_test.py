"""Tests of the crash tracker on several nodes; the tests set the clock."""

import asyncio
import dataclasses

import pytest

from basilpost.core import clock, kernel, names
from basilpost.members import fakes
from basilpost.routing import crash_evidence, crash_messages, crashes

SPACED = crash_evidence.SEPARATE_SECONDS * 1.1
BAD = crash_evidence.Trait(kind="part", value="bad")
SHARED = crash_evidence.Trait(kind="part", value="shared")
# Longer than a decision, in real time.
DECIDED_SECONDS = crashes.DECISION_DELAY_SECONDS * 1.5


class ListeningPeers(fakes.FakePeers):
    """Peers whose streams open when the test says so."""

    def subscribe(self, listener):
        self.listener = listener


@pytest.fixture
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


@pytest.fixture
def hub():
    return fakes.PeerHub()


def make_node(hub, number):
    node_kernel = kernel.Kernel(node_id=f"n{number}")
    node_kernel.register(names.PEERS, ListeningPeers(node_id=f"n{number}", hub=hub))
    return crashes.CrashTracker(kernel=node_kernel)


@pytest.fixture
def nodes(hub):
    return [make_node(hub, number) for number in range(3)]


def lost(number, *parts):
    return crash_evidence.LostRequest(fingerprint=f"r{number}", parts=parts)


def is_refused(node, *traits):
    return node.find_cause(traits) is not None


async def crash_targets(nodes, now, count, *, begin=0):
    """Crashes targets under different requests, each seen by another node."""
    for number in range(begin, begin + count):
        node = nodes[number % len(nodes)]
        node.record_crash(
            f"t{number}", [lost(number, "shared", "bad"), lost(f"s{number}", "shared")]
        )
        await asyncio.sleep(0.01)
        now[0] += SPACED
        nodes[0].record_answer([SHARED])
    await asyncio.sleep(DECIDED_SECONDS)


async def test_a_part_that_crashes_targets_at_several_nodes_is_refused_at_all(now, nodes):
    await crash_targets(nodes, now, 2)
    assert not any(is_refused(node, BAD) for node in nodes)
    await crash_targets(nodes, now, 1, begin=2)
    assert all(is_refused(node, BAD) for node in nodes)
    assert not any(is_refused(node, SHARED) for node in nodes)
    cause = nodes[2].find_cause([BAD])
    assert cause.targets == ("t0", "t1", "t2")
    assert cause.requests == ("r0", "r1", "r2")


async def test_an_answer_at_one_node_clears_a_part_at_all(now, nodes):
    await crash_targets(nodes, now, 2)
    nodes[1].record_answer([BAD])
    await asyncio.sleep(DECIDED_SECONDS)
    await crash_targets(nodes, now, 2, begin=2)
    assert not any(is_refused(node, BAD) for node in nodes)


async def test_an_answer_that_only_one_node_has_seen_before_the_crashes_counts(now, nodes):
    nodes[2].record_answer([BAD])
    now[0] += 10.0
    await crash_targets(nodes, now, 4)
    assert not any(is_refused(node, BAD) for node in nodes)
    await crash_targets(nodes, now, 1, begin=4)
    assert all(is_refused(node, BAD) for node in nodes)


async def test_crashes_longer_ago_than_the_memory_do_not_add_up(now, nodes):
    for number in range(5):
        await crash_targets(nodes, now, 1, begin=number)
        now[0] += crashes.MEMORY_SECONDS
        for node in nodes:
            node.expire()
    assert not any(is_refused(node, BAD) for node in nodes)


async def test_a_node_that_starts_learns_causes_and_crashes_from_a_peer(now, hub, nodes):
    await crash_targets(nodes, now, 3)
    for number in range(2):
        nodes[0].record_crash(f"u{number}", [lost(50 + number, "worse")])
        now[0] += SPACED
    late = make_node(hub, 9)
    assert not is_refused(late, BAD)
    hub.peers_by_id["n0"].listener("n9", True)
    await asyncio.sleep(DECIDED_SECONDS)
    assert is_refused(late, BAD)
    late.record_crash("u2", [lost(52, "worse")])
    await asyncio.sleep(DECIDED_SECONDS)
    assert is_refused(nodes[1], crash_evidence.Trait(kind="part", value="worse"))


async def test_a_released_cause_stays_released(now, hub, nodes):
    await crash_targets(nodes, now, 3)
    cause = nodes[1].find_cause([BAD])
    released = dataclasses.replace(cause, released="mended")
    for node in nodes[:2]:
        node.apply_cause(released)
    # The third node has missed the release and repeats the cause.
    hub.peers_by_id["n2"].listener("n0", True)
    await asyncio.sleep(DECIDED_SECONDS)
    assert not is_refused(nodes[0], BAD)
    await crash_targets(nodes[:2], now, 1, begin=3)
    assert not is_refused(nodes[0], BAD)


async def test_a_cause_ends_when_its_time_is_over(now, nodes):
    await crash_targets(nodes, now, 3)
    now[0] += crashes.CAUSE_SECONDS
    assert not is_refused(nodes[0], BAD)
    assert [cause.trait for cause in nodes[0].expire()] == [BAD]


async def test_a_request_is_not_sent_again_after_the_second_crash_under_its_part(now, nodes):
    assert nodes[0].may_retry([BAD])
    await crash_targets(nodes, now, 1)
    assert not nodes[0].may_retry([SHARED, BAD])
    assert nodes[0].may_retry([SHARED])


async def test_what_is_remembered_is_bounded(now, nodes):
    node = nodes[0]
    for number in range(crashes.MAX_CRASHES + 10):
        requests = [
            lost(f"{number}-{item}", f"p{item}")
            for item in range(crashes.MAX_REQUESTS_PER_CRASH + 5)
        ]
        node.record_crash(f"t{number}", requests)
        now[0] += 0.001
    assert len(node._crashes_by_target) <= crashes.MAX_CRASHES
    assert all(
        len(crash.requests) <= crashes.MAX_REQUESTS_PER_CRASH
        for crash in node._crashes_by_target.values()
    )
    limit = crashes.MAX_CRASHES * crashes.MAX_REQUESTS_PER_CRASH * 2
    assert len(node._suspected_at) <= limit
    for number in range(crashes.MAX_ANSWERED_TRAITS + 10):
        node.record_answer([crash_evidence.Trait(kind="part", value=str(number))])
    assert len(node._answered_at) <= crashes.MAX_ANSWERED_TRAITS
    for number in range(crashes.MAX_CAUSES + 10):
        node.apply_cause(
            crash_messages.CrashCause(
                cause_id=str(number),
                trait=crash_evidence.Trait(kind="part", value=f"c{number}"),
                found_at="2026-12-04T00:00:00+00:00",
                node_id="n0",
                crashes=3,
                targets=(),
                requests=(),
            )
        )
    assert len(node.causes_by_trait) <= crashes.MAX_CAUSES


def test_a_fingerprint_depends_on_workspace_path_and_body():
    same = crashes.request_fingerprint("w", "/a?b", b"body")
    assert same == crashes.request_fingerprint("w", "/a?b", b"body")
    others = [("x", "/a?b", b"body"), ("w", "/a", b"body"), ("w", "/a?b", b"")]
    assert same not in {crashes.request_fingerprint(*other) for other in others}


async def test_answers_to_traits_that_nodes_have_forgotten_are_passed_on_for_ever(now, hub, nodes):
    handled = []
    for node, peers in zip(nodes, hub.peers_by_id.values(), strict=True):
        peers._handlers_by_kind[crash_messages.AnswerReport] = counting(node, handled)
    nodes[0].record_crash("t", [lost(1, "shared")])
    await asyncio.sleep(DECIDED_SECONDS)
    for node in nodes[1:]:
        node._forget_old_crashes(now[0])
    handled.clear()
    nodes[0].record_answer([SHARED])
    await asyncio.sleep(0.3)
    assert 2 <= len(handled) <= 6


def counting(node, handled):
    async def handle(sender, message):
        handled.append(message)
        await node._on_answer_report(sender, message)

    return handle
