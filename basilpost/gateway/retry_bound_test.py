"""Tests that the budgets of all nodes stay within the users' bound whatever happens to nodes."""

import bisect
import types

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
import prometheus_client
import pytest

from basilpost.core import catalog, clock
from basilpost.gateway import attempts, relay, retry_budgets

# The users' bound, and a fleet of a size that they have.
SHARE = 0.2
SLACK = 136.0
NODES = 5
SERVICE = "desk"
# More requests at a node at once than its share of the reserve.
BURST = 60


class Silent:
    """A log that keeps nothing."""

    def info(self, event, **fields):
        pass


def start_node(*, node_count, first_start=False):
    return retry_budgets.RetryBudgets(
        bounds=retry_budgets.RetryBounds(
            share=SHARE * relay.RETRY_SPEND_SHARE, reserve=SLACK * relay.RETRY_SPEND_SHARE
        ),
        node_count=node_count,
        first_start=first_start,
        registry=prometheus_client.CollectorRegistry(),
        log=Silent(),
    )


def new_request():
    admitted = types.SimpleNamespace(
        service=types.SimpleNamespace(name=SERVICE),
        route=types.SimpleNamespace(repeat=catalog.Repeat.IDEMPOTENT, max_attempts=2),
        call=types.SimpleNamespace(request_id="one"),
    )
    return attempts.Progress(admitted=admitted, fingerprint="f", sends=1)


def send_failing(node, count):
    """Returns how many of some requests, which all fail, a node sends once more."""
    allowed = 0
    for _ in range(count):
        node.count_request(SERVICE)
        allowed += node.decide(new_request(), retry_budgets.RetryCause.LOST)
    return allowed


@pytest.fixture(name="now")
def fixture_now(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: now[0])
    return now


def test_a_node_that_restarts_has_its_share_of_the_reserve_after_a_window(now):
    """With it at once, each restart would allow the share of a node once more."""
    share = SLACK * relay.RETRY_SPEND_SHARE / NODES
    node = start_node(node_count=lambda: NODES)
    by_requests = BURST * SHARE * relay.RETRY_SPEND_SHARE
    first = send_failing(node, BURST)
    assert first == int(by_requests)
    now[0] += retry_budgets.WINDOW_SECONDS
    # What it has spent before is taken off, as both are in one window.
    second = send_failing(node, BURST)
    assert first + second == pytest.approx(share + by_requests, abs=1)
    now[0] += retry_budgets.WINDOW_SECONDS
    assert send_failing(node, BURST) == pytest.approx(by_requests, abs=1)


def test_a_service_that_appears_later_has_its_share_at_once(now):
    """The process before spent nothing for it within the window."""
    node = start_node(node_count=lambda: NODES)
    now[0] += retry_budgets.WINDOW_SECONDS
    assert send_failing(node, BURST) > SLACK * relay.RETRY_SPEND_SHARE / NODES


def test_at_the_first_start_of_the_system_nodes_may_retry_at_once(now):
    """No earlier process can have spent retries, so callers need not go without them."""
    node = start_node(node_count=lambda: NODES, first_start=True)
    assert send_failing(node, 6) == 6
    assert start_node(node_count=lambda: 1, first_start=True).decide(
        new_request(), retry_budgets.RetryCause.LOST
    )


def test_nodes_that_do_not_know_each_other_at_the_first_start_stay_within_the_bound(now):
    """Each would take the whole reserve."""
    nodes = [start_node(node_count=lambda: 1, first_start=True) for _ in range(9)]
    assert sum(send_failing(node, BURST) for node in nodes) <= SLACK + SHARE * BURST * len(nodes)


def test_the_share_of_a_node_that_has_left_is_not_spent_again_within_the_window(now):
    """The others would get larger shares at once."""
    count = [2]
    node = start_node(node_count=lambda: count[0])
    now[0] += retry_budgets.WINDOW_SECONDS
    node.count_request(SERVICE)
    count[0] = 1
    now[0] += retry_budgets.WINDOW_SECONDS - 0.1
    node.count_request(SERVICE)
    assert node._budgets_by_service[SERVICE].max_balance == SLACK * relay.RETRY_SPEND_SHARE / 2
    now[0] += retry_budgets.WINDOW_SECONDS
    node.count_request(SERVICE)
    assert node._budgets_by_service[SERVICE].max_balance == SLACK * relay.RETRY_SPEND_SHARE


class Fleet(hypothesis.stateful.RuleBasedStateMachine):
    """Nodes that stop, are killed, start again and are cut off, before runners that all fail.

    A node that starts reads the records of all nodes, and one that is not cut off follows them. A planned
    stop removes the record of a node, a kill leaves it. Planned stops come one at a time.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self._elapsed, clock.elapsed = clock.elapsed, lambda: self.now
        self.records = set(range(NODES))
        self.known_by_node = {}
        self.nodes = {}
        self.cut_off = set()
        self.sent = []
        self.repeats = []
        for number in range(NODES):
            self._start(number, first_start=True)

    def teardown(self):
        clock.elapsed = self._elapsed

    def _start(self, number, *, first_start=False):
        self.records.add(number)
        self.known_by_node[number] = set(self.records)
        self._tell()
        self.nodes[number] = start_node(
            node_count=lambda: len(self.known_by_node[number]), first_start=first_start
        )

    def _tell(self):
        for number in self.nodes.keys() - self.cut_off:
            self.known_by_node[number] = set(self.records)

    @hypothesis.stateful.rule(number=st.integers(0, NODES - 1), count=st.integers(1, BURST))
    def send(self, number, count):
        if number in self.nodes:
            self.sent += [self.now] * count
            self.repeats += [self.now] * send_failing(self.nodes[number], count)

    @hypothesis.stateful.rule(count=st.sampled_from([1, 20, BURST]))
    def send_to_all(self, count):
        for number in tuple(self.nodes):
            self.send(number, count)

    @hypothesis.stateful.rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 9.9, 10.1, 30.0]))
    def wait(self, seconds):
        self.now += seconds

    @hypothesis.stateful.rule(number=st.integers(0, NODES - 1))
    def kill(self, number):
        self.nodes.pop(number, None)
        self.cut_off.discard(number)

    @hypothesis.stateful.rule()
    def kill_and_start_all(self):
        self.nodes.clear()
        self.cut_off.clear()
        self.start_all()

    @hypothesis.stateful.precondition(lambda self: len(self.records) == NODES)
    @hypothesis.stateful.rule(number=st.integers(0, NODES - 1))
    def stop(self, number):
        if self.nodes.pop(number, None) is not None:
            self.records.discard(number)
            self.cut_off.discard(number)
            self._tell()

    @hypothesis.stateful.rule()
    def start_all(self):
        for number in set(range(NODES)) - self.nodes.keys():
            self._start(number)

    @hypothesis.stateful.rule(number=st.integers(0, NODES - 1))
    def cut(self, number):
        if number in self.nodes:
            self.cut_off.add(number)

    @hypothesis.stateful.rule()
    def heal(self):
        self.cut_off.clear()
        self._tell()

    @hypothesis.stateful.invariant()
    def repeats_stay_within_the_bound(self):
        begin = self.now - retry_budgets.WINDOW_SECONDS
        repeats = len(self.repeats) - bisect.bisect_left(self.repeats, begin)
        sent = len(self.sent) - bisect.bisect_left(self.sent, begin)
        assert repeats <= SLACK + SHARE * sent, (repeats, sent)


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
