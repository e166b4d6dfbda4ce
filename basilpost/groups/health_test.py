"""Tests of targets' health: backoff after failures, probes, and news between nodes."""

import asyncio

import pytest

from basilpost.core import data
from basilpost.groups import fake_cluster, health
from basilpost.members import fakes as member_fakes

SERVICE = data.Service(
    name="chat",
    kind=data.ServiceKind.MODEL,
    pool="gpu",
    model="m",
    model_version="1",
    vms_per_group=1,
)
GOOD = data.Observation(reached=True, latency=0.1)
FAILED = data.Observation(reached=True, failed=True, latency=0.1)
UNREACHED = data.Observation(reached=False, latency=1.0)


def make_cluster(nodes=1, count=1):
    return fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(count), services=(SERVICE,), nodes=nodes
    )


@pytest.mark.looptime(noop_cycles=2)
async def test_the_backoff_from_a_failing_target_grows_until_a_request_succeeds():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        (group,) = cluster.groups()
        node_health = cluster.node().health
        node_health.report(group, FAILED)
        node_health.report(group, FAILED)
        assert node_health.healthy(group)
        node_health.report(group, FAILED)
        assert not node_health.healthy(group)
        await asyncio.sleep(1.1)
        assert node_health.healthy(group)
        node_health.report(group, FAILED)
        await asyncio.sleep(1.1)
        assert not node_health.healthy(group)
        node_health.report(group, GOOD)
        assert node_health.healthy(group)


@pytest.mark.looptime(noop_cycles=2)
async def test_the_backoff_from_an_unreached_target_ends_with_its_generation():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        (group,) = cluster.groups()
        node_health = cluster.node().health
        node_health.report(group, UNREACHED)
        node_health.report(group, UNREACHED)
        assert not node_health.healthy(group)
        cluster.runners.restart(group.address)
        await cluster.until(lambda: cluster.groups()[0].generation > group.generation)
        assert node_health.healthy(cluster.groups()[0])


@pytest.mark.looptime(noop_cycles=2)
async def test_each_target_has_one_prober_whose_news_reach_all_nodes_and_only_on_change(
    monkeypatch,
):
    sent = []
    real = member_fakes.FakePeers.broadcast

    def broadcast(self, message):
        sent.append(message)
        real(self, message)

    monkeypatch.setattr(member_fakes.FakePeers, "broadcast", broadcast)
    async with make_cluster(nodes=4, count=3) as cluster:
        await cluster.until(cluster.ready(3))
        await asyncio.sleep(10)
        assert not any(isinstance(message, health.HealthNews) for message in sent)
        group = cluster.groups()[0]
        # The controller cannot mark the group broken in its table.
        cluster.store.faults.down = True
        cluster.runners.unreachable.add(group.address)
        nodes = list(cluster.nodes_by_id.values())
        await cluster.until(lambda: not any(node.health.healthy(group) for node in nodes), within=4)
        nodes[0].health.report(group, GOOD)
        assert nodes[0].health.healthy(group)
        cluster.runners.unreachable.clear()
        await cluster.until(lambda: all(node.health.healthy(group) for node in nodes), within=10)
        origins = {message.origin for message in sent if isinstance(message, health.HealthNews)}
        assert len(origins) == 1
