"""Tests of the pauses that runners ask for."""

import types

import prometheus_client
import pytest
import structlog.testing

from basilpost.core import clock, names
from basilpost.routing import pauses


class FakePeers:
    """Keeps what a node sends; `listener` and `handler` are what it has registered."""

    def __init__(self):
        self.sent = []

    def handle(self, kind, handler):
        self.handler = handler

    def subscribe(self, listener):
        self.listener = listener

    def broadcast(self, message):
        self.sent.append(message)

    def send(self, node_id, message):
        self.sent.append(message)


@pytest.fixture
def time(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: now[0])
    return now


def make_pauses():
    network = FakePeers()
    kernel = types.SimpleNamespace(
        node_id="node-1",
        log=structlog.get_logger(),
        registry=prometheus_client.CollectorRegistry(),
        find=lambda name, kind: {names.PEERS: network}[name],
    )
    return pauses.RunnerPauses(kernel=kernel), network


def test_after_a_pause_one_request_at_a_time_tests_the_runner(time):
    node, _ = make_pauses()
    node.record_asked("r", "t", 3.0)
    assert node.seconds_until_free("r") == pytest.approx(3.0)
    time[0] += 3.1
    assert node.may_send("r")
    node.record_sent("r")
    assert not node.may_send("r")
    time[0] += pauses.TRIAL_SECONDS
    assert node.may_send("r")
    node.record_accepted("r", "t", sent_at=time[0])
    node.record_sent("r")
    assert node.may_send("r")


def test_an_answer_to_an_earlier_request_does_not_end_a_pause(time):
    node, _ = make_pauses()
    node.record_asked("r", "t", 3.0)
    node.record_accepted("r", "t", sent_at=99.0)
    assert not node.may_send("r")
    # Neither do rejections of requests that were sent before it shorten the pause.
    time[0] += 0.1
    node.record_asked("r", "t", 1.0)
    assert node.seconds_until_free("r") == pytest.approx(2.9)


def test_in_a_long_pause_two_requests_test_the_runner(time):
    node, _ = make_pauses()
    first, second = pauses.TEST_SECONDS
    node.record_asked("r", "t", 1e300)
    assert first <= node.seconds_until_free("r") <= first * (1.0 + pauses.TEST_SPREAD)
    time[0] += node.seconds_until_free("r")
    node.record_sent("r")
    assert second <= node.seconds_until_free("r") <= second * (1.0 + pauses.TEST_SPREAD)
    node.record_asked("r", "t", 1e300)
    time[0] += node.seconds_until_free("r")
    node.record_sent("r")
    assert node.seconds_until_free("r") == pytest.approx(1e300)


async def test_a_runner_that_accepts_a_test_is_used_by_other_nodes(time):
    """The node that it asked for the pause keeps to it."""
    first, network = make_pauses()
    first.record_asked("r", "t", 900.0)
    second, passed_on = make_pauses()
    await passed_on.handler("node-1", network.sent[-1])
    assert second.is_told("r")
    time[0] += first.seconds_until_free("r")
    first.record_sent("r")
    first.record_accepted("r", "t", sent_at=time[0])
    await passed_on.handler("node-1", network.sent[-1])
    assert not second.is_told("r")
    assert not first.may_send("r") and first.is_paused("r")


def test_a_pause_that_may_be_an_error_is_logged(time):
    node, _ = make_pauses()
    with structlog.testing.capture_logs() as lines:
        node.record_asked("r", "t", 60.0)
        node.record_asked("q", "u", 3000.0)
        node.record_asked("q", "u", 3000.0)
    assert [line["target"] for line in lines if line["event"] == "target_pause_long"] == ["u"]


