"""Tests of targets' health: failures, probes and news between nodes."""

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
async def test_a_target_that_keeps_failing_rests_longer_each_time_until_it_serves():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        (group,) = cluster.groups()
        judge = cluster.node().health
        judge.report(group, FAILED)
        judge.report(group, FAILED)
        assert judge.healthy(group)
        judge.report(group, FAILED)
        assert not judge.healthy(group)
        await asyncio.sleep(1.1)
        assert judge.healthy(group)
        judge.report(group, FAILED)
        await asyncio.sleep(1.1)
        assert not judge.healthy(group)
        judge.report(group, GOOD)
        assert judge.healthy(group)


@pytest.mark.looptime(noop_cycles=2)
async def test_a_target_that_is_not_reached_twice_rests_in_this_generation_only():
    async with make_cluster() as cluster:
        await cluster.until(cluster.ready(1))
        (group,) = cluster.groups()
        judge = cluster.node().health
        judge.report(group, UNREACHED)
        judge.report(group, UNREACHED)
        assert not judge.healthy(group)
        cluster.runners.restart(group.address)
        await cluster.until(lambda: cluster.groups()[0].generation > group.generation)
        assert judge.healthy(cluster.groups()[0])


@pytest.mark.looptime(noop_cycles=2)
async def test_each_target_has_one_spare_prober_whose_news_reach_all_and_only_on_change(
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
        cluster.store.faults.down = True  # The controller cannot break the group in the table.
        cluster.runners.unreachable.add(group.address)
        nodes = list(cluster.nodes_by_id.values())
        await cluster.until(lambda: not any(one.health.healthy(group) for one in nodes), within=4)
        nodes[0].health.report(group, GOOD)
        assert nodes[0].health.healthy(group)
        cluster.runners.unreachable.clear()
        await cluster.until(lambda: all(one.health.healthy(group) for one in nodes), within=10)
        origins = {one.origin for one in sent if isinstance(one, health.HealthNews)}
        assert len(origins) == 1
