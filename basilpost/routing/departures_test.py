"""Tests of the runners that say that they leave."""

import pytest

from basilpost.core import clock, kernel, names
from basilpost.members import fakes
from basilpost.routing import departures


class RecordingPeers(fakes.FakePeers):
    """Peers that keep what is broadcast, and whose streams open when the test says so."""

    def __init__(self, **options):
        super().__init__(**options)
        self.broadcasts = []

    def subscribe(self, listener):
        self.listener = listener

    def broadcast(self, message):
        self.broadcasts.append(message)
        super().broadcast(message)


@pytest.fixture
def time(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: now[0])
    return now


def make_node(number=0, hub=None):
    node_kernel = kernel.Kernel(node_id=f"n{number}")
    peers = RecordingPeers(node_id=f"n{number}", hub=hub or fakes.PeerHub())
    node_kernel.register(names.PEERS, peers)
    return departures.Departures(kernel=node_kernel), peers


def test_a_runner_that_leaves_is_the_last_choice_and_then_none(time):
    node, peers = make_node()
    node.record_said("r", "t")
    assert node.is_leaving("r") and node.may_send("r")
    time[0] += departures.LAST_CHOICE_SECONDS
    node.record_said("r", "t")
    assert not node.may_send("r")
    assert len(peers.broadcasts) == 1


async def test_peers_count_from_the_same_moment_and_pass_it_on_once(time):
    node, peers = make_node()
    report = departures.DepartureReport(report_id="x", lifetime="r", age=0.9)
    for _ in range(3):
        await node._on_report("n1", report)
    assert node.may_send("r")
    time[0] += 0.2
    assert not node.may_send("r")
    assert peers.broadcasts == [report]


async def test_a_malformed_age_does_no_harm(time):
    node, _ = make_node()
    for number, age in enumerate((float("nan"), float("inf"), 1e9)):
        report = departures.DepartureReport(report_id=str(number), lifetime="r", age=age)
        await node._on_report("n1", report)
    assert not node.is_leaving("r")


def test_state_is_bounded(time, monkeypatch):
    monkeypatch.setattr(departures, "MAX_DEPARTURES", 10)
    node, _ = make_node()
    for number in range(50):
        time[0] += 0.01
        node.record_said(f"r-{number}", "t")
    assert [number for number in range(50) if node.is_leaving(f"r-{number}")] == list(range(40, 50))
    time[0] += departures.MEMORY_SECONDS + 1.0
    node.record_said("new", "t")
    assert not node.is_leaving("r-49")
