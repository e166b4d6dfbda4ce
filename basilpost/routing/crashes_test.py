"""Tests of the crash tracker on several nodes; the tests set the clock."""

import asyncio

import pytest
import structlog

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
        crashes.CrashTracker(
            network=fakes.FakePeers(node_id=f"n{number}", hub=hub), log=structlog.get_logger()
        )
        for number in range(3)
    ]


async def test_a_request_that_crashes_runners_at_several_nodes_is_refused_at_all(now, nodes):
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


async def test_crashes_far_apart_do_not_add_up(now, nodes):
    for _ in range(6):
        nodes[0].record_crash("f")
        now[0] += crashes.MEMORY_SECONDS / 2
    assert not nodes[0].should_refuse("f")


def test_the_number_of_remembered_requests_is_bounded(now, nodes):
    for number in range(crashes.MAX_SUSPECTS + 10):
        nodes[0]._count(str(number))
    assert len(nodes[0]._crash_times) == crashes.MAX_SUSPECTS


def test_a_fingerprint_depends_on_workspace_path_and_body():
    same = crashes.request_fingerprint("w", "/a?b", b"body")
    assert same == crashes.request_fingerprint("w", "/a?b", b"body")
    others = [("x", "/a?b", b"body"), ("w", "/a", b"body"), ("w", "/a?b", b"")]
    assert same not in {crashes.request_fingerprint(*other) for other in others}
