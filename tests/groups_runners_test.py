"""Tests of group controllers with emulated runners over HTTP, checked by the runners' logs."""

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
    """Runs emulated runners and nodes that control them; checks the memberships at the end."""
    plan = fleet.FleetPlan(
        failure_domains=("a", "b"),
        vms_per_fabric_domain=vms_per_fabric_domain,
        plain_instances=0,
        runner=records.RunnerOptions(warm_seconds=0.2, checks_fence=checks_fence),
        load_seconds=0.2,
    )
    emulated = fleet.Fleet(plan=plan)
    await emulated.start()
    cluster = fake_cluster.FakeCluster(
        vms_listed=tuple(emulated.vms_by_id.values()),
        services=(SERVICE,),
        nodes=nodes,
        runners=http_runner_client.HttpRunnerClient(),
        timing=TIMING,
    )
    async with cluster:
        yield emulated, cluster
    check_memberships(emulated)
    await emulated.stop()


def check_memberships(emulated):
    """Checks by the log of each VM that it was never a member of two groups at once."""
    for runner in emulated.runners_by_vm_id.values():
        for earlier, later in itertools.pairwise(runner.memberships):
            assert earlier.ended is not None and earlier.ended <= later.began


async def wait_for_groups(cluster, count):
    await cluster.until(cluster.ready(count), within=20.0, warm=False)


async def test_groups_form_and_survive_a_killed_runner_with_their_weights():
    async with running(5) as (emulated, cluster):
        await wait_for_groups(cluster, 2)
        before = cluster.groups()[0]
        killed_vm_id = before.members[0].vm_id
        await emulated.runners_by_vm_id[killed_vm_id].stop()
        await cluster.until(lambda: not cluster.groups()[0].serving, within=5.0, warm=False)
        await wait_for_groups(cluster, 2)
        after = cluster.groups()[0]
        assert after.group_id == before.group_id
        assert killed_vm_id not in {member.vm_id for member in after.members}
        for member in before.members[1:]:
            runner = emulated.runners_by_vm_id[member.vm_id]
            assert [membership.generation for membership in runner.memberships] == [1, 2]


async def test_a_runner_frozen_within_the_suspicion_window_stays_a_member():
    async with running(5) as (emulated, cluster):
        await wait_for_groups(cluster, 2)
        before = cluster.groups()
        frozen = emulated.runners_by_vm_id[before[0].members[2].vm_id]
        frozen.set_faults(records.RunnerFaults(freeze=True))
        await cluster.until(lambda: not cluster.groups()[0].serving, within=5.0, warm=False)
        frozen.set_faults(records.RunnerFaults())
        await wait_for_groups(cluster, 2)
        assert [group.generation for group in cluster.groups()] == [
            group.generation for group in before
        ]


async def test_a_runner_that_restarts_without_weights_loads_them_again():
    async with running(4, checks_fence=False) as (emulated, cluster):
        await wait_for_groups(cluster, 2)
        restarted = cluster.groups()[1].members[3]
        await emulated.runners_by_vm_id[restarted.vm_id].crash()
        await cluster.until(lambda: not cluster.groups()[1].serving, within=5.0, warm=False)
        await wait_for_groups(cluster, 2)
        assert restarted in cluster.groups()[1].members


async def test_control_moves_to_another_node_and_groups_stay():
    async with running(4) as (_, cluster):
        await wait_for_groups(cluster, 2)
        before = cluster.groups()
        await cluster.stop(next(iter(cluster.nodes_by_id)))
        await asyncio.sleep(0.5)
        remaining = next(iter(cluster.nodes_by_id))
        domains = {group.fabric_domain for group in before}
        await cluster.until(
            lambda: all(cluster.holder(domain) == remaining for domain in domains),
            within=5.0,
            warm=False,
        )
        assert cluster.groups() == before
