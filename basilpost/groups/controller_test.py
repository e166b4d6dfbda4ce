"""Tests of controllers over fakes: groups form, break and are rebuilt."""

import asyncio

import pytest

from basilpost.core import data
from basilpost.groups import engines, fake_node, fakes
from basilpost.members import fakes as member_fakes
from basilpost.store import memory, vms

SERVICE = data.Service(
    name="chat",
    kind=data.ServiceKind.MODEL,
    pool="gpu",
    model="m",
    model_version="1",
    vms_per_group=3,
)
READY = engines.RunnerState.READY


def make_vms(count, *, fabric_domain="fab-1", failure_domain="fd-1", pool="gpu", start=0):
    return tuple(
        data.Vm(
            vm_id=f"vm-{index:02}",
            address=f"10.0.0.{index}:80",
            pool=pool,
            fabric_domain=fabric_domain,
            failure_domain=failure_domain,
            accelerators=4,
        )
        for index in range(start, start + count)
    )


class Cluster:
    """Nodes of fakes over one store, hub, VM list and engine."""

    def __init__(self, vm_records, *services, nodes=1, checks_fence=True, load_seconds=5.0):
        self.hub = member_fakes.PeerHub()
        self.store = memory.MemoryStore()
        self.vm_list = vms.FixedVmList(vms=vm_records)
        self.engine = fakes.FakeEngine(checks_fence=checks_fence, load_seconds=load_seconds)
        self.config = data.Config(services_by_name={one.name: one for one in services})
        self.nodes = [self.make_node(f"n{index}") for index in range(nodes)]

    def make_node(self, node_id, **changes):
        parts = {"store": self.store, "engine": self.engine} | changes
        return fake_node.FakeNode(
            node_id=node_id, hub=self.hub, vm_list=self.vm_list, config=self.config, **parts
        )

    async def __aenter__(self):
        for node in self.nodes:
            await node.start()
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            await node.stop()

    def groups(self, service="chat"):
        return self.nodes[0].directory.groups_for(service)

    def warm(self):
        for address, status in self.engine.status_by_address.items():
            if status.state is engines.RunnerState.COLD:
                self.engine.set_state(address, READY)

    async def until(self, condition, *, within=60.0, warm=True):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while not condition():
            assert loop.time() < started_at + within, [
                self.groups(one) for one in self.config.services_by_name
            ]
            await asyncio.sleep(0.1)
            if warm:
                self.warm()
        return loop.time() - started_at

    def ready(self, count, service="chat"):
        def check():
            states = [group.state for group in self.groups(service)]
            return states == [data.GroupState.READY] * count

        return check


@pytest.mark.looptime
async def test_groups_form_load_warm_up_and_are_seen_as_ready():
    async with Cluster(make_vms(7), SERVICE) as cluster:
        await cluster.until(lambda: len(cluster.groups()) == 2)
        assert not any(group.serving for group in cluster.groups())
        await cluster.until(lambda: all(group.serving for group in cluster.groups()), warm=False)
        assert {group.state for group in cluster.groups()} == {data.GroupState.COLD}
        await cluster.until(cluster.ready(2))


@pytest.mark.looptime
async def test_a_dead_member_breaks_its_group_at_once_and_is_replaced():
    async with Cluster(make_vms(4), SERVICE) as cluster:
        await cluster.until(cluster.ready(1))
        before = cluster.groups()[0]
        cluster.engine.dark.add(before.members[1].address)
        await cluster.until(lambda: not cluster.groups()[0].serving, within=4.0)
        await cluster.until(cluster.ready(1))
        after = cluster.groups()[0]
        assert after.group_id == before.group_id
        assert after.generation > before.generation
        kept = {member.vm_id for member in before.members} & {one.vm_id for one in after.members}
        assert len(kept) == 2
        orders = [order for address, order in cluster.engine.orders if address == before.address]
        assert [order.generation for order in orders] == [1, 2]
