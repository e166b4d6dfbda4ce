"""Tests of controllers over fakes: groups form, break and are rebuilt."""

import pytest

from basilpost.core import data
from basilpost.groups import fake_cluster

SERVICE = data.Service(
    name="chat",
    kind=data.ServiceKind.MODEL,
    pool="gpu",
    model="m",
    model_version="1",
    vms_per_group=3,
)


@pytest.mark.looptime(noop_cycles=2)
async def test_groups_form_load_warm_up_and_are_seen_as_ready():
    async with fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(7), services=(SERVICE,)
    ) as cluster:
        await cluster.until(lambda: len(cluster.groups()) == 2)
        assert not any(group.serving for group in cluster.groups())
        await cluster.until(lambda: all(group.serving for group in cluster.groups()), warm=False)
        assert {group.state for group in cluster.groups()} == {data.GroupState.COLD}
        await cluster.until(cluster.ready(2))


@pytest.mark.looptime(noop_cycles=2)
async def test_a_dead_member_breaks_its_group_at_once_and_is_replaced():
    async with fake_cluster.FakeCluster(
        vms_listed=fake_cluster.make_vms(4), services=(SERVICE,)
    ) as cluster:
        await cluster.until(cluster.ready(1))
        before = cluster.groups()[0]
        cluster.runners.unreachable.add(before.members[1].address)
        await cluster.until(lambda: not cluster.groups()[0].serving, within=4.0)
        await cluster.until(cluster.ready(1))
        after = cluster.groups()[0]
        assert after.group_id == before.group_id
        assert after.generation > before.generation
        kept = {member.vm_id for member in before.members} & {one.vm_id for one in after.members}
        assert len(kept) == 2
        orders = [order for address, order in cluster.runners.orders if address == before.address]
        assert [order.generation for order in orders] == [1, 2]
