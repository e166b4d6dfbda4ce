"""Tests of the witnesses of keys that may have run."""

import pytest

from basilpost.core import failure
from basilpost.members import fakes
from basilpost.runs import ledger, witnesses

REFUSAL = failure.Refusal(reason="the store is down", code="store_unavailable", status=503)


def call(key):
    return ledger.Call(workspace="w", service="s", key=key, digest="d", request_id="r")


@pytest.fixture
def cluster():
    hub = fakes.PeerHub()
    networks = [fakes.FakePeers(node_id=f"n{number}", hub=hub) for number in range(5)]
    return hub, [witnesses.Witnesses(network=one) for one in networks]


@pytest.mark.looptime
async def test_a_key_that_was_never_dispatched_is_not_run(cluster):
    _, nodes = cluster
    assert await nodes[0].correct_outcome(call("k"), REFUSAL) == REFUSAL


@pytest.mark.looptime
async def test_a_key_dispatched_by_any_node_is_unknown_on_every_node(cluster):
    _, nodes = cluster
    nodes[3].record_dispatch(call("k"))
    for node in nodes:
        assert (await node.correct_outcome(call("k"), REFUSAL)).outcome is failure.Outcome.UNKNOWN


@pytest.mark.looptime
async def test_the_loss_of_one_witness_is_borne(cluster):
    hub, nodes = cluster
    nodes[3].record_dispatch(call("k"))
    assert await nodes[0].correct_outcome(call("other"), REFUSAL) == REFUSAL
    for lost in ("n1", "n2", "n4"):
        peers_by_id = dict(hub.peers_by_id)
        del hub.peers_by_id[lost]
        assert (
            await nodes[0].correct_outcome(call("k"), REFUSAL)
        ).outcome is failure.Outcome.UNKNOWN
        hub.peers_by_id.update(peers_by_id)


@pytest.mark.looptime
async def test_a_node_that_hears_nobody_does_not_say_not_run(cluster):
    hub, nodes = cluster
    hub.cut |= {frozenset(("n0", f"n{number}")) for number in range(1, 5)}
    assert (await nodes[0].correct_outcome(call("k"), REFUSAL)).outcome is failure.Outcome.UNKNOWN


@pytest.mark.looptime
async def test_the_only_node_there_is_knows_by_itself():
    network = fakes.FakePeers(node_id="n0", hub=fakes.PeerHub())
    alone = witnesses.Witnesses(network=network, only_node=lambda: True)
    assert await alone.correct_outcome(call("k"), REFUSAL) == REFUSAL
    alone.record_dispatch(call("k"))
    assert (await alone.correct_outcome(call("k"), REFUSAL)).outcome is failure.Outcome.UNKNOWN
