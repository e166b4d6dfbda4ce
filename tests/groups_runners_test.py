"""Tests of controllers over HTTP with emulated runners: what the runners' own logs show."""

import asyncio
import contextlib
import itertools

from basilpost.core import data
from basilpost.emulator import fleet, records
from basilpost.groups import fake_cluster, http_runner_client
from basilpost.settings import schema

TIMING = schema.Timing(
    probe=0.1, probe_timeout=0.2, plan=0.05, suspicion=1.0, vm_list=0.1, lease=1.0, order=0.3
)
SERVICE = data.Service(
    name="chat",
    kind=data.ServiceKind.MODEL,
    pool=fleet.MODEL_POOL,
    model="m",
    model_version="1",
    vms_per_group=4,
)


@contextlib.asynccontextmanager
async def running(vms_per_fabric_domain, *, checks_fence=True, nodes=2):
    """Runs stand-ins and nodes that control them."""
    plan = fleet.FleetPlan(
        failure_domains=("a", "b"),
        vms_per_fabric_domain=vms_per_fabric_domain,
        plain_instances=0,
        runner=records.RunnerOptions(warm_seconds=0.2, checks_fence=checks_fence),
        load_seconds=0.2,
    )
    stand_ins = fleet.Fleet(plan=plan)
    await stand_ins.start()
    cluster = fake_cluster.FakeCluster(
        vms_listed=tuple(stand_ins.vms_by_id.values()),
        services=(SERVICE,),
        nodes=nodes,
        runners=http_runner_client.HttpRunnerClient(),
        timing=TIMING,
    )
    async with cluster:
        yield stand_ins, cluster
    check_memberships(stand_ins)
    await stand_ins.stop()


def check_memberships(stand_ins):
    """Checks that no VM was a member of two groups at a time, by its own log."""
    for one in stand_ins.runners_by_vm_id.values():
        for earlier, later in itertools.pairwise(one.memberships):
            assert earlier.ended is not None and earlier.ended <= later.began


async def ready(cluster, count):
    await cluster.until(cluster.ready(count), within=20.0, warm=False)


async def test_groups_form_and_survive_a_killed_runner_with_their_weights():
    async with running(5) as (stand_ins, cluster):
        await ready(cluster, 2)
        before = cluster.groups()[0]
        killed = before.members[0].vm_id
        await stand_ins.runners_by_vm_id[killed].stop()
        await cluster.until(lambda: not cluster.groups()[0].serving, within=5.0, warm=False)
        await ready(cluster, 2)
        after = cluster.groups()[0]
        assert after.group_id == before.group_id
        assert killed not in {member.vm_id for member in after.members}
        for member in before.members[1:]:
            runner = stand_ins.runners_by_vm_id[member.vm_id]
            assert [one.generation for one in runner.memberships] == [1, 2]


async def test_a_frozen_runner_within_the_window_keeps_its_place():
    async with running(5) as (stand_ins, cluster):
        await ready(cluster, 2)
        before = cluster.groups()
        frozen = stand_ins.runners_by_vm_id[before[0].members[2].vm_id]
        frozen.set_faults(records.RunnerFaults(freeze=True))
        await cluster.until(lambda: not cluster.groups()[0].serving, within=5.0, warm=False)
        frozen.set_faults(records.RunnerFaults())
        await ready(cluster, 2)
        assert [one.generation for one in cluster.groups()] == [one.generation for one in before]


async def test_a_runner_that_restarts_empty_loads_again():
    async with running(4, checks_fence=False) as (stand_ins, cluster):
        await ready(cluster, 2)
        victim = cluster.groups()[1].members[3]
        await stand_ins.runners_by_vm_id[victim.vm_id].crash()
        await cluster.until(lambda: not cluster.groups()[1].serving, within=5.0, warm=False)
        await ready(cluster, 2)
        assert victim in cluster.groups()[1].members


async def test_control_moves_to_another_node_and_groups_stay():
    async with running(4) as (_, cluster):
        await ready(cluster, 2)
        before = cluster.groups()
        await cluster.stop(next(iter(cluster.nodes_by_id)))
        await asyncio.sleep(0.5)
        left = next(iter(cluster.nodes_by_id))
        domains = {group.fabric_domain for group in before}
        await cluster.until(
            lambda: all(cluster.holder(one) == left for one in domains), within=5.0, warm=False
        )
        assert cluster.groups() == before
