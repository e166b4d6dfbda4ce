"""Tests of the limits that runners name, shared by several nodes; the tests set the clock."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies

from basilpost.core import clock, kernel, names
from basilpost.members import fakes
from basilpost.routing import named_limits

RUNNER = "vm@1"
WINDOW_SECONDS = 4.0


class ListeningPeers(fakes.FakePeers):
    """Peers whose streams open when the test says so."""

    def subscribe(self, listener):
        self.listener = listener


@pytest.fixture
def now(monkeypatch):
    time = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: time[0])
    return time


def make_nodes(count):
    hub = fakes.PeerHub()
    nodes = []
    for number in range(count):
        node_kernel = kernel.Kernel(node_id=f"n{number}")
        peers = ListeningPeers(node_id=f"n{number}", hub=hub)
        node_kernel.register(names.PEERS, peers)
        nodes.append(named_limits.NamedLimits(kernel=node_kernel))
        nodes[-1].test_peers = peers
    return nodes, frozenset(f"n{number}" for number in range(count))


async def settle():
    await asyncio.sleep(0.01)


# 420 nodes take long on a busy machine; the time is not what is tested.
@hypothesis.settings(deadline=None, max_examples=40)
@hypothesis.given(
    limit=strategies.floats(0.0, 60.0), node_count=strategies.sampled_from([1, 3, 9, 420])
)
def test_the_shares_of_all_nodes_stay_within_the_bound(limit, node_count):
    node_ids = frozenset(f"n{number}" for number in range(node_count))
    shares = [
        named_limits.share_of(RUNNER, per_second=limit, node_id=node_id, node_ids=node_ids)
        for node_id in node_ids
    ]
    assert any(share.burst for share in shares)
    # After a pause each node may send its burst, then its rate.
    most = sum(share.burst + share.per_second * WINDOW_SECONDS for share in shares)
    assert most <= 1.5 * limit * WINDOW_SECONDS + 5.0
    assert sum(share.per_second for share in shares) <= max(limit, 0.25) * 1.001


@pytest.mark.parametrize("limit", [0.4, 2.7, 11.0])
async def test_nodes_that_send_whenever_they_may_keep_to_the_limit(now, limit):
    nodes, node_ids = make_nodes(9)
    nodes[0].record_named(RUNNER, "t", limit)
    await settle()
    sent = []
    for _ in range(1_000):
        for node in nodes:
            if node.may_send(RUNNER, node_ids=node_ids):
                node.record_sent(RUNNER, node_ids=node_ids)
                sent.append(now[0])
        now[0] += 0.01
    windows = [sum(at <= other < at + WINDOW_SECONDS for other in sent) for at in sent]
    assert max(windows) <= 1.5 * limit * WINDOW_SECONDS + 5.0
    # Over ten seconds the limit is used.
    assert len(sent) >= limit * 10.0 * 0.9


async def test_a_limit_ends_with_an_answer_to_a_later_request_that_names_none(now):
    nodes, node_ids = make_nodes(2)
    nodes[0].record_named(RUNNER, "t", 0.5)
    await settle()
    sent_before = now[0] - 1.0
    now[0] += 1.0
    for node in nodes:
        while node.may_send(RUNNER, node_ids=node_ids):
            node.record_sent(RUNNER, node_ids=node_ids)
    nodes[1].record_unnamed(RUNNER, "t", sent_at=sent_before)
    await settle()
    assert not nodes[0].may_send(RUNNER, node_ids=node_ids)
    nodes[1].record_unnamed(RUNNER, "t", sent_at=now[0])
    await settle()
    assert all(node.may_send(RUNNER, node_ids=node_ids) for node in nodes)


async def test_an_older_report_does_not_replace_a_newer_one(now):
    nodes, _ = make_nodes(2)
    nodes[0].record_named(RUNNER, "t", 4.0)
    await settle()
    await nodes[1]._on_report(
        "n0", named_limits.LimitReport(report_id="a", lifetime=RUNNER, per_second=9.0, age=5.0)
    )
    assert nodes[1]._limits_by_lifetime[RUNNER].per_second == 4.0
    now[0] += 1.0
    nodes[0].record_unnamed(RUNNER, "t", sent_at=now[0])
    await settle()
    await nodes[1]._on_report(
        "n0", named_limits.LimitReport(report_id="b", lifetime=RUNNER, per_second=4.0, age=0.5)
    )
    assert RUNNER not in nodes[1]._limits_by_lifetime


async def test_a_node_that_starts_learns_the_limits_from_a_peer(now):
    nodes, _ = make_nodes(2)
    nodes[1].test_peers._hub.cut.add(frozenset(("n0", "n1")))
    nodes[0].record_named(RUNNER, "t", 4.0)
    await settle()
    assert RUNNER not in nodes[1]._limits_by_lifetime
    nodes[1].test_peers._hub.cut.clear()
    nodes[0].test_peers.listener("n1", True)
    await settle()
    assert nodes[1]._limits_by_lifetime[RUNNER].per_second == 4.0


async def test_a_limit_that_nobody_hears_of_any_more_is_forgotten(now):
    nodes, node_ids = make_nodes(1)
    nodes[0].record_named(RUNNER, "t", 0.3)
    while nodes[0].may_send(RUNNER, node_ids=node_ids):
        nodes[0].record_sent(RUNNER, node_ids=node_ids)
    now[0] += named_limits.MEMORY_SECONDS + 1.0
    assert nodes[0].may_send(RUNNER, node_ids=node_ids)
    for number in range(named_limits.MAX_LIMITS + 5):
        nodes[0].record_named(f"vm{number}@1", "t", 1.0)
    assert len(nodes[0]._limits_by_lifetime) <= named_limits.MAX_LIMITS


async def test_reports_that_contradict_each_other_are_passed_on_for_ever(now):
    nodes, _ = make_nodes(5)
    handled = []
    for node in nodes:
        node.test_peers._handlers_by_kind[named_limits.LimitReport] = counting(node, handled)
    for number, node in enumerate(nodes):
        node.record_named(RUNNER, "t", 1.0 + number)
    await asyncio.sleep(0.3)
    # Each of 5 reports goes at most once over each way between two nodes.
    assert len(handled) <= 5 * 5 * 4


def counting(node, handled):
    async def handle(sender, message):
        handled.append(message)
        await node._on_report(sender, message)

    return handle


@pytest.mark.parametrize("limit", [1e308, 1.7e308, 1e18])
async def test_requests_end_with_an_error_after_a_runner_has_named_a_huge_limit(now, limit):
    """No node could compute its share, so requests that might have gone there ended at all nodes."""
    nodes, node_ids = make_nodes(3)
    nodes[0].record_named(RUNNER, "t", limit)
    await settle()
    for node in nodes:
        assert node.may_send(RUNNER, node_ids=node_ids)
        node.record_sent(RUNNER, node_ids=node_ids)
        assert node.may_send(RUNNER, node_ids=node_ids)