async def test_peers_are_told_once_and_pass_it_on_once(time):
    first, network = make_pauses()
    for _ in range(20):
        first.record_asked("r", "t", 3.0)
    (report,) = network.sent
    second, passed_on = make_pauses()
    for _ in range(3):
        await passed_on.handler("node-1", report)
    assert passed_on.sent == [report]
    assert second.is_told("r") and second.may_send("r")
    await network.handler("node-2", report)
    assert network.sent == [report]
    time[0] += 4.0
    assert not second.is_told("r")


async def test_peers_are_told_of_the_end_of_a_pause(time):
    first, network = make_pauses()
    first.record_asked("r", "t", 30.0)
    second, passed_on = make_pauses()
    await passed_on.handler("node-1", network.sent[-1])
    time[0] += 1.0
    first.record_accepted("r", "t", sent_at=time[0] - 0.1)
    await passed_on.handler("node-1", network.sent[-1])
    assert not second.is_told("r")


def test_a_node_that_joins_is_told_what_is_left_of_a_pause(time):
    node, network = make_pauses()
    node.record_asked("r", "t", 3.0)
    time[0] += 2.0
    network.listener("node-2", True)
    assert network.sent[-1].seconds == pytest.approx(1.0)
    time[0] += 2.0
    sent = len(network.sent)
    network.listener("node-3", True)
    assert len(network.sent) == sent


async def test_state_is_bounded(time, monkeypatch):
    monkeypatch.setattr(pauses, "MAX_PAUSES", 10)
    node, network = make_pauses()
    for number in range(50):
        node.record_asked(f"r-{number}", "t", 3.0)
        node.record_invalid(f"r-{number}", "t", "soon")
        report = pauses.PauseReport(report_id=f"x-{number}", lifetime=f"o-{number}", seconds=9.0)
        await network.handler("node-2", report)
    assert sum(not node.may_send(f"r-{number}") for number in range(50)) == 10
    # Those that the node has told of and was told of share one bound.
    assert sum(node.is_told(f"{name}-{n}") for name in "ro" for n in range(50)) == 10


def test_an_invalid_pause_is_logged_once(time):
    node, _ = make_pauses()
    with structlog.testing.capture_logs() as lines:
        for _ in range(5):
            node.record_invalid("r", "t", "soon")
    assert [line["event"] for line in lines] == ["target_pause_ignored"]
    assert node.may_send("r")


async def test_a_pause_that_peers_know_is_not_told_again(time):
    first, first_network = make_pauses()
    second, second_network = make_pauses()
    first.record_asked("r", "t", 3.0)
    await second_network.handler("node-1", first_network.sent[-1])
    second_network.sent.clear()
    time[0] += 0.3
    second.record_asked("r", "t", 3.0)
    assert second_network.sent == []
    # Its own pause, which it was asked for later, holds all the same.
    assert second.seconds_until_free("r") == pytest.approx(3.0)
    time[0] += 3.1
    second.record_asked("r", "t", 3.0)
    assert len(second_network.sent) == 1
    for number in range(5):
        again = pauses.PauseReport(report_id=f"x-{number}", lifetime="r", seconds=2.9)
        await second_network.handler("node-3", again)
    assert len(second_network.sent) == 1


@pytest.mark.parametrize("recovers_after", [None, 90.0])
@pytest.mark.parametrize("seconds", [200.0, 5_000.0, 1e12])
def test_a_runner_that_asks_for_a_long_pause_gets_a_third_request(time, seconds, recovers_after):
    """The node has a request for it at any time; the runner may recover before the end."""
    node, _ = make_pauses()
    node.record_asked("r", "t", seconds)
    began_at = time[0]
    arrivals = 0
    while time[0] < began_at + min(seconds, 20_000.0) - 1.0:
        time[0] += 1.0
        if not node.may_send("r"):
            continue
        arrivals += 1
        node.record_sent("r")
        if recovers_after is not None and time[0] - began_at > recovers_after:
            node.record_accepted("r", "t", sent_at=time[0])
        else:
            node.record_asked("r", "t", began_at + seconds - time[0])
    assert arrivals <= 2
