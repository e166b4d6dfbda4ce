"""Tests of knowing requests that crash runners, over nodes, on a clock that the test moves."""

import asyncio

import pytest

from basilpost.core import clock
from basilpost.members import fakes
from basilpost.routing import crashes


@pytest.fixture
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


@pytest.fixture
def nodes():
    hub = fakes.PeerHub()
    return [
        crashes.CrashTracker(network=fakes.FakePeers(node_id=f"n{number}", hub=hub))
        for number in range(3)
    ]


async def test_a_request_that_fells_runners_at_several_nodes_is_blamed_at_all(now, nodes):
    for node in nodes:
        assert not node.should_refuse("f")
        node.record_crash("f")
        await asyncio.sleep(0)
    await asyncio.sleep(0.01)
    assert all(node.should_refuse("f") for node in nodes)
    assert not any(node.should_refuse("other") for node in nodes)


async def test_an_answer_clears_a_suspect_everywhere(now, nodes):
    nodes[0].record_crash("f")
    nodes[1].record_crash("f")
    await asyncio.sleep(0.01)
    nodes[2].record_answer("f")
    await asyncio.sleep(0.01)
    nodes[0].record_crash("f")
    await asyncio.sleep(0.01)
    assert not any(node.should_refuse("f") for node in nodes)


async def test_losses_far_apart_do_not_blame(now, nodes):
    for _ in range(6):
        nodes[0].record_crash("f")
        now[0] += crashes.MEMORY_SECONDS / 2
    assert not nodes[0].should_refuse("f")


def test_what_is_remembered_is_bounded(now, nodes):
    for number in range(crashes.MAX_SUSPECTS + 10):
        nodes[0]._note(str(number))
    assert len(nodes[0]._seen_at) == crashes.MAX_SUSPECTS


def test_requests_are_known_again_by_workspace_path_and_body():
    same = crashes.request_fingerprint("w", "/a?b", b"body")
    assert same == crashes.request_fingerprint("w", "/a?b", b"body")
    others = [("x", "/a?b", b"body"), ("w", "/a", b"body"), ("w", "/a?b", b"")]
    assert same not in {crashes.request_fingerprint(*other) for other in others}
