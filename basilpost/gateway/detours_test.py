"""Tests of the choice of nodes that send requests for another one."""

import random
import types

import prometheus_client
import pytest
import structlog

from basilpost.core import channels, clock, names
from basilpost.gateway import attempts, detours
from basilpost.members import node_table


@pytest.fixture
def time(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "elapsed", lambda: now[0])
    return now


class FakeReachability:
    """What is known of other nodes: which are named as without a path, and which as with one."""

    def __init__(self, *, without_path=(), with_path=()):
        self.without_path, self.with_path = set(without_path), set(with_path)

    def may_send(self, node_id, service):
        return node_id not in self.without_path

    def confirms(self, node_id):
        return node_id in self.with_path


def make_detours(count, **known):
    records = {
        f"n{number}": node_table.NodeRecord(
            node_id=f"n{number}",
            peer_address=f"10.0.0.{number}:7000",
            failure_domain=f"domain-{number % 3}",
            incarnation="i",
            lease_seconds=1e9,
        )
        for number in range(count)
    }
    services = {
        names.PEERS: types.SimpleNamespace(live_nodes=lambda: tuple(records)),
        names.NODE_TABLE: types.SimpleNamespace(records_by_id=records),
        names.REACHABILITY: FakeReachability(**known),
    }
    kernel = types.SimpleNamespace(
        node_id="n0",
        log=structlog.get_logger(),
        registry=prometheus_client.CollectorRegistry(),
        find=lambda name, kind: services[name],
    )
    return detours.Detours(
        kernel=kernel, failure_domain="domain-0", dialect=None, rng=random.Random(1)
    )


def make_progress():
    admitted = types.SimpleNamespace(
        call=types.SimpleNamespace(request_id="r"), service=types.SimpleNamespace(name="s")
    )
    return attempts.Progress(admitted=admitted, fingerprint="f")


def test_a_near_node_with_a_path_is_chosen(time):
    node = make_detours(9, without_path={"n3"})
    chosen = node.choose(make_progress())
    assert (chosen.node_id, chosen.address) == ("n6", "10.0.0.6:7001")


def test_a_node_is_alone_if_all_others_have_no_path(time):
    node = make_detours(3, without_path={"n1", "n2"})
    assert node.choose(make_progress()) is None
    assert not node.available


def test_a_node_that_has_told_of_its_path_is_passed_over(time):
    """Busier and in another failure domain, it goes before nodes of which nothing is known."""
    node = make_detours(420, with_path={"n4"})
    node._in_flight_by_node["n4"] = 30
    assert {node.choose(make_progress()).node_id for _ in range(20)} == {"n4"}


async def test_a_request_tries_all_of_hundreds_of_nodes(time, monkeypatch):
    node = make_detours(420)
    tried = []

    async def refuse(address, **options):
        tried.append(address)
        return channels.ConnectFailed(reason="refused")

    monkeypatch.setattr(node.pool, "acquire", refuse)
    monkeypatch.setattr(attempts.Progress, "repeatable", True)
    progress = make_progress()
    while (detour := node.choose(progress)) is not None:
        result = await node.send(progress, None, detour, last_event="", sink=None)
        assert isinstance(result, attempts.NotSent)
    assert len(tried) == detours.MAX_TRIED_NODES
    assert progress.sends == 0
    # The next request does not try the same ones.
    assert node.choose(make_progress()).address not in tried


async def test_the_only_other_node_is_given_up_after_one_failed_connection(time, monkeypatch):
    """Each request tries it once; other nodes go first while there are any."""
    node = make_detours(3, without_path={"n2"})

    async def refuse(address, **options):
        return channels.ConnectFailed(reason="no connection in time")

    monkeypatch.setattr(node.pool, "acquire", refuse)
    monkeypatch.setattr(attempts.Progress, "repeatable", True)
    for _ in range(3):
        progress = make_progress()
        detour = node.choose(progress)
        assert detour.node_id == "n1"
        await node.send(progress, None, detour, last_event="", sink=None)
        assert node.choose(progress) is None
    assert node.available
    node._reachability.without_path.clear()
    assert {node.choose(make_progress()).node_id for _ in range(20)} == {"n2"}
    time[0] += detours.AVOID_UNREACHED_SECONDS
    assert {node.choose(make_progress()).node_id for _ in range(20)} == {"n1", "n2"}


@pytest.mark.parametrize("address", ["", "n1", "10.0.0.1:", "10.0.0.1:70000", "10.0.0.1:\u0668"])
def test_an_address_in_a_record_that_no_socket_takes_ends_each_request(time, address):
    node = make_detours(2)
    odd = node_table.NodeRecord(
        node_id="n1", peer_address=address, incarnation="i", lease_seconds=1e9
    )
    node._table.records_by_id["n1"] = odd
    assert node.choose(make_progress()) is None
    assert not node.available
